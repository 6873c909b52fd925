#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "routing/routing.h"

// Tests that servers which crash together under a content are told from those
// that have a cause in common, such as a loss of power.
namespace lovagecleat::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ContentKey kCause("bad0");
const ContentKey kCommon("aaaa");
// The cause comes with a part that other requests have, too.
const std::vector<ContentKey> kRequest{kCommon, kCause};
// How often hosts judge crashes.
constexpr Duration kTickPeriod = milliseconds(250);
// Time after which the hosts must have heard of crashes.
constexpr Duration kContactTime = seconds(3);
constexpr int kCrashesToKnow = 5;

class CommonCauseFixture {
 public:
  // Judges crashes in each tick until then. Sound requests are served as long
  // as the service is available.
  void RunFor(Duration time) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += kTickPeriod;
      if (is_available_) suspects.AddServed(std::span(&kCommon, 1), now_);
      suspects.JudgeCrashes(now_);
    }
  }

  // Lets that many servers crash under a request with these contents, at
  // intervals of 10 ms; each was sent before the first one crashed.
  void CrashTogether(int count, const std::vector<ContentKey>& contents,
                     CrashMoment moment = CrashMoment::kJustStarted) {
    const TimePoint sent_at = now_;
    now_ += milliseconds(100);
    for (int i = 0; i < count; ++i) {
      now_ += milliseconds(10);
      suspects.AddCrash(contents, {++servers_, moment, now_, sent_at});
    }
  }

  bool IsBlocked(const ContentKey& content) const {
    return suspects.Find(content) != nullptr;
  }

  void Serve(const ContentKey& content) {
    suspects.AddServed(std::span(&content, 1), now_);
  }

  void Pause(Duration time) { now_ += time; }
  void SetAvailable(bool is_available) { is_available_ = is_available; }
  int servers() const { return static_cast<int>(servers_); }

  CrashSuspects suspects;

 private:
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  std::uint64_t servers_ = 0;
  bool is_available_ = true;
};

// Guards against a part that is at several servers at a time, so that many
// crash before it is known, or all (BUDGET).
TEST_CASE_METHOD(CommonCauseFixture,
                 "Servers that crash together under a part count each") {
  const int servers_at_once = GENERATE(1, 2, 3, 4, 5, 6, 12);
  const bool was_served = GENERATE(false, true);
  const auto moment =
      GENERATE(CrashMoment::kJustStarted, CrashMoment::kUnclear);
  CAPTURE(servers_at_once, was_served, moment);
  if (was_served) Serve(kCause);
  RunFor(seconds(4));
  while (servers() < kCrashesToKnow && !IsBlocked(kCause)) {
    CrashTogether(servers_at_once, kRequest, moment);
    RunFor(kContactTime);
  }
  REQUIRE(IsBlocked(kCause));
  REQUIRE_FALSE(IsBlocked(kCommon));
}

// Guards against blocking what sound requests share if a zone loses power.
TEST_CASE_METHOD(CommonCauseFixture, "A common cause blocks no sound part") {
  RunFor(seconds(4));
  SECTION("Servers that live serve the part") {
    CrashTogether(12, kRequest);
    RunFor(seconds(1));
    Serve(kCause);
  }
  SECTION("Most servers had other requests") {
    CrashTogether(6, kRequest);
    CrashTogether(12, {kCommon, ContentKey("b1")}, CrashMoment::kUnclear);
    CrashTogether(12, {kCommon, ContentKey("b2")}, CrashMoment::kUnclear);
  }
  SECTION("The whole service is gone") {
    SetAvailable(false);
    CrashTogether(12, kRequest);
    RunFor(seconds(10));
    // Both parts are served again.
    SetAvailable(true);
    Serve(kCause);
  }
  RunFor(seconds(10));
  REQUIRE(suspects.blocked().empty());
}

// Guards against a process that acts on what it knew before it was paused.
TEST_CASE_METHOD(CommonCauseFixture,
                 "A process that was paused hears of others first") {
  RunFor(seconds(4));
  CrashTogether(12, kRequest);
  RunFor(milliseconds(500));
  Pause(seconds(5));
  RunFor(milliseconds(500));
  // Reports of other hosts, read after the pause.
  REQUIRE_FALSE(IsBlocked(kCause));
  Serve(kCause);
  RunFor(seconds(4));
  REQUIRE_FALSE(IsBlocked(kCause));
}

// Guards against large groups that displace the ones before, so that many
// crashes never add up (BUDGET).
TEST_CASE_METHOD(CommonCauseFixture,
                 "Crashes at one time do not displace earlier ones") {
  constexpr int times_to_block = 6;
  Serve(kCause);
  for (int i = 0; i < times_to_block; ++i) {
    REQUIRE_FALSE(IsBlocked(kCause));
    CrashTogether(12, kRequest, CrashMoment::kUnclear);
    CrashTogether(20, {kCommon, ContentKey(std::to_string(i))});
    RunFor(seconds(4));
  }
  REQUIRE(IsBlocked(kCause));
}

}  // namespace
}  // namespace lovagecleat::routing
