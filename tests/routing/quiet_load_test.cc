#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <vector>

#include "routing/routing.h"

// Load pattern: servers that lose half of their slots for some seconds and ask
// the hosts for quiet meanwhile. Simulated under virtual time.
namespace lovagecleat::routing {
namespace {

using std::chrono::milliseconds;

const ServiceId kService("v");

constexpr std::size_t kServers = 12;
constexpr std::size_t kHosts = 4;
constexpr int kSlots = 8;
constexpr Duration kServiceTime = milliseconds(100);
// A request that a full server turns away uses a slot for this long.
constexpr Duration kTurnAwayTime = milliseconds(20);
constexpr Duration kQuietTime = milliseconds(2000);
// From this time after a server has asked for quiet until the end of the time,
// a host may send this many requests.
constexpr Duration kNoticeTime = milliseconds(500);
constexpr int kAllowedRequests = 2;
constexpr Duration kMeanArrivalGap = Duration(1500);  // at all hosts together
constexpr Duration kEnd = std::chrono::seconds(30);
constexpr int kMaximumSends = 3;

struct Totals {
  int arrived = 0;
  int served = 0;
  int sends = 0;
  int violations = 0;
  // Most servers that one host began to use again within 20 ms.
  int returns_at_once = 0;
};

enum class Policy {
  kIgnore,         // send to quiet servers as to others
  kWithoutSpread,  // keep the time that they ask for exactly
  kKeep,
};

class Simulation {
 public:
  Simulation(Policy policy, std::uint64_t seed)
      : policy_(policy), random_(seed), hosts_(kHosts) {
    for (std::size_t i = 0; i < kServers; ++i) {
      ServerEntry entry;
      entry.id = ServerId(std::to_string(i));
      entry.service = kService;
      for (Host& host : hosts_) host.directory.Put(entry, now_);
    }
  }

  Totals Run() {
    At(now_, [this] { Arrive(); });
    while (!events_.empty() && events_.begin()->first < TimePoint(kEnd)) {
      const auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    return totals_;
  }

 private:
  struct Window {
    TimePoint start;
    TimePoint end;
    int requests = 0;
  };
  struct Host {
    ServerDirectory directory;
    std::map<ServerId, Window> windows;
    std::map<ServerId, TimePoint> returns;  // first sends after quiet times
  };

  void At(TimePoint at, std::function<void()> action) {
    events_.emplace(at, std::move(action));
  }

  // All servers are in trouble from second 10 to 14, a third of them also from
  // second 20 to 24.
  bool IsInTrouble(std::size_t server) const {
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
                             now_.time_since_epoch())
                             .count();
    return (seconds >= 10 && seconds < 14) ||
           (seconds >= 20 && seconds < 24 && server % 3 == 0);
  }

  void Arrive() {
    ++totals_.arrived;
    Send(hosts_[random_.Below(kHosts)], {});
    At(now_ + random_.Exponential(kMeanArrivalGap), [this] { Arrive(); });
  }

  void Send(Host& host, std::vector<ServerId> tried) {
    if (tried.size() >= kMaximumSends) return;
    std::vector<ServerRecord*> usable = host.directory.Usable(kService, now_);
    std::erase_if(usable, [&tried](const ServerRecord* server) {
      return std::find(tried.begin(), tried.end(), server->entry.id) !=
             tried.end();
    });
    if (usable.empty()) return;
    const std::size_t start = random_.Below(usable.size());
    std::rotate(usable.begin(),
                usable.begin() + static_cast<std::ptrdiff_t>(start),
                usable.end());
    ServerRecord& server =
        **std::min_element(usable.begin(), usable.end(),
                           [](const ServerRecord* a, const ServerRecord* b) {
                             return a->in_flight < b->in_flight;
                           });
    tried.push_back(server.entry.id);
    Receive(host, server, std::move(tried));
  }

  void Receive(Host& host, ServerRecord& server, std::vector<ServerId> tried) {
    const ServerId& id = server.entry.id;
    const std::size_t number = std::stoul(id.value());
    ++totals_.sends;
    CountForWindow(host, id);
    int& used = used_slots_[number];
    if (used < (IsInTrouble(number) ? kSlots / 2 : kSlots)) {
      ++used;
      ++server.in_flight;
      At(now_ + kServiceTime, [this, &server, &used] {
        --used;
        --server.in_flight;
        ++totals_.served;
      });
      return;
    }
    ++used;
    At(now_ + kTurnAwayTime, [&used] { --used; });
    if (IsInTrouble(number)) {
      host.windows[id] = {now_ + kNoticeTime, now_ + kQuietTime};
      QuietPeriod period = MakeQuietPeriod(kQuietTime, now_, random_);
      if (policy_ == Policy::kWithoutSpread) period.spread = Duration::zero();
      if (policy_ != Policy::kIgnore)
        host.directory.SetQuiet(server.entry.incarnation(), period, now_);
    }
    Send(host, std::move(tried));
  }

  void CountForWindow(Host& host, const ServerId& id) {
    const auto found = host.windows.find(id);
    if (found == host.windows.end()) return;
    Window& window = found->second;
    if (now_ < window.start) return;
    if (now_ < window.end) {
      if (++window.requests > kAllowedRequests) ++totals_.violations;
      return;
    }
    host.windows.erase(found);
    host.returns[id] = now_;
    const auto recent = std::count_if(
        host.returns.begin(), host.returns.end(), [this](const auto& item) {
          return now_ - item.second <= milliseconds(20);
        });
    totals_.returns_at_once =
        std::max(totals_.returns_at_once, static_cast<int>(recent));
  }

  Policy policy_;
  Random random_;
  TimePoint now_{};
  std::vector<Host> hosts_;
  std::vector<int> used_slots_ = std::vector<int>(kServers);
  std::multimap<TimePoint, std::function<void()>> events_;
  Totals totals_;
};

// Guards against requests to quiet servers under load, and against a host that
// returns to all of them at once or serves much less without them.
TEST_CASE("Quiet servers get no requests under load and return one by one") {
  const std::uint64_t seed = GENERATE(1U, 2U, 3U, 4U, 5U);
  const Totals ignoring = Simulation(Policy::kIgnore, seed).Run();
  const Totals without_spread = Simulation(Policy::kWithoutSpread, seed).Run();
  const Totals keeping = Simulation(Policy::kKeep, seed).Run();
  INFO("seed " << seed << ", served " << ignoring.served << " of "
               << ignoring.arrived << " and " << keeping.served << " of "
               << keeping.arrived);
  REQUIRE(ignoring.violations > 1000);
  REQUIRE(keeping.violations == 0);
  REQUIRE(keeping.sends < ignoring.sends);
  REQUIRE(without_spread.returns_at_once > static_cast<int>(kServers) / 2);
  REQUIRE(keeping.returns_at_once < static_cast<int>(kServers) / 2);
  REQUIRE(keeping.served * 10 > ignoring.served * 9);
}

}  // namespace
}  // namespace lovagecleat::routing
