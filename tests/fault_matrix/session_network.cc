#include <algorithm>
#include <chrono>
#include <utility>

#include "tests/fault_matrix/session.h"
#include "tests/fault_matrix/session_state.h"

namespace lovagecleat::fault_matrix {

using policy::MemberState;
using policy::TableOutcome;
using stand_ins::TableReply;
using stand_ins::TableReplyKind;
using std::chrono::milliseconds;

namespace {
constexpr Duration kTableTimeout = milliseconds(1000);
constexpr Duration kInventoryInterval = milliseconds(700);
}  // namespace

void Session::ReportMessageStep(const Host& host,
                                const policy::SendPeerMessage& command) {
  using Body = messages::PeerMessage::BodyCase;
  switch (command.message.body_case()) {
    case Body::kStageRequest:
      return ReportStep(StepKind::kHandOver, host, {}, command.host);
    case Body::kStageResult:
      return ReportStep(StepKind::kHandOverAnswered, host, {}, command.host);
    case Body::kConfigurationPush:
      return ReportStep(StepKind::kConfigurationPushed, host, {}, command.host);
    case Body::kCreditRequest:
      return ReportStep(StepKind::kLoanAsked, host,
                        ServerId(command.message.credit_request().server()),
                        command.host);
    case Body::kCreditGrant:
      return ReportStep(StepKind::kLoanGranted, host,
                        ServerId(command.message.credit_grant().server()),
                        command.host);
    case Body::kCreditReturn:
      return ReportStep(StepKind::kLoanReturned, host,
                        ServerId(command.message.credit_return().server()),
                        command.host);
    default:
      return;
  }
}

void Session::Execute(Host& host, const policy::SendPeerMessage& command) {
  ReportMessageStep(host, command);
  if (host.core == nullptr) return;
  if (host.is_frozen) {
    host.pending_commands.emplace_back(command);
    return;
  }
  SendOverNetwork(host.id, command.host, command.message);
}

Duration Session::MessageDelay() {
  switch (message_fault_) {
    case MessageFault::kLate:
      ++counts_["late"];
      return milliseconds(200 + static_cast<int>(random_.Below(600)));
    case MessageFault::kReorder:
      ++counts_["reordered"];
      return milliseconds(1 + static_cast<int>(random_.Below(60)));
    default:
      return kNetworkDelay;
  }
}

void Session::SendOverNetwork(const HostId& from, const HostId& to,
                              const messages::PeerMessage& message) {
  if (!hosts_.contains(to)) return;
  if (zones_are_cut_ && HostOf(from).zone != HostOf(to).zone) {
    ++counts_["cut_message"];
    return;
  }
  const int copies = message_fault_ == MessageFault::kDuplicate ? 2 : 1;
  if (copies == 2) ++counts_["duplicated"];
  for (int i = 0; i < copies; ++i) {
    After(MessageDelay(), [this, to, message] {
      Deliver(HostOf(to), policy::PeerMessageArrived{message});
    });
  }
}

void Session::RunTableOperation(Host& host, OperationId operation,
                                std::function<TableReply()> execute) {
  const HostId id = host.id;
  const std::uint64_t incarnation = host.incarnation;
  const auto answer = [this, id, incarnation, operation](
                          TableOutcome outcome,
                          std::vector<policy::TableRow> rows) {
    Host& requester = HostOf(id);
    if (requester.incarnation != incarnation) return;
    Deliver(requester,
            policy::TableAnswered{operation, outcome, std::move(rows)});
  };
  if (!host.is_platform_reachable) {
    ++counts_["cut_table"];
    After(kTableTimeout, [answer] { answer(TableOutcome::kUnknown, {}); });
    return;
  }
  After(kNetworkDelay, [this, answer, execute = std::move(execute)] {
    const TableReply reply = execute();
    switch (reply.kind) {
      case TableReplyKind::kSuccess:
        After(kNetworkDelay + reply.delay,
              [answer, rows = reply.rows] { answer(TableOutcome::kOk, rows); });
        return;
      case TableReplyKind::kConflict:
        After(kNetworkDelay + reply.delay, [answer, rows = reply.rows] {
          answer(TableOutcome::kConflict, rows);
        });
        return;
      case TableReplyKind::kUnavailable:
        ++counts_["table_unavailable"];
        After(kNetworkDelay,
              [answer] { answer(TableOutcome::kUnavailable, {}); });
        return;
      case TableReplyKind::kNoResponse:
        ++counts_["lost_answer"];
        After(kTableTimeout, [answer] { answer(TableOutcome::kUnknown, {}); });
        return;
    }
  });
}

void Session::Execute(Host& host, const policy::ReadTable& command) {
  RunTableOperation(host, command.operation,
                    [this, command] { return table_.Read(command.keys); });
}

void Session::Execute(Host& host, const policy::ScanTable& command) {
  RunTableOperation(host, command.operation, [this, command] {
    return table_.Scan(command.prefix, command.from, command.limit);
  });
}

void Session::Execute(Host& host, const policy::WriteTable& command) {
  const bool is_intent = command.writes.front().key.find("intent") == 0;
  const bool is_change = std::any_of(
      command.writes.begin(), command.writes.end(), [](const auto& write) {
        return write.key == policy::kConfigurationRowKey;
      });
  if (is_intent) ReportStep(StepKind::kWriteIntent, host);
  if (is_change) ReportStep(StepKind::kChangeWritten, host);
  if (host.core == nullptr) return;
  if (host.is_frozen) {
    host.pending_commands.emplace_back(command);
    return;
  }
  const HostId id = host.id;
  RunTableOperation(host, command.operation, [this, command, is_intent, id] {
    TableReply reply = table_.Write(command.writes);
    if (is_intent) ReportStep(StepKind::kIntentAnswered, HostOf(id));
    return reply;
  });
}

policy::Inventory Session::MakeInventory() const {
  policy::Inventory inventory;
  inventory.sequence = inventory_sequence_;
  for (const auto& [id, host] : hosts_) {
    if (id == hidden_host_) continue;
    inventory.hosts.push_back(
        {id, host->zone, "127.0.0.1:1",
         host->is_stopped ? MemberState::kLeaving : MemberState::kActive});
  }
  for (const ServerFacts& facts : facts_) {
    const Server& server = *servers_.at(facts.id);
    inventory.servers.push_back({facts.id, server.service, server.zone,
                                 "127.0.0.1:2", server.state, facts.cold_limit,
                                 facts.warm_limit});
  }
  return inventory;
}

void Session::SendInventory() {
  ++inventory_sequence_;
  const policy::Inventory inventory = MakeInventory();
  if (!hidden_host_.empty()) ++counts_["stale_list"];
  for (auto& [id, host] : hosts_) {
    if (host->is_platform_reachable)
      Deliver(*host, policy::InventoryArrived{inventory});
  }
  After(kInventoryInterval, [this] { SendInventory(); });
}

}  // namespace lovagecleat::fault_matrix
