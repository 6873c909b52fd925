#include <catch2/catch.hpp>
#include <chrono>
#include <deque>
#include <utility>
#include <vector>

#include "tests/gateway/version_servers.h"

// Tests streams that callers resume after all hosts were lost at once, so that
// no process remembers where they began.
namespace lovagecleat::gateway {
namespace {

using std::chrono::milliseconds;
using transport::RawClient;
using After = VersionServer::After;

constexpr const char* kRouting = R"({"version":3,"routes":[
 {"name":"stream","host":"a.example","prefix":"/r/","kind":"stream",
  "timeoutMs":5000,"goalMs":1000,"attempts":2,"service":"plain",
  "resumable":true}],
 "services":[{"name":"plain","healthPath":"/h","maxConns":9}],
 "limits":{"headerBytes":8000,"bodyBytes":1000,"headerMs":500,"idleMs":9000}})";

// Streams of kRouting have ended, and changes of rows are known, after this.
constexpr auto kLongerThanStreams = milliseconds(7000);
// Changes of the store's tables have taken effect after this time, and what
// hosts write about them is stored.
constexpr auto kChangeDelay = milliseconds(1000);
constexpr auto kDowntime = milliseconds(300);
constexpr auto kStoreOutage = milliseconds(1000);
constexpr int kStreams = 12;
constexpr std::size_t kHosts = 3;

// A stream of a client, with the version that began it.
struct BegunStream {
  std::string id;
  std::string version;
};

class LostHostsFixture : public StreamVersionsFixture {
 public:
  // Begins streams at all hosts in turn and keeps the clients connected.
  std::vector<BegunStream> BeginStreams(const std::string& prefix = "a") {
    std::vector<BegunStream> streams;
    for (int i = 0; i < kStreams; ++i) {
      const std::string id = prefix + std::to_string(i);
      const RawClient& client = clients.emplace_back(
          callers_port(static_cast<std::size_t>(i) % kHosts));
      streams.push_back({id, ReadUntilEvent(client, MakeRequest("/r/", id))});
    }
    return streams;
  }

  // Takes up each stream at another host than the one that began it.
  void CheckAllGoOn(const std::vector<BegunStream>& streams) {
    const int before = taken_up();
    std::size_t host = 0;
    for (const BegunStream& stream : streams) {
      host = (host + 1) % kHosts;
      CAPTURE(stream.id, host);
      CheckWholeStream(Send(TakeUp("b" + stream.id, stream.id), host),
                       stream.version);
    }
    CHECK(taken_up() - before == static_cast<int>(streams.size()));
  }

  // Loses all hosts, with the store away for a time while they start again or
  // not.
  void LoseAllHosts(bool is_store_away) {
    if (is_store_away) rows.status = RowsResponse::Status::kUnavailable;
    const auto timer = loop().After(kDowntime + kStoreOutage, [this] {
      rows.status = RowsResponse::Status::kRead;
    });
    RestartHosts(kDowntime);
    loop().Cancel(timer);
    // Hosts learn of the servers within the delay of changes.
    RunFor(kChangeDelay);
  }

  // Removes the servers of that version and waits until the hosts know it.
  void RemoveVersion(const std::string& version) {
    for (std::size_t i = 0; i < servers.size(); ++i)
      if (servers[i].version() == version)
        rows.Remove("servers", "s" + std::to_string(i + 1));
  }

  std::deque<RawClient> clients;
};

// Guards against refused streams: while servers of several versions served, all
// streams that callers resumed after the loss of all hosts were refused.
TEST_CASE_METHOD(LostHostsFixture,
                 "Streams go on at their version after all hosts were lost") {
  const bool is_store_away = GENERATE(false, true);
  CAPTURE(is_store_away);
  for (const char* version : {"v1", "v2", "v1", "v2"})
    Add(version, After::kWaitForClose);
  StartWith(kHosts, kRouting);
  const std::vector<BegunStream> streams = BeginStreams();
  RunFor(kChangeDelay);
  LoseAllHosts(is_store_away);
  CheckAllGoOn(streams);
}

// Guards against streams with events of two versions and against refused ones:
// the servers of the earlier version left while all hosts were down.
TEST_CASE_METHOD(LostHostsFixture,
                 "Only streams of the version that is left go on") {
  for (const char* version : {"v1", "v2", "v1", "v2"})
    Add(version, After::kWaitForClose);
  StartWith(kHosts, kRouting);
  const std::vector<BegunStream> streams = BeginStreams();
  RunFor(kChangeDelay);
  RemoveVersion("v1");
  LoseAllHosts(false);
  std::vector<BegunStream> later;
  for (const BegunStream& stream : streams) {
    if (stream.version == "v1")
      RequireRefused(TakeUp("b" + stream.id, stream.id));
    else
      later.push_back(stream);
  }
  REQUIRE_FALSE(later.empty());
  CheckAllGoOn(later);
}

