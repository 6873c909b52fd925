#include "routing/zone_spill.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <numbers>
#include <optional>
#include <queue>
#include <vector>

// Load pattern: demand that is uneven between zones. Hosts send requests to the
// servers of their zone or of another one. Simulated under virtual time.
namespace lovagecleat::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ZoneId IdOf(std::size_t zone) { return ZoneId("z" + std::to_string(zone)); }

ZoneDemand At(double load, TimePoint at, double slots = 40) {
  return {slots, load * slots, milliseconds(100), at};
}

const ZoneCrossing kCrossing{milliseconds(20), milliseconds(10)};

TEST_CASE("The marginal time grows with the load, also beyond full servers") {
  const auto at = [](double load) {
    return MarginalTime(40, load, milliseconds(100));
  };
  REQUIRE(at(0) == milliseconds(100));
  REQUIRE(at(-1) == milliseconds(100));
  Duration last = at(0);
  for (int i = 1; i <= 30; ++i) {
    const Duration time = at(0.1 * i);
    REQUIRE(time >= last);
    last = time;
  }
  REQUIRE(at(0.5) < milliseconds(110));
  REQUIRE(at(0.9) > milliseconds(150));
  REQUIRE(at(1.2) > at(1.0));
}

TEST_CASE("Zones of equal load and size keep their requests") {
  for (const double load : {0.0, 0.1, 0.5, 0.8, 0.95, 2.0}) {
    ZoneSpill spill(IdOf(0), kCrossing);
    TimePoint now{seconds(10)};
    for (int i = 0; i < 50; ++i) {
      now += ZoneSpill::kPeriod;
      for (std::size_t zone = 0; zone < 3; ++zone)
        spill.SetDemand(IdOf(zone), At(load, now));
      spill.Step(now);
      CAPTURE(load, i);
      REQUIRE(spill.ShareOf(IdOf(0)) == 1.0);
    }
  }
}

TEST_CASE("A share rises and falls by bounded steps") {
  ZoneSpill spill(IdOf(0), kCrossing);
  TimePoint now{seconds(10)};
  double share = 0;
  const auto step = [&](double own, double other) {
    now += ZoneSpill::kPeriod;
    spill.SetDemand(IdOf(0), At(own, now));
    spill.SetDemand(IdOf(1), At(other, now));
    spill.Step(now);
    const double before = share;
    share = spill.ShareOf(IdOf(1));
    REQUIRE(std::abs(share - before) <= ZoneSpill::kMaximumStep + 1e-9);
  };
  for (int i = 0; i < 60; ++i) step(1.3, 0.3);
  // What is above a load of 0.85 or so goes to the other zone.
  REQUIRE(share > 0.25);
  REQUIRE(share < 0.5);
  for (int i = 0; i < 60; ++i) step(0.5, 0.5);
  REQUIRE(share == 0);
  // An overload of all is nobody's gain.
  for (int i = 0; i < 60; ++i) step(1.3, 1.3);
  REQUIRE(share == 0);
}

// Guards against shares that follow noise, so that caches of the other zone
// fill and go cold in turns.
TEST_CASE("A share doesn't follow a demand that swings by a little") {
  ZoneSpill spill(IdOf(0), kCrossing);
  Random random(1);
  TimePoint now{seconds(10)};
  double low = 1;
  double high = 0;
  for (int i = 0; i < 400; ++i) {
    now += ZoneSpill::kPeriod;
    const double noise = 0.04 * (2 * random.Unit() - 1);
    spill.SetDemand(IdOf(0), At(1.0 + noise, now));
    spill.SetDemand(IdOf(1), At(0.5 - noise, now));
    spill.Step(now);
    if (i < 100) continue;
    low = std::min(low, spill.ShareOf(IdOf(1)));
    high = std::max(high, spill.ShareOf(IdOf(1)));
  }
  REQUIRE(low > 0.05);
  REQUIRE(high - low < 0.03);
}

TEST_CASE("A crossing that costs more is used less") {
  const auto share_for = [](Duration time) {
    ZoneSpill spill(IdOf(0), {time, milliseconds(0)});
    TimePoint now{seconds(10)};
    for (int i = 0; i < 60; ++i) {
      now += ZoneSpill::kPeriod;
      spill.SetDemand(IdOf(0), At(0.97, now));
      spill.SetDemand(IdOf(1), At(0.3, now));
      spill.Step(now);
    }
    return spill.ShareOf(IdOf(1));
  };
  REQUIRE(share_for(milliseconds(5)) > share_for(milliseconds(50)));
  REQUIRE(share_for(milliseconds(50)) > 0);
  REQUIRE(share_for(seconds(5)) == 0);
}

