#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <set>
#include <utility>
#include <vector>

#include "tests/gateway/version_servers.h"

// Tests streams of a service whose servers run several software versions. What
// two versions write does not fit together.
namespace lovagecleat::gateway {
namespace {

using std::chrono::milliseconds;
using transport::RawClient;
using transport::RawConnection;

constexpr const char* kRouting = R"({"version":3,"routes":[
 {"name":"safe","host":"a.example","prefix":"/s/","kind":"safe",
  "timeoutMs":5000,"goalMs":1000,"attempts":2,"service":"plain"},
 {"name":"stream","host":"a.example","prefix":"/r/","kind":"stream",
  "timeoutMs":5000,"goalMs":1000,"attempts":2,"service":"plain",
  "resumable":true}],
 "services":[{"name":"plain","healthPath":"/h","maxConns":9}],
 "limits":{"headerBytes":8000,"bodyBytes":1000,"headerMs":500,"idleMs":9000}})";

// Streams end within 1500 ms.
constexpr const char* kShortRouting = R"({"version":3,"routes":[
 {"name":"stream","host":"a.example","prefix":"/r/","kind":"stream",
  "timeoutMs":1500,"goalMs":500,"attempts":2,"service":"plain",
  "resumable":true}],
 "services":[{"name":"plain","healthPath":"/h","maxConns":9}],
 "limits":{"headerBytes":8000,"bodyBytes":1000,"headerMs":500,"idleMs":9000}})";

// Streams of the route begin at two services.
constexpr const char* kSplitRouting = R"({"version":3,"routes":[
 {"name":"stream","host":"a.example","prefix":"/r/","kind":"stream",
  "timeoutMs":5000,"goalMs":1000,"attempts":2,"resumable":true,
  "backends":[{"service":"plain","weight":50},{"service":"next","weight":50}]}],
 "services":[{"name":"plain","healthPath":"/h","maxConns":9},
             {"name":"next","healthPath":"/h","maxConns":9}],
 "limits":{"headerBytes":8000,"bodyBytes":1000,"headerMs":500,"idleMs":9000}})";

// The route of kSplitRouting after all of it was moved to one service.
constexpr const char* kMovedRouting = R"({"version":4,"routes":[
 {"name":"stream","host":"a.example","prefix":"/r/","kind":"stream",
  "timeoutMs":5000,"goalMs":1000,"attempts":2,"resumable":true,
  "service":"next"}],
 "services":[{"name":"plain","healthPath":"/h","maxConns":9},
             {"name":"next","healthPath":"/h","maxConns":9}],
 "limits":{"headerBytes":8000,"bodyBytes":1000,"headerMs":500,"idleMs":9000}})";

// Longer than any stream of kShortRouting and than the delay of row changes.
constexpr auto kLongerThanStreams = milliseconds(4000);
// Changes of the store's tables have taken effect after this time.
constexpr auto kChangeDelay = milliseconds(1000);
// A stream that goes on waits at most for so long.
constexpr auto kLongestWait = milliseconds(250);
// Repetitions of a choice between versions, so that no chance passes a test:
// new fixtures, and streams at one fixture.
constexpr int kRounds = 10;
constexpr int kStreams = 12;

using After = VersionServer::After;

// Guards against responses with events of two versions: a stream whose server
// broke off went on at a server of another version.
TEST_CASE_METHOD(StreamVersionsFixture,
                 "A response goes on at the version that began it") {
  const int round = GENERATE(range(0, kRounds));
  CAPTURE(round);
  for (const char* version : {"v1", "v2", "v1", "v2"})
    Add(version, After::kBreak);
  StartWith(1, kRouting);
  const std::string response = Send(MakeRequest("/r/", "a1"));
  INFO(response);
  const bool is_first_version = response.find("data: v1") < response.find("v2");
  CheckWholeStream(response, is_first_version ? "v1" : "v2");
  REQUIRE(taken_up() == 1);
}

// Guards against responses with events of two versions: the only server left
// had another version than the one that began the stream.
TEST_CASE_METHOD(StreamVersionsFixture,
                 "A response is cut if its version has no other server") {
  const int round = GENERATE(range(0, kRounds));
  CAPTURE(round);
  for (const char* version : {"v1", "v2"})
    Add(version, After::kBreak, After::kBreak);
  StartWith(1, kRouting);
  const std::string response = Send(MakeRequest("/r/", "a1"));
  INFO(response);
  REQUIRE(response.find("id: 1\n") != std::string::npos);
  REQUIRE_FALSE(response.ends_with(kStreamEnd));
  REQUIRE((response.find("data: v1") == std::string::npos ||
           response.find("data: v2") == std::string::npos));
  for (const VersionServer& server : servers)
    REQUIRE((server.taken_up() == 0 || server.begun() == 1));
}