// Guards against refused streams: hosts that had all started lately did not
// know that there had been one version only.
TEST_CASE_METHOD(LostHostsFixture,
                 "Streams go on if there was one version all along") {
  for (int i = 0; i < 2; ++i) Add("v1", After::kWaitForClose);
  StartWith(kHosts, kRouting);
  RunFor(kLongerThanStreams);
  const std::vector<BegunStream> streams = BeginStreams();
  const int writes = rows.stream_origin_writes;
  LoseAllHosts(false);
  CheckAllGoOn(streams);
  // Nothing is stored for a stream whose version follows from the service.
  REQUIRE(writes <= static_cast<int>(kHosts));
}

// Guards against refused streams: the second version came just before the hosts
// were lost, when the streams of the first one had begun without being stored.
TEST_CASE_METHOD(LostHostsFixture,
                 "Streams go on beside a version that has just come") {
  for (int i = 0; i < 2; ++i) Add("v1", After::kWaitForClose);
  StartWith(kHosts, kRouting);
  RunFor(kLongerThanStreams);
  const std::vector<BegunStream> streams = BeginStreams();
  for (int i = 0; i < 2; ++i) Add("v2", After::kWaitForClose);
  RunFor(2 * kChangeDelay);
  LoseAllHosts(false);
  CheckAllGoOn(streams);
}

// Guards against streams with events of two versions: another version alone
// served once the hosts were back.
TEST_CASE_METHOD(LostHostsFixture,
                 "No stream goes on at a version that came meanwhile") {
  for (int i = 0; i < 2; ++i) Add("v1", After::kWaitForClose);
  StartWith(kHosts, kRouting);
  RunFor(kLongerThanStreams);
  const std::vector<BegunStream> streams = BeginStreams();
  RemoveVersion("v1");
  for (int i = 0; i < 2; ++i) Add("v2", After::kWaitForClose);
  LoseAllHosts(false);
  for (const BegunStream& stream : streams)
    RequireRefused(TakeUp("b" + stream.id, stream.id));
}

// Guards against refused streams: after a second loss of all hosts nothing was
// known of the streams that had begun since the first.
TEST_CASE_METHOD(LostHostsFixture, "Streams go on after two losses of all") {
  for (const char* version : {"v1", "v2", "v1", "v2"})
    Add(version, After::kWaitForClose);
  StartWith(kHosts, kRouting);
  const std::vector<BegunStream> first = BeginStreams("a");
  RunFor(kChangeDelay);
  LoseAllHosts(false);
  const std::vector<BegunStream> second = BeginStreams("c");
  RunFor(kChangeDelay);
  LoseAllHosts(false);
  CheckAllGoOn(first);
  CheckAllGoOn(second);
}

// Guards against streams with events of two versions: a restored store told of
// the one version that there had been when the copy was made.
TEST_CASE_METHOD(LostHostsFixture,
                 "A restored store does not tell which versions there were") {
  Add("v1", After::kWaitForClose);
  StartWith(kHosts, kRouting);
  RunFor(kLongerThanStreams);
  const FakeRowSource::Copy copy = rows.Save();
  RemoveVersion("v1");
  Add("v2", After::kWaitForClose);
  RunFor(kChangeDelay);
  const std::vector<BegunStream> streams = BeginStreams();
  REQUIRE(streams.front().version == "v2");
  rows.Restore(copy);
  LoseAllHosts(false);
  for (const BegunStream& stream : streams)
    RequireRefused(TakeUp("b" + stream.id, stream.id));
}

// Guards against a lost process: a row of the store that cannot be read.
TEST_CASE_METHOD(LostHostsFixture, "Unreadable rows of origins are left out") {
  const char* value =
      GENERATE("", "[]", "{", R"({"written_ms":"x","origins":[]})",
               R"({"written_ms":1,"origins":[{"service":1}],"services":[]})",
               R"({"written_ms":1,"origins":[],"store_era":0,"services":[7]})",
               R"({"written_ms":1,"origins":[],"store_era":0,"services":[
          {"service":"plain","known_since_ms":-5,
           "gone_ms_by_version":{"v3":"x"}}]})");
  CAPTURE(value);
  rows.Set("origins", "another", value);
  for (const char* version : {"v1", "v2"}) Add(version, After::kContinue);
  StartWith(1, kRouting);
  RequireRefused(TakeUp("a2", "unknown"));
  const std::string response = Send(MakeRequest("/r/", "a3"));
  REQUIRE(response.ends_with(kStreamEnd));
}

}  // namespace
}  // namespace lovagecleat::gateway
