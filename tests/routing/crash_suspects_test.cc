#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "routing/routing.h"

namespace lovagecleat::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const ContentKey kCause("bad0");
const ContentKey kCommon("aaaa");

TimePoint At(Duration since_start) {
  return TimePoint(std::chrono::hours(1) + since_start);
}

// Numbers the servers that crash.
class Crashes {
 public:
  ServerCrash Next(Duration at,
                   CrashMoment moment = CrashMoment::kJustStarted) {
    return {++last_, moment, At(at)};
  }

 private:
  std::uint64_t last_ = 0;
};

// Guards against a part that crashes server after server (BUDGET).
TEST_CASE("A part under which several servers crash is blocked") {
  CrashSuspects suspects;
  Crashes crashes;
  const std::vector<ContentKey> parts{kCommon, kCause};
  REQUIRE(suspects.AddCrash(parts, crashes.Next(seconds(1))).empty());
  suspects.AddServed(std::span(&kCommon, 1), At(milliseconds(1500)));
  REQUIRE(suspects.AddCrash(parts, crashes.Next(seconds(2))).empty());
  suspects.AddServed(std::span(&kCommon, 1), At(milliseconds(2500)));
  REQUIRE(suspects.AddCrash(parts, crashes.Next(seconds(3))) ==
          std::vector<ContentKey>{kCause});
  REQUIRE(suspects.Find(kCause) != nullptr);
  REQUIRE(suspects.Find(kCommon) == nullptr);
}

TEST_CASE("Servers that only had the part in their queue say less") {
  CrashSuspects suspects;
  Crashes crashes;
  for (int i = 1; i <= 5; ++i)
    REQUIRE(suspects
                .AddCrash(std::span(&kCause, 1),
                          crashes.Next(seconds(i), CrashMoment::kUnclear))
                .empty());
  REQUIRE(suspects
              .AddCrash(std::span(&kCause, 1),
                        crashes.Next(seconds(6), CrashMoment::kUnclear))
              .size() == 1);
}

// Guards against blocking a part that sound requests use, because its requests
// were at servers that crashed under another one (soak --crashing, seed 9003).
TEST_CASE("Crashes that a blocked part explains do not count for others") {
  CrashSuspects suspects;
  Crashes crashes;
  const std::vector<ContentKey> parts{kCommon, kCause};
  SECTION("Parts of the same requests") {
    for (int i = 1; i <= 2; ++i)
      REQUIRE(suspects.AddCrash(parts, crashes.Next(seconds(i))).empty());
    REQUIRE(suspects.AddCrash(parts, crashes.Next(seconds(3))) ==
            std::vector<ContentKey>{kCause});
    for (int i = 4; i <= 10; ++i)
      REQUIRE(suspects.AddCrash(parts, crashes.Next(seconds(i))).empty());
  }
  SECTION("A part of other requests at the same servers") {
    for (int i = 1; i <= 3; ++i) {
      const ServerCrash crash = crashes.Next(seconds(i));
      if (i < 3) suspects.AddCrash(std::span(&kCommon, 1), crash);
      suspects.AddCrash(std::span(&kCause, 1), crash);
      // Reported after the part was blocked.
      if (i == 3) suspects.AddCrash(std::span(&kCommon, 1), crash);
    }
  }
  SECTION("Another host has blocked the part") {
    for (int i = 1; i <= 2; ++i)
      suspects.AddCrash(parts, crashes.Next(seconds(i)));
    suspects.Block(kCause, {At(seconds(3)), At(minutes(15)), 0});
  }
  REQUIRE(suspects.Find(kCause) != nullptr);
  REQUIRE(suspects.Find(kCommon) == nullptr);
  // Crashes without the blocked part.
  REQUIRE(suspects.AddCrash(std::span(&kCommon, 1), crashes.Next(seconds(20)))
              .empty());
  REQUIRE(suspects.AddCrash(std::span(&kCommon, 1), crashes.Next(seconds(21)))
              .empty());
}

