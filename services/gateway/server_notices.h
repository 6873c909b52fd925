#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "messages/messages.h"
#include "services/gateway/context.h"
#include "services/gateway/peer_outbox.h"

namespace lovagecleat::gateway {

// Acts on what servers say of themselves in responses: that they are about to
// exit, which is shared with the other hosts of the zone, how many requests
// they take, which is shared with all hosts, and for how long they want no
// requests from this host.
class ServerNotices {
 public:
  using ReachableCallback = std::function<bool(const std::string& peer)>;
  using Outbox = PeerOutbox<messages::ServerNotices>;
  // The hosts that learn that a server is about to exit.
  enum class Audience { kZone, kAllHosts };

  ServerNotices(Context& context, ReachableCallback is_reachable,
                Outbox::SendCallback send);
  ~ServerNotices();
  ServerNotices(const ServerNotices&) = delete;
  ServerNotices& operator=(const ServerNotices&) = delete;

  // Sets the addresses of the other hosts. When there are some in the zone for
  // the first time, asks a few of them for the notices that they know.
  void SetHosts(std::vector<std::string> others_in_zone,
                std::vector<std::string> others);

  // Records the notices in the head of a response to a call to `server`, and
  // logs fields that cannot be read. `server` is the incarnation that the call
  // was sent to: its entry may have been replaced since.
  void OnResponse(const routing::ServerIncarnation& server,
                  const ResponseMetadata& response,
                  Audience audience = Audience::kZone);

  void OnMessage(const std::string& from,
                 const messages::ServerNotices& notices);

  // Returns the number of hosts that have missed notices.
  std::size_t hosts_behind() const { return outbox_.hosts_behind(); }

 private:
  // Returns true if the notice was not known.
  bool Record(const routing::ServerIncarnation& server,
              std::string_view source);
  // Logs them up to a rate, and counts all.
  void LogFieldProblems(const ServerId& server,
                        std::span<const FieldProblem> problems);
  void RecordLimit(const routing::ServerIncarnation& server,
                   const ResponseMetadata& response);
  // Returns whether other hosts should know.
  bool SetLimit(const routing::ServerIncarnation& server,
                const routing::LimitStatement& statement,
                std::string_view source);
  void ReadLimits(const messages::ServerNotices& notices);
  void AskOtherHosts();
  // Adds all notices that are known. Returns false if there are none.
  bool WriteAll(messages::ServerNotices& notices) const;

  Context& context_;
  ReachableCallback is_reachable_;
  Outbox outbox_;
  // Addresses, without this host.
  std::vector<std::string> hosts_in_zone_;
  std::vector<std::string> hosts_;
  bool has_asked_ = false;
  // Fields logged as unreadable since the start of the period.
  TimePoint logged_since_{};
  int logged_problems_ = 0;
  TimerId ask_timer_;
};

}  // namespace lovagecleat::gateway
