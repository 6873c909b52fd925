#include <catch2/catch.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/configuration.h"
#include "platform/platform.h"
#include "services/entry/backend_calls.h"
#include "services/entry/caller_messages.h"
#include "tests/policy/entry_host_harness.h"
#include "tests/policy/property.h"
#include "transport/transport.h"

// Robustness of the readers of external input. Any input is accepted or
// rejected, by most readers with a typed error, and none terminates the
// process.
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

// The size is given because one of the bytes is NUL.
constexpr char kMutationByteArray[] = "{}[]\",:0-9eE.\\\0\xff\x80 tfn\n";
constexpr std::string_view kMutationBytes(kMutationByteArray,
                                          sizeof(kMutationByteArray) - 1);

// Returns the document after replacing, removing, repeating or truncating
// bytes.
std::string Mutate(std::string_view document, Choices& choices) {
  std::string bytes(document);
  while (!choices.IsExhausted() && !bytes.empty()) {
    const auto position =
        static_cast<std::size_t>(choices.Below(static_cast<int>(bytes.size())));
    const auto offset = static_cast<std::size_t>(
        choices.Below(static_cast<int>(kMutationBytes.size())));
    switch (choices.Below(4)) {
      case 0:
        bytes[position] = kMutationBytes[offset];
        break;
      case 1:
        bytes.erase(position, 1);
        break;
      case 2:
        bytes.insert(position, bytes.substr(position, offset));
        break;
      default:
        bytes.resize(position);
        break;
    }
  }
  return bytes;
}

// Requires that the reader gives problems for a mutated document exactly if it
// rejects the document.
template <typename Reader>
void RequireProblemsIffRejected(std::string_view document) {
  Reader whole;
  REQUIRE(whole.Read(document).has_value());
  RequireProperty(kRuns, [document] {
    Choices choices(*AnyChoices());
    Reader reader;
    const bool is_read = reader.Read(Mutate(document, choices)).has_value();
    RC_ASSERT(is_read == reader.problems().empty());
  });
}

TEST_CASE("Mutated settings are accepted or rejected with problems") {
  RequireProblemsIffRejected<configuration::SettingsReader>(kSettings);
}

TEST_CASE("Mutated configurations are accepted or rejected with problems") {
  RequireProblemsIffRejected<configuration::ConfigurationReader>(
      kConfiguration);
}

TEST_CASE("Mutated changes are accepted or rejected with problems") {
  RequireProblemsIffRejected<configuration::ChangeReader>(kChange);
}

TEST_CASE("Mutated inventories are accepted or rejected with a typed error") {
  platform::InventoryReader whole;
  REQUIRE(whole.Read(kInventory).has_value());
  RequireProperty(kRuns, [] {
    Choices choices(*AnyChoices());
    platform::InventoryReader reader;
    const bool is_read = reader.Read(Mutate(kInventory, choices)).has_value();
    const bool has_error =
        reader.last_error() != platform::InventoryError::kNone;
    RC_ASSERT(is_read != has_error);
  });
}

TEST_CASE("Mutated requests are accepted or rejected with a detail") {
  entry::CallerRequestReader whole;
  REQUIRE(whole.Read(kRequest).has_value());
  RequireProperty(kRuns, [] {
    Choices choices(*AnyChoices());
    entry::CallerRequestReader reader;
    const bool is_read = reader.Read(Mutate(kRequest, choices)).has_value();
    RC_ASSERT(is_read == reader.last_problem().detail.empty());
  });
}

TEST_CASE("Mutated load reports are accepted in full or rejected") {
  REQUIRE(entry::ReadLoadReport(kLoad).has_value());
  RequireProperty(kRuns, [] {
    Choices choices(*AnyChoices());
    const auto report = entry::ReadLoadReport(Mutate(kLoad, choices));
    if (!report.has_value()) return;
    RC_ASSERT(report->age >= Duration::zero());
  });
}

TEST_CASE("Server-sent events are parsed alike however bytes are split") {
  const std::string stream =
      "event: token\nid: 0\ndata: {\"text\":\"a\"}\n\n"
      "event: done\ndata: {}\n\n";
  RequireProperty(kRuns, [&stream] {
    Choices choices(*AnyChoices());
    const std::string bytes = Mutate(stream, choices);
    transport::ServerSentEventParser whole(4096);
    transport::ServerSentEventParser byte_by_byte(4096);
    const auto expected = whole.Feed(bytes);
    std::vector<transport::ServerSentEvent> events;
    bool is_rejected = false;
    for (const char byte : bytes) {
      const auto parsed = byte_by_byte.Feed(std::string_view(&byte, 1));
      if (!parsed.has_value()) {
        is_rejected = true;
        break;
      }
      events.insert(events.end(), parsed->begin(), parsed->end());
    }
    RC_ASSERT(is_rejected == !expected.has_value());
    if (expected.has_value()) RC_ASSERT(events == *expected);
  });
}

TEST_CASE("Mutated peer messages never terminate a host") {
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
    policy::EntryHostHarness host({});
    host.SubmitRequest("lookup");
    Choices choices(*AnyChoices());
    messages::PeerMessage mutated;
    if (!mutated.ParseFromString(Mutate(document, choices))) return;
    host.Deliver(mutated);
    host.Advance(std::chrono::seconds(3));
    // The request of the host itself is unaffected: its backend call is still
    // in flight.
    RC_ASSERT(host.Take<policy::StartBackendCall>().size() >= 1);
  });
}

}  // namespace
}  // namespace lovagecleat::tests
