#include "utilities/ctl/request_log.h"

#include <catch2/catch.hpp>
#include <sstream>

namespace lovagecleat::ctl {
namespace {

TEST_CASE(
    "The log of a request has its own lines and the state changes of its "
    "hosts") {
  std::istringstream log(
      R"({"unix_ms":9000,"host":"a","event":"store_lost","table":"op"}
{"unix_ms":1000,"host":"a","event":"start"}
{"unix_ms":9500,"host":"b","event":"store_lost","table":"op"}
not a gateway log line
{"unix_ms":10000,"host":"a","event":"send","request":"r1","server":"s","ms":3.5}
{"unix_ms":9900,"host":"a","event":"request","request":"r2","status":200}
10.1 a {"unix_ms":10100,"host":"a","event":"request","request":"r1","status":502}
)");
  const auto lines = ReadRequestLog(log, "r1");
  REQUIRE(lines.size() == 3);
  REQUIRE(lines[0].text == "a store_lost table=op");
  REQUIRE(lines[1].text == "a send ms=3.5 request=r1 server=s");
  REQUIRE(lines[2].text == "a request request=r1 status=502");
}

TEST_CASE("The log of a request that no line has is empty") {
  std::istringstream log(R"({"unix_ms":1,"host":"a","event":"start"})");
  REQUIRE(ReadRequestLog(log, "r1").empty());
}

}  // namespace
}  // namespace lovagecleat::ctl
