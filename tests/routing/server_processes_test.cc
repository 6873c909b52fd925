#include <catch2/catch.hpp>
#include <string>

#include "routing/routing.h"

namespace lovagecleat::routing {
namespace {

using std::chrono::milliseconds;

const std::string kServer = "a";
constexpr Duration kChangeDelay = milliseconds(2000);
// Longer than a server needs to write its entry.
constexpr Duration kRegistered = milliseconds(100);

TimePoint At(int ms) { return TimePoint() + milliseconds(ms); }

TEST_CASE("A process is known once entries are read after it was reached") {
  ServerProcesses processes(kChangeDelay);
  const TimePoint since = processes.OnOpened(kServer, At(5000));
  REQUIRE(since == At(5000));
  REQUIRE(ServerProcesses::ReadAt(since) == since + kRegistered);
  processes.OnRead(since + kRegistered - milliseconds(1));
  REQUIRE_FALSE(processes.IsKnown(since));
  REQUIRE_FALSE(processes.IsSettled(kServer));
  processes.OnRead(since + kRegistered);
  REQUIRE(processes.IsKnown(since));
  REQUIRE(processes.IsSettled(kServer));
}

TEST_CASE("A process becomes known by time only in touch with the store") {
  ServerProcesses processes(kChangeDelay);
  processes.SetInTouch(true, At(0));
  const TimePoint since = processes.OnOpened(kServer, At(1000));
  processes.SetInTouch(true, At(2500));
  processes.SetInTouch(false, At(3000));
  processes.SetInTouch(false, At(9000));
  REQUIRE_FALSE(processes.IsKnown(since));
  processes.SetInTouch(true, At(10000));
  processes.SetInTouch(true, At(11999));
  REQUIRE_FALSE(processes.IsKnown(since));
  processes.SetInTouch(true, At(12000));
  REQUIRE(processes.IsKnown(since));
}

// Guards against streams that wait in calm: every new connection counted as one
// to a new process.
TEST_CASE("Connections beside an open one reach the same process") {
  ServerProcesses processes(kChangeDelay);
  const TimePoint first = processes.OnOpened(kServer, At(1000));
  REQUIRE(processes.OnOpened(kServer, At(2000)) == first);
  processes.OnClosed(kServer, first, ConnectionEnd::kServer, At(2500));
  REQUIRE_FALSE(processes.HasBroken(kServer));
  REQUIRE(processes.OnOpened(kServer, At(3000)) == first);
}

TEST_CASE("A process may have ended once all connections to it have") {
  ServerProcesses processes(kChangeDelay);
  const TimePoint first = processes.OnOpened(kServer, At(1000));
  processes.OnOpened(kServer, At(2000));
  processes.OnRead(At(2500));
  processes.OnClosed(kServer, first, ConnectionEnd::kServer, At(3000));
  processes.OnClosed(kServer, first, ConnectionEnd::kServer, At(3000));
  REQUIRE(processes.HasBroken(kServer));
  REQUIRE_FALSE(processes.IsSettled(kServer));
  const TimePoint next = processes.OnOpened(kServer, At(4000));
  REQUIRE(next == At(4000));
  REQUIRE_FALSE(processes.IsKnown(next));
  // The end of an earlier connection says nothing of this process.
  processes.OnClosed(kServer, first, ConnectionEnd::kServer, At(4000));
  REQUIRE(processes.HasBroken(kServer));
  processes.OnRead(At(4100));
  REQUIRE(processes.IsSettled(kServer));
  REQUIRE_FALSE(processes.HasBroken(kServer));
}

TEST_CASE("A server that ends connections in order has not broken") {
  ServerProcesses processes(kChangeDelay);
  const TimePoint since = processes.OnOpened(kServer, At(1000));
  processes.OnClosed(kServer, since, ConnectionEnd::kHere, At(2000));
  REQUIRE_FALSE(processes.HasBroken(kServer));
  REQUIRE(processes.size() == 0);
  REQUIRE(processes.OnOpened(kServer, At(3000)) == At(3000));
}

// Guards against streams of two versions after a loss of power: the connections
// of the machine's earlier process stayed open.
TEST_CASE("Open connections show nothing once a server cannot be reached") {
  ServerProcesses processes(kChangeDelay);
  const TimePoint first = processes.OnOpened(kServer, At(1000));
  processes.OnOpened(kServer, At(1000));
  processes.OnRead(At(2000));
  SECTION("no new connection") { processes.OnNotConnected(kServer, At(3000)); }
  SECTION("an open one is lost") {
    processes.OnClosed(kServer, first, ConnectionEnd::kLost, At(3000));
  }
  REQUIRE(processes.HasBroken(kServer));
  REQUIRE_FALSE(processes.IsSettled(kServer));
  REQUIRE(processes.OnOpened(kServer, At(4000)) == At(4000));
}

TEST_CASE("What is known of processes that ended is dropped") {
  ServerProcesses processes(kChangeDelay);
  processes.OnNotConnected(kServer, At(1000));
  processes.OnOpened("b", At(1000));
  processes.SetInTouch(true, At(60'999));
  REQUIRE(processes.size() == 2);
  processes.SetInTouch(true, At(61'000));
  REQUIRE(processes.size() == 1);
  processes.Remove("b");
  REQUIRE(processes.size() == 0);
}

}  // namespace
}  // namespace lovagecleat::routing
