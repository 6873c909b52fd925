#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "routing/routing.h"

namespace lovagecleat::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const RoomResource kSlots{ServiceId("assets"), ZoneId("a"), RoomKind::kCalls};

RoomWork Work(const char* team, int priority, double work, double worth = 1.0) {
  return {kSlots, MakeRoomRank(priority, worth), TeamId(team), work};
}

RoomClaim Claim(const char* team, int priority, double items,
                Duration objective, Duration deadline = seconds(6),
                double worth = 1.0) {
  RoomClaim claim;
  claim.rank = MakeRoomRank(priority, worth);
  claim.team = TeamId(team);
  claim.objective = objective;
  claim.deadline = deadline;
  claim.work = {items, 0};
  return claim;
}

using Supplies = std::array<RoomSupply, kRoomKinds>;

std::size_t Count(const RoomAllotment& allotment, RoomVerdict verdict,
                  std::size_t from, std::size_t to) {
  return static_cast<std::size_t>(std::count(
      allotment.verdicts.begin() + static_cast<std::ptrdiff_t>(from),
      allotment.verdicts.begin() + static_cast<std::ptrdiff_t>(to), verdict));
}

RoomQuestion QuestionFor(const RoomLoad& load, int priority, double work) {
  RoomQuestion question;
  question.steps.push_back({{}, milliseconds(200), {{&load, work, work}}});
  question.priority = priority;
  // One for each second of a resource with a rate of 100.
  question.worth = work / 100;
  question.team = TeamId("new");
  question.objective = seconds(1);
  question.deadline = seconds(4);
  return question;
}

}  // namespace

TEST_CASE("Ranks survive encoding, and any number is a rank") {
  for (std::uint32_t number = 0; number < 128; ++number)
    CHECK(RoomRank::Decode(number).Encode() == number);
  CHECK(RoomRank::Decode(0xffffffffU).Encode() == 127);
  CHECK(MakeRoomRank(-5, 1).priority == 0);
  CHECK(MakeRoomRank(99, 1).priority == RoomRank::kPriorities - 1);
  CHECK(MakeRoomRank(0, 1e300).worth_step == 0);
  CHECK(MakeRoomRank(0, -1).worth_step == RoomRank::kWorthSteps - 1);
  CHECK(MakeRoomRank(0, 8) < MakeRoomRank(0, 2));
  CHECK(MakeRoomRank(0, 0.001) < MakeRoomRank(1, 1000));
}

TEST_CASE("A request waits behind work of its rank and more urgent ones only") {
  const RoomSupply supply{100, 0, {}};
  const std::vector<RoomWork> waiting{Work("x", 0, 50), Work("x", 1, 100),
                                      Work("x", 2, 1000)};
  const RoomLoad load = MeasureRoom(waiting, supply, {});
  CHECK(DecideRoom(QuestionFor(load, 0, 10)).verdict ==
        RoomVerdict::kInObjective);
  CHECK(load.WaitFor(MakeRoomRank(0, 1), TeamId("x"), 10) == milliseconds(600));
  CHECK(load.WaitFor(MakeRoomRank(1, 1), TeamId("x"), 10) ==
        milliseconds(1600));
}

TEST_CASE("A request that misses its objective is late, then refused") {
  const RoomSupply supply{100, 0, {}};
  const std::vector<RoomWork> some{Work("new", 0, 200)};
  const RoomLoad few = MeasureRoom(some, supply, {});
  const RoomAnswer late = DecideRoom(QuestionFor(few, 0, 10));
  CHECK(late.verdict == RoomVerdict::kInDeadline);
  CHECK(late.rank.is_late);
  const std::vector<RoomWork> many{Work("new", 0, 500)};
  const RoomLoad load = MeasureRoom(many, supply, {});
  const RoomAnswer refused = DecideRoom(QuestionFor(load, 0, 10));
  CHECK(refused.verdict == RoomVerdict::kNone);
  // 5.1 s of work and a call of 0.2 s; the objective is 1 s.
  CHECK(refused.room_after == milliseconds(4300));
}

// Guards against a service that refuses everything because its times, which
// only served requests can correct, seem too long.
TEST_CASE("Nothing is refused for times alone where nothing waits") {
  const RoomLoad idle = MeasureRoom({}, {100, 0, {}}, {});
  RoomQuestion question = QuestionFor(idle, 0, 10);
  question.steps.front().time = seconds(30);
  CHECK(DecideRoom(question).verdict == RoomVerdict::kInDeadline);
}

