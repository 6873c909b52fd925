#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "routing/routing.h"

// Load patterns: uneven servers, and moments of slow work.
namespace lovagecleat::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kService("v");
constexpr Duration kExpected = milliseconds(100);
// Single observations differ by up to this share.
constexpr double kNoise = 0.2;

ServerIncarnation MakeServer(int number, std::uint64_t started = 1) {
  return {ServerId("s" + std::to_string(number)), "10.0.0.1:80", "v1", started};
}

// Observations of servers under virtual time.
class Observed {
 public:
  // Lets `count` observations of each of the servers pass, `gap` apart.
  // `slowness_of` gives the true slowness of a server.
  template <typename Slowness>
  void Observe(int servers, int count, Duration gap, Slowness slowness_of,
               WorkKind kind = WorkKind::kDecodeStep) {
    for (int i = 0; i < count; ++i) {
      now += gap;
      for (int server = 0; server < servers; ++server)
        Add(server, slowness_of(server), kind);
    }
  }

  void Add(int server, double slowness, WorkKind kind = WorkKind::kDecodeStep) {
    const double noise = 1 + kNoise * (2 * random.Unit() - 1);
    speeds.Observe(
        kService, MakeServer(server), kind,
        Duration(static_cast<std::int64_t>(
            static_cast<double>(kExpected.count()) * slowness * noise)),
        kExpected, now);
  }

  double Slowness(int server, WorkKind kind = WorkKind::kDecodeStep) const {
    return speeds.SlownessOf(kService, MakeServer(server).id, kind, now);
  }

  ServerSpeeds speeds;
  TimePoint now{seconds(100)};
  Random random{1};
};

double Factor(int server) {
  if (server % 3 == 0) return 0.6;
  return server % 3 == 1 ? 1.0 : 1.6;
}

TEST_CASE("Steady differences of speed by a factor of 2.7 are estimated") {
  Observed observed;
  observed.Observe(12, 20, milliseconds(500), Factor);
  for (int server = 0; server < 12; ++server) {
    CAPTURE(server);
    REQUIRE(observed.Slowness(server) == Approx(Factor(server)).epsilon(0.15));
  }
}

TEST_CASE("A scale that all servers share doesn't matter") {
  Observed observed;
  observed.Observe(12, 20, milliseconds(500),
                   [](int server) { return 40 * Factor(server); });
  REQUIRE(observed.Slowness(2) == Approx(1.6).epsilon(0.15));
}

// Guards against prompts that leave their homes for nothing.
TEST_CASE("Servers that differ by noise only have a slowness of exactly 1") {
  Observed observed;
  int differing = 0;
  for (int i = 0; i < 200; ++i) {
    observed.Observe(12, 1, milliseconds(200),
                     [](int server) { return server % 2 == 0 ? 1.0 : 1.1; });
    for (int server = 0; server < 12; ++server)
      if (observed.Slowness(server) != 1.0) ++differing;
  }
  REQUIRE(differing == 0);
}

TEST_CASE("A moment of slow work is noticed at once and soon forgotten") {
  Observed observed;
  const auto even = [](int) { return 1.0; };
  const auto one_slow = [](int server) { return server == 5 ? 2.5 : 1.0; };
  observed.Observe(12, 40, milliseconds(250), even);
  REQUIRE(observed.Slowness(5) == 1.0);
  observed.Observe(12, 2, milliseconds(100), one_slow);
  REQUIRE(observed.Slowness(5) > 1.3);
  observed.Observe(12, 10, milliseconds(100), one_slow);
  REQUIRE(observed.Slowness(5) > 1.6);
  REQUIRE(observed.Slowness(4) == 1.0);
  // It fades without observations too, so that the server is tried again.
  observed.now += seconds(3);
  REQUIRE(observed.Slowness(5) < 1.4);
  observed.Observe(12, 20, milliseconds(200), even);
  REQUIRE(observed.Slowness(5) == 1.0);
}