// Guards against streams with events of two versions: a client that took a
// stream up was served by any version.
TEST_CASE_METHOD(StreamVersionsFixture,
                 "A stream is taken up at the version that began it") {
  for (const char* version : {"v1", "v2", "v1", "v2"})
    Add(version, After::kWaitForClose);
  StartWith(1, kRouting);
  for (int i = 0; i < kStreams; ++i) {
    const std::string id = "a" + std::to_string(i);
    const std::string version = BeginAndClose(id);
    CheckWholeStream(Send(TakeUp("b" + id, id)), version);
  }
  REQUIRE(taken_up() == kStreams);
}

// Guards against streams with events of two versions: a stream that was taken
// up and broke again was taken up for the second time at any version.
TEST_CASE_METHOD(StreamVersionsFixture,
                 "A stream is taken up twice at the version that began it") {
  for (const char* version : {"v1", "v1", "v2", "v2"})
    Add(version, After::kWaitForClose, After::kWaitForClose);
  StartWith(1, kRouting);
  for (int i = 0; i < kStreams; ++i) {
    const std::string id = "a" + std::to_string(i);
    const std::string version = BeginAndClose(id);
    for (const int last : {1, 2}) {
      const RawClient client(callers_port());
      const std::string request =
          TakeUp(id + "-" + std::to_string(last), id, last);
      CHECK(ReadUntilEvent(client, request, last + 1) == version);
    }
  }
}

// Guards against streams with events of two versions: another host than the one
// that began the stream did not know its version.
TEST_CASE_METHOD(StreamVersionsFixture,
                 "A stream is taken up at another host at its version") {
  for (const char* version : {"v1", "v2", "v1", "v2"})
    Add(version, After::kWaitForClose);
  StartWith(2, kRouting);
  for (int i = 0; i < kStreams; ++i) {
    const std::string id = "a" + std::to_string(i);
    const std::string version = BeginAndClose(id, 0);
    CheckWholeStream(Send(TakeUp("b" + id, id), 1), version);
  }
  REQUIRE(taken_up() == kStreams);
}

// Guards against streams with events of two versions: the version of a stream
// was lost with the host that began it.
TEST_CASE_METHOD(StreamVersionsFixture,
                 "A stream is taken up at its version after its host's end") {
  const std::size_t next = GENERATE(1U, 2U);
  CAPTURE(next);
  for (const char* version : {"v1", "v2", "v1", "v2"})
    Add(version, After::kWaitForClose);
  StartWith(3, kRouting);
  std::deque<RawClient> clients;
  std::vector<std::pair<std::string, std::string>> streams;  // id and version
  for (int i = 0; i < kStreams; ++i) {
    const std::string id = "a" + std::to_string(i);
    const RawClient& client = clients.emplace_back(callers_port(0));
    streams.emplace_back(id, ReadUntilEvent(client, MakeRequest("/r/", id)));
  }
  KillHost(0);
  // The last stream has only just begun.
  std::reverse(streams.begin(), streams.end());
  for (const auto& [id, version] : streams)
    CheckWholeStream(Send(TakeUp("b" + id, id), next), version);
  REQUIRE(taken_up() == kStreams);
}

// Guards against refused streams: their origin was sent only to a host that was
// gone, again and again.
TEST_CASE_METHOD(StreamVersionsFixture,
                 "A stream is taken up although another host is gone too") {
  for (const char* version : {"v1", "v2", "v1", "v2"})
    Add(version, After::kWaitForClose);
  StartWith(3, kRouting);
  KillHost(2);
  std::deque<RawClient> clients;
  std::vector<std::pair<std::string, std::string>> streams;  // id and version
  for (int i = 0; i < kStreams; ++i) {
    const std::string id = "a" + std::to_string(i);
    const RawClient& client = clients.emplace_back(callers_port(0));
    streams.emplace_back(id, ReadUntilEvent(client, MakeRequest("/r/", id)));
  }
  RunFor(kChangeDelay);
  KillHost(0);
  for (const auto& [id, version] : streams)
    CheckWholeStream(Send(TakeUp("b" + id, id), 1), version);
  REQUIRE(taken_up() == kStreams);
}

