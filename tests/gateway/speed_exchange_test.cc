#include "services/gateway/speed_exchange.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform/platform_message_codec.h"
#include "tests/transport/loop_fixture.h"

namespace lovagecleat::gateway {
namespace {

using routing::WorkKind;
using std::chrono::milliseconds;

constexpr std::uint64_t kStarted = 7;
constexpr int kServers = 12;
// Server that works half as fast as the others.
constexpr int kSlowServer = 5;
constexpr Duration kExpected = milliseconds(100);
// Longer than a host takes to send what it saw, and for the outbox to give up.
constexpr Duration kSendTime = milliseconds(1400);
constexpr Duration kLongerThanRetries = milliseconds(3400);

ServerId IdOf(int server) { return ServerId("s" + std::to_string(server)); }

const ServiceId kService("v");

// Hosts that exchange what they saw over a network that a test breaks.
class ExchangeFixture : public transport::LoopFixture {
 public:
  struct Host {
    explicit Host(ExchangeFixture& fixture)
        : log(fixture.clock_, "host", -1),
          pool(fixture.poller_),
          context{fixture.loop(),
                  fixture.codec_,
                  {},
                  log,
                  metrics,
                  fixture.poller_,
                  pool,
                  Random(1),
                  {},
                  routing::SendLimiter(HostId("host")),
                  routing::ServerLimits(HostId("host")),
                  {},
                  policy::RetryBudget(),
                  nullptr,
                  1} {}
    logging::EventLog log;
    metrics::Registry metrics;
    http::ConnectionPool pool;
    Context context;
    std::unique_ptr<SpeedExchange> exchange;
  };
  // Passes a message to a host; returns whether it was sent.
  using Network = std::function<bool(std::size_t from, std::size_t to,
                                     const messages::ServerSpeeds&)>;

  // Adds hosts that list all servers, until there are `count`.
  void AddHosts(std::size_t count, int servers = kServers) {
    while (hosts.size() < count) {
      hosts.push_back(std::make_unique<Host>(*this));
      for (int i = 0; i < servers; ++i) List(hosts.size() - 1, i, kStarted);
      StartExchange(hosts.size() - 1);
    }
    for (std::size_t i = 0; i < count; ++i)
      hosts[i]->exchange->SetHosts(OthersThan(i));
  }

  // A host that restarts has forgotten all.
  void Restart(std::size_t host) {
    hosts[host]->exchange.reset();
    hosts[host]->context.speeds = {};
    StartExchange(host);
    hosts[host]->exchange->SetHosts(OthersThan(host));
  }

  void List(std::size_t host, int server, std::uint64_t started) {
    routing::ServerEntry entry;
    entry.id = IdOf(server);
    entry.service = kService;
    entry.address = "10.0.0.1:80";
    entry.software_version = "v1";
    entry.started_unix_ms = started;
    hosts[host]->context.directory.Put(entry, Now());
  }

  void RunFor(Duration time) {
    loop().After(time, [this] { loop().Quit(); });
    loop().Run();
  }

  // Lets the host see `count` observations of each server.
  void Observe(std::size_t host, int count, double slow_factor = 2.0) {
    for (int i = 0; i < count; ++i)
      for (int server = 0; server < kServers; ++server)
        ObserveOne(host, server, server == kSlowServer ? slow_factor : 1.0);
  }

  void ObserveOne(std::size_t host, int server, double factor,
                  WorkKind kind = WorkKind::kDecodeStep) {
    hosts[host]->context.speeds.Observe(
        kService, {IdOf(server), "10.0.0.1:80", "v1", kStarted}, kind,
        std::chrono::duration_cast<Duration>(kExpected * factor), kExpected,
        Now());
  }

  double SlownessAt(std::size_t host, int server) {
    return hosts[host]->context.speeds.SlownessOf(kService, IdOf(server),
                                                  WorkKind::kDecodeStep, Now());
  }

  TimePoint Now() { return clock_.Now(); }

  static messages::ServerSpeeds Message(double log_ratio, std::uint32_t count,
                                        std::uint32_t kind,
                                        const std::string& server,
                                        std::uint64_t started = kStarted) {
    messages::ServerSpeeds message;
    messages::ServerSpeedSample& sample = *message.add_samples();
    sample.set_server(server);
    sample.set_started_unix_ms(started);
    sample.set_kind(kind);
    sample.set_log_ratio(log_ratio);
    sample.set_count(count);
    return message;
  }

  void Deliver(std::size_t to, const messages::ServerSpeeds& message) {
    messages::ServerSpeeds received;
    REQUIRE(received.ParseFromString(message.SerializeAsString()));
    hosts[to]->exchange->OnMessage(received);
  }

