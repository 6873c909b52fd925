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

namespace lovagecleat::gateway {

// Where a stage is run: the servers of one service in one zone.
struct StagePlace {
  ServiceId service;
  ZoneId zone;

  // NOTE: clang-tidy 14 reports a null pointer in the generated comparison.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const StagePlace&, const StagePlace&) = default;
};

// Priorities that loads are told by; less urgent ones count as the last.
inline constexpr std::size_t kLoadPriorities = 4;

struct StageLoad {
  StagePlace place;
  double capacity = 0;  // in servers of the expected speed
  // Items that go before a new one, by its priority.
  std::array<std::size_t, kLoadPriorities> waiting{};
};

// How an item ended; the maker holds the result if there is one.
struct ItemEnd {
  ItemOutcome outcome = ItemOutcome::kFailed;
  routing::ResultHandle result;
};

// Makes items of stages in batched calls over all requests that come to this
// host, its own and other hosts', and gives results up that no request needs
// any more.
class StageRunner {
 public:
  using Callback = std::function<void(ItemEnd)>;
  using ItemId = routing::ItemId;

  explicit StageRunner(Context& context);
  ~StageRunner();
  StageRunner(const StageRunner&) = delete;
  StageRunner& operator=(const StageRunner&) = delete;

  // Queues an item for the servers of the service in that zone; the callback
  // is called once unless the item is withdrawn.
  ItemId Submit(const StagePlace& place, routing::WaitingItem item,
                Callback callback);

  // Chooses calls for what was submitted; after the last Submit in a row.
  void Pump();

  // The request has ended: its items are taken out, and results that still
  // come are given up.
  void Withdraw(std::span<const ItemId> items);

  void Release(std::span<const routing::ResultHandle> results);

  // Forgets results that have ended by themselves.
  void ExpireResults();

  // What waits at this host, by place.
  std::vector<StageLoad> Loads();
  // Nothing if no item of that place ever came here.
  std::optional<StageLoad> LoadOf(const StagePlace& place);

 private:
  class BatchRun;
  class SideCall;
  struct Lot;  // the items of one place

  Lot* LotOf(const StagePlace& place);
  std::vector<routing::ServerRecord*> ServersOf(const StagePlace& place);
  void PumpLot(Lot& lot);
  void StartCall(Lot& lot, routing::BatchCall call);
  void ForgetSends(std::span<const routing::WaitingItem> items);
  void Requeue(Lot& lot, std::vector<routing::WaitingItem> items);
  void EndItem(const routing::WaitingItem& item, ItemEnd end,
               const StagePlace& place);
  StageLoad Measure(Lot& lot);
  void Remove(BatchRun* run);
  void Remove(SideCall* call);
  void ArmTimer();
  void FlushReleases();
  static ForwardedCall TargetOf(const routing::ServerRecord& server);
  void StartSideCall(const ForwardedCall& target, std::string_view bytes,
                     std::function<void(std::optional<std::string>)> callback);
  void AskReport(const ServerId& server,
                 const std::function<void(const StageServerReport&)>& callback);
  void AskRoom(Lot& lot, const ServerId& server);

  Context& context_;
  std::uint64_t last_item_ = 0;
  std::map<StagePlace, std::unique_ptr<Lot>> lots_;
  struct Waiter {
    Callback callback;
    int sends = 0;
  };
  std::map<ItemId, Waiter> waiters_;
  std::map<BatchRun*, std::unique_ptr<BatchRun>> runs_;
  std::map<SideCall*, std::unique_ptr<SideCall>> side_calls_;
  struct HeldResult {
    StagePlace place;
    std::uint64_t bytes = 0;
    ServerId maker;
    TimePoint ends_at;
  };
  void ForgetResult(const HeldResult& held);
  void OnReleased(std::span<const std::string> handles);

  std::map<std::string, HeldResult> held_;  // by handle
  std::map<ServerId, std::vector<std::string>> to_release_;
  TimerId timer_;
  TimerId release_timer_;
};

}  // namespace lovagecleat::gateway