TEST_CASE("The strongest suspicion is known before a block") {
  CrashSuspects suspects;
  Crashes crashes;
  const std::vector<ContentKey> parts{kCommon, kCause};
  REQUIRE_FALSE(suspects.StrongestSuspicion(parts));
  suspects.AddCrash(std::span(&kCommon, 1),
                    crashes.Next(seconds(1), CrashMoment::kUnclear));
  for (int i = 2; i <= 3; ++i)
    suspects.AddCrash(std::span(&kCause, 1), crashes.Next(seconds(i)));
  const auto strongest = suspects.StrongestSuspicion(parts);
  REQUIRE(strongest);
  REQUIRE(strongest->content == kCause);
  REQUIRE(strongest->servers == 2);
  REQUIRE(strongest->score == 4);
  REQUIRE(strongest->score_to_block == 6);
}

TEST_CASE("A part that was served before needs more crashes") {
  CrashSuspects suspects;
  Crashes crashes;
  suspects.AddServed(std::span(&kCommon, 1), At(seconds(0)));
  for (int i = 1; i <= 4; ++i)
    REQUIRE(suspects.AddCrash(std::span(&kCommon, 1), crashes.Next(seconds(i)))
                .empty());
  REQUIRE(suspects.AddCrash(std::span(&kCommon, 1), crashes.Next(seconds(5)))
              .size() == 1);
}

// Guards against a part that was served before it began to crash servers, and
// crashes them before they respond (BUDGET).
TEST_CASE("Six crashes block a part, whatever the servers had done for it") {
  CrashSuspects suspects;
  Crashes crashes;
  suspects.AddServed(std::span(&kCause, 1), At(seconds(0)));
  for (int i = 1; i <= 5; ++i)
    REQUIRE(suspects
                .AddCrash(std::span(&kCause, 1),
                          crashes.Next(seconds(i), CrashMoment::kUnclear))
                .empty());
  REQUIRE(suspects
              .AddCrash(std::span(&kCause, 1),
                        crashes.Next(seconds(6), CrashMoment::kUnclear))
              .size() == 1);
}

TEST_CASE("Reports of several hosts on one crash count once") {
  CrashSuspects suspects;
  for (int i = 0; i < 20; ++i)
    REQUIRE(suspects
                .AddCrash(std::span(&kCause, 1),
                          {7, CrashMoment::kJustStarted, At(seconds(i))})
                .empty());
}

// Guards against blocking what sound requests share if a zone loses power.
TEST_CASE("Servers that crash at the same time count as one") {
  CrashSuspects suspects;
  Crashes crashes;
  for (int i = 0; i < 20; ++i)
    REQUIRE(suspects
                .AddCrash(std::span(&kCommon, 1),
                          crashes.Next(milliseconds(10 * i)))
                .empty());
}

TEST_CASE("Crashes that came before the part was served do not count") {
  CrashSuspects suspects;
  Crashes crashes;
  const auto add = [&](Duration at) {
    return suspects.AddCrash(std::span(&kCommon, 1), crashes.Next(at));
  };
  add(seconds(1));
  add(seconds(2));
  REQUIRE(suspects.AddServed(std::span(&kCommon, 1), At(seconds(3))).size() ==
          1);
  // This one was reported late.
  REQUIRE(add(milliseconds(2500)).empty());
  for (int i = 4; i <= 7; ++i) REQUIRE(add(seconds(i)).empty());
  REQUIRE(add(seconds(8)).size() == 1);
}

TEST_CASE("A blocked part that is served is free again") {
  CrashSuspects suspects;
  Crashes crashes;
  for (int i = 1; i <= 3; ++i)
    suspects.AddCrash(std::span(&kCommon, 1), crashes.Next(seconds(i)));
  REQUIRE(suspects.Find(kCommon) != nullptr);
  SECTION("Served since the last crash") {
    REQUIRE(suspects.AddServed(std::span(&kCommon, 1), At(seconds(4))) ==
            std::vector<ContentKey>{kCommon});
    REQUIRE(suspects.Find(kCommon) == nullptr);
    // Another host has not heard of it.
    REQUIRE_FALSE(
        suspects.Block(kCommon, {At(seconds(3)), At(minutes(15)), 0}));
  }
  SECTION("Served before it") {
    REQUIRE(suspects.AddServed(std::span(&kCommon, 1), At(seconds(2))).empty());
    REQUIRE(suspects.Find(kCommon) != nullptr);
  }
}

