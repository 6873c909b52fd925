#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/base.h"
#include "policy/policy.h"
#include "tests/stand_ins/settings.h"
#include "tests/stand_ins/table_model.h"
#include "transport/transport.h"

namespace lovagecleat::stand_ins {

// Serves the platform's table, objects, host list and weights over HTTP.
class PlatformServer {
 public:
  PlatformServer(transport::Loop& loop, const PlatformSettings& settings,
                 policy::Inventory inventory);

  bool Listen();

 private:
  using Call = std::shared_ptr<transport::HttpServerCall>;
  enum class Operation { kRead, kWrite };

  void RouteTable();
  void RouteObjects();
  void HandleRead(const Call& call);
  void HandleScan(const Call& call);
  void HandleWrite(const Call& call);
  void HandleInventory(const Call& call);
  void HandleGetObject(const Call& call);
  void HandlePutObject(const Call& call);
  void HandleWeights(const Call& call);
  void HandleControl(const Call& call);

  // Reserves the table, which executes one operation at a time, for an
  // operation. Returns the time until the operation ends.
  Duration ReserveTable(Operation operation);
  void SendReply(const Call& call, const TableReply& reply,
                 Operation operation);
  // In an outage responds with 503; if silent keeps the call without a
  // response. Returns true in both cases.
  bool ApplyFault(const Call& call);
  void ChangeInventory(const std::function<void(policy::Inventory&)>& change);
  const policy::Inventory& VisibleInventory() const;

  transport::Loop& loop_;
  PlatformSettings settings_;
  transport::HttpServer server_;
  TableModel table_;
  TableHealth health_ = TableHealth::kAvailable;
  Duration delay_{};
  TimePoint table_busy_until_{};
  // Ascending by time. Clients get the newest entry that is older than the lag.
  std::deque<std::pair<TimePoint, policy::Inventory>> inventories_;
  std::map<std::string, std::string> objects_;
  TimePoint next_weights_at_{};
  std::vector<Call> unanswered_;  // calls that get no response
};

}  // namespace lovagecleat::stand_ins
