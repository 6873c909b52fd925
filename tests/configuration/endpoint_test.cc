#include <catch2/catch.hpp>

#include "configuration/configuration.h"

namespace lovagecleat::configuration {
namespace {

TEST_CASE("An endpoint is an IP address with a port") {
  const auto ipv4 = ParseEndpoint("127.0.0.1:7001");
  REQUIRE(ipv4.has_value());
  CHECK(ipv4->address == "127.0.0.1");
  CHECK(ipv4->port == 7001);
  const auto ipv6 = ParseEndpoint("[::1]:65535");
  REQUIRE(ipv6.has_value());
  CHECK(ipv6->address == "::1");
  CHECK(ipv6->port == 65535);
}

TEST_CASE("An invalid endpoint is rejected") {
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