TEST_CASE("Trials of a blocked part become rarer") {
  CrashSuspects suspects;
  suspects.Block(kCause, {At(seconds(0)), At(minutes(15)), 0});
  const TimePoint first = suspects.Find(kCause)->NextTrialAt();
  REQUIRE(first > At(seconds(30)));
  suspects.StartTrial(kCause, first);
  REQUIRE(suspects.Find(kCause)->trials == 1);
  const TimePoint second = suspects.Find(kCause)->NextTrialAt();
  REQUIRE(second - first >= 2 * (first - At(seconds(0))));
  // The result of a trial that another host has started.
  REQUIRE(suspects.Block(kCause, {At(minutes(6)), At(minutes(15)), 2}));
  REQUIRE(suspects.Find(kCause)->trials == 2);
}

TEST_CASE("After its block a part is blocked again by one more crash") {
  CrashSuspects suspects;
  Crashes crashes;
  suspects.Block(kCause, {At(seconds(0)), At(minutes(15)), 0});
  suspects.RemoveExpired(At(minutes(14)));
  REQUIRE(suspects.Find(kCause) != nullptr);
  suspects.RemoveExpired(At(minutes(15)));
  REQUIRE(suspects.Find(kCause) == nullptr);
  REQUIRE(suspects.AddCrash(std::span(&kCause, 1), crashes.Next(minutes(16)))
              .size() == 1);
}

// Guards against a relapse that takes the memory of other blocks with it, and
// against a part that crashed its way to a block although it was served before.
TEST_CASE("Each part that was blocked is remembered by itself") {
  CrashSuspects suspects;
  Crashes crashes;
  const ContentKey other("bad1");
  suspects.AddServed(std::span(&other, 1), At(Duration::zero()));
  for (const ContentKey& part : {kCause, other})
    suspects.Block(part, {At(seconds(1)), At(minutes(15)), 0});
  suspects.RemoveExpired(At(minutes(15)));
  for (const ContentKey& part : {kCause, other})
    REQUIRE(suspects.AddCrash(std::span(&part, 1), crashes.Next(minutes(16)))
                .size() == 1);
}

// Guards against memory that callers can fill, and against a part that escapes
// because they do.
TEST_CASE("Many parts that callers choose do not displace the cause") {
  CrashSuspects suspects;
  Crashes crashes;
  suspects.AddCrash(std::span(&kCause, 1), crashes.Next(seconds(1)));
  suspects.AddCrash(std::span(&kCause, 1), crashes.Next(seconds(2)));
  constexpr int part_count = 20000;
  std::vector<ContentKey> many;
  many.reserve(part_count);
  for (int i = 0; i < part_count; ++i) many.emplace_back(std::to_string(i));
  suspects.AddCrash(many, crashes.Next(seconds(3)));
  suspects.AddServed(many, At(seconds(4)));
  REQUIRE(suspects.AddCrash(std::span(&kCause, 1), crashes.Next(seconds(5)))
              .size() == 1);
}

TEST_CASE("Keys of parts are short and safe to print") {
  REQUIRE(KeyOf({"5c1e07a2", 10}) == ContentKey("5c1e07a2"));
  const ContentKey long_key = KeyOf({std::string(5000, 'a'), 10});
  REQUIRE(long_key.value().size() <= kMaximumKeyBytes);
  REQUIRE(IsContentKey(long_key.value()));
  REQUIRE(KeyOf({std::string(5001, 'a'), 10}) != long_key);
  const ContentKey unprintable = KeyOf({"\xff\n\"", 10});
  REQUIRE(IsContentKey(unprintable.value()));
  REQUIRE(IsContentKey(KeyOf({"", 10}).value()));
  REQUIRE_FALSE(IsContentKey(""));
  REQUIRE_FALSE(IsContentKey("x12"));
  REQUIRE_FALSE(IsContentKey("blocked\xff"));
}

TEST_CASE("A list of parts for the log is bounded") {
  REQUIRE(FormatForLog({}).empty());
  REQUIRE(FormatForLog(std::vector{kCommon, kCause}) == "aaaa,bad0");
  const std::vector<ContentKey> many(1000, kCommon);
  REQUIRE(FormatForLog(many).size() < 300);
  REQUIRE(FormatForLog(many).ends_with(",aaaa,..."));
}