// Guards against refused streams: their origin was sent only to a host that no
// longer reacted, since messages to it could still be sent.
TEST_CASE_METHOD(StreamVersionsFixture,
                 "A stream is taken up although another host is frozen") {
  for (const char* version : {"v1", "v2", "v1", "v2"})
    Add(version, After::kWaitForClose);
  // Accepts connections and never answers.
  const std::uint16_t port = transport::UnusedPort();
  transport::PeerLink frozen(loop(), HostId("frozen"));
  REQUIRE(frozen.Bind("127.0.0.1", port));
  rows.Set(
      "hosts", "frozen",
      R"({"peers":"127.0.0.1:)" + std::to_string(port) + R"(","zone":"z"})");
  StartWith(2, kRouting);
  std::deque<RawClient> clients;
  std::vector<std::pair<std::string, std::string>> streams;  // id and version
  for (int i = 0; i < kStreams; ++i) {
    const std::string id = "a" + std::to_string(i);
    const RawClient& client = clients.emplace_back(callers_port(0));
    streams.emplace_back(id, ReadUntilEvent(client, MakeRequest("/r/", id)));
  }
  RunFor(kChangeDelay);
  KillHost(0);
  for (const auto& [id, version] : streams)
    CheckWholeStream(Send(TakeUp("b" + id, id), 1), version);
  REQUIRE(taken_up() == kStreams);
}

// Guards against streams with events of two versions: a stream whose beginning
// no host knew was taken up although servers of several versions were listed.
TEST_CASE_METHOD(StreamVersionsFixture,
                 "A stream of unknown version is refused beside two versions") {
  const std::size_t hosts = GENERATE(1U, 3U);
  CAPTURE(hosts);
  for (const char* version : {"v1", "v2"}) Add(version, After::kContinue);
  StartWith(hosts, kRouting);
  RequireRefused(TakeUp("a2", "unknown"));
}

// Guards against refused streams: a stream whose beginning no host knew was
// refused although its version could only be the one listed.
TEST_CASE_METHOD(
    StreamVersionsFixture,
    "A stream of unknown version is taken up at the only version") {
  const std::size_t hosts = GENERATE(1U, 3U);
  CAPTURE(hosts);
  for (int i = 0; i < 2; ++i) Add("v1", After::kContinue);
  StartWith(hosts, kShortRouting);
  RunFor(kLongerThanStreams);
  CheckWholeStream(Send(TakeUp("a2", "unknown")), "v1");
}

// Guards against refused streams: a host that had just started refused every
// stream that no host knew, since it had not seen which versions there were.
TEST_CASE_METHOD(StreamVersionsFixture,
                 "A new host learns from others that a version is the only") {
  for (int i = 0; i < 2; ++i) Add("v1", After::kContinue);
  StartWith(1, kShortRouting);
  RunFor(kLongerThanStreams);
  StartHosts(2);
  CheckWholeStream(Send(TakeUp("a2", "unknown"), 1), "v1");
  // A caller that names no stream gets the same.
  const std::string request = MakeRequest("/r/", "a3", "Last-Event-Id: 1\r\n");
  CheckWholeStream(Send(request, 1), "v1");
}

// Guards against streams with events of two versions: a stream was taken up at
// another version since its own had no server any more.
TEST_CASE_METHOD(StreamVersionsFixture,
                 "A stream whose version has left is refused at once") {
  const std::size_t host = GENERATE(0U, 1U);
  CAPTURE(host);
  for (const char* version : {"v1", "v2"}) Add(version, After::kWaitForClose);
  StartWith(2, kRouting);
  const std::string version = BeginAndClose("a1");
  rows.Remove("servers", version == "v1" ? "s1" : "s2");
  RunFor(kChangeDelay);
  RequireRefused(TakeUp("a2", "a1"), host);
}

// Guards against streams with events of two versions: a stream was taken up at
// its own server, which had started again under its id with another version.
TEST_CASE_METHOD(StreamVersionsFixture,
                 "A stream is refused at its server's next version") {
  Add("v1", After::kWaitForClose);
  StartWith(1, kRouting);
  REQUIRE(BeginAndClose("a1") == "v1");
  VersionServer next("v2", After::kWaitForClose);
  AddServer("s1", "plain", next.address(), "v2");
  RunFor(kChangeDelay);
  RequireRefused(TakeUp("a2", "a1"));
  REQUIRE(next.requests() == 0);
}