  std::vector<std::unique_ptr<Host>> hosts;
  Network network = [this](std::size_t, std::size_t to,
                           const messages::ServerSpeeds& message) {
    Deliver(to, message);
    return true;
  };

 private:
  static std::string AddressOf(std::size_t host) {
    return std::to_string(host);
  }

  std::vector<std::string> OthersThan(std::size_t host) const {
    std::vector<std::string> others;
    for (std::size_t i = 0; i < hosts.size(); ++i)
      if (i != host) others.push_back(AddressOf(i));
    return others;
  }

  void StartExchange(std::size_t host) {
    hosts[host]->exchange = std::make_unique<SpeedExchange>(
        hosts[host]->context, [](const std::string&) { return true; },
        [this, host](const std::string& peer,
                     const messages::ServerSpeeds& message) {
          return network(host, std::stoul(peer), message);
        });
  }

  SystemClock clock_;
  platform_adapter::PlatformMessageCodec codec_;
  http::Poller poller_{loop()};
};

TEST_CASE_METHOD(ExchangeFixture, "Hosts learn of a slow server from others") {
  AddHosts(3);
  Observe(0, 10);
  RunFor(kSendTime);
  for (std::size_t host = 0; host < 3; ++host) {
    CAPTURE(host);
    REQUIRE(SlownessAt(host, kSlowServer) > 1.3);
    REQUIRE(SlownessAt(host, 0) == 1.0);
  }
}

// Guards against messages that go round for ever.
TEST_CASE_METHOD(ExchangeFixture, "What a host was told it tells nobody") {
  AddHosts(2);
  int sent = 0;
  network = [&](std::size_t, std::size_t to,
                const messages::ServerSpeeds& message) {
    ++sent;
    Deliver(to, message);
    return true;
  };
  Observe(0, 10);
  RunFor(3 * kSendTime);
  REQUIRE(sent == 1);
}

TEST_CASE_METHOD(ExchangeFixture,
                 "A host that lost messages learns from the next ones") {
  AddHosts(2);
  const Network sound = network;
  network = [](std::size_t, std::size_t, const messages::ServerSpeeds&) {
    return true;  // sent, but it never arrives
  };
  Observe(0, 10);
  RunFor(kSendTime);
  REQUIRE(SlownessAt(1, kSlowServer) == 1.0);
  network = sound;
  Observe(0, 10);
  RunFor(kSendTime);
  REQUIRE(SlownessAt(1, kSlowServer) > 1.3);
}

// Guards against samples that wait without bounds for a host that can't be sent
// to, and against those that are left out once it can.
TEST_CASE_METHOD(ExchangeFixture,
                 "What waits for a host that can't be sent to is bounded") {
  AddHosts(2);
  const Network sound = network;
  int largest = 0;
  network = [&](std::size_t, std::size_t,
                const messages::ServerSpeeds& message) {
    largest = std::max(largest, message.samples_size());
    return false;
  };
  for (int i = 0; i < 6; ++i) {
    Observe(0, 1);
    RunFor(milliseconds(1100));
  }
  REQUIRE(largest >= kServers);
  REQUIRE(largest <= 4 * kServers);
  network = sound;
  Observe(0, 10);
  RunFor(kLongerThanRetries);
  REQUIRE(SlownessAt(1, kSlowServer) > 1.3);
}

// Guards against an estimate that a message moves more the more often it comes.
TEST_CASE_METHOD(ExchangeFixture, "A repeated message moves nothing far") {
  AddHosts(2);
  network = [this](std::size_t, std::size_t to,
                   const messages::ServerSpeeds& message) {
    for (int i = 0; i < 100; ++i) Deliver(to, message);
    return true;
  };
  Observe(0, 10);
  RunFor(kSendTime);
  REQUIRE(SlownessAt(1, kSlowServer) == Approx(2.0).epsilon(0.25));
  REQUIRE(SlownessAt(1, 0) == 1.0);
  // The server has recovered meanwhile, as the host sees itself.
  network = [](std::size_t, std::size_t, const messages::ServerSpeeds&) {
    return true;
  };
  Observe(1, 60, 1.0);
  RunFor(milliseconds(300));
  REQUIRE(SlownessAt(1, kSlowServer) == 1.0);
}

TEST_CASE_METHOD(ExchangeFixture,
                 "A message about an earlier start of a server is ignored") {
  AddHosts(2);
  std::vector<messages::ServerSpeeds> late;
  network = [&](std::size_t, std::size_t,
                const messages::ServerSpeeds& message) {
    late.push_back(message);
    return true;
  };
  Observe(0, 10);
  RunFor(kSendTime);
  REQUIRE(late.size() == 1);
  List(1, kSlowServer, kStarted + 1);
  Deliver(1, late.front());
  RunFor(milliseconds(300));
  REQUIRE(SlownessAt(1, kSlowServer) == 1.0);
  // Of the servers that run on, it is as good as one in time.
  REQUIRE(hosts[1]->context.speeds.size() == kServers - 1);
}

TEST_CASE_METHOD(ExchangeFixture,
                 "A restarted host learns again and is heard") {
  AddHosts(2);
  Observe(0, 10);
  RunFor(kSendTime);
  Restart(1);
  REQUIRE(SlownessAt(1, kSlowServer) == 1.0);
  Observe(0, 10);
  RunFor(kSendTime);
  REQUIRE(SlownessAt(1, kSlowServer) > 1.3);
  Restart(0);
  Observe(1, 10);
  RunFor(kSendTime);
  REQUIRE(SlownessAt(0, kSlowServer) > 1.3);
}

TEST_CASE_METHOD(ExchangeFixture, "Samples without sense change nothing") {
  AddHosts(1);
  Observe(0, 10);
  RunFor(milliseconds(300));
  const double before = SlownessAt(0, kSlowServer);
  const std::size_t known = hosts[0]->context.speeds.size();
  const std::string slow = IdOf(kSlowServer).value();
  constexpr auto decode = static_cast<std::uint32_t>(WorkKind::kDecodeStep);
  const double infinity = std::numeric_limits<double>::infinity();
  for (int i = 0; i < 20; ++i) {
    for (const double log_ratio :
         {std::nan(""), infinity, -infinity, 1e300, -1e300, 14.0, -14.0})
      Deliver(0, Message(log_ratio, 100, decode, slow));
    Deliver(0, Message(0, 0, decode, slow));
    for (const std::uint32_t kind : {4U, 17U, 0xFFFFFFFFU})
      Deliver(0, Message(0, 100, kind, slow));
    for (const char* server : {"", "unknown", "s-1"})
      Deliver(0, Message(0, 100, decode, server));
    for (const std::uint64_t started : {0UL, kStarted + 1, ~0UL})
      Deliver(0, Message(0, 100, decode, slow, started));
    Deliver(0, {});
  }
  RunFor(milliseconds(300));
  REQUIRE(SlownessAt(0, kSlowServer) == before);
  REQUIRE(hosts[0]->context.speeds.size() == known);
}

// Guards against one host's error that outweighs all others.
TEST_CASE_METHOD(ExchangeFixture,
                 "A sample of huge count and time is bounded") {
  AddHosts(1);
  Observe(0, 20, 1.0);
  constexpr auto decode = static_cast<std::uint32_t>(WorkKind::kDecodeStep);
  Deliver(0, Message(13.5, 0xFFFFFFFFU, decode, IdOf(0).value()));
  Deliver(0, Message(-13.5, 0xFFFFFFFFU, decode, IdOf(1).value()));
  Observe(0, 20, 1.0);
  RunFor(milliseconds(300));
  REQUIRE(SlownessAt(0, 0) == 1.0);
  REQUIRE(SlownessAt(0, 1) == 1.0);
}

// Guards against servers at the end of the order that no other host hears of:
// what didn't fit into a message was dropped.
TEST_CASE_METHOD(ExchangeFixture,
                 "All servers are told of, also more than a message has room") {
  constexpr int servers = 400;
  AddHosts(2, servers);
  std::set<std::string> told;
  int largest = 0;
  network = [&](std::size_t, std::size_t to,
                const messages::ServerSpeeds& message) {
    largest = std::max(largest, message.samples_size());
    for (const messages::ServerSpeedSample& sample : message.samples())
      told.insert(sample.server());
    Deliver(to, message);
    return true;
  };
  for (int i = 0; i < 4; ++i) {
    for (int server = 0; server < servers; ++server) ObserveOne(0, server, 1.0);
    RunFor(milliseconds(1100));
  }
  REQUIRE(largest <= 256);
  REQUIRE(told.size() == servers);
  REQUIRE(hosts[1]->context.speeds.size() == servers);
}

TEST_CASE_METHOD(ExchangeFixture, "A message without bounds is read in part") {
  constexpr int servers = 3000;
  AddHosts(1, servers);
  messages::ServerSpeeds message;
  for (int i = 0; i < servers; ++i)
    message.MergeFrom(Message(0, 1, 0, IdOf(i).value()));
  Deliver(0, message);
  REQUIRE(hosts[0]->context.speeds.size() >= 256);
  REQUIRE(hosts[0]->context.speeds.size() <= 1024);
}

}  // namespace
}  // namespace lovagecleat::gateway