TEST_CASE("The last part of a prompt is not shared") {
  Prompt prompt;
  REQUIRE(SharedPartKeys(prompt).empty());
  prompt.parts = {{"aaaa", 1}, {"bad0", 1}, {"1", 1}};
  REQUIRE(SharedPartKeys(prompt) == std::vector<ContentKey>{kCommon, kCause});
}

TEST_CASE("A request is named by its caller, path and body") {
  const RequestIdentity request{"team", "POST", "a.example",
                                "/p/1", "body", {}};
  const std::vector<ContentKey> keys = RequestKeys(request);
  REQUIRE(keys.size() == 1);
  REQUIRE(IsContentKey(keys.front().value()));
  REQUIRE(RequestKeys(request) == keys);
  const auto other = [&](auto change) {
    RequestIdentity changed = request;
    change(changed);
    return RequestKeys(changed).front();
  };
  REQUIRE(other([](auto& r) { r.caller = "other"; }) != keys.front());
  REQUIRE(other([](auto& r) { r.target = "/p/2"; }) != keys.front());
  REQUIRE(other([](auto& r) { r.body = "other"; }) != keys.front());
  REQUIRE(other([](auto& r) { r.host = "b.example"; }) != keys.front());
  // No field continues in the next one.
  REQUIRE(other([](auto& r) {
            r.target = "/p/1b";
            r.body = "ody";
          }) != keys.front());
}

TEST_CASE("A request with a query has a key with and one without it") {
  const RequestIdentity plain{"", "GET", "a.example", "/p/1", "", {}};
  RequestIdentity first = plain;
  first.target = "/p/1?page=1";
  RequestIdentity second = plain;
  second.target = "/p/1?page=2";
  REQUIRE(RequestKeys(first).size() == 2);
  REQUIRE(RequestKeys(first).front() == RequestKeys(plain).front());
  REQUIRE(RequestKeys(first).front() == RequestKeys(second).front());
  REQUIRE(RequestKeys(first).back() != RequestKeys(second).back());
}

// Guards against one request that comes again and crashes server after server
// (BUDGET).
TEST_CASE("A request under which three servers crash is blocked") {
  CrashSuspects suspects;
  const ContentKey request("r" + std::string(32, '1'));
  REQUIRE_FALSE(suspects.TracksRequests());
  const auto add = [&](std::uint64_t server, Duration at, Duration sent) {
    return suspects.AddCrash(std::span(&request, 1),
                             {server, CrashMoment::kUnclear, At(at), At(sent)});
  };
  SECTION("Sent to the next server once the one before has crashed") {
    REQUIRE(add(1, milliseconds(40), milliseconds(0)).empty());
    REQUIRE(suspects.TracksRequests());
    REQUIRE(add(2, milliseconds(80), milliseconds(41)).empty());
    REQUIRE(add(3, milliseconds(180), milliseconds(81)).size() == 1);
  }
  SECTION("Sent to several servers at once, again and again") {
    for (std::uint64_t server = 1; server <= 3; ++server)
      REQUIRE(add(server, milliseconds(40 + server), milliseconds(0)).empty());
    REQUIRE(add(4, seconds(4), milliseconds(3990)).empty());
    REQUIRE(add(5, milliseconds(4010), milliseconds(3990)).size() == 1);
  }
  SECTION("Served before") {
    suspects.AddServed(std::span(&request, 1), At(seconds(0)));
    for (int i = 1; i <= 2; ++i)
      REQUIRE(add(static_cast<std::uint64_t>(i), seconds(i), seconds(i - 1))
                  .empty());
    REQUIRE(add(3, seconds(3), seconds(2)).size() == 1);
  }
  REQUIRE(suspects.Find(request) != nullptr);
  REQUIRE(suspects.TracksRequests());
}

class RefutedCrashes {
 public:
  // Lets servers 1 to 3 crash under the request, one a second; each is noticed
  // 50 ms after the request was sent.
  RefutedCrashes() {
    for (std::uint64_t server = 1; server <= 3; ++server)
      suspects.AddCrash(
          std::span(&request, 1),
          {server, CrashMoment::kUnclear,
           At(seconds(server) + milliseconds(50)), At(seconds(server))});
    REQUIRE(IsBlocked());
  }

  bool IsBlocked() const { return suspects.Find(request) != nullptr; }

  const ContentKey request{"r" + std::string(32, '1')};
  CrashSuspects suspects;
};

