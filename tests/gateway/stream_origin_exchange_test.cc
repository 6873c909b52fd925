#include "services/gateway/stream_origin_exchange.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/gateway/context_fixture.h"

namespace lovagecleat::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kService("plain");
// Of everything that waits for one host, as docs/design/peer-bounds.md has it,
// and the fields of a message.
constexpr std::size_t kMaximumMessageBytes = 100'000 + 1000;

// Runs the exchange of one host with two others of its zone, one of which
// stores for the zone.
class ExchangeFixture : public ContextFixture {
 public:
  ExchangeFixture() {
    context.settings.zone = ZoneId("z");
    context.settings.peers = "self";
    for (const char* version : {"v1", "v2"}) {
      routing::ServerEntry entry;
      entry.id = ServerId(version);
      entry.service = kService;
      entry.software_version = version;
      context.directory.Put(entry, context.Now());
    }
    // The store's reader is chosen by the hosts' addresses.
    const auto is_writer = [](const std::string& host) {
      const std::vector<routing::BatchingHost> candidates = {
          {"self", true, 1}, {host, true, 1}, {"other", true, 1}};
      return routing::StoreReader(candidates) == host;
    };
    for (int i = 0; writer.empty(); ++i)
      if (is_writer("writer" + std::to_string(i)))
        writer = "writer" + std::to_string(i);
    exchange = std::make_unique<StreamOriginExchange>(
        context, rows, [](const std::string&) { return true; },
        [this](const std::string& peer,
               const messages::StreamOriginTraffic& traffic) {
          return Send(peer, traffic);
        });
    const std::vector<PeerHost> hosts = {{writer, ZoneId("z"), 1},
                                         {"other", ZoneId("z"), 1}};
    exchange->SetHosts(hosts);
  }

  bool Send(const std::string& peer,
            const messages::StreamOriginTraffic& traffic) {
    largest = std::max(largest, traffic.ByteSizeLong());
    if (!is_connected) return false;
    if (peer == writer)
      for (const messages::StreamOrigin& origin : traffic.origins())
        ++sent_to_writer[origin.stream()];
    if (traffic.batch() == 0) return true;
    messages::StreamOriginTraffic answer;
    answer.add_acknowledged(traffic.batch());
    loop().After(kAcknowledgementDelay,
                 [this, peer, answer] { exchange->OnTraffic(peer, answer); });
    return true;
  }

  static constexpr Duration kAcknowledgementDelay = milliseconds(100);
  std::string writer;
  bool is_connected = true;
  std::size_t largest = 0;                    // message, in bytes
  std::map<std::string, int> sent_to_writer;  // by stream
  std::unique_ptr<StreamOriginExchange> exchange;
};

// Guards against messages without end: while all origins were passed to the
// zone's writer, new ones had no room, so that all were passed again.
TEST_CASE_METHOD(ExchangeFixture, "A pass of many origins to the writer ends") {
  constexpr int known_count = 3000;
  messages::StreamOriginTraffic known;
  for (int i = 0; i < known_count; ++i) {
    messages::StreamOrigin& origin = *known.add_origins();
    origin.set_stream("k" + std::to_string(i));
    origin.set_service(kService.value());
    origin.set_software_version("v1");
    origin.set_remaining_us(Duration(seconds(60)).count());
  }
  exchange->OnTraffic("other", known);
  exchange->UpdateWriter(std::nullopt);
  constexpr int new_count = 400;
  for (int i = 0; i < new_count; ++i) {
    // New ids come before and after the known ones.
    exchange->Add((i % 2 == 0 ? "a" : "z") + std::to_string(i),
                  {kService, "v1"}, seconds(60));
    RunFor(milliseconds(10));
    exchange->RemoveExpired();
  }
  RunFor(milliseconds(500));
  CHECK(sent_to_writer.size() == known_count + new_count);
  // A new stream may come in two roles: as the zone's copy and as one of all.
  for (const auto& [stream, times] : sent_to_writer) {
    INFO(stream);
    REQUIRE(times <= (stream.starts_with("k") ? 1 : 2));
  }
}

// Guards against memory that grows with the ids of resumed streams, which
// callers choose.
TEST_CASE_METHOD(ExchangeFixture, "Questions to a host have a bound in bytes") {
  is_connected = GENERATE(false, true);
  for (int i = 0; i < 500; ++i) {
    const std::string id = std::to_string(i) + std::string(2000, 'x');
    exchange->Find({id, kService, seconds(5)}, this, [](const auto&) {});
  }
  RunFor(milliseconds(50));
  CHECK(largest > kMaximumMessageBytes / 2);
  CHECK(largest <= kMaximumMessageBytes);
  exchange->Cancel(this);
}

}  // namespace
}  // namespace lovagecleat::gateway
