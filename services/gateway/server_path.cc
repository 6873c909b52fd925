#include "services/gateway/server_path.h"

#include <algorithm>
#include <utility>

#include "services/gateway/silence.h"

namespace lovagecleat::gateway {

namespace {

using std::chrono::milliseconds;

constexpr Duration kTickPeriod = milliseconds(100);
// A server of the region accepts a connection within a few milliseconds.
constexpr Duration kProbeTimeout = milliseconds(300);
// Servers that could not be connected to before the path is in doubt.
constexpr std::size_t kDoubtfulServers = 2;
// All of this many servers, or of those known, must fail before the path counts
// as lost.
constexpr std::size_t kServersPerRound = 16;
// Least time between two rounds, since servers count new connections.
constexpr Duration kRoundInterval = milliseconds(500);
constexpr Duration kSilentRoundInterval = milliseconds(2000);
// Time in which requests return to the path once it is back.
constexpr Duration kReturnTime = milliseconds(1000);

}  // namespace

// One connection that is only opened.
class ServerPath::Probe final : public http::StreamObserver {
 public:
  Probe(ServerPath& path, const std::string& address)
      : path_(path),
        stream_(
            http::TcpStream::Connect(path.context_.poller, address, *this)) {
    timer_ = path_.context_.loop.After(
        kProbeTimeout, [this] { path_.OnProbeEnd(this, false); });
  }
  ~Probe() override { path_.context_.loop.Cancel(timer_); }

  void OnConnected() override { path_.OnProbeEnd(this, true); }
  void OnBytes(std::string_view /*bytes*/) override {}
  void OnStreamEnd(http::StreamEnd /*end*/) override {
    path_.OnProbeEnd(this, false);
  }

 private:
  ServerPath& path_;
  std::unique_ptr<http::TcpStream> stream_;
  TimerId timer_;
};

ServerPath::ServerPath(Context& context, ChangeCallback on_change)
    : context_(context), on_change_(std::move(on_change)) {
  context_.pool.SetObserver(this);
}

ServerPath::~ServerPath() {
  context_.pool.SetObserver(nullptr);
  context_.loop.Cancel(tick_timer_);
}

void ServerPath::Start() { Tick(); }

bool ServerPath::is_doubtful() const {
  return not_connected_.size() >= kDoubtfulServers;
}

bool ServerPath::ShouldAvoid() {
  if (is_lost_) return true;
  if (!returned_at_) return false;
  const Duration since = context_.Now() - *returned_at_;
  return static_cast<double>(since.count()) <
         context_.random.Unit() * static_cast<double>(kReturnTime.count());
}

void ServerPath::OnServerConnected() {
  heard_at_ = context_.Now();
  not_connected_.clear();
}

void ServerPath::OnServerNotConnected(const std::string& server) {
  not_connected_.insert(server);
  if (is_doubtful() && context_.Now() - round_started_at_ >= kRoundInterval)
    StartRound();
}

void ServerPath::OnServerBytes() { heard_at_ = context_.Now(); }

bool ServerPath::AreServersSilent() {
  if (context_.pool.active_calls() == 0) {
    waiting_since_.reset();
    return false;
  }
  const TimePoint now = context_.Now();
  if (!waiting_since_) waiting_since_ = now;
  return now - std::max(heard_at_, *waiting_since_) >= kSilenceTimeout;
}

void ServerPath::Tick() {
  const Duration since_round = context_.Now() - round_started_at_;
  const bool is_due =
      is_lost_ ? since_round >= kRoundInterval
               : AreServersSilent() && since_round >= kSilentRoundInterval;
  if (is_due) StartRound();
  tick_timer_ = context_.loop.After(kTickPeriod, [this] { Tick(); });
}

std::vector<std::string> ServerPath::ChooseServers() const {
  std::vector<std::vector<std::string>> services;
  if (context_.table)
    for (const auto& [id, service] : context_.table->services) {
      std::vector<std::string> addresses;
      for (const routing::ServerRecord* server :
           context_.directory.InService(id))
        addresses.push_back(server->entry.address);
      if (!addresses.empty()) services.push_back(std::move(addresses));
    }
  std::vector<std::string> chosen;
  while (chosen.size() < kServersPerRound && !services.empty()) {
    const auto start = context_.random.Below(services.size());
    std::rotate(services.begin(),
                services.begin() + static_cast<std::ptrdiff_t>(start),
                services.end());
    for (std::vector<std::string>& addresses : services) {
      if (chosen.size() >= kServersPerRound) break;
      const auto index = context_.random.Below(addresses.size());
      std::swap(addresses[index], addresses.back());
      chosen.push_back(std::move(addresses.back()));
      addresses.pop_back();
    }
    std::erase_if(services, [](const auto& left) { return left.empty(); });
  }
  return chosen;
}

void ServerPath::StartRound() {
  if (!probes_.empty()) return;
  unprobed_ = ChooseServers();
  if (unprobed_.empty()) return;
  round_started_at_ = context_.Now();
  const std::string first = std::move(unprobed_.back());
  unprobed_.pop_back();
  StartProbe(first);
}

void ServerPath::StartProbe(const std::string& address) {
  auto probe = std::make_unique<Probe>(*this, address);
  probes_.emplace(probe.get(), std::move(probe));
}

void ServerPath::OnProbeEnd(Probe* probe, bool is_connected) {
  const auto found = probes_.find(probe);
  if (found == probes_.end()) return;
  context_.loop.DestroyLater(std::move(found->second));
  probes_.erase(found);
  if (is_connected) return EndRound(true);
  for (const std::string& address : std::exchange(unprobed_, {}))
    StartProbe(address);
  if (probes_.empty()) EndRound(false);
}

void ServerPath::EndRound(bool is_connected) {
  unprobed_.clear();
  for (auto& [probe, owner] : probes_)
    context_.loop.DestroyLater(std::move(owner));
  probes_.clear();
  if (is_connected) OnServerConnected();
  SetLost(!is_connected);
}

void ServerPath::SetLost(bool is_lost) {
  if (is_lost == is_lost_) return;
  is_lost_ = is_lost;
  if (is_lost) {
    returned_at_.reset();
  } else {
    returned_at_ = context_.Now();
    // What failed meanwhile says nothing of the servers.
    context_.directory.ForgetFailures();
  }
  context_.metrics.SetGauge("lovagecleat_server_path_lost", {},
                            is_lost ? 1.0 : 0.0);
  context_.log.Write(is_lost ? "path_lost" : "path_regained", "", {});
  on_change_();
}

}  // namespace lovagecleat::gateway