TEST_CASE_METHOD(RefutedCrashes, "A server that has run on did not crash") {
  const auto released =
      suspects.RefuteCrash(2, {At(seconds(1)), At(seconds(3))});
  REQUIRE(released == std::vector<ContentKey>{request});
  REQUIRE_FALSE(IsBlocked());
  // Known only once.
  REQUIRE_FALSE(suspects.RefuteCrash(2, {At(seconds(1)), At(seconds(3))}));
}

// Guards against a server that starts again under its id and address: responses
// of the new process say nothing of the one that crashed (BUDGET).
TEST_CASE_METHOD(RefutedCrashes,
                 "A process that was connected to later refutes no crash") {
  const TimePoint long_after = At(seconds(60));
  REQUIRE_FALSE(suspects.RefuteCrash(2, {At(milliseconds(2060)), long_after}));
  REQUIRE(IsBlocked());
}

// Guards against bytes that a frozen, slow or cut-off host reads long after the
// server that sent them has crashed (BUDGET).
TEST_CASE_METHOD(RefutedCrashes,
                 "A response to an earlier request refutes no crash") {
  REQUIRE_FALSE(
      suspects.RefuteCrash(2, {At(seconds(0)), At(milliseconds(2049))}));
  REQUIRE(IsBlocked());
}

// Guards against a server that crashes after its connections were lost, which
// is taken for explained by the block that was taken back (BUDGET).
TEST_CASE("A crash that was refuted may come true afterwards") {
  CrashSuspects suspects;
  const auto crash = [&](std::uint64_t server, Duration at) {
    suspects.AddCrash(
        std::span(&kCause, 1),
        {server, CrashMoment::kJustStarted, At(at), At(at - milliseconds(50))});
  };
  for (std::uint64_t server = 1; server <= 3; ++server)
    crash(server, seconds(server));
  REQUIRE(suspects.Find(kCause) != nullptr);
  for (std::uint64_t server = 1; server <= 3; ++server)
    REQUIRE(suspects.RefuteCrash(server, {At(seconds(0)), At(seconds(5))}));
  REQUIRE(suspects.Find(kCause) == nullptr);
  for (std::uint64_t server = 1; server <= 3; ++server)
    crash(server, seconds(10 + server));
  REQUIRE(suspects.Find(kCause) != nullptr);
}

TEST_CASE_METHOD(RefutedCrashes, "Each report of a crash must be refuted") {
  const ServerCrash later{2, CrashMoment::kUnclear, At(seconds(9)),
                          At(seconds(8))};
  suspects.AddCrash(std::span(&request, 1), later);
  REQUIRE_FALSE(suspects.RefuteCrash(2, {At(seconds(1)), At(seconds(7))}));
  REQUIRE(IsBlocked());
  REQUIRE(suspects.RefuteCrash(2, {At(seconds(1)), At(seconds(10))}));
  REQUIRE_FALSE(IsBlocked());
}

// Guards against blocking a request that many callers send while a zone loses
// power.
TEST_CASE("Servers that crash at the same time do not block a request") {
  CrashSuspects suspects;
  const ContentKey request("r" + std::string(32, '1'));
  for (std::uint64_t server = 1; server <= 20; ++server)
    REQUIRE(suspects
                .AddCrash(
                    std::span(&request, 1),
                    {server, CrashMoment::kUnclear,
                     At(milliseconds(100 + server)), At(milliseconds(server))})
                .empty());
}

// Guards against blocking sound requests that lose their server with the
// crashing one and follow it to the next.
TEST_CASE("Other contents at the crashed servers stay free") {
  CrashSuspects suspects;
  const ContentKey cause("r" + std::string(32, '1'));
  const ContentKey sound("r" + std::string(32, '2'));
  for (int i = 1; i <= 3; ++i) {
    const ServerCrash crash{static_cast<std::uint64_t>(i),
                            CrashMoment::kJustStarted, At(seconds(i)),
                            At(milliseconds(1000 * i - 50))};
    if (i < 3) suspects.AddCrash(std::span(&sound, 1), crash);
    suspects.AddCrash(std::span(&kCommon, 1), crash);
    suspects.AddCrash(std::span(&cause, 1), crash);
    if (i < 3)
      suspects.AddServed(std::span(&kCommon, 1), crash.at + seconds(0));
  }
  REQUIRE(suspects.Find(cause) != nullptr);
  REQUIRE(suspects.Find(sound) == nullptr);
  REQUIRE(suspects.Find(kCommon) == nullptr);
  REQUIRE_FALSE(
      suspects.AddServed(std::span(&sound, 1), At(seconds(4))).empty());
}

