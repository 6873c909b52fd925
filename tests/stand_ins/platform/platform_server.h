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

  // The table carries out one operation after the other.
  Duration Occupy(Operation operation);
  void Answer(const Call& call, const TableReply& reply, Operation operation);
  // Answers an outage or holds the call in silence; true if it did either.
  bool IsWithheld(const Call& call);
  void ChangeInventory(const std::function<void(policy::Inventory&)>& change);
  const policy::Inventory& VisibleInventory() const;

  transport::Loop& loop_;
  PlatformSettings settings_;
  transport::HttpServer server_;
  TableModel table_;
  TableHealth health_ = TableHealth::kServes;
  Duration delay_{};
  TimePoint table_busy_until_{};
  // The newest last; what is shown is the newest that is older than the lag.
  std::deque<std::pair<TimePoint, policy::Inventory>> inventories_;
  std::map<std::string, std::string> objects_;
  TimePoint next_weights_{};
  std::vector<Call> held_;  // calls that are never answered
};

}  // namespace lovagecleat::stand_ins