TEST_CASE("A server that turns slow for seconds is trusted again later") {
  Observed observed;
  const auto even = [](int) { return 1.0; };
  observed.Observe(12, 40, milliseconds(250), even);
  observed.Observe(12, 60, milliseconds(100),
                   [](int server) { return server == 5 ? 2.5 : 1.0; });
  REQUIRE(observed.Slowness(5) == Approx(2.5).epsilon(0.25));
  int until_trusted = 0;
  while (observed.Slowness(5) != 1.0 && until_trusted < 100) {
    observed.Observe(12, 1, milliseconds(100), even);
    ++until_trusted;
  }
  REQUIRE(until_trusted > 5);
  REQUIRE(until_trusted < 60);
}

TEST_CASE("A slow server without work is tried again after some time") {
  Observed observed;
  observed.Observe(12, 20, milliseconds(500), Factor);
  REQUIRE(observed.Slowness(2) > 1.3);
  for (int i = 0; i < 240; ++i) {
    observed.now += milliseconds(500);
    for (int server = 0; server < 12; ++server)
      if (server != 2) observed.Add(server, Factor(server));
  }
  REQUIRE(observed.Slowness(2) == 1.0);
}

TEST_CASE("Outliers move an estimate by little") {
  Observed observed;
  observed.Observe(12, 40, milliseconds(250), [](int) { return 1.0; });
  for (int i = 0; i < 40; ++i) {
    observed.Observe(12, 1, milliseconds(250), [](int) { return 1.0; });
    if (i % 10 == 0) observed.Add(3, 500);
    if (i % 10 == 5) observed.Add(3, 0.001);
  }
  observed.now += seconds(2);
  REQUIRE(observed.Slowness(3) == 1.0);
}

