#include "services/entry/entry_process.h"

#include <algorithm>
#include <utility>

#include "memory/memory.h"

namespace lovagecleat::entry {

namespace {

// Interval at which a stopping process checks for unfinished HTTP calls.
constexpr Duration kStopPollInterval = std::chrono::milliseconds(20);

// Descriptors of a machine that are not for sockets.
constexpr std::size_t kFileDescriptors = 200;
// Part of the sockets for connections of callers. The rest is for servers,
// other hosts and the platform.
constexpr std::size_t kCallerSocketsNumerator = 3;
constexpr std::size_t kCallerSocketsDenominator = 4;

policy::PlacementKind PlacementFromName(std::string_view name) {
  if (name == "round_robin") return policy::PlacementKind::kRoundRobin;
  if (name == "least_outstanding") {
    return policy::PlacementKind::kLeastOutstanding;
  }
  return policy::PlacementKind::kExpectedFinish;
}

// Returns the wall time as the incarnation, since a host stores nothing across
// restarts. It increases with each start, as restarts are further apart than
// steps of the clock.
std::uint64_t NewIncarnation(const Clock& clock) {
  return static_cast<std::uint64_t>(clock.WallNow().time_since_epoch().count());
}

policy::CoreSettings MakeCoreSettings(
    const configuration::EntrySettings& settings, const Clock& clock) {
  policy::CoreSettings core;
  core.host = settings.host;
  core.zone = settings.zone;
  core.incarnation = NewIncarnation(clock);
  core.seed = settings.seed != 0
                  ? settings.seed
                  : StableHash(settings.host.value(), core.incarnation);
  core.placement = PlacementFromName(settings.placement);
  core.maximum_requests = settings.maximum_calls;
  return core;
}

transport::HttpServerLimits MakeLimits(
    const configuration::EntrySettings& settings) {
  transport::HttpServerLimits limits;
  limits.maximum_body_bytes = settings.maximum_body_bytes;
  limits.maximum_open_calls = settings.maximum_calls;
  if (!settings.memory) return limits;
  memory::ReturnFreedBlocks();
  limits.memory =
      memory::LimitsFor(settings.memory->bytes, settings.memory->address_share);
  const std::size_t sockets =
      std::max<std::size_t>(settings.memory->descriptors, kFileDescriptors) -
      kFileDescriptors;
  limits.maximum_connections = memory::ConnectionsFor(
      limits.memory,
      sockets / kCallerSocketsDenominator * kCallerSocketsNumerator);
  return limits;
}

std::string AddressOf(const configuration::Endpoint& endpoint) {
  return endpoint.address + ":" + std::to_string(endpoint.port);
}

}  // namespace

EntryProcess::EntryProcess(transport::Loop& loop,
                           const configuration::EntrySettings& settings)
    : loop_(loop),
      settings_(settings),
      log_("entry"),
      decision_log_("decision"),
      server_(loop, MakeLimits(settings)),
      client_(loop),
      peers_(loop, settings.host),
      core_(MakeCoreSettings(settings, loop.clock()), loop.clock().Now(),
            loop.clock().WallNow()),
      table_(
          client_, AddressOf(settings.platform),
          [this](const policy::TableAnswered& answer) { HandleEvent(answer); }),
      inventory_(loop, client_, AddressOf(settings.platform), settings.seed),
      backends_(client_, loop.clock(),
                [this](const policy::Event& event) { HandleEvent(event); }),
      callers_(server_, metrics_, loop.clock(),
               [this](const policy::Event& event) { HandleEvent(event); }),
      operators_(server_,
                 [this](const policy::Event& event) { HandleEvent(event); }) {
  peers_.OnMessage([this](const messages::PeerMessage& message) {
    HandleEvent(policy::PeerMessageArrived{message});
  });
  inventory_.OnInventory([this](const policy::Inventory& inventory) {
    HandleEvent(policy::InventoryArrived{inventory});
  });
  RouteHealthAndMetrics();
}

void EntryProcess::RouteHealthAndMetrics() {
  using Call = std::shared_ptr<transport::HttpServerCall>;
  server_.Route("GET", "/livez", [](const Call& call) {
    call->Respond(200, "text/plain", "live\n", {});
  });
  server_.Route("GET", "/readyz", [this](const Call& call) {
    const bool is_ready = readiness_ == policy::Readiness::kReady;
    call->Respond(is_ready ? 200 : 503, "text/plain",
                  is_ready ? "ready\n" : readiness_reason_ + "\n", {});
  });
  server_.Route("GET", "/metrics", [this](const Call& call) {
    metrics_.SetGauge("lovagecleat_open_calls", {},
                      static_cast<double>(callers_.open_calls()));
    metrics_.SetGauge("lovagecleat_open_backend_calls", {},
                      static_cast<double>(backends_.open_calls()));
    metrics_.SetGauge("lovagecleat_configuration_revision", {},
                      static_cast<double>(core_.configuration_revision()));
    call->Respond(200, "text/plain; version=0.0.4", metrics_.PrometheusText(),
                  {});
  });
}

bool EntryProcess::Start() {
  if (!peers_.Bind(settings_.peers.address, settings_.peers.port)) {
    last_error_ = StartError::kPeersAddress;
    return false;
  }
  const auto port =
      server_.Listen(settings_.callers.address, settings_.callers.port);
  if (!port.has_value()) {
    last_error_ = StartError::kCallersAddress;
    return false;
  }
  log_.Info("Listening on " + settings_.callers.address + ":" +
            std::to_string(*port) + ".");
  inventory_.Start();
  HandleEvent(policy::WakeUp{});
  return true;
}

void EntryProcess::Stop() {
  log_.Info("Stopping after the requests in flight.");
  HandleEvent(policy::StopRequested{});
}

// A command may raise an event synchronously, such as a call that fails while
// it is started. Such events are queued, so that Core handles one at a time.
void EntryProcess::HandleEvent(const policy::Event& event) {
  pending_events_.push_back(event);
  if (is_handling_events_) return;
  is_handling_events_ = true;
  while (!pending_events_.empty()) {
    const std::vector<policy::Event> batch = std::exchange(pending_events_, {});
    for (const policy::Event& queued : batch) RunEvent(queued);
  }
  is_handling_events_ = false;
  ScheduleWakeUp();
}

void EntryProcess::RunEvent(const policy::Event& event) {
  const Clock& clock = loop_.clock();
  const std::vector<policy::Command> commands =
      core_.Handle(event, clock.Now(), clock.WallNow());
  for (const policy::Command& command : commands) {
    std::visit([this](const auto& concrete) { Execute(concrete); }, command);
  }
}

void EntryProcess::ScheduleWakeUp() {
  if (wake_up_timer_.has_value()) loop_.Cancel(*wake_up_timer_);
  wake_up_timer_ = loop_.At(core_.NextWakeUp(), [this] {
    wake_up_timer_.reset();
    HandleEvent(policy::WakeUp{});
  });
}

void EntryProcess::Execute(const policy::StartBackendCall& command) {
  metrics_.Count("lovagecleat_backend_calls_total", {{"stage", command.stage}});
  backends_.Start(command);
}

void EntryProcess::Execute(const policy::CancelBackendCall& command) {
  backends_.Cancel(command.attempt);
}

void EntryProcess::Execute(const policy::PollLoad& command) {
  backends_.PollLoad(command);
}

void EntryProcess::Execute(const policy::SendPeerMessage& command) {
  const bool was_sent = peers_.Send(command.host, command.message);
  metrics_.Count("lovagecleat_peer_messages_total",
                 {{"sent", was_sent ? "yes" : "no"}});
  metrics_.Count("lovagecleat_peer_bytes_total", {},
                 command.message.ByteSizeLong());
}

void EntryProcess::Execute(const policy::ConnectPeers& command) {
  std::vector<transport::PeerAddress> addresses;
  for (const policy::HostInfo& host : command.hosts) {
    addresses.push_back({host.id, host.peer_address});
  }
  peers_.SetPeers(addresses);
}

void EntryProcess::Execute(const policy::ReadTable& command) {
  table_.Read(command);
}

void EntryProcess::Execute(const policy::ScanTable& command) {
  table_.Scan(command);
}

void EntryProcess::Execute(const policy::WriteTable& command) {
  table_.Write(command);
}

void EntryProcess::Execute(const policy::DeliverToken& command) {
  callers_.Deliver(command);
}

void EntryProcess::Execute(const policy::DeliverAnswer& command) {
  for (const policy::StageTrace& stage : command.trace) {
    metrics_.Observe("lovagecleat_stage_ms", {{"stage", stage.stage}},
                     stage.served);
  }
  callers_.Deliver(command);
}

void EntryProcess::Execute(const policy::DeliverRefusal& command) {
  callers_.Deliver(command);
}

void EntryProcess::Execute(const policy::RespondToOperator& command) {
  operators_.Respond(command);
}

void EntryProcess::Execute(const policy::SetReadiness& command) {
  readiness_ = command.readiness;
  readiness_reason_ = command.reason;
  const bool is_ready = command.readiness == policy::Readiness::kReady;
  log_.Info(is_ready ? "Ready." : "Not ready: " + command.reason + ".");
}

void EntryProcess::Execute(const policy::RecordDecision& command) {
  decision_log_.Write(logging::Level::kDebug,
                      command.part + ": " + command.text,
                      command.request.value());
}

void EntryProcess::Execute(const policy::FinishStop& /*command*/) {
  QuitWhenCallsFinished();
}

// Quits once the HTTP server has sent the last responses.
void EntryProcess::QuitWhenCallsFinished() {
  server_.StopListening();
  if (server_.open_calls() == 0) {
    log_.Info("Stopped.");
    loop_.Quit();
    return;
  }
  loop_.After(kStopPollInterval, [this] { QuitWhenCallsFinished(); });
}

}  // namespace lovagecleat::entry