// Guards against a path that is blocked because one of its queries crashes
// servers.
TEST_CASE("The narrowest content under which servers crash is blocked") {
  CrashSuspects suspects;
  const ContentKey path("r" + std::string(32, '1'));
  const ContentKey whole("q" + std::string(32, '2'));
  const std::vector<ContentKey> contents{path, kCommon, whole};
  const auto add = [&](int i) {
    return suspects.AddCrash(
        contents, {static_cast<std::uint64_t>(i), CrashMoment::kUnclear,
                   At(seconds(i)), At(milliseconds(1000 * i - 50))});
  };
  for (int i = 1; i <= 2; ++i) REQUIRE(add(i).empty());
  REQUIRE(add(3) == std::vector<ContentKey>{whole});
  for (int i = 4; i <= 10; ++i) REQUIRE(add(i).empty());
  REQUIRE(suspects.Find(path) == nullptr);
  REQUIRE(suspects.Find(kCommon) == nullptr);
}

// Counts the requests with a part that reach servers after it should be known.
class PartRequests {
 public:
  PartRequests(CrashSuspects& suspects, CrashMoment moment)
      : suspects_(suspects), moment_(moment) {}

  // Sends one request with kCommon, kCause and a part of its own up to `sends`
  // times, each time to a server that crashes under it after `delay`.
  void Send(int sends, Duration delay) {
    const std::string digits = std::to_string(100 + ++requests_);
    std::string hash;
    while (hash.size() < 32) hash += digits;
    hash.resize(32);
    const std::vector<ContentKey> contents{ContentKey("r" + hash), kCommon,
                                           kCause, ContentKey("q" + hash)};
    for (int i = 0; i < sends && !IsBlocked(contents); ++i) {
      const TimePoint sent_at = now_;
      now_ += delay;
      Count(sent_at);
      suspects_.AddCrash(contents, {++servers_, moment_, now_, sent_at});
      now_ += milliseconds(1);
    }
    suspects_.AddServed(std::span(&kCommon, 1), now_);
  }

  void Wait(Duration time) { now_ += time; }

  // Those that were sent later than the hosts need to hear of five crashes.
  int late_sends() const { return late_sends_; }

 private:
  bool IsBlocked(const std::vector<ContentKey>& contents) const {
    return std::any_of(contents.begin(), contents.end(),
                       [this](const ContentKey& content) {
                         return suspects_.Find(content) != nullptr;
                       });
  }

  void Count(TimePoint sent_at) {
    if (servers_ == 4) fifth_at_ = now_;
    if (servers_ >= 5 && sent_at - fifth_at_ > seconds(3)) ++late_sends_;
  }

  CrashSuspects& suspects_;
  CrashMoment moment_;
  TimePoint now_ = At(Duration::zero());
  std::uint64_t servers_ = 0;  // that crashed
  int requests_ = 0;
  int late_sends_ = 0;
  TimePoint fifth_at_{};  // the fifth crash
};

// Guards against a part that is never known, since each request with it is
// blocked first and explains the crashes under it (BUDGET).
TEST_CASE("Blocked requests do not excuse the part that they share") {
  CrashSuspects suspects;
  const bool was_served = GENERATE(false, true);
  const int sends = GENERATE(1, 2, 3, 4);
  const auto moment =
      GENERATE(CrashMoment::kJustStarted, CrashMoment::kUnclear);
  if (was_served) suspects.AddServed(std::span(&kCause, 1), At(-seconds(1)));
  PartRequests requests(suspects, moment);
  for (int i = 0; i < 20; ++i) {
    requests.Send(sends, milliseconds(400));
    requests.Wait(seconds(4));
  }
  CAPTURE(was_served, sends, moment);
  REQUIRE(requests.late_sends() <= 3);
  REQUIRE(suspects.Find(kCause) != nullptr);
  REQUIRE(suspects.Find(kCommon) == nullptr);
}

