#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "base/base.h"
#include "routing/model.h"

namespace lovagecleat::routing {

// Which hosts send requests to a server.
enum class ServerUsers {
  kAllHosts,
  kOneHost,  // one at a time; two for a moment when another takes over
};

// What a server has said of its limit. Without a value it has no limit any
// more.
struct LimitStatement {
  std::optional<double> requests_per_second;
  TimePoint at{};
};

// Keeps the requests that all hosts together send to a server within the limit
// that it names. The limit is split over the hosts without messages: every host
// gets an equal part, or the same few hosts get one if the limit is too small
// for all. A part is used at an even pace.
class ServerLimits {
 public:
  explicit ServerLimits(HostId self) : self_(std::move(self)) {}

  void SetHosts(std::vector<HostId> hosts);

  // Records what that incarnation has said. Returns whether other hosts should
  // know: the limit is new, has changed noticeably or has ended. A statement
  // that is older than the known one has no effect. A limit ends only if the
  // server has not named one for a moment, since responses may overtake each
  // other.
  bool Set(const ServerIncarnation& server, const LimitStatement& statement);

  // Forgets what all incarnations of the server have said.
  void Remove(const ServerId& server) { limits_.erase(server); }

  // Returns the earliest time at which this host may send to the server;
  // nothing if only other hosts may.
  std::optional<TimePoint> NextSendAt(const ServerIncarnation& server,
                                      ServerUsers users, TimePoint now) const;
  bool MaySend(const ServerIncarnation& server, ServerUsers users,
               TimePoint now) const;
  void CountSend(const ServerIncarnation& server, ServerUsers users,
                 TimePoint now);

  bool IsLimited(const ServerIncarnation& server) const {
    return Find(server) != nullptr;
  }

  struct NamedLimit {
    ServerIncarnation server;
    double requests_per_second = 0;
    TimePoint named_at{};  // last
    TimePoint next_send_at{};
  };
  const std::map<ServerId, NamedLimit>& limits() const { return limits_; }

 private:
  void RemoveOldest();
  const NamedLimit* Find(const ServerIncarnation& server) const;
  // Returns this host's part in requests per second; nothing if it has none.
  std::optional<double> RateOf(const NamedLimit& limit,
                               ServerUsers users) const;

  HostId self_;
  std::vector<HostId> hosts_;
  std::map<ServerId, NamedLimit> limits_;
};

}  // namespace lovagecleat::routing