// Guards against responses with events of two versions: a stream went on at a
// server that had started again under its id with another version, and wrote
// its entry a moment later.
TEST_CASE_METHOD(StreamVersionsFixture,
                 "A response goes on at no server that has just changed") {
  const int round = GENERATE(range(0, kRounds));
  CAPTURE(round);
  // Events of servers that are listed as v1.
  VersionServer& begins = Add("v1", After::kBreak);
  std::deque<VersionServer> others;
  for (const char* version : {"v2", "v2", "v1"}) {
    VersionServer& server =
        others.emplace_back(version, After::kBreak, After::kContinue);
    AddServer("other" + std::to_string(others.size()), "plain",
              server.address(), "v1");
  }
  const auto list_changes = [&] {
    for (std::size_t i = 0; i < 2; ++i)
      if (others[i].requests() > 0)
        AddServer("other" + std::to_string(i + 1), "plain", others[i].address(),
                  "v2");
  };
  std::string routing = kRouting;
  const std::string stream = R"("attempts":2,"service":"plain",
  "resumable")";
  REQUIRE(routing.find(stream) != std::string::npos);
  routing.replace(routing.find(stream) + 11, 1, "6");
  StartWith(1, routing.c_str());
  TimerId timer;
  std::function<void()> watch = [&] {
    list_changes();
    timer = loop().After(milliseconds(5), watch);
  };
  watch();
  const std::string response = Send(MakeRequest("/r/", "a1"));
  loop().Cancel(timer);
  INFO(response);
  REQUIRE(response.starts_with("HTTP/1.1 200"));
  const bool has_v1 = response.find("data: v1") != std::string::npos;
  const bool has_v2 = response.find("data: v2") != std::string::npos;
  CHECK_FALSE((has_v1 && has_v2));
  if (begins.begun() > 0) CHECK(has_v1);
}

// Guards against sound streams that wait: this host has no connection to the
// server where the stream goes on.
TEST_CASE_METHOD(StreamVersionsFixture,
                 "A response goes on at once at a server without connections") {
  const int round = GENERATE(range(0, kRounds));
  CAPTURE(round);
  for (int i = 0; i < 4; ++i) Add("v1", After::kBreak);
  StartWith(1, kRouting);
  const TimePoint sent_at = loop().clock().Now();
  CheckWholeStream(Send(MakeRequest("/r/", "a1")), "v1");
  CHECK(loop().clock().Now() - sent_at < kLongestWait);
}

// Guards against streams with events of two versions: a stream of a split route
// was taken up at the service that was drawn anew.
TEST_CASE_METHOD(StreamVersionsFixture,
                 "A stream of a split route is taken up at its service") {
  const std::size_t host = GENERATE(0U, 1U);
  CAPTURE(host);
  Add("v1", After::kWaitForClose);
  Add("v2", After::kWaitForClose, After::kContinue, "next");
  StartWith(2, kSplitRouting);
  for (int i = 0; i < kStreams; ++i) {
    const std::string id = "a" + std::to_string(i);
    const std::string version = BeginAndClose(id);
    CheckWholeStream(Send(TakeUp("b" + id, id), host), version);
  }
  REQUIRE(taken_up() == kStreams);
}

// Guards against requests that a service runs although the configuration no
// longer allows it, and against streams that go on at another one.
TEST_CASE_METHOD(StreamVersionsFixture,
                 "A stream is refused once its route has left its service") {
  Add("v1", After::kWaitForClose);
  Add("v2", After::kWaitForClose, After::kContinue, "next");
  StartWith(1, kSplitRouting);
  std::string begun_at_v1;
  for (int i = 0; i < kStreams && begun_at_v1.empty(); ++i) {
    const std::string id = "a" + std::to_string(i);
    if (BeginAndClose(id) == "v1") begun_at_v1 = id;
  }
  REQUIRE_FALSE(begun_at_v1.empty());
  rows.Set("op", "config", kMovedRouting);
  RunFor(kChangeDelay);
  RequireRefused(TakeUp("b", begun_at_v1));
}

