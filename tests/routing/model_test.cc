#include <catch2/catch.hpp>

#include "routing/routing.h"

namespace lovagecleat::routing {
namespace {

Route MakeRoute(const char* name, const char* host, const char* prefix) {
  Route route;
  route.name = name;
  route.host = host;
  route.prefix = prefix;
  return route;
}

TEST_CASE("The route with the longest matching prefix of the host is found") {
  RoutingTable table;
  table.routes = {MakeRoute("short", "a", "/x/"),
                  MakeRoute("long", "a", "/x/y/"),
                  MakeRoute("other", "b", "/x/y/z/")};
  REQUIRE(table.FindRoute("a", "/x/y/z/1")->name == "long");
  REQUIRE(table.FindRoute("a", "/x/yy")->name == "short");
  REQUIRE(table.FindRoute("a", "/x") == nullptr);
  REQUIRE(table.FindRoute("c", "/x/") == nullptr);
}

TEST_CASE("Only safe requests and resumable streams may be repeated") {
  Route route;
  route.kind = RequestKind::kSafe;
  REQUIRE(route.MayRepeat());
  route.kind = RequestKind::kUnsafe;
  route.is_resumable = true;
  REQUIRE_FALSE(route.MayRepeat());
  route.kind = RequestKind::kStream;
  REQUIRE(route.MayRepeat());
  route.is_resumable = false;
  REQUIRE_FALSE(route.MayRepeat());
}

}  // namespace
}  // namespace lovagecleat::routing
