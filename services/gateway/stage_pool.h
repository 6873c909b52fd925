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
#include "services/gateway/stage_runner.h"

namespace lovagecleat::gateway {

// A host as others reach it.
struct PeerHost {
  std::string address;  // of its peer link
  ZoneId zone;
  double processor = 1.0;  // cores that it may use
};

// Gathers the items of all hosts for each place of a stage at one host, which
// fills the calls there. The gathering host is chosen by rendezvous hashing
// over the hosts that answer, those of the place's zone and with a large share
// of a processor first. Two hosts that
// both gather for a place do no harm but fill calls less, so no lease is
// needed. Items at a host that falls silent are handed to the next one.
class StagePool {
 public:
  using Callback = StageRunner::Callback;
  using ItemId = routing::ItemId;
  // Sends to the host with that address; false if it cannot be sent now.
  using SendCallback =
      std::function<bool(const std::string&, const messages::StageTraffic&)>;

  StagePool(Context& context, StageRunner& runner, SendCallback send);
  ~StagePool();
  StagePool(const StagePool&) = delete;
  StagePool& operator=(const StagePool&) = delete;

  void SetHosts(std::span<const PeerHost> others);

  // Whether that host answers and does not stop.
  bool IsHere(const std::string& address) const;

  // This host stops: other hosts gather from now on.
  void StartLeaving();

  // Queues an item at the host that gathers for the place.
  ItemId Submit(const StagePlace& place, routing::WaitingItem item,
                Callback callback);

  // Passes on what was submitted, withdrawn and released since.
  void Flush();

  void Withdraw(std::span<const ItemId> items);
  void Release(std::span<const routing::ResultHandle> results);

  // Time until the call of a new item starts, by what the gathering host told.
  Duration ExpectedWait(const StagePlace& place, int priority);
  Duration CallTime(const ServiceId& service, std::size_t items) const;
  // Of a call that is filled as calls are under load.
  Duration TypicalCallTime(const ServiceId& service) const;

  // Zones with usable servers of the service.
  std::set<ZoneId> ZonesOf(const ServiceId& service) const;
  // What the servers of a place can do, in servers of the expected speed.
  double CapacityAt(const StagePlace& place) const;

  void OnTraffic(const std::string& from, std::uint64_t incarnation,
                 const messages::StageTraffic& traffic);

 private:
  struct PeerState {
    ZoneId zone;
    double processor = 1.0;
    TimePoint heard_at{};
    TimePoint probed_at{};
    std::optional<TimePoint> unanswered_since;
    bool is_suspect = false;
    bool is_leaving = false;
    std::uint64_t incarnation = 0;

    bool CanGather() const { return !is_suspect && !is_leaving; }
  };
  struct RemoteItem {
    StagePlace place;
    routing::WaitingItem item;
    Callback callback;
    std::string host;
    int moves = 0;
  };
  struct RecentZones {
    std::map<ZoneId, double> capacity;  // of the usable servers
    TimePoint at{};
  };
  struct KnownLoad {
    StageLoad load;
    TimePoint at{};
    std::size_t sent_since = 0;
  };
  using HostedKey = std::pair<std::string, std::uint64_t>;

  // Capacity by zone as of a moment ago: it is asked for several times for
  // each request, and to count servers takes time in a large fleet.
  const RecentZones& ZonesNow(const ServiceId& service) const;
  double MeasureCapacity(const StagePlace& place, std::size_t servers) const;

  // The address of the gathering host; empty: this one.
  const std::string& GathererOf(const StagePlace& place) const;
  std::string ChooseGatherer(const StagePlace& place) const;
  void SubmitTo(const std::string& host, ItemId id, RemoteItem item);
  void SubmitLocally(ItemId id, const StagePlace& place,
                     routing::WaitingItem item, Callback callback);
  void MoveItemsOf(const std::string& host);
  void DropItemsFrom(const std::string& host);
  void TakeSubmission(const std::string& from,
                      const messages::ItemSubmission& submission);
  void TakeEnding(const std::string& from, const messages::ItemEnding& ending);
  void FlushSoon();
  void SendOutgoing();
  void Tick();
  void Probe(const std::string& host, PeerState& peer, TimePoint now);
  // Hosts that gather for this one, each with the time after which it is
  // asked whether it is there.
  std::map<std::string, Duration> WatchedHosts() const;
  void AddLoads(messages::StageTraffic& traffic);

  Context& context_;
  StageRunner& runner_;
  SendCallback send_;
  std::uint64_t last_item_;
  bool is_leaving_ = false;
  std::uint64_t last_probe_ = 0;
  std::map<std::string, PeerState> peers_;
  std::map<ItemId, RemoteItem> remote_;
  std::map<ItemId, ItemId> local_;      // to the runner's own number
  std::map<HostedKey, ItemId> hosted_;  // items of other hosts at the runner
  std::map<std::string, std::string> gatherer_of_result_;  // by handle
  mutable std::map<ServiceId, RecentZones> recent_zones_;
  // Cleared when a host comes, goes or changes.
  mutable std::map<StagePlace, std::string> gatherers_;
  std::map<std::string, Duration> watched_;
  TimePoint watched_at_{};
  std::map<StagePlace, KnownLoad> loads_;
  std::vector<StageLoad> own_loads_;
  TimePoint loads_measured_at_{};
  std::map<std::string, messages::StageTraffic> outgoing_;
  TimerId flush_timer_;
  TimerId tick_timer_;
};

}  // namespace lovagecleat::gateway
