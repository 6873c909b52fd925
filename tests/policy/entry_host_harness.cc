#include "tests/policy/entry_host_harness.h"

#include <utility>

namespace lovagecleat::policy {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kConfiguration = R"({
 "revision": 1, "utc_offset_minutes": 0,
 "classes": [
  {"id": "lookup", "pipeline": "lookup", "targets": [{"from_hour": 0, "target_ms": 2000}]},
  {"id": "dispatch", "pipeline": "dispatch", "targets": [{"from_hour": 0, "target_ms": 2000}]}],
 "pipelines": [
  {"id": "lookup", "stages": [{"name": "encode", "service": "encoder"}, {"name": "generate", "service": "llm", "max_tokens": 8}]},
  {"id": "dispatch", "stages": [{"name": "order", "service": "work-order"}]}],
 "services": [
  {"id": "encoder", "kind": "encoder", "idempotent": true},
  {"id": "llm", "kind": "engine", "idempotent": true},
  {"id": "work-order", "kind": "plain", "idempotent": false}],
 "zones": [{"id": "z1", "state": "%STATE%"}, {"id": "z2", "state": "in"}],
 "servers_out": []})";

std::string ConfigurationText(const std::string& state) {
  std::string text = kConfiguration;
  const std::string placeholder = "%STATE%";
  return text.replace(text.find(placeholder), placeholder.size(), state);
}

Inventory MakeInventory(const EntryHostHarness::Options& options) {
  Inventory inventory;
  inventory.sequence = 1;
  inventory.hosts = {
      {HostId("z1-a"), ZoneId("z1"), "127.0.0.1:1", MemberState::kActive},
      {HostId("z2-a"), ZoneId("z2"), "127.0.0.1:2", MemberState::kActive}};
  for (const char* service : {"encoder", "llm", "work-order"}) {
    for (std::uint32_t i = 1; i <= options.servers; ++i) {
      inventory.servers.push_back(
          {ServerId(service + std::string("-") + std::to_string(i)),
           ServiceId(service), ZoneId("z1"), "127.0.0.1:3",
           MemberState::kActive, options.limit, options.limit});
    }
  }
  return inventory;
}

}  // namespace

EntryHostHarness::EntryHostHarness(const Options& options) {
  clock_.Advance(seconds(100));
  rows_["configuration/current"] = {"configuration/current", 1,
                                    ConfigurationText(options.own_zone_state)};
  CoreSettings settings;
  settings.host = HostId("z1-a");
  settings.zone = ZoneId("z1");
  settings.placement = options.placement;
  core_.emplace(settings, clock_.Now(), clock_.WallNow());
  Send(InventoryArrived{MakeInventory(options)});
  for (int i = 0; i < 40; ++i) Advance(milliseconds(50));
  commands_.clear();
}

void EntryHostHarness::Send(const Event& event) {
  pending_events_.push_back(event);
  while (!pending_events_.empty()) {
    const std::vector<Event> batch = std::exchange(pending_events_, {});
    for (const Event& item : batch) Run(item);
  }
}

void EntryHostHarness::Run(const Event& event) {
  for (Command& command :
       core_->Handle(event, clock_.Now(), clock_.WallNow())) {
    if (const auto* read = std::get_if<ReadTable>(&command)) {
      Answer(*read);
    } else if (const auto* write = std::get_if<WriteTable>(&command)) {
      Answer(*write);
    } else {
      commands_.push_back(std::move(command));
    }
  }
}

void EntryHostHarness::Answer(const ReadTable& read) {
  TableAnswered answer{read.operation, table_outcome_, {}};
  for (const std::string& key : read.keys) {
    const auto found = rows_.find(key);
    answer.rows.push_back(found == rows_.end() ? TableRow{key, 0, ""}
                                               : found->second);
  }
  Reply(std::move(answer));
}

void EntryHostHarness::Reply(TableAnswered answer) {
  if (responses_to_drop_ > 0) {
    --responses_to_drop_;
    return;
  }
  pending_events_.emplace_back(std::move(answer));
}

void EntryHostHarness::Answer(const WriteTable& write) {
  TableAnswered answer{write.operation, table_outcome_, {}};
  if (table_outcome_ == TableOutcome::kOk) {
    for (const TableWrite& item : write.writes) {
      if (rows_[item.key].version == item.expected_version) continue;
      answer.outcome = TableOutcome::kConflict;
    }
  }
  for (const TableWrite& item : write.writes) {
    TableRow& row = rows_[item.key];
    if (answer.outcome == TableOutcome::kOk) {
      row = {item.key, row.version + 1, item.value};
    }
    answer.rows.push_back(row);
  }
  Reply(std::move(answer));
}

void EntryHostHarness::Advance(Duration step) {
  clock_.Advance(step);
  Send(WakeUp{});
}

CallId EntryHostHarness::SubmitRequest(const char* request_class,
                                       const char* key,
                                       std::optional<Duration> deadline,
                                       Delivery delivery) {
  CallerRequestArrived arrival;
  arrival.call = CallId(++last_call_);
  arrival.request_class = ClassId(request_class);
  arrival.team = TeamId("team");
  arrival.idempotency_key = key;
  arrival.input = R"({"text":"x"})";
  arrival.deadline = deadline;
  arrival.delivery = delivery;
  Send(arrival);
  return arrival.call;
}

void EntryHostHarness::Finish(const StartBackendCall& call,
                              AttemptOutcome outcome, std::string output) {
  BackendFinished finished;
  finished.attempt = call.attempt;
  finished.outcome = outcome;
  finished.output = std::move(output);
  finished.report = ServerReport{1, Warmth::kWarm, 0, Duration::zero()};
  Send(finished);
}

void EntryHostHarness::Deliver(const messages::PeerMessage& message) {
  Send(PeerMessageArrived{message});
}

}  // namespace lovagecleat::policy