// Guards against streams with events of two versions: a stream whose beginning
// no host knew was taken up at the service that was drawn, whose only version
// need not be that of the stream.
TEST_CASE_METHOD(StreamVersionsFixture,
                 "A stream of unknown service is refused on a split route") {
  Add("v1", After::kContinue);
  Add("v2", After::kContinue, After::kContinue, "next");
  std::string routing = kSplitRouting;
  const std::string timeout = R"("timeoutMs":5000)";
  routing.replace(routing.find(timeout), timeout.size(), R"("timeoutMs":1500)");
  StartWith(1, routing.c_str());
  RunFor(kLongerThanStreams);
  RequireRefused(TakeUp("a2", "unknown"));
}

// Guards against cut streams: one that its caller had resumed waited behind new
// requests of more urgent routes, until it was refused.
TEST_CASE_METHOD(StreamVersionsFixture,
                 "A stream that is resumed is as urgent as any request") {
  std::string routing = kRouting;
  const std::string route = R"("name":"stream",)";
  routing.insert(routing.find(route) + route.size(), R"("priority":2,)");
  VersionServer& server = Add("v1", After::kWaitForClose);
  StartWith(1, routing.c_str());
  // Only requests with a prompt have an urgency.
  const std::string prompt = "X-Lovagecleat-Prompt-Prefix: ab:10,cd:5\r\n";
  {
    const RawClient client(callers_port());
    REQUIRE(ReadUntilEvent(client, MakeRequest("/r/", "a1", prompt)) == "v1");
  }
  const auto urgency = [&server] {
    return FieldOf(server.last_request(), "X-Lovagecleat-Request-Urgency: ");
  };
  REQUIRE(urgency() == "6");
  CheckWholeStream(
      Send(MakeRequest("/r/", "a2",
                       "Last-Event-Id: 1\r\nResumes: a1\r\n" + prompt)),
      "v1");
  REQUIRE(urgency() == "2");
}

// Guards against new streams kept to one version: they may begin at any.
TEST_CASE_METHOD(StreamVersionsFixture, "A new stream begins at any version") {
  for (const char* version : {"v1", "v2"}) Add(version, After::kContinue);
  StartWith(1, kRouting);
  std::set<std::string> versions;
  for (int i = 0; i < 20; ++i) {
    const std::string response =
        Send(MakeRequest("/r/", "a" + std::to_string(i)));
    const bool is_first = response.find("data: v1") != std::string::npos;
    versions.insert(is_first ? "v1" : "v2");
    CheckWholeStream(response, is_first ? "v1" : "v2");
  }
  REQUIRE(versions.size() == 2);
}

// Guards against failed streams: one whose server broke off before its first
// event was kept to that server's version.
TEST_CASE_METHOD(StreamVersionsFixture,
                 "A stream without an event goes to any version") {
  const int round = GENERATE(range(0, kRounds));
  CAPTURE(round);
  ScriptedServer broken(
      [](RawConnection&, const std::string&) { return false; });
  AddServer("broken", "plain", broken.address(), "v1");
  Add("v2", After::kContinue);
  StartWith(1, kRouting);
  CheckWholeStream(Send(MakeRequest("/r/", "a1")), "v2");
}

// Guards against requests other than streams kept to one version.
TEST_CASE_METHOD(StreamVersionsFixture,
                 "A request that is no stream goes to any version") {
  for (const char* version : {"v1", "v2"}) Add(version, After::kContinue);
  StartWith(1, kRouting);
  std::set<std::string> versions;
  for (int i = 0; i < 20; ++i) {
    const std::string response = Send(
        MakeRequest("/s/", "a" + std::to_string(i), "Resumes: unknown\r\n"));
    REQUIRE(response.starts_with("HTTP/1.1 200"));
    versions.insert(response.substr(response.size() - 2));
  }
  REQUIRE(versions == std::set<std::string>{"v1", "v2"});
}

// Guards against failed requests: one that is no stream was kept to the version
// of the server that broke off.
TEST_CASE_METHOD(StreamVersionsFixture,
                 "A request that is no stream is repeated at any version") {
  const int round = GENERATE(range(0, kRounds));
  CAPTURE(round);
  ScriptedServer broken(
      [](RawConnection&, const std::string&) { return false; });
  AddServer("broken", "plain", broken.address(), "v1");
  Add("v2", After::kContinue);
  StartWith(1, kRouting);
  REQUIRE(Send(MakeRequest("/s/", "a1")).ends_with("v2"));
}

}  // namespace
}  // namespace lovagecleat::gateway