TEST_CASE("A resource with an unknown rate refuses nothing") {
  const std::vector<RoomWork> waiting{Work("x", 0, 1e9)};
  const RoomLoad load = MeasureRoom(waiting, {0, 0, {}}, {});
  CHECK(DecideRoom(QuestionFor(load, 2, 10)).verdict ==
        RoomVerdict::kInObjective);
}

TEST_CASE("The scarce resource is found among those that a request needs") {
  const std::vector<RoomWork> waiting{Work("x", 0, 40)};
  const RoomLoad slots = MeasureRoom({}, {100, 50, {}}, {});
  const RoomLoad memory = MeasureRoom(waiting, {10, 0, {}}, {});
  RoomQuestion question = QuestionFor(slots, 0, 10);
  question.steps.push_back({{0}, milliseconds(200), {{&memory, 1, 1}}});
  CHECK(DecideRoom(question).step == std::size_t{1});
  question.steps[1].needs[0].load = &slots;
  question.steps[0].needs[0].load = &memory;
  CHECK(DecideRoom(question).step == std::size_t{0});
}

// Guards against sums of waits, which refuse requests that could be served:
// later queues empty while earlier stages run.
TEST_CASE("The waits at the stages of a request pass at the same time") {
  const std::vector<RoomWork> waiting{Work("new", 0, 50)};
  const RoomLoad load = MeasureRoom(waiting, {100, 0, {}}, {});
  RoomQuestion question = QuestionFor(load, 0, 10);
  question.steps.push_back({{0}, milliseconds(200), {{&load, 10, 10}}});
  const RoomAnswer answer = DecideRoom(question);
  CHECK(answer.finish == milliseconds(1000));
  CHECK(answer.verdict == RoomVerdict::kInObjective);
}

TEST_CASE("A team that floods waits behind itself") {
  std::vector<RoomWork> waiting;
  waiting.reserve(101);
  for (int i = 0; i < 100; ++i) waiting.push_back(Work("flood", 0, 10));
  waiting.push_back(Work("calm", 0, 10));
  const RoomLoad load = MeasureRoom(waiting, {100, 0, {}}, {});
  const RoomRank rank = MakeRoomRank(0, 1);
  CHECK(load.WaitFor(rank, TeamId("flood"), 10) > seconds(10));
  CHECK(load.WaitFor(rank, TeamId("calm"), 10) < milliseconds(500));
  CHECK(load.WaitFor(rank, TeamId("new"), 10) < milliseconds(500));
}

TEST_CASE("The weight of a team counts") {
  std::vector<RoomWork> waiting{Work("heavy", 0, 300), Work("light", 0, 300)};
  const RoomWeights weights{{TeamId("heavy"), 3.0}};
  const RoomLoad load = MeasureRoom(waiting, {100, 0, {}}, weights);
  const RoomRank rank = MakeRoomRank(0, 1);
  CHECK(load.WaitFor(rank, TeamId("heavy"), 0) <
        load.WaitFor(rank, TeamId("light"), 0));
  std::vector<RoomClaim> claims;
  claims.reserve(40);
  for (int i = 0; i < 40; ++i)
    claims.push_back(Claim(i % 2 == 0 ? "heavy" : "light", 0, 10, seconds(1)));
  const Supplies supplies{RoomSupply{200, 0, {}}, RoomSupply{}};
  const RoomAllotment allotment = AllotRoom(claims, supplies, weights);
  std::size_t heavy = 0;
  std::size_t light = 0;
  for (std::size_t i = 0; i < claims.size(); ++i)
    if (allotment.verdicts[i] == RoomVerdict::kInObjective)
      ++(i % 2 == 0 ? heavy : light);
  CHECK(heavy == 15);
  CHECK(light == 5);
}