// Guards against a part that is never known, since the parts that come after it
// are blocked first and explain the crashes under it (BUDGET).
TEST_CASE("Blocked parts do not excuse the part that comes before them") {
  CrashSuspects suspects;
  Crashes crashes;
  constexpr int requests_per_part = 3;
  for (int i = 0; i < 2 * requests_per_part; ++i) {
    REQUIRE(suspects.Find(kCause) == nullptr);
    const ContentKey next("b" + std::to_string(i / requests_per_part));
    suspects.AddCrash(std::vector{kCause, next}, crashes.Next(seconds(4 * i)));
    suspects.AddServed(std::span(&kCommon, 1), At(seconds(4 * i + 2)));
  }
  REQUIRE(suspects.Find(kCause) != nullptr);
}

// Guards against blocking a part because sound requests with it were at servers
// that one request crashed (rpcso-pulls, class @c2, seed 33).
TEST_CASE("A request that crashes servers again is blocked before its part") {
  CrashSuspects suspects;
  Crashes crashes;
  const ContentKey cause("q" + std::string(32, '1'));
  const std::vector<ContentKey> beside{kCommon,
                                       ContentKey("q" + std::string(32, '2'))};
  // Whose report under the cause is still on its way, or was never sent.
  suspects.AddCrash(beside, crashes.Next(milliseconds(0)));
  const std::vector<ContentKey> contents{kCommon, cause};
  // At three servers at a time, which count as little more than one.
  for (int i = 0; i < 3; ++i)
    REQUIRE(suspects.AddCrash(contents, crashes.Next(milliseconds(400 + i)))
                .empty());
  REQUIRE(suspects.AddCrash(contents, crashes.Next(milliseconds(800))).empty());
  REQUIRE(suspects.AddCrash(contents, crashes.Next(milliseconds(1200))) ==
          std::vector<ContentKey>{cause});
}

// Guards against blocking a part because a sound request with it was at a
// server that another part crashed (soak --crashing --crowds, seed 9803).
TEST_CASE("A sound request does not block the part that the cause came with") {
  CrashSuspects suspects;
  Crashes crashes;
  const std::vector<ContentKey> with_cause{kCommon, kCause};
  for (int i = 1; i <= 2; ++i)
    suspects.AddCrash(with_cause, crashes.Next(seconds(i)));
  // The last requests with the cause may have other parts beside it.
  if (GENERATE(false, true))
    suspects.AddCrash(std::vector{ContentKey("a1"), kCause},
                      crashes.Next(milliseconds(2100)));
  const ServerCrash third = crashes.Next(seconds(3));
  // The report under the sound request comes first.
  REQUIRE(suspects.AddCrash(std::span(&kCommon, 1), third).empty());
  REQUIRE(suspects.AddCrash(with_cause, third) ==
          std::vector<ContentKey>{kCause});
  REQUIRE(suspects.Find(kCommon) == nullptr);
}

// Guards against a request whose repeats crash servers so fast that they count
// as one against its part (BUDGET).
TEST_CASE("Crashes under repeats of a request count each against its part") {
  CrashSuspects suspects;
  const std::vector<ContentKey> first{kCommon, kCause,
                                      ContentKey("q" + std::string(32, '1'))};
  const std::vector<ContentKey> second{kCommon, kCause,
                                       ContentKey("q" + std::string(32, '2'))};
  const std::vector<ContentKey> third{kCommon, kCause,
                                      ContentKey("q" + std::string(32, '3'))};
  const auto crash = [&](std::uint64_t server,
                         const std::vector<ContentKey>& contents) {
    const TimePoint sent_at = At(milliseconds(10 * server));
    return suspects.AddCrash(contents, {server, CrashMoment::kJustStarted,
                                        sent_at + milliseconds(8), sent_at});
  };
  REQUIRE(crash(1, first).empty());
  REQUIRE(crash(2, first).empty());
  SECTION("Another repeat") { REQUIRE(crash(3, first).size() == 1); }
  SECTION("Another request, which may have the same cause as the last crash") {
    REQUIRE(crash(3, second).empty());
    REQUIRE(crash(4, second).empty());
    REQUIRE(crash(5, third) == std::vector<ContentKey>{kCause});
  }
}

}  // namespace
}  // namespace lovagecleat::routing