TEST_CASE("Demands that are old or make no sense are unknown") {
  ZoneSpill spill(IdOf(0), kCrossing);
  TimePoint now{seconds(10)};
  const auto elsewhere_after = [&](int steps) {
    for (int i = 0; i < steps; ++i) {
      now += ZoneSpill::kPeriod;
      spill.SetDemand(IdOf(0), At(1.2, now));
      spill.Step(now);
    }
    return 1.0 - spill.ShareOf(IdOf(0));
  };
  const double infinity = std::numeric_limits<double>::infinity();
  const double nan = std::nan("");
  for (const double bad : {-3.0, infinity, nan, 1e300}) {
    CAPTURE(bad);
    spill.SetDemand(IdOf(1), {bad, 4, milliseconds(100), now});
    REQUIRE(elsewhere_after(3) == 0);
    spill.SetDemand(IdOf(1), {40, bad, milliseconds(100), now});
    REQUIRE(elsewhere_after(3) == 0);
  }
  for (const Duration time : {Duration::zero(), Duration(-1)}) {
    spill.SetDemand(IdOf(1), {40, 4, time, now});
    REQUIRE(elsewhere_after(3) == 0);
  }
  spill.SetDemand(IdOf(1), At(0.1, now, 0));
  REQUIRE(elsewhere_after(3) == 0);
  spill.SetDemand(IdOf(1), At(0.1, now));
  REQUIRE(elsewhere_after(3) > 0);
  // Not heard of for longer than a demand counts.
  REQUIRE(elsewhere_after(6) == 0);
  // The own demand is unknown: nothing changes.
  spill.SetDemand(IdOf(1), At(0.1, now));
  const double share = elsewhere_after(3);
  REQUIRE(share > 0);
  spill.SetDemand(IdOf(0), {nan, nan, milliseconds(100), now});
  spill.Step(now);
  REQUIRE(1.0 - spill.ShareOf(IdOf(0)) == share);
}

TEST_CASE("The number of zones that are kept is bounded, the own one is kept") {
  ZoneSpill spill(IdOf(0), kCrossing);
  TimePoint now{seconds(10)};
  for (int i = 0; i < 20; ++i) {
    now += ZoneSpill::kPeriod;
    for (std::size_t zone = 1; zone < 100; ++zone)
      spill.SetDemand(IdOf(zone), At(0.1, now));
    spill.SetDemand(IdOf(0), At(1.5, now));
    spill.Step(now);
  }
  std::size_t used = 0;
  double total = 0;
  for (std::size_t zone = 0; zone < 100; ++zone) {
    if (spill.ShareOf(IdOf(zone)) > 0) ++used;
    total += spill.ShareOf(IdOf(zone));
  }
  REQUIRE(used > 1);
  REQUIRE(used <= ZoneSpill::kMaximumZones + 1);
  REQUIRE(total == Approx(1.0));
  REQUIRE(spill.ShareOf(IdOf(0)) >= ZoneSpill::kOwnShare - 1e-9);
}

TEST_CASE("Requests go to zones in proportion to their shares") {
  ZoneSpill spill(IdOf(0), kCrossing);
  TimePoint now{seconds(10)};
  for (int i = 0; i < 40; ++i) {
    now += ZoneSpill::kPeriod;
    spill.SetDemand(IdOf(0), At(1.5, now));
    spill.SetDemand(IdOf(1), At(0.3, now));
    spill.SetDemand(IdOf(2), At(0.5, now));
    spill.Step(now);
  }
  constexpr int requests = 10000;
  std::map<ZoneId, int> counts;
  for (int i = 0; i < requests; ++i)
    ++counts[spill.ZoneFor((i + 0.5) / requests)];
  for (std::size_t zone = 0; zone < 3; ++zone) {
    CAPTURE(zone);
    REQUIRE(counts[IdOf(zone)] > 0);
    REQUIRE(counts[IdOf(zone)] / double{requests} ==
            Approx(spill.ShareOf(IdOf(zone))).margin(0.001));
  }
}

// --- Simulation -------------------------------------------------------------

