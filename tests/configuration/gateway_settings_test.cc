#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <map>
#include <string>

#include "configuration/configuration.h"

namespace lovagecleat::configuration {
namespace {

constexpr const char* kValidSettings = R"({"host":"h","zone":"z",
 "callers":"127.0.0.1:1","readiness":"127.0.0.1:2","peers":"127.0.0.1:3",
 "metrics":"127.0.0.1:4","seeds":["127.0.0.1:5"],"store":"127.0.0.1:6",
 "bounds":{"cold_factor":1.25,"cold_slack":4,"retry_ratio":0.3,
 "retry_slack":9,"contact_ms":4000,"change_ms":3000,"stop_s":9},
 "something_new":true})";

TEST_CASE("Gateway settings are read and unknown keys are ignored") {
  GatewaySettingsReader reader;
  const auto settings = reader.Read(kValidSettings);
  REQUIRE(settings);
  REQUIRE(settings->host == HostId("h"));
  REQUIRE(settings->seed_peers.size() == 1);
  REQUIRE(settings->limits.cold_factor == 1.25);
  REQUIRE(settings->limits.store_contact_timeout == std::chrono::seconds(4));
  REQUIRE(settings->limits.maximum_change_delay == std::chrono::seconds(3));
  REQUIRE(settings->limits.shutdown_timeout == std::chrono::seconds(9));
  REQUIRE_FALSE(settings->limits.exposure);
}

TEST_CASE("The limits on versions that are rolled out are read") {
  std::string text(kValidSettings);
  text.replace(text.find(R"("stop_s")"), 8,
               R"("exposure_share":0.2,"exposure_slack":30,
                  "rollback_ms":4000,"stop_s")");
  GatewaySettingsReader reader;
  const auto settings = reader.Read(text);
  REQUIRE(settings);
  REQUIRE(settings->limits.exposure);
  CHECK(settings->limits.exposure->share == 0.2);
  CHECK(settings->limits.exposure->slack == 30);
  CHECK(settings->limits.exposure->rollback_time == std::chrono::seconds(4));
  text.replace(text.find("0.2"), 3, "-.2");
  REQUIRE_FALSE(reader.Read(text));
}

// Guards against a stop that cuts all requests: the time from SIGTERM to
// SIGKILL may have a fraction, and 7.5 s was read as 7.5 ms.
TEST_CASE("The deployment's template keeps the fraction of a stop time") {
  std::ifstream file(TEST_DATA_DIRECTORY "/../../deploy/gateway.json.template");
  std::string text((std::istreambuf_iterator<char>(file)),
                   std::istreambuf_iterator<char>());
  REQUIRE_FALSE(text.empty());
  const std::map<std::string, std::string> values = {
      {"nodeName", "h"},
      {"zone", "z"},
      {"listen.front", "10.0.0.1:1"},
      {"listen.ready", "10.0.0.1:2"},
      {"listen.control", "10.0.0.1:3"},
      {"ip", "10.0.0.1"},
      {"seedNodes|json", "[]"},
      {"platform.address", "10.0.0.2:1"},
      {"limits.ramMb", "260"},
      {"limits.maxFds", "4100"},
      {"#sloBounds.exposeShare", ""},
      {"sloBounds.exposeShare", "0.1"},
      {"/sloBounds.exposeShare", ""},
      {"sloBounds.graceS", "7.5"}};
  const std::string other_number = "2";
  for (auto start = text.find("{{"); start != std::string::npos;
       start = text.find("{{")) {
    const auto end = text.find("}}", start);
    const auto value = values.find(text.substr(start + 2, end - start - 2));
    text.replace(start, end + 2 - start,
                 value == values.end() ? other_number : value->second);
  }
  GatewaySettingsReader reader;
  const auto settings = reader.Read(text);
  INFO(text);
  REQUIRE(settings);
  REQUIRE(settings->limits.shutdown_timeout == std::chrono::milliseconds(7500));
}

TEST_CASE(
    "Each invalid gateway setting is reported with its key and the expected "
    "value") {
  GatewaySettingsReader reader;
  REQUIRE_FALSE(reader.Read(
      R"({"host":"h","zone":"z","callers":"localhost:1","readiness":"",
          "store":"1.2.3.4:70000","seeds":["x"],"bounds":{"retry_ratio":-1}})"));
  std::vector<std::string> keys;
  for (const Problem& problem : reader.problems()) {
    keys.push_back(problem.key);
    REQUIRE_FALSE(problem.expected.empty());
  }
  REQUIRE(keys == std::vector<std::string>{"/callers", "/readiness", "/peers",
                                           "/store", "/seeds/0",
                                           "/bounds/retry_ratio"});
  REQUIRE_FALSE(reader.Read("{"));
  REQUIRE(reader.problems().size() == 1);
}

TEST_CASE("Memory settings are read, and absent unless given") {
  const std::string prefix =
      R"({"host":"h","zone":"z","callers":"127.0.0.1:1",
          "readiness":"127.0.0.1:2","peers":"127.0.0.1:3",
          "store":"127.0.0.1:6")";
  GatewaySettingsReader reader;
  REQUIRE_FALSE(reader.Read(prefix + "}")->memory);
  const auto settings = reader.Read(
      prefix + R"(,"memory":{"megabytes":120,"descriptors":3075}})");
  REQUIRE(settings);
  REQUIRE(settings->memory->bytes == 120ULL * 1024 * 1024);
  REQUIRE(settings->memory->descriptors == 3075);
  REQUIRE(settings->memory->address_share == 1.0);
  REQUIRE_FALSE(reader.Read(
      prefix +
      R"(,"memory":{"megabytes":1,"descriptors":"x","address_share":0}})"));
  std::vector<std::string> keys;
  for (const Problem& problem : reader.problems()) keys.push_back(problem.key);
  REQUIRE(keys == std::vector<std::string>{"/memory/megabytes",
                                           "/memory/descriptors",
                                           "/memory/address_share"});
}

TEST_CASE("Room settings are read, and absent unless given") {
  const std::string prefix =
      R"({"host":"h","zone":"z","callers":"127.0.0.1:1",
          "readiness":"127.0.0.1:2","peers":"127.0.0.1:3",
          "store":"127.0.0.1:6")";
  GatewaySettingsReader reader;
  REQUIRE_FALSE(reader.Read(prefix + "}")->room);
  REQUIRE(reader.Read(prefix + R"(,"room":{}})")->room);
  const auto settings = reader.Read(
      prefix +
      R"(,"room":{"worth":{"drafts":4.7},"team_weights":{"north":2}}})");
  REQUIRE(settings);
  REQUIRE(settings->room->worth.at("drafts") == 4.7);
  REQUIRE(settings->room->team_weights.at(TeamId("north")) == 2);
  REQUIRE_FALSE(reader.Read(
      prefix + R"(,"room":{"worth":{"a":0,"b":"x"},"team_weights":3}})"));
  std::vector<std::string> keys;
  for (const Problem& problem : reader.problems()) keys.push_back(problem.key);
  REQUIRE(keys == std::vector<std::string>{"/room/worth/a", "/room/worth/b",
                                           "/room/team_weights"});
}

}  // namespace
}  // namespace lovagecleat::configuration