TEST_CASE("Room goes by priority, and each priority has its least share") {
  std::vector<RoomClaim> claims;
  claims.reserve(300);
  for (int i = 0; i < 100; ++i)
    claims.push_back(Claim("x", 2, 1, seconds(1), seconds(1)));
  for (int i = 0; i < 200; ++i)
    claims.push_back(Claim("x", 0, 1, seconds(1), seconds(1)));
  const Supplies supplies{RoomSupply{100, 0, {}}, RoomSupply{}};
  const RoomAllotment allotment = AllotRoom(claims, supplies, {});
  CHECK(Count(allotment, RoomVerdict::kInObjective, 0, 100) == 5);
  CHECK(Count(allotment, RoomVerdict::kInObjective, 100, 300) == 95);
  CHECK(Count(allotment, RoomVerdict::kNone, 0, 300) == 200);
}

TEST_CASE("Within a priority, room goes by worth for the scarce resource") {
  std::vector<RoomClaim> claims;
  claims.reserve(60);
  for (int i = 0; i < 60; ++i)
    claims.push_back(
        Claim("x", 1, 2, seconds(1), seconds(1), i % 2 == 0 ? 1.0 : 8.0));
  const Supplies supplies{RoomSupply{60, 0, {}}, RoomSupply{}};
  const RoomAllotment allotment = AllotRoom(claims, supplies, {});
  for (std::size_t i = 0; i < claims.size(); ++i)
    CHECK((allotment.verdicts[i] == RoomVerdict::kInObjective) == (i % 2 == 1));
}

TEST_CASE("Memory for results can be what is scarce") {
  std::vector<RoomClaim> claims;
  claims.reserve(20);
  for (int i = 0; i < 20; ++i) {
    claims.push_back(Claim("x", 0, 1, seconds(1), seconds(1)));
    claims.back().work = {1, i < 10 ? 100.0 : 0.0};
  }
  const Supplies supplies{RoomSupply{1000, 0, {}}, RoomSupply{100, 200, {}}};
  const RoomAllotment allotment = AllotRoom(claims, supplies, {});
  CHECK(Count(allotment, RoomVerdict::kInObjective, 0, 10) == 3);
  CHECK(Count(allotment, RoomVerdict::kInObjective, 10, 20) == 10);
}

TEST_CASE("Late work gets what in-time work leaves") {
  std::vector<RoomClaim> claims;
  claims.reserve(300);
  for (int i = 0; i < 100; ++i)
    claims.push_back(Claim("x", 0, 1, milliseconds(-1), seconds(2)));
  Supplies supplies{RoomSupply{100, 0, {}}, RoomSupply{}};
  CHECK(Count(AllotRoom(claims, supplies, {}), RoomVerdict::kInDeadline, 0,
              100) == 100);
  supplies[0].taken.back() = 0.75;
  CHECK(Count(AllotRoom(claims, supplies, {}), RoomVerdict::kInDeadline, 0,
              100) == 50);
}

TEST_CASE("Plans are told as totals, and a stage leaves them once") {
  RoomPlans plans;
  plans.Add("r1", 1, Work("x", 0, 8));
  plans.Add("r1", 2, Work("x", 0, 16));
  plans.Add("r2", 1, Work("x", 0, 8));
  CHECK(plans.TakeChanged());
  CHECK_FALSE(plans.TakeChanged());
  REQUIRE(plans.Totals().size() == 1);
  CHECK(plans.Totals().front().work == 32);
  plans.RemoveStage("r1", 1);
  plans.RemoveStage("r1", 1);
  CHECK(plans.Totals().front().work == 24);
  plans.Remove("r1");
  plans.Remove("r2");
  CHECK(plans.empty());
  CHECK(plans.TakeChanged());
}

TEST_CASE("A host's plans are replaced, and forgotten with it") {
  RoomBoard board;
  board.Set("h1", {Work("x", 0, 8)}, TimePoint(seconds(1)));
  board.Set("h1", {Work("x", 0, 4)}, TimePoint(seconds(2)));
  board.Set("h2", {Work("y", 1, 3)}, TimePoint(seconds(4)));
  std::vector<RoomWork> work;
  board.AppendPlanned(kSlots, work);
  REQUIRE(work.size() == 2);
  CHECK(work.front().work == 4);
  board.RemoveOlder(TimePoint(seconds(3)));
  work.clear();
  board.AppendPlanned(kSlots, work);
  CHECK(work.size() == 1);
  board.Set("h2", {}, TimePoint(seconds(5)));
  work.clear();
  board.AppendPlanned(kSlots, work);
  CHECK(work.empty());
}

}  // namespace lovagecleat::routing