constexpr std::size_t kZones = 3;
constexpr std::size_t kSlots = 40;  // of the servers of a zone
constexpr double kServiceMs = 100;
constexpr Duration kEnd = seconds(180);
// Loads are known to other hosts after this time.
constexpr Duration kDelay = seconds(1);
constexpr Duration kSamplePeriod = milliseconds(100);

enum class Way { kOwnZone, kSpill, kShortest };

struct Demand {
  double mean_load = 0.6;
  double wave = 0;               // amplitude, a third of a turn between zones
  Duration turn = seconds(120);  // of the wave
  double moved = 0;              // share of zone 0's clients that move to 1
  TimePoint moved_at{seconds(60)};
  bool is_zone_lost = false;  // half of zone 0's servers, from moved_at on
};

struct Outcome {
  std::vector<double> mean_ms = std::vector<double>(kZones);  // by zone
  std::vector<double> p99_ms = std::vector<double>(kZones);
  double crossed = 0;       // share of the requests
  double largest_step = 0;  // of the share a zone sends elsewhere, in a second
  double difference = 0;    // of that share between hosts of a zone
  int turns = 0;            // changes of that share's direction by 2 % and more

  double worst_mean() const {
    return *std::max_element(mean_ms.begin(), mean_ms.end());
  }
};

class SpillSimulation {
 public:
  SpillSimulation(Demand demand, Way way, std::size_t hosts, std::uint64_t seed)
      : demand_(demand), way_(way), random_(seed), zones_(kZones) {
    for (std::size_t host = 0; host < hosts; ++host)
      hosts_.push_back(
          {ZoneSpill(IdOf(host % kZones), kCrossing), host % kZones,
           TimePoint(
               Duration(static_cast<std::int64_t>(random_.Below(1'000'000))))});
  }

  Outcome Run() {
    TimePoint next_sample{};
    TimePoint next_second{seconds(1)};
    while (now_ < TimePoint(kEnd)) {
      // Thinned from the highest possible rate.
      const double highest = 2.2 * kZones * kSlots / kServiceMs;
      now_ += random_.Exponential(
          Duration(static_cast<std::int64_t>(1000 / highest)));
      while (next_sample <= now_) {
        Sample(next_sample);
        next_sample += kSamplePeriod;
      }
      while (next_second <= now_) {
        EndSecond(next_second);
        RecordShares();
        next_second += seconds(1);
      }
      Step();
      Arrive(highest);
    }
    return Finish();
  }

 private:
  struct Host {
    ZoneSpill spill;
    std::size_t zone;
    TimePoint step_at;
  };
  struct Zone {
    std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>>
        free_at;  // of the slots that are taken
    std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>>
        running;  // ends
    double sampled = 0;
    int samples = 0;
    std::vector<ZoneDemand> demands;  // by second
    std::vector<double> running_by_second;
    std::vector<double> times_ms;  // of the requests of its clients
    int sent = 0;                  // by its clients, in this second
    std::vector<double> shares;    // sent elsewhere, by second
  };

  std::size_t SlotsOf(std::size_t zone) const {
    return zone == 0 && demand_.is_zone_lost && now_ >= demand_.moved_at
               ? kSlots / 2
               : kSlots;
  }

  double RateOf(std::size_t zone) const {
    const double turns = static_cast<double>(now_.time_since_epoch().count()) /
                             static_cast<double>(demand_.turn.count()) +
                         static_cast<double>(zone) / kZones;
    const double mean = demand_.mean_load * kSlots / kServiceMs;
    const double rate =
        mean * (1 + demand_.wave * std::sin(2 * std::numbers::pi * turns));
    if (now_ < demand_.moved_at) return rate;
    if (zone == 0) return rate * (1 - demand_.moved);
    return zone == 1 ? rate + mean * demand_.moved : rate;
  }

  // Records the shares that the hosts of each zone send elsewhere.
  void RecordShares() {
    for (std::size_t i = 0; i < kZones; ++i) {
      std::vector<double> shares;
      for (const Host& host : hosts_)
        if (host.zone == i) shares.push_back(1.0 - host.spill.ShareOf(IdOf(i)));
      const auto [low, high] =
          std::minmax_element(shares.begin(), shares.end());
      difference_ = std::max(difference_, *high - *low);
      double mean = 0;
      for (const double share : shares)
        mean += share / static_cast<double>(shares.size());
      zones_[i].shares.push_back(mean);
    }
  }

