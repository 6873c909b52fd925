#include "services/gateway/prompt_queue_exchange.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform/platform_message_codec.h"
#include "tests/transport/loop_fixture.h"

namespace lovagecleat::gateway {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kHosts = 5;
constexpr std::uint64_t kStarted = 7;
const ServerId kServer("s");
// No host alone sends what is told; five do.
constexpr std::uint64_t kTokensOfHost = 20'000;

// Hosts that tell each other of the prompts at one server, over a network that
// a test breaks.
class QueueFixture : public transport::LoopFixture {
 public:
  struct Host {
    explicit Host(QueueFixture& fixture)
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
                  kHosts} {}
    logging::EventLog log;
    metrics::Registry metrics;
    http::ConnectionPool pool;
    Context context;
    std::unique_ptr<PromptQueueExchange> exchange;
  };

  QueueFixture() {
    entry_.id = kServer;
    entry_.service = ServiceId("v");
    entry_.zone = ZoneId("z");
    entry_.address = "10.0.0.1:80";
    entry_.started_unix_ms = kStarted;
    for (std::size_t i = 0; i < kHosts; ++i) {
      hosts.push_back(std::make_unique<Host>(*this));
      Context& context = hosts.back()->context;
      context.settings.peers = AddressOf(i);
      context.settings.zone = ZoneId("z");
      context.directory.Put(entry_, clock_.Now());
      hosts.back()->exchange = std::make_unique<PromptQueueExchange>(
          context,
          [this, i](const std::string& peer) {
            return !lost.contains(std::stoul(peer)) && !lost.contains(i);
          },
          [this, i](const std::string& peer,
                    const messages::PromptQueues& queues) {
            return Deliver(i, std::stoul(peer), queues);
          });
      std::vector<PeerHost> others;
      for (std::size_t other = 0; other < kHosts; ++other)
        if (other != i) others.push_back({AddressOf(other), ZoneId("z"), 1.0});
      hosts.back()->exchange->SetHosts(std::move(others));
    }
  }

  void SetPending(std::size_t host, std::uint64_t tokens) {
    Context& context = hosts[host]->context;
    context.directory.Find(kServer)->pending_tokens = tokens;
    context.prompt_queues.OnOwnChange(kServer);
  }

  std::uint64_t TokensAt(std::size_t host) {
    return hosts[host]->context.prompt_queues.TokensAt(entry_, clock_.Now());
  }

  void RunFor(Duration time) {
    loop().After(time, [this] { loop().Quit(); });
    loop().Run();
  }

  std::vector<std::unique_ptr<Host>> hosts;
  std::set<std::size_t> lost;
  bool loses_messages = false;
  int sums_sent = 0;
  // The host that told last.
  std::size_t keeper = kHosts;

 private:
  static std::string AddressOf(std::size_t host) {
    return std::to_string(host);
  }

  bool Deliver(std::size_t from, std::size_t to,
               const messages::PromptQueues& queues) {
    if (queues.sums_size() > 0) {
      ++sums_sent;
      keeper = from;
    }
    if (loses_messages || lost.contains(from) || lost.contains(to)) return true;
    messages::PromptQueues received;
    REQUIRE(received.ParseFromString(queues.SerializeAsString()));
    hosts[to]->exchange->OnMessage(AddressOf(from), received);
    return true;
  }

  routing::ServerEntry entry_;
  SystemClock clock_;
  platform_adapter::PlatformMessageCodec codec_;
  http::Poller poller_{loop()};
};

TEST_CASE_METHOD(QueueFixture, "All hosts learn of a queue that all make") {
  for (std::size_t i = 0; i < kHosts; ++i) SetPending(i, kTokensOfHost);
  // More than one host's own.
  RunUntil([this] {
    for (std::size_t i = 0; i < kHosts; ++i)
      if (TokensAt(i) <= 2 * kTokensOfHost) return false;
    return true;
  });
  // The prompts are read at once.
  for (std::size_t i = 0; i < kHosts; ++i) SetPending(i, 0);
  RunUntil([this] {
    for (std::size_t i = 0; i < kHosts; ++i)
      if (TokensAt(i) > 0) return false;
    return true;
  });
}

TEST_CASE_METHOD(QueueFixture, "A short queue is not told") {
  for (std::size_t i = 0; i < kHosts; ++i)
    SetPending(i, routing::PromptQueueSums::kToldTokens / kHosts - 1);
  RunFor(milliseconds(1500));
  REQUIRE(sums_sent == 0);
}

// A queue at a server that hangs stays.
TEST_CASE_METHOD(QueueFixture, "Lost reports are made again") {
  loses_messages = true;
  for (std::size_t i = 0; i < kHosts; ++i) SetPending(i, 10 * kTokensOfHost);
  RunFor(milliseconds(300));
  loses_messages = false;
  RunUntil([this] {
    for (std::size_t i = 0; i < kHosts; ++i)
      if (TokensAt(i) <= 20 * kTokensOfHost) return false;
    return true;
  });
}

TEST_CASE_METHOD(QueueFixture, "Another host adds up when one is lost") {
  for (std::size_t i = 0; i < kHosts; ++i) SetPending(i, 10 * kTokensOfHost);
  RunUntil([this] { return keeper < kHosts; });
  const std::size_t first = keeper;
  lost.insert(first);
  RunUntil([this, first] { return keeper != first; });
  // Longer than what the lost one told is kept.
  RunFor(routing::PromptQueues::kToldLifetime + milliseconds(500));
  for (std::size_t i = 0; i < kHosts; ++i)
    if (i != first) REQUIRE(TokensAt(i) > 20 * kTokensOfHost);
}

TEST_CASE_METHOD(QueueFixture, "Absurd messages change nothing for others") {
  messages::PromptQueues absurd;
  for (int i = 0; i < 10'000; ++i) {
    messages::PromptQueue& queue =
        i % 2 == 0 ? *absurd.add_own() : *absurd.add_sums();
    queue.set_server(i % 3 == 0 ? "" : "unknown" + std::to_string(i));
    queue.set_tokens(~std::uint64_t{0});
  }
  messages::PromptQueue& other_start = *absurd.add_sums();
  other_start.set_server(kServer.value());
  other_start.set_started_unix_ms(kStarted + 1);
  other_start.set_tokens(1);
  hosts[0]->exchange->OnMessage("1", absurd);
  RunFor(milliseconds(300));
  REQUIRE(TokensAt(0) == 0);
  for (std::size_t i = 0; i < kHosts; ++i) SetPending(i, kTokensOfHost);
  RunUntil([this] { return TokensAt(0) > 2 * kTokensOfHost; });
}

}  // namespace
}  // namespace lovagecleat::gateway
