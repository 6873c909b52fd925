#pragma once

#include <array>
#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "services/gateway/context.h"
#include "services/gateway/rollout_control.h"
#include "services/gateway/server_notices.h"

namespace lovagecleat::gateway {

// Identifies the servers that run a stage: those of one service in one zone.
struct StageLocation {
  ServiceId service;
  ZoneId zone;

  // NOTE: clang-tidy 14 reports a null pointer in the generated comparison.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const StageLocation&, const StageLocation&) = default;
};

// Number of priorities that loads are reported for; less urgent ones count as
// the last.
inline constexpr std::size_t kLoadPriorities = 4;

struct StageLoad {
  StageLocation location;
  double capacity = 0;  // in servers of the expected speed
  // Number of queued items ahead of a new one, by the new item's priority.
  std::array<std::size_t, kLoadPriorities> waiting{};
};

// Outcome of an item; `result` names the server that stores its output, if any.
struct ItemResult {
  ItemOutcome outcome = ItemOutcome::kFailed;
  routing::ResultHandle result;
  // Servers have received the item, and to run it again is a retry that the
  // retry budget has not counted yet.
  bool needs_retry = false;
  // With kDeadlinePassed: time until there is room for it; zero if not known.
  Duration room_after{};
};

// Executes stage items in calls that are batched over all requests submitted to
// this host, its own and other hosts', and releases results that no request
// needs any more.
class StageRunner {
 public:
  using Callback = std::function<void(ItemResult)>;
  using ItemId = routing::ItemId;

  StageRunner(Context& context, ServerNotices& notices);
  ~StageRunner();
  StageRunner(const StageRunner&) = delete;
  StageRunner& operator=(const StageRunner&) = delete;

  // Queues an item for the servers of the service in that zone; the callback
  // is called once unless the item is cancelled.
  ItemId Submit(const StageLocation& location, routing::QueuedItem item,
                Callback callback);

  // Starts calls for the queued items. Call it once after a series of Submit.
  void DispatchCalls();

  // Removes the items of a request that has ended. Results that still arrive
  // for them are released.
  void CancelItems(std::span<const ItemId> items);

  void Release(std::span<const routing::ResultHandle> results);

  // Stops counting results whose lifetime at their server is over.
  void ExpireResults();

  // Returns the load of every service and zone that has a queue here.
  std::vector<StageLoad> Loads();
  // Returns nullopt if no item for that service and zone was ever submitted
  // here.
  std::optional<StageLoad> LoadAt(const StageLocation& location);

  // What the servers of one service and zone can do, by routing::RoomKind, and
  // the work that waits for them here.
  struct StageRoom {
    StageLocation location;
    std::array<routing::RoomSupply, routing::kRoomKinds> supplies{};
    std::array<std::vector<routing::RoomWork>, routing::kRoomKinds> waiting;
  };
  std::vector<StageRoom> Rooms();

 private:
  class ActiveCall;
  class ControlCall;
  struct StageQueue;  // the items for one service and zone

  StageQueue* FindOrAddQueue(const StageLocation& location);
  std::vector<routing::ServerRecord*> ServersAt(const StageLocation& location);
  // Returns the servers there of a version that is rolled out which may get a
  // call now.
  std::vector<routing::ServerRecord*> ServersOnTrialAt(
      const StageLocation& location);
  std::optional<TimePoint> FirstReturnAt(const StageLocation& location);
  void DispatchQueue(StageQueue& queue);
  // Refuses the items for which there is no room.
  void AllotRoom(StageQueue& queue,
                 std::span<routing::ServerRecord* const> servers);
  // Starts no call to a server before its limit allows one.
  void DeferLimitedServers(StageQueue& queue,
                           std::span<routing::ServerRecord* const> servers);
  // Returns the earliest time at which the server may be sent something.
  TimePoint NextSendAt(const routing::ServerRecord& server,
                       TimePoint now) const;
  void CountSend(const routing::ServerRecord& server);
  void StartCall(StageQueue& queue, routing::BatchCall call);
  void UncountSends(std::span<const routing::QueuedItem> items);
  // Queues a further copy of each item, unless it was sent often enough.
  void AddCopies(StageQueue& queue, std::span<const routing::QueuedItem> items);
  // Queues the copies that an ended call held again. Those of a call that
  // `is_hedged` were replaced before and are only needed if they are the last.
  void Requeue(StageQueue& queue, std::vector<routing::QueuedItem> items,
               bool is_hedged);
  // Drops one copy of the item. The item ends with `outcome` if that was its
  // last one.
  void DropCopy(const routing::QueuedItem& item, ItemOutcome outcome,
                const StageLocation& location,
                Duration room_after = Duration::zero());
  void HoldUntilReturn(StageQueue& queue, TimePoint first_return);
  void HandBackItems(StageQueue& queue);
  void FinishItem(const routing::QueuedItem& item, ItemResult item_result,
                  const StageLocation& location);
  StageLoad MeasureLoad(StageQueue& queue);
  void Remove(ActiveCall* active_call);
  void Remove(ControlCall* call);
  void ArmDispatchTimer();
  void FlushReleasesAt(TimePoint at);
  void FlushReleases();
  static ForwardedCall TargetOf(const routing::ServerRecord& server);
  void StartControlCall(
      const routing::ServerRecord& server, const char* kind,
      std::string_view bytes,
      std::function<void(std::optional<std::string>)> callback);
  void QueryReport(
      const ServerId& server,
      const std::function<void(const std::optional<StageServerReport>&)>&
          callback);
  void QueryFreeMemory(StageQueue& queue, const ServerId& server);

  Context& context_;
  ServerNotices& notices_;
  std::uint64_t last_item_ = 0;
  std::map<StageLocation, std::unique_ptr<StageQueue>> queues_;
  struct PendingItem {
    Callback callback;
    int sends = 0;
    int copies = 1;  // queued or in a running call
  };
  std::map<ItemId, PendingItem> pending_items_;
  std::map<ActiveCall*, std::unique_ptr<ActiveCall>> active_calls_;
  std::map<ControlCall*, std::unique_ptr<ControlCall>> control_calls_;
  struct HeldResult {
    StageLocation location;
    std::uint64_t bytes = 0;
    ServerId server;
    TimePoint expires_at;
    TimePoint since{};
  };
  void UncountResult(const HeldResult& held);
  void OnReleased(std::span<const std::string> handles);

  std::map<std::string, HeldResult> held_results_;  // by handle
  routing::ReceivedResults received_results_;
  std::map<ServerId, std::vector<std::string>> pending_releases_;
  TimerId dispatch_timer_;
  TimerId release_timer_;
  std::optional<TimePoint> releases_flushed_at_;  // when the timer is due
};

}  // namespace lovagecleat::gateway