  void Sample(TimePoint at) {
    for (Zone& zone : zones_) {
      while (!zone.running.empty() && zone.running.top() <= at)
        zone.running.pop();
      zone.sampled += static_cast<double>(zone.running.size());
      ++zone.samples;
    }
  }

  void EndSecond(TimePoint at) {
    for (std::size_t i = 0; i < kZones; ++i) {
      Zone& zone = zones_[i];
      zone.demands.push_back({static_cast<double>(SlotsOf(i)),
                              zone.sent * kServiceMs / 1000, milliseconds(100),
                              at});
      zone.running_by_second.push_back(zone.sampled /
                                       std::max(1, zone.samples));
      zone.sampled = 0;
      zone.samples = 0;
      zone.sent = 0;
    }
  }

  // Returns the newest second of which other hosts know, from 0.
  std::optional<std::size_t> KnownSecond() const {
    const auto known = (now_ - kDelay).time_since_epoch() / seconds(1);
    if (known < 1) return std::nullopt;
    return std::min(static_cast<std::size_t>(known),
                    zones_.front().demands.size()) -
           1;
  }

  void Step() {
    for (Host& host : hosts_) {
      if (host.step_at > now_) continue;
      host.step_at += ZoneSpill::kPeriod;
      if (const auto second = KnownSecond())
        for (std::size_t zone = 0; zone < kZones; ++zone)
          host.spill.SetDemand(IdOf(zone), zones_[zone].demands[*second]);
      host.spill.Step(now_);
    }
  }

  std::size_t ChooseZone(const Host& host) {
    if (way_ == Way::kOwnZone) return host.zone;
    if (way_ == Way::kSpill)
      return std::stoul(host.spill.ZoneFor(random_.Unit()).value().substr(1));
    std::size_t best = host.zone;
    double best_ms = std::numeric_limits<double>::infinity();
    const auto second = KnownSecond();
    if (!second) return host.zone;
    for (std::size_t zone = 0; zone < kZones; ++zone) {
      // The time of those that run there, which ends one after the other.
      const double ms = kServiceMs * zones_[zone].running_by_second[*second] /
                            static_cast<double>(SlotsOf(zone)) +
                        (zone == host.zone ? 0 : 30);
      if (ms < best_ms) {
        best = zone;
        best_ms = ms;
      }
    }
    return best;
  }

  void Arrive(double highest) {
    double point = random_.Unit() * highest;
    std::size_t from = 0;
    while (from < kZones && point >= RateOf(from)) point -= RateOf(from++);
    if (from == kZones) return;
    // A random host of that zone.
    const std::size_t in_zone = (hosts_.size() - from + kZones - 1) / kZones;
    const Host& host = hosts_[from + kZones * random_.Below(in_zone)];
    const std::size_t to = ChooseZone(host);
    Zone& zone = zones_[to];
    const Duration crossing = to == from ? Duration::zero() : kCrossing.time;
    // Slots that are gone take no new request when theirs ends.
    while (zone.free_at.size() > SlotsOf(to)) zone.free_at.pop();
    TimePoint start = now_ + crossing / 2;
    if (zone.free_at.size() >= SlotsOf(to)) {
      start = std::max(start, zone.free_at.top());
      zone.free_at.pop();
    }
    const TimePoint end = start + random_.Exponential(milliseconds(100));
    zone.free_at.push(end);
    zone.running.push(end);
    ++zones_[from].sent;
    ++requests_;
    if (to != from) ++crossed_;
    // The hosts learn nothing in the first seconds.
    if (now_ >= TimePoint(seconds(20)))
      zones_[from].times_ms.push_back(
          static_cast<double>((end + crossing / 2 - now_).count()) / 1000);
  }

  Outcome Finish() {
    Outcome outcome;
    outcome.difference = difference_;
    outcome.crossed = static_cast<double>(crossed_) / requests_;
    for (std::size_t i = 0; i < kZones; ++i) {
      std::vector<double>& times = zones_[i].times_ms;
      for (const double time : times)
        outcome.mean_ms[i] += time / static_cast<double>(times.size());
      std::sort(times.begin(), times.end());
      outcome.p99_ms[i] = times[times.size() * 99 / 100];
      const std::vector<double>& shares = zones_[i].shares;
      double low = shares.front();
      double high = shares.front();
      bool is_rising = true;
      for (std::size_t second = 1; second < shares.size(); ++second) {
        outcome.largest_step =
            std::max(outcome.largest_step,
                     std::abs(shares[second] - shares[second - 1]));
        high = std::max(high, shares[second]);
        low = std::min(low, shares[second]);
        if (is_rising ? shares[second] < high - 0.02
                      : shares[second] > low + 0.02) {
          is_rising = !is_rising;
          ++outcome.turns;
          high = low = shares[second];
        }
      }
    }
    return outcome;
  }

