#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "messages/messages.h"
#include "services/gateway/context.h"
#include "services/gateway/room_exchange.h"
#include "services/gateway/stage_runner.h"

namespace lovagecleat::gateway {

// Another gateway host.
struct PeerHost {
  std::string address;  // of its peer link
  ZoneId zone;
  double processor_cores = 1.0;  // CPU cores available to it
};

// Routes the stage items of all hosts to one batching host per service and
// zone, so that batched calls fill up. The batching host is chosen by
// rendezvous hashing over the reachable hosts, preferring those in the servers'
// zone and those with enough CPU. No lease is needed: two hosts that both batch
// for one service and zone only make smaller batches. Items at a host that
// stops responding are reassigned.
class StageRouter {
 public:
  using Callback = StageRunner::Callback;
  using ItemId = routing::ItemId;
  // Sends to the host with that address; returns false if the message cannot be
  // sent now.
  using SendCallback =
      std::function<bool(const std::string&, const messages::StageTraffic&)>;

  StageRouter(Context& context, StageRunner& runner, SendCallback send);
  ~StageRouter();
  StageRouter(const StageRouter&) = delete;
  StageRouter& operator=(const StageRouter&) = delete;

  void SetHosts(std::span<const PeerHost> others);

  // Returns whether that host responds and is not stopping.
  bool IsReachable(const std::string& address) const;

  // Returns whether that host has a path to servers, as far as it has said.
  bool HasPath(const std::string& address) const;

  // Announces whether this host has a path to servers. Without one, other hosts
  // do the batching.
  void SetHasPath(bool has_path);

  // Announces that this host is stopping, so that other hosts do the batching.
  void StartLeaving();

  // Queues an item at the batching host of that service and zone.
  ItemId Submit(const StageLocation& location, routing::QueuedItem item,
                Callback callback);

  // Dispatches local items and sends pending messages to the other hosts.
  void Flush();

  void CancelItems(std::span<const ItemId> items);
  void Release(std::span<const routing::ResultHandle> results);

  // Estimates the time until the call of a new item starts, from the load that
  // the batching host reported.
  Duration ExpectedWait(const StageLocation& location, int priority);
  Duration CallTime(const ServiceId& service, std::size_t items) const;
  // Returns the duration of a call with the batch size that is usual under
  // load.
  Duration TypicalCallTime(const ServiceId& service) const;

  // What the requests of this host know of room.
  RoomExchange& room() { return room_; }
  const routing::RoomLoad& RoomAt(const StageLocation& location,
                                  routing::RoomKind kind);

  // Returns the zones with usable servers of the service, or with suspended
  // ones if none is usable.
  std::set<ZoneId> ZonesWithServers(const ServiceId& service) const;
  // Returns the capacity of a service in a zone, in servers of the expected
  // speed.
  double CapacityAt(const StageLocation& location) const;

  void OnTraffic(const std::string& from, std::uint64_t incarnation,
                 const messages::StageTraffic& traffic);

 private:
  struct PeerState {
    ZoneId zone;
    double processor_cores = 1.0;
    TimePoint last_message_at{};
    TimePoint last_probe_at{};
    std::optional<TimePoint> unanswered_since;
    bool is_suspect = false;
    bool is_leaving = false;
    bool has_path = true;
    std::uint64_t incarnation = 0;

    bool IsReachable() const { return !is_suspect && !is_leaving; }
    bool CanBatch() const { return IsReachable() && has_path; }
  };
  struct RemoteItem {
    StageLocation location;
    routing::QueuedItem item;
    Callback callback;
    std::string host;
    int reassignments = 0;
  };
  struct ZoneCapacities {
    std::map<ZoneId, double> capacity;  // of the usable servers
    TimePoint measured_at{};
  };
  struct PeerLoad {
    StageLoad load;
    TimePoint received_at{};
    std::size_t submitted_since = 0;
  };
  using HostedKey = std::pair<std::string, std::uint64_t>;

  // Returns the capacity by zone, cached briefly: each request needs it several
  // times, and counting the servers of a large fleet is slow.
  const ZoneCapacities& CachedZoneCapacities(const ServiceId& service) const;
  double MeasureCapacity(const StageLocation& location,
                         std::size_t servers) const;

  // Returns the address of the batching host; empty for this host.
  const std::string& BatchingHostFor(const StageLocation& location) const;
  std::string ChooseBatchingHost(const StageLocation& location) const;
  void SubmitTo(const std::string& host, ItemId id, RemoteItem item);
  void SubmitLocally(ItemId id, const StageLocation& location,
                     routing::QueuedItem item, Callback callback);
  void ReassignItems(const std::string& host);
  // Withdraws the items at a host that cannot run them, and reassigns them.
  void WithdrawItems(const std::string& host);
  void DropItemsFrom(const std::string& host);
  void HandleSubmission(const std::string& from,
                        const messages::ItemSubmission& submission);
  void HandleEnding(const std::string& from,
                    const messages::ItemEnding& ending);
  void ScheduleFlush();
  void SendOutgoing();
  // Handles a message that could not be sent to a host that counts as
  // reachable. Returns whether it holds more than it may.
  bool OnUnsent(const std::string& host, messages::StageTraffic& traffic);
  // Reassigns the items at hosts that do not respond.
  void LoseHosts(const std::vector<std::string>& hosts);
  void Tick();
  void Probe(const std::string& host, PeerState& peer, TimePoint now);
  // Returns the batching hosts that this host uses, each with its probe period.
  std::map<std::string, Duration> WatchedHosts() const;
  void AddLoads(messages::StageTraffic& traffic);
  // Tells the batching hosts what the requests of this host will submit.
  void SendPlans();

  Context& context_;
  StageRunner& runner_;
  SendCallback send_;
  std::uint64_t last_item_;
  bool is_leaving_ = false;
  bool has_path_ = true;
  std::uint64_t last_probe_id_ = 0;
  std::map<std::string, PeerState> peers_;
  std::map<ItemId, RemoteItem> remote_;
  std::map<ItemId, ItemId> local_;      // to the runner's item id
  std::map<HostedKey, ItemId> hosted_;  // items of other hosts at the runner
  std::map<std::string, std::string> result_hosts_;  // by handle
  mutable std::map<ServiceId, ZoneCapacities> zone_capacities_;
  // Cleared when a host is added, removed or changed.
  mutable std::map<StageLocation, std::string> batching_hosts_;
  std::map<std::string, Duration> watched_;
  TimePoint watched_updated_at_{};
  RoomExchange room_;
  std::set<std::string> told_plans_;  // hosts with plans of this one
  std::map<StageLocation, PeerLoad> loads_;
  std::vector<StageLoad> own_loads_;
  TimePoint loads_measured_at_{};
  std::map<std::string, messages::StageTraffic> outgoing_;
  TimerId flush_timer_;
  TimerId tick_timer_;
};

}  // namespace lovagecleat::gateway
