#include <catch2/catch.hpp>

#include "configuration/configuration.h"

namespace lovagecleat::configuration {
namespace {

TEST_CASE("Endpoints are IP numbers with a port") {
  const auto version_4 = ParseEndpoint("127.0.0.1:7001");
  REQUIRE(version_4.has_value());
  CHECK(version_4->address == "127.0.0.1");
  CHECK(version_4->port == 7001);
  const auto version_6 = ParseEndpoint("[::1]:65535");
  REQUIRE(version_6.has_value());
  CHECK(version_6->address == "::1");
  CHECK(version_6->port == 65535);
}

TEST_CASE("What is no endpoint is refused") {
  for (const char* text :
       {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
        "127.0.0.1:7001 ", "localhost:7001", "::1:7001", "[127.0.0.1]:7001",
        "[]:1", "127.0.0.1:-1"}) {
    INFO(text);
    CHECK_FALSE(ParseEndpoint(text).has_value());
  }
}

}  // namespace
}  // namespace lovagecleat::configuration