TEST_CASE("A first observation that is an outlier is bounded") {
  Observed observed;
  const auto even = [](int) { return 1.0; };
  observed.Observe(11, 20, milliseconds(250), even);
  observed.Add(11, 10'000);
  REQUIRE(observed.Slowness(11) == 1.0);
  observed.Observe(12, 30, milliseconds(250), even);
  observed.now += seconds(2);
  REQUIRE(observed.Slowness(11) == 1.0);
}

TEST_CASE("Unknown servers and those with few observations are at the median") {
  Observed observed;
  REQUIRE(observed.Slowness(0) == 1.0);
  observed.Observe(12, 20, milliseconds(500), Factor);
  REQUIRE(observed.Slowness(77) == 1.0);
  observed.Add(77, 3.0);
  REQUIRE(observed.Slowness(77) == 1.0);
  // Without a median of several servers nothing is known.
  Observed alone;
  alone.Observe(2, 40, milliseconds(100),
                [](int server) { return 1.0 + server; });
  REQUIRE(alone.Slowness(1) == 1.0);
}

TEST_CASE("Another kind of work tells of a server until its own kind does") {
  Observed observed;
  observed.Observe(12, 20, milliseconds(200), Factor);
  REQUIRE(observed.Slowness(2, WorkKind::kPrefill) ==
          Approx(1.6).epsilon(0.15));
  observed.Observe(
      12, 40, milliseconds(200), [](int) { return 1.0; }, WorkKind::kPrefill);
  REQUIRE(observed.Slowness(2, WorkKind::kPrefill) == 1.0);
}

TEST_CASE("A restart of a server forgets its estimate") {
  Observed observed;
  observed.Observe(12, 20, milliseconds(500), Factor);
  REQUIRE(observed.Slowness(2) > 1.3);
  observed.speeds.Observe(kService, MakeServer(2, 2), WorkKind::kDecodeStep,
                          kExpected, kExpected, observed.now);
  REQUIRE(observed.Slowness(2) == 1.0);
}

TEST_CASE("A server's own figure counts at once and for a moment") {
  Observed observed;
  const auto set = [&](double slowdown) {
    observed.speeds.SetReported(kService, MakeServer(3), slowdown,
                                observed.now);
  };
  set(2.5);
  REQUIRE(observed.Slowness(3) == Approx(2.5));
  set(1.0);
  REQUIRE(observed.Slowness(3) == 1.0);
  set(2.5);
  observed.now += seconds(2);
  REQUIRE(observed.Slowness(3) == 1.0);
  // It is not counted again in what is observed meanwhile.
  observed.Observe(12, 20, milliseconds(100), [](int) { return 1.0; });
  for (int i = 0; i < 20; ++i) {
    set(2.5);
    observed.Add(3, 2.5);
  }
  REQUIRE(observed.Slowness(3) == Approx(2.5).epsilon(0.15));
}

TEST_CASE("Times and figures that make no sense are ignored") {
  Observed observed;
  observed.Observe(12, 20, milliseconds(500), Factor);
  const double before = observed.Slowness(2);
  const auto observe = [&](Duration taken, Duration expected) {
    observed.speeds.Observe(kService, MakeServer(2), WorkKind::kDecodeStep,
                            taken, expected, observed.now);
  };
  observe(Duration::zero(), kExpected);
  observe(Duration(-5), kExpected);
  observe(kExpected, Duration::zero());
  observe(kExpected, Duration(-1));
  for (const double slowdown :
       {0.0, -1.0, std::nan(""), std::numeric_limits<double>::infinity()})
    observed.speeds.SetReported(kService, MakeServer(2), slowdown,
                                observed.now);
  SpeedSample sample{kService, MakeServer(2), WorkKind::kDecodeStep, 0, 100};
  for (const double log_ratio :
       {std::nan(""), 1e300, -std::numeric_limits<double>::infinity()}) {
    sample.log_ratio = log_ratio;
    observed.speeds.Merge(sample, observed.now);
  }
  sample.log_ratio = 0;
  sample.count = 0;
  observed.speeds.Merge(sample, observed.now);
  sample.count = 1;
  sample.kind = static_cast<WorkKind>(17);
  observed.speeds.Merge(sample, observed.now);
  REQUIRE(observed.Slowness(2) == before);
  observed.speeds.SetReported(kService, MakeServer(2), 1e6, observed.now);
  REQUIRE(observed.Slowness(2) == ServerSpeeds::kHighestSlowness);
  observed.speeds.SetReported(kService, MakeServer(2), 1e-6, observed.now);
  REQUIRE(observed.Slowness(2) == ServerSpeeds::kLowestSlowness);
}

TEST_CASE("Observations of other hosts are merged, those told not told again") {
  Observed host;
  host.Observe(12, 20, milliseconds(500), Factor);
  const std::vector<SpeedSample> told = host.speeds.TakeObserved();
  REQUIRE(told.size() == 12);
  REQUIRE(host.speeds.TakeObserved().empty());
  Observed other;
  other.now = host.now;
  for (int i = 0; i < 2; ++i)
    for (const SpeedSample& sample : told)
      other.speeds.Merge(sample, other.now);
  other.now += seconds(1);
  REQUIRE(other.Slowness(2) == Approx(1.6).epsilon(0.15));
  REQUIRE(other.Slowness(0) == Approx(0.6).epsilon(0.25));
  REQUIRE(other.speeds.TakeObserved().empty());
}

// Guards against a wrong estimate that lasts for a hundred observations.
TEST_CASE("A first outlier without a median is soon outweighed") {
  Observed observed;
  const auto even = [](int) { return 1.0; };
  observed.Add(0, 1e-4);
  observed.Add(1, 1e5);
  observed.Observe(12, 12, milliseconds(250), even);
  observed.now += seconds(2);
  REQUIRE(observed.Slowness(0) == 1.0);
  REQUIRE(observed.Slowness(1) == 1.0);
}

// Guards against an outlier that spreads to other hosts.
TEST_CASE("Outliers are bounded in what other hosts are told and accept") {
  Observed observed;
  observed.Add(0, 1e-4);
  const std::vector<SpeedSample> told = observed.speeds.TakeObserved();
  REQUIRE(told.size() == 1);
  REQUIRE(told.front().log_ratio >= -std::log(101));
  Observed other;
  other.speeds.Merge({kService, MakeServer(0), WorkKind::kDecodeStep, -13.5, 8},
                     other.now);
  other.Observe(12, 12, milliseconds(250), [](int) { return 1.0; });
  other.now += seconds(2);
  REQUIRE(other.Slowness(0) == 1.0);
}

// Guards against observations from which an absurd figure is taken away.
TEST_CASE("A server's own figure is bounded before it corrects observations") {
  Observed observed;
  observed.Observe(12, 20, milliseconds(250), [](int) { return 1.0; });
  observed.speeds.TakeObserved();
  const auto told_with = [&](double slowdown) {
    observed.speeds.SetReported(kService, MakeServer(3), slowdown,
                                observed.now);
    observed.speeds.Observe(kService, MakeServer(3), WorkKind::kDecodeStep,
                            kExpected, kExpected, observed.now);
    return observed.speeds.TakeObserved().front().log_ratio;
  };
  REQUIRE(told_with(1000) == Approx(-std::log(ServerSpeeds::kHighestSlowness)));
  REQUIRE(told_with(1e-5) == Approx(-std::log(ServerSpeeds::kLowestSlowness)));
}

// Guards against "fast" servers whose events are split over two reads.
TEST_CASE("Gaps between the reads of one event are no decode steps") {
  EventGaps gaps;
  std::optional<Duration> found;
  for (int i = 0; i < 5; ++i) {
    REQUIRE(!found);
    gaps.Add(std::chrono::microseconds(20));
    found = gaps.Add(milliseconds(30));
  }
  REQUIRE(found == milliseconds(30));
}

// Guards against a late stream of a server that has restarted since.
TEST_CASE("An older incarnation doesn't reset a newer one's estimate") {
  Observed observed;
  for (int i = 0; i < 20; ++i) {
    observed.now += milliseconds(500);
    for (int server = 0; server < 12; ++server)
      observed.speeds.Observe(
          kService, MakeServer(server, 2), WorkKind::kDecodeStep,
          kExpected * (server == 2 ? 2 : 1), kExpected, observed.now);
  }
  const double before = observed.Slowness(2);
  REQUIRE(before > 1.3);
  observed.Add(2, 1.0);
  REQUIRE(observed.Slowness(2) == before);
  observed.speeds.Merge({kService, MakeServer(2), WorkKind::kDecodeStep, 0, 8},
                        observed.now);
  REQUIRE(observed.Slowness(2) == before);
  observed.speeds.SetReported(kService, MakeServer(2), 4, observed.now);
  REQUIRE(observed.Slowness(2) == before);
  // A clock that was set back isn't held against the server for long.
  observed.now += 2 * ServerSpeeds::kMemory;
  observed.speeds.SetReported(kService, MakeServer(2), 4, observed.now);
  REQUIRE(observed.Slowness(2) == Approx(4.0));
}

// Guards against waits that were cut short and make a server look fast.
TEST_CASE("Work that isn't done counts only if it takes longer than usual") {
  Observed observed;
  observed.Observe(
      12, 20, milliseconds(500),
      [](int server) { return server == 5 ? 2.0 : 1.0; }, WorkKind::kPrefill);
  observed.now += seconds(2);
  const double before = observed.Slowness(5, WorkKind::kPrefill);
  observed.speeds.TakeObserved();
  const auto miss = [&](Duration taken) {
    observed.speeds.ObserveMissing(kService, MakeServer(5), WorkKind::kPrefill,
                                   taken, kExpected, observed.now);
  };
  miss(kExpected / 10);
  miss(kExpected * 3 / 2);
  REQUIRE(observed.speeds.TakeObserved().empty());
  REQUIRE(observed.Slowness(5, WorkKind::kPrefill) == before);
  miss(kExpected * 6);
  REQUIRE(observed.speeds.TakeObserved().size() == 1);
  REQUIRE(observed.Slowness(5, WorkKind::kPrefill) > before);
}

// Guards against homes that move back and forth.
TEST_CASE("Noise at a boundary of two classes doesn't change the class often") {
  Observed observed;
  // Halfway between no difference and the first class.
  const auto halfway = [](int server) {
    return server == 5 ? ServerSpeeds::kDeadBand * 1.04 : 1.0;
  };
  observed.Observe(12, 40, milliseconds(100), halfway);
  int changes = 0;
  double last = 0;
  for (int i = 0; i < 1000; ++i) {
    observed.Observe(12, 1, milliseconds(100), halfway);
    const double slowness = observed.speeds.SteadySlownessOf(
        kService, MakeServer(5).id, WorkKind::kDecodeStep, observed.now);
    if (i > 0 && slowness != last) ++changes;
    last = slowness;
  }
  REQUIRE(changes <= 10);
}

// Guards against homes that move as two kinds of work take turns in telling of
// a server.
TEST_CASE("Two kinds known about equally well don't change the class often") {
  Observed observed;
  int changes = 0;
  double last = 0;
  for (int i = 0; i < 1040; ++i) {
    // Each kind has a random number of observations in a step.
    for (const WorkKind kind : {WorkKind::kPrefill, WorkKind::kDecodeStep}) {
      const bool is_slow_kind = kind == WorkKind::kDecodeStep;
      observed.Observe(
          12, static_cast<int>(observed.random.Below(3)), milliseconds(50),
          [is_slow_kind](int server) {
            return server == 5 && is_slow_kind ? 1.6 : 1.0;
          },
          kind);
    }
    observed.now += milliseconds(500);
    const double slowness = observed.speeds.SteadySlownessOf(
        kService, MakeServer(5).id, WorkKind::kPlain, observed.now);
    if (i > 40 && slowness != last) ++changes;
    last = slowness;
  }
  REQUIRE(changes <= 10);
}

// Guards against hosts of which each takes another server for a prompt's home.
TEST_CASE("Hosts that see the same servers agree on their classes") {
  constexpr int servers = 18;
  std::vector<Observed> hosts(3);
  for (std::size_t i = 0; i < hosts.size(); ++i)
    hosts[i].random = Random(i + 1);
  const auto is_at_boundary = [](int server) {
    return server == 2 || server == 5;
  };
  const auto slowness_of = [&](int server) {
    return is_at_boundary(server) ? 1.04 * ServerSpeeds::kDeadBand
                                  : Factor(server);
  };
  int disagreements = 0;  // on a server at a boundary
  int compared = 0;
  for (int i = 0; i < 600; ++i) {
    for (Observed& host : hosts)
      host.Observe(servers, 1, milliseconds(1000), slowness_of);
    for (Observed& host : hosts)
      for (const SpeedSample& sample : host.speeds.TakeObserved())
        for (Observed& other : hosts)
          if (&other != &host) other.speeds.Merge(sample, other.now);
    if (i < 30) continue;
    for (int server = 0; server < servers; ++server) {
      if (is_at_boundary(server)) ++compared;
      const auto class_at = [server](const Observed& host) {
        return host.speeds.SteadySlownessOf(kService, MakeServer(server).id,
                                            WorkKind::kDecodeStep, host.now);
      };
      const double first = class_at(hosts.front());
      const bool is_agreed = std::all_of(
          hosts.begin(), hosts.end(),
          [&](const Observed& host) { return class_at(host) == first; });
      // Off the boundaries there is nothing to disagree on.
      if (!is_at_boundary(server)) REQUIRE(is_agreed);
      if (!is_agreed) ++disagreements;
    }
  }
  CAPTURE(disagreements, compared);
  REQUIRE(disagreements < compared / 10);
}

TEST_CASE("The number of servers that are kept is bounded") {
  ServerSpeeds speeds;
  const TimePoint now{seconds(1)};
  const int count = static_cast<int>(ServerSpeeds::kMaximumServers);
  for (int i = 0; i < count + 50; ++i)
    speeds.Observe(kService, MakeServer(i), WorkKind::kPlain, kExpected,
                   kExpected, now + Duration(i));
  REQUIRE(speeds.size() == ServerSpeeds::kMaximumServers);
}

TEST_CASE("A summary tells how uneven the servers of a service are") {
  Observed observed;
  observed.Observe(12, 20, milliseconds(500), [](int server) {
    return server == 0 ? 4.0 : Factor(server);
  });
  const auto summaries = observed.speeds.Summaries(observed.now);
  REQUIRE(summaries.size() == 1);
  REQUIRE(summaries.front().servers == 12);
  REQUIRE(summaries.front().below_half == 1);
  REQUIRE(summaries.front().lowest == Approx(0.6).epsilon(0.2));
  REQUIRE(summaries.front().highest == Approx(4.0).epsilon(0.3));
}

}  // namespace
}  // namespace lovagecleat::routing
