#include "services/gateway/content_blocks.h"

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "platform/platform_message_codec.h"
#include "tests/gateway/gateway_fixture.h"

namespace lovagecleat::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Two hosts that exchange reports under virtual time.
class ReportsFixture {
 public:
  ReportsFixture() : loop_(clock), poller_(loop_), pool_(poller_) {
    clock.Advance(seconds(1000));
    for (const char* name : {"a", "b"})
      hosts.push_back(std::make_unique<Host>(*this, name));
    for (std::size_t i = 0; i < hosts.size(); ++i)
      hosts[i]->blocks.SetHosts({hosts[1 - i]->name});
    Advance(seconds(1));
  }

  struct Host {
    Host(ReportsFixture& fixture, const std::string& host_name)
        : name(host_name),
          log(fixture.clock, host_name, -1),
          context{fixture.loop_,
                  fixture.codec_,
                  SettingsOf(host_name),
                  log,
                  metrics,
                  fixture.poller_,
                  fixture.pool_,
                  Random(1),
                  {},
                  routing::SendLimiter(HostId(host_name)),
                  routing::ServerLimits(HostId(host_name)),
                  {},
                  policy::RetryBudget(),
                  nullptr,
                  1},
          blocks(
              context, rows, [](const std::string&) { return true; },
              [&fixture, host_name](const std::string& peer,
                                    const messages::ContentReports& reports) {
                return fixture.Send(host_name, peer, reports);
              },
              [] {}) {}

    static configuration::GatewaySettings SettingsOf(const std::string& name) {
      configuration::GatewaySettings settings;
      settings.peers = name;
      return settings;
    }

    std::string name;
    logging::EventLog log;
    metrics::Registry metrics;
    FakeRowSource rows;
    Context context;
    ContentBlocks blocks;
  };

  bool Send(const std::string& from, const std::string& to,
            const messages::ContentReports& reports) {
    if (!is_connected) return false;
    arriving_.push_back({from, to, reports});
    if (!is_stalled) Deliver();
    return true;
  }

  void Deliver() {
    for (const Message& message : std::exchange(arriving_, {}))
      for (auto& host : hosts)
        if (host->name == message.to)
          host->blocks.OnMessage(message.from, message.reports);
  }

  void Advance(Duration time) {
    const TimePoint end = clock.Now() + time;
    while (clock.Now() < end) {
      clock.Advance(milliseconds(1));
      loop_.RunDueTimers();
    }
  }

  ManualClock clock;
  bool is_connected = true;
  bool is_stalled = false;  // messages arrive once Deliver is called

 private:
  struct Message {
    std::string from;
    std::string to;
    messages::ContentReports reports;
  };

  std::vector<Message> arriving_;
  transport::Loop loop_;
  platform_adapter::PlatformMessageCodec codec_;
  http::Poller poller_;
  http::ConnectionPool pool_;

 public:
  std::vector<std::unique_ptr<Host>> hosts;
};

// Guards against a block that is lifted at one host only: the trial and its
// success came in one message, with ages as of different moments, or in two
// that took different times.
TEST_CASE_METHOD(ReportsFixture,
                 "A block is lifted at all hosts after a trial") {
  const std::vector<routing::ContentKey> contents = {
      routing::KeyOf({"ab", 10})};
  messages::ContentReports block;
  messages::BlockedContent& blocked = *block.add_blocked();
  blocked.set_content(contents.front().value());
  blocked.set_remaining_us(Duration(seconds(600)).count());
  for (auto& host : hosts) host->blocks.OnMessage("other", block);
  for (auto& host : hosts) REQUIRE(host->blocks.BlockedUntil(contents));
  Advance(seconds(120));
  // Longer than reports are collected, if they cannot be sent at first.
  const Duration unconnected = GENERATE(milliseconds(0), milliseconds(500));
  const Duration served_after =
      GENERATE(milliseconds(1), milliseconds(6), milliseconds(400));
  CAPTURE(unconnected.count(), served_after.count());
  is_connected = unconnected == Duration::zero();
  is_stalled = GENERATE(false, true);
  Host* first = nullptr;
  for (auto& host : hosts)
    if (first == nullptr && host->blocks.TryStartTrial(contents))
      first = host.get();
  REQUIRE(first != nullptr);
  const TimePoint sent_at = clock.Now();
  Advance(served_after);
  first->blocks.OnServed(contents, sent_at);
  Advance(unconnected);
  is_connected = true;
  Advance(milliseconds(200));
  Deliver();
  for (auto& host : hosts) {
    INFO(host->name);
    CHECK_FALSE(host->blocks.BlockedUntil(contents));
  }
}

}  // namespace
}  // namespace lovagecleat::gateway
