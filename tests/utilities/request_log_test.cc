#include "utilities/ctl/log_story.h"

#include <catch2/catch.hpp>
#include <sstream>

namespace lovagecleat::ctl {
namespace {

TEST_CASE("A request's story has its lines and what its hosts believed") {
  std::istringstream log(
      R"({"unix_ms":9000,"host":"a","event":"store_lost","table":"op"}
{"unix_ms":1000,"host":"a","event":"start"}
{"unix_ms":9500,"host":"b","event":"store_lost","table":"op"}
not a line of ours
{"unix_ms":10000,"host":"a","event":"send","request":"r1","server":"s","ms":3.5}
{"unix_ms":9900,"host":"a","event":"request","request":"r2","status":200}
10.1 a {"unix_ms":10100,"host":"a","event":"request","request":"r1","status":502}
)");
  const auto story = ReadStory(log, "r1");
  REQUIRE(story.size() == 3);
  REQUIRE(story[0].text == "a store_lost table=op");
  REQUIRE(story[1].text == "a send ms=3.5 request=r1 server=s");
  REQUIRE(story[2].text == "a request request=r1 status=502");
}

TEST_CASE("A request that no line names has no story") {
  std::istringstream log(R"({"unix_ms":1,"host":"a","event":"start"})");
  REQUIRE(ReadStory(log, "r1").empty());
}

}  // namespace
}  // namespace lovagecleat::ctl
