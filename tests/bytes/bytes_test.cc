#include <catch2/catch.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/configuration.h"
#include "platform/platform.h"
#include "services/entry/backend_calls.h"
#include "services/entry/caller_messages.h"
#include "tests/policy/one_host.h"
#include "tests/policy/property.h"
#include "transport/transport.h"

// Whatever bytes come from outside, a reader either takes them or gives a typed
// reason; it never ends the process.
namespace lovagecleat::tests {
namespace {

constexpr PropertyRuns kRuns{.seed = 31, .count = 2000, .maximum_size = 60};

constexpr const char* kSettings =
    R"({"host":"a","zone":"z","callers":{"address":"127.0.0.1","port":7001},)"
    R"("peers":{"address":"127.0.0.1","port":7101},)"
    R"("platform":{"address":"127.0.0.1","port":6000},"seed":0})";
constexpr const char* kConfiguration =
    R"({"revision":7,"utc_offset_minutes":300,"classes":[{"id":"c",)"
    R"("pipeline":"p","targets":[{"from_hour":0,"target_ms":5000}]}],)"
    R"("pipelines":[{"id":"p","stages":[{"name":"s","service":"v"}]}],)"
    R"("services":[{"id":"v","kind":"plain","idempotent":true}],)"
    R"("zones":[{"id":"z","state":"in"}],"servers_out":[]})";
constexpr const char* kChange =
    R"({"kind":"set_targets","class":"c","targets":[{"from_hour":0,"target_ms":4000}]})";
constexpr const char* kInventory =
    R"({"sequence":9,"hosts":[{"id":"h","zone":"z","peer_address":"127.0.0.1:1",)"
    R"("state":"live"}],"servers":[{"id":"s","service":"v","zone":"z",)"
    R"("address":"127.0.0.1:2","state":"live","cold_limit":1,"warm_limit":4}]})";
constexpr const char* kRequest =
    R"({"class":"c","team":"t","input":{"a":[1,2]},"deadline_ms":900})";
constexpr const char* kLoad =
    R"({"generation":1,"warmth":"warm","in_flight":2,"queued":0,"age_ms":150})";

// The size is given, since one of the bytes is zero.
constexpr char kInterestingBytes[] = "{}[]\",:0-9eE.\\\0\xff\x80 tfn\n";
constexpr std::string_view kInteresting(kInterestingBytes,
                                        sizeof(kInterestingBytes) - 1);

// The document with some of its bytes replaced, left out, doubled or cut off.
std::string Damage(std::string_view document, Choices& choices) {
  std::string bytes(document);
  while (!choices.IsExhausted() && !bytes.empty()) {
    const auto at =
        static_cast<std::size_t>(choices.Below(static_cast<int>(bytes.size())));
    const auto with = static_cast<std::size_t>(
        choices.Below(static_cast<int>(kInteresting.size())));
    switch (choices.Below(4)) {
      case 0:
        bytes[at] = kInteresting[with];
        break;
      case 1:
        bytes.erase(at, 1);
        break;
      case 2:
        bytes.insert(at, bytes.substr(at, with));
        break;
      default:
        bytes.resize(at);
        break;
    }
  }
  return bytes;
}

// Reads damaged forms of a document: refused ones have problems, taken ones
// have none.
template <typename Reader>
void RequireTypedProblems(std::string_view document) {
  Reader whole;
  REQUIRE(whole.Read(document).has_value());
  RequireProperty(kRuns, [document] {
    Choices choices(*AnyChoices());
    Reader reader;
    const bool is_read = reader.Read(Damage(document, choices)).has_value();
    RC_ASSERT(is_read == reader.problems().empty());
  });
}

TEST_CASE("Damaged settings are read or refused with problems") {
  RequireTypedProblems<configuration::SettingsReader>(kSettings);
}

TEST_CASE("Damaged configurations are read or refused with problems") {
  RequireTypedProblems<configuration::ConfigurationReader>(kConfiguration);
}

TEST_CASE("Damaged changes are read or refused with problems") {
  RequireTypedProblems<configuration::ChangeReader>(kChange);
}

TEST_CASE("Damaged host lists are read or refused by kind") {
  platform::InventoryReader whole;
  REQUIRE(whole.Read(kInventory).has_value());
  RequireProperty(kRuns, [] {
    Choices choices(*AnyChoices());
    platform::InventoryReader reader;
    const bool is_read = reader.Read(Damage(kInventory, choices)).has_value();
    const bool has_error =
        reader.last_error() != platform::InventoryError::kNone;
    RC_ASSERT(is_read != has_error);
  });
}

TEST_CASE("Damaged requests are read or refused with a detail") {
  entry::CallerRequestReader whole;
  REQUIRE(whole.Read(kRequest).has_value());
  RequireProperty(kRuns, [] {
    Choices choices(*AnyChoices());
    entry::CallerRequestReader reader;
    const bool is_read = reader.Read(Damage(kRequest, choices)).has_value();
    RC_ASSERT(is_read == reader.last_problem().detail.empty());
  });
}

TEST_CASE("Damaged load reports are read whole or not at all") {
  REQUIRE(entry::ReadLoadReport(kLoad).has_value());
  RequireProperty(kRuns, [] {
    Choices choices(*AnyChoices());
    const auto report = entry::ReadLoadReport(Damage(kLoad, choices));
    if (!report.has_value()) return;
    RC_ASSERT(report->age >= Duration::zero());
  });
}

TEST_CASE("Server-sent events come out the same however bytes are cut") {
  const std::string stream =
      "event: token\nid: 0\ndata: {\"text\":\"a\"}\n\n"
      "event: done\ndata: {}\n\n";
  RequireProperty(kRuns, [&stream] {
    Choices choices(*AnyChoices());
    const std::string bytes = Damage(stream, choices);
    transport::ServerSentEventParser whole(4096);
    transport::ServerSentEventParser cut(4096);
    const auto expected = whole.Feed(bytes);
    std::vector<transport::ServerSentEvent> events;
    bool is_refused = false;
    for (const char byte : bytes) {
      const auto some = cut.Feed(std::string_view(&byte, 1));
      if (!some.has_value()) {
        is_refused = true;
        break;
      }
      events.insert(events.end(), some->begin(), some->end());
    }
    RC_ASSERT(is_refused == !expected.has_value());
    if (expected.has_value()) RC_ASSERT(events == *expected);
  });
}

TEST_CASE("Damaged peer messages never end a host") {
  messages::PeerMessage message;
  message.set_sender("z2-a");
  message.set_incarnation(7);
  message.set_sequence(1);
  messages::StageRequest* request = message.mutable_stage_request();
  request->set_attempt(31);
  request->set_service("encoder");
  request->set_request_class("lookup");
  request->set_team("team");
  request->set_input("{}");
  request->set_remaining_us(2000000);
  const std::string document = message.SerializeAsString();
  RequireProperty({.seed = 32, .count = 300, .maximum_size = 40}, [&document] {
    policy::OneHost host({});
    host.Ask("lookup");
    Choices choices(*AnyChoices());
    messages::PeerMessage damaged;
    if (!damaged.ParseFromString(Damage(document, choices))) return;
    host.Deliver(damaged);
    host.Advance(std::chrono::seconds(3));
    // The host's own request is unharmed: its call is still out.
    RC_ASSERT(host.Take<policy::StartBackendCall>().size() >= 1);
  });
}

}  // namespace
}  // namespace lovagecleat::tests
