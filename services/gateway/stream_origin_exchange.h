#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "messages/messages.h"
#include "services/gateway/context.h"
#include "services/gateway/stage_router.h"
#include "services/gateway/stream_origin_rows.h"

namespace lovagecleat::gateway {

// Remembers where streams began and shares it with other hosts, so that a
// caller may resume a stream at any host, even if the host that began it is
// lost. routing::OriginCopies decides which hosts are told. While a service may
// have several versions, one host of each zone also gets all origins to store
// them, for the case that all hosts are lost.
class StreamOriginExchange {
 public:
  using ReachableCallback = std::function<bool(const std::string& peer)>;
  using SendCallback = std::function<bool(
      const std::string& peer, const messages::StreamOriginTraffic&)>;
  // Gets nothing if the origin is not known.
  using Callback = std::function<void(std::optional<routing::StreamOrigin>)>;

  StreamOriginExchange(Context& context, RowSource& rows,
                       ReachableCallback is_reachable, SendCallback send);
  ~StreamOriginExchange();
  StreamOriginExchange(const StreamOriginExchange&) = delete;
  StreamOriginExchange& operator=(const StreamOriginExchange&) = delete;

  void SetHosts(std::span<const PeerHost> others);

  // Remembers the origin of a stream for `lifetime`, here and at other hosts.
  void Add(const std::string& stream, const routing::StreamOrigin& origin,
           Duration lifetime);

  // A stream that a caller resumes.
  struct ResumedStream {
    std::string id;
    ServiceId service;
    Duration maximum_age{};  // the longest time since it began
  };

  // Finds the origin here, at other hosts or in the store. A stream that none
  // of them knows began at the only version that its service has had since
  // before it can have begun. The callback is called once, from the loop,
  // unless `owner` cancels it.
  void Find(const ResumedStream& stream, const void* owner, Callback callback);
  void Cancel(const void* owner);

  void OnTraffic(const std::string& from,
                 const messages::StreamOriginTraffic& traffic);
  void RemoveExpired();

  // Chooses the host that stores origins for the zone, and brings it up to
  // date. `era` is that of the store; nothing before it was read.
  void UpdateWriter(std::optional<std::uint64_t> era);

  // The versions of a service may have changed.
  void OnServersChanged() { rows_.OnServersChanged(); }

 private:
  struct Query {
    ResumedStream stream;
    std::set<std::string> unanswered;     // hosts that were asked
    std::set<std::string> sole_versions;  // according to these hosts
    std::map<const void*, Callback> callbacks;
    bool has_read_store = false;
    TimerId timeout_timer;
  };

  std::set<std::string> HostsToAsk(const std::string& stream) const;
  // Returns the version that all servers of the service are known to have had
  // for that time.
  std::optional<std::string> SoleVersion(const ServiceId& service,
                                         Duration age) const;
  void FinishQuery(const std::string& stream,
                   const std::optional<routing::StreamOrigin>& origin);
  // Ends the wait for other hosts: none of those that answered has the origin.
  void OnUnknownToHosts(const std::string& stream);
  void ReadFromStore(const std::string& stream, Query& query);
  // Finishes a query with what is known by now.
  void Finish(const std::string& stream);
  // Returns the only version that the stream can have begun at.
  std::optional<routing::StreamOrigin> OnlyPossibleOrigin(
      const Query& query) const;
  // Sends the host that stores origins all that it may not know, as far as it
  // has room, and goes on when it has acknowledged.
  void StartWriterPass();
  void ContinueWriterPass();
  void UpdateReachable();
  // Returns the message to a host, for one more entry with texts of that size;
  // null if it holds as many entries, or bytes, as it may.
  messages::StreamOriginTraffic* MessageTo(const std::string& peer,
                                           std::size_t text_bytes);
  void ScheduleFlush(Duration delay = Duration::zero());
  void Flush();
  bool SendBatch(const routing::OriginCopies::Batch& batch);
  void SendOthers();
  void ReportBounds();

  Context& context_;
  ReachableCallback is_reachable_;
  SendCallback send_;
  std::vector<PeerHost> hosts_;  // without this one
  routing::StreamOrigins origins_;
  StreamOriginRows rows_;
  std::string writer_;  // address of the host that stores for the zone
  // Of the versions when the writer got all origins.
  std::uint64_t writer_revision_ = 0;
  std::map<std::string, Query> queries_;  // by stream
  routing::OriginCopies copies_;
  routing::OriginCopies::Counts reported_;  // of copies_
  TimePoint reachable_updated_at_{};
  // The last stream of a pass over all origins for the writer; nothing if there
  // is no pass.
  std::optional<std::string> writer_pass_at_;
  TimePoint writer_pass_started_at_{};
  // Answers, questions and acknowledgements.
  struct Outgoing {
    messages::StreamOriginTraffic traffic;
    std::size_t entries = 0;
    std::size_t bytes = 0;
    std::optional<TimePoint> failing_since;
  };
  std::map<std::string, Outgoing> outgoing_;  // by host
  std::uint64_t left_out_ = 0;                // of outgoing_, and of origins_
  std::uint64_t reported_left_out_ = 0;
  TimePoint flush_at_{};
  TimerId flush_timer_;
};

}  // namespace lovagecleat::gateway
