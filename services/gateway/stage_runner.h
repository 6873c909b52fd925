#pragma once

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "services/gateway/context.h"

namespace lovagecleat::gateway {

// How an item ended; the maker holds the result if there is one.
struct ItemEnd {
  ItemOutcome outcome = ItemOutcome::kFailed;
  routing::ResultHandle result;
};

// Makes items of stages in batched calls over all requests of this host, and
// gives results up that no request needs any more.
class StageRunner {
 public:
  using Callback = std::function<void(ItemEnd)>;
  using ItemId = routing::ItemId;

  explicit StageRunner(Context& context);
  ~StageRunner();
  StageRunner(const StageRunner&) = delete;
  StageRunner& operator=(const StageRunner&) = delete;

  // Queues an item; the callback is called once unless it is withdrawn.
  ItemId Submit(const ServiceId& service, routing::WaitingItem item,
                Callback callback);

  // Chooses calls for what was submitted; after the last Submit in a row.
  void Pump();

  // The request has ended: its items are taken out, and results that still
  // come are given up.
  void Withdraw(std::span<const ItemId> items);

  void Release(std::span<const routing::ResultHandle> results);

  // Expected time until an item that is added now is made.
  Duration ExpectedTime(const ServiceId& service);
  Duration LeastTime(const ServiceId& service);

 private:
  class BatchRun;
  class ReleaseRun;
  struct Lot;  // the items of one service

  Lot* LotOf(const ServiceId& service);
  void PumpLot(Lot& lot);
  void StartCall(Lot& lot, routing::BatchCall call);
  void Requeue(Lot& lot, std::vector<routing::WaitingItem> items);
  void EndItem(const routing::WaitingItem& item, ItemEnd end,
               const ServiceId& service);
  void Remove(BatchRun* run);
  void Remove(ReleaseRun* run);
  void ArmTimer();
  void FlushReleases();

  Context& context_;
  std::uint64_t last_item_ = 0;
  std::map<ServiceId, std::unique_ptr<Lot>> lots_;
  struct Waiter {
    Callback callback;
    int sends = 0;
  };
  std::map<ItemId, Waiter> waiters_;
  std::map<BatchRun*, std::unique_ptr<BatchRun>> runs_;
  std::map<ReleaseRun*, std::unique_ptr<ReleaseRun>> releases_;
  struct HeldResult {
    ServiceId service;
    std::uint64_t bytes = 0;
  };
  std::map<std::string, HeldResult> held_;  // by handle
  std::map<ServerId, std::vector<std::string>> to_release_;
  TimerId timer_;
  TimerId release_timer_;
};

}  // namespace lovagecleat::gateway