  Demand demand_;
  Way way_;
  Random random_;
  TimePoint now_{};
  std::vector<Host> hosts_;
  std::vector<Zone> zones_;
  int requests_ = 0;
  int crossed_ = 0;
  double difference_ = 0;
};

Outcome RunSpill(const Demand& demand, Way way, std::size_t hosts = 30,
                 std::uint64_t seed = 1) {
  return SpillSimulation(demand, way, hosts, seed).Run();
}

// --- Cases -------------------------------------------------------------------

TEST_CASE("Zones of even demand send next to nothing elsewhere") {
  const auto seed = GENERATE(1U, 2U, 3U);
  Demand demand;
  REQUIRE(RunSpill(demand, Way::kSpill, 30, seed).crossed < 0.002);
  demand.mean_load = 0.9;
  const Outcome before = RunSpill(demand, Way::kOwnZone, 30, seed);
  const Outcome after = RunSpill(demand, Way::kSpill, 30, seed);
  CAPTURE(before.worst_mean(), after.worst_mean(), after.crossed);
  REQUIRE(after.crossed < 0.03);
  REQUIRE(after.worst_mean() < 1.2 * before.worst_mean());
}

// Guards against a zone whose clients wait in their wave beside idle servers of
// others, and against hosts that all move to the same zone at once.
TEST_CASE("The worst-served zone of a wave is served nearly as the others") {
  const auto hosts = GENERATE(6U, 30U, 300U);
  const auto seed = GENERATE(1U, 2U);
  Demand demand;
  demand.mean_load = 0.7;
  demand.wave = 0.55;
  const Outcome before = RunSpill(demand, Way::kOwnZone, hosts, seed);
  const Outcome herd = RunSpill(demand, Way::kShortest, hosts, seed);
  const Outcome after = RunSpill(demand, Way::kSpill, hosts, seed);
  CAPTURE(before.worst_mean(), herd.worst_mean(), after.worst_mean());
  CAPTURE(after.crossed, after.largest_step, after.difference, after.turns);
  REQUIRE(after.worst_mean() < 0.3 * before.worst_mean());
  REQUIRE(after.worst_mean() < 0.3 * herd.worst_mean());
  REQUIRE(after.worst_mean() < 1.2 * kServiceMs);
  REQUIRE(after.crossed < 0.15);
  REQUIRE(after.largest_step < 2 * ZoneSpill::kMaximumStep);
  REQUIRE(after.difference < 2 * ZoneSpill::kMaximumStep);
  // 1.5 turns of the wave in each of three zones: up and down again.
  REQUIRE(after.turns <= 15);
}

TEST_CASE("Clients that move to another zone are served there or elsewhere") {
  const auto hosts = GENERATE(6U, 30U, 300U);
  Demand demand;
  demand.mean_load = 0.7;
  demand.moved = 0.5;
  const Outcome before = RunSpill(demand, Way::kOwnZone, hosts);
  const Outcome after = RunSpill(demand, Way::kSpill, hosts);
  CAPTURE(before.worst_mean(), after.worst_mean(), after.crossed, after.turns);
  REQUIRE(after.worst_mean() < 0.1 * before.worst_mean());
  REQUIRE(after.worst_mean() < 1.3 * kServiceMs);
  REQUIRE(after.turns <= 4);
}

TEST_CASE("A zone that loses half of its servers sends what is too much") {
  const auto hosts = GENERATE(6U, 30U, 300U);
  Demand demand;
  demand.is_zone_lost = true;
  const Outcome before = RunSpill(demand, Way::kOwnZone, hosts);
  const Outcome after = RunSpill(demand, Way::kSpill, hosts);
  CAPTURE(before.worst_mean(), after.worst_mean(), after.crossed, after.turns);
  REQUIRE(after.worst_mean() < 0.1 * before.worst_mean());
  REQUIRE(after.worst_mean() < 1.4 * kServiceMs);
  REQUIRE(after.turns <= 6);
}

}  // namespace
}  // namespace lovagecleat::routing
