#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "tests/gateway/version_servers.h"

// Streams of a service while an order rolls a version out.
namespace lovagecleat::gateway {
namespace {

using routing::RolloutState;
using std::chrono::milliseconds;
using std::chrono::seconds;
using transport::RawClient;
using transport::RawConnection;

constexpr const char* kRouting = R"({"version":3,"routes":[
 {"name":"stream","host":"a.example","prefix":"/r/","kind":"stream",
  "timeoutMs":15000,"goalMs":1000,"attempts":2,"service":"plain",
  "resumable":true}],
 "services":[{"name":"plain","healthPath":"/h","maxConns":900}],
 "limits":{"headerBytes":8000,"bodyBytes":1000,"headerMs":500,"idleMs":9000}})";
// A server is taken to be cold for this long.
constexpr auto kColdTime = milliseconds(5500);
// Rows have been read after this time.
constexpr auto kChangeDelay = milliseconds(1000);
// The state is read again after this time if no other host tells it.
constexpr auto kStateDelay = milliseconds(2500);
constexpr auto kTick = milliseconds(8);
constexpr auto kStreamInterval = milliseconds(40);
constexpr int kEvents = 8;
constexpr auto kEventInterval = milliseconds(50);
// Another host knows where a stream began after this time.
constexpr auto kTakeUpDelay = milliseconds(300);
// One of so many streams is left by its client after the first event and taken
// up again.
constexpr int kTakenUpOneOf = 4;
constexpr int kBrokenOneOf = 6;
const ServiceId kService("plain");

std::string MakeStreamRequest(const std::string& id, const std::string& extra) {
  // Requests that are alike would be taken for one that crashes servers.
  const std::string content = id.substr(id.find_first_of("0123456789"));
  return Join({"POST /r/", content,
               " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n",
               kRequestIdName, id,
               "\r\nX-Lovagecleat-Deadline-Ms: 15000\r\nContent-Length: 2\r\n",
               extra, "\r\nhi"});
}

std::string MakeTakeUp(const std::string& id, const std::string& begun_by) {
  return MakeStreamRequest(
      id, Join({"Last-Event-Id: 1\r\nResumes: ", begun_by, "\r\n"}));
}

// A server whose streams last some time and name its version in each event.
class PacedServer {
 public:
  // Breaks one of `broken_one_of` new streams off after two events; none if it
  // is 0.
  PacedServer(std::string version, int broken_one_of)
      : version_(std::move(version)),
        broken_one_of_(broken_one_of),
        server_([this](RawConnection& connection, const std::string& request) {
          return Serve(connection, request);
        }) {}

  std::string address() const { return server_.address(); }
  int open() const { return open_; }
  int begun() const { return begun_; }
  int taken_up() const { return taken_up_; }
  // Ends as at once as the servers before do when an order is completed.
  void Stop() { server_.server().CutPath(transport::RawServer::Cut::kReset); }

 private:
  bool Serve(RawConnection& connection, const std::string& request) {
    const std::string last = FieldOf(request, kLastEventName);
    const bool breaks = last.empty() && broken_one_of_ > 0 &&
                        (begun_ + 1) % broken_one_of_ == 0;
    ++(last.empty() ? begun_ : taken_up_);
    ++open_;
    std::string head = kStreamHead;
    head.replace(head.find("id1"), 3, FieldOf(request, kRequestIdName));
    connection.Write(head);
    for (int event = last.empty() ? 1 : std::stoi(last) + 1; event <= kEvents;
         ++event) {
      connection.Write(Chunk("id: " + std::to_string(event) +
                             "\ndata: " + version_ + "\n\n"));
      if (breaks && event == 2) {
        --open_;
        return false;
      }
      std::this_thread::sleep_for(kEventInterval);
    }
    --open_;
    connection.Write(kStreamEnd);
    return true;
  }

  std::string version_;
  int broken_one_of_;
  std::atomic<int> open_ = 0;
  std::atomic<int> begun_ = 0;
  std::atomic<int> taken_up_ = 0;
  ScriptedServer server_;
};

// One stream as its clients see it.
struct Stream {
  std::string id;
  std::unique_ptr<RawClient> client;
  std::string text;  // of the connection that is open
  std::set<std::string> versions;
  bool is_left = false;  // by its first client, after the first event
  bool is_taken_up = false;
  bool is_refused = false;
  bool is_whole = false;
  TimePoint left_at{};
};

class RolloutStreamsFixture : public GatewayFixture {
 public:
  RolloutStreamsFixture() {
    rows.Set("op", "config", kRouting);
    SetExposure({0.1, 50, seconds(5)});
  }

  void StartWithServers(std::size_t hosts, int broken_one_of) {
    hosts_ = hosts;
    StartHosts(hosts);
    SetExposure({0.1, 50, seconds(5)});
    for (const char* version : {"v1", "v2"})
      for (int i = 1; i <= 3; ++i)
        AddServer(
            version + ("-" + std::to_string(i)), "plain",
            servers[version].emplace_back(version, broken_one_of).address(),
            version);
    RunFor(kColdTime + kChangeDelay);
  }
  void Order(const std::string& value) {
    rows.Set("op", "rollout/plain", value);
    RunFor(kChangeDelay);
  }
  std::optional<RolloutState> State() {
    const auto& status = rows.rollout_statuses[kService].status;
    return status ? std::optional(status->state) : std::nullopt;
  }
  int Sum(const std::string& version, int (PacedServer::*count)() const) {
    int sum = 0;
    for (const PacedServer& server : servers[version]) sum += (server.*count)();
    return sum;
  }

  // Begins streams for some time and waits for their ends. When the order is
  // completed, stops the servers of the version before at once.
  void RunStreamsFor(Duration time) {
    const TimePoint end = loop().clock().Now() + time;
    TimePoint next = loop().clock().Now();
    for (TimePoint now = next; now < end + seconds(3);
         now = loop().clock().Now()) {
      if (now >= next && now < end) {
        next += kStreamInterval;
        Begin();
      }
      RunFor(kTick);
      for (Stream& stream : streams) Follow(stream);
      if (!open_at_completion && State() == RolloutState::kCompleted) {
        open_at_completion = Sum("v1", &PacedServer::open);
        for (PacedServer& server : servers["v1"]) server.Stop();
        for (int i = 1; i <= 3; ++i)
          rows.Remove("servers", "v1-" + std::to_string(i));
      }
    }
  }

  // Begins a stream of that version at the first host and leaves it after the
  // first event. Returns its id.
  std::string BeginAndLeave(const std::string& version) {
    for (int i = 0; i < 600; ++i) {
      std::string id = "b" + std::to_string(++last_id_);
      const RawClient client(callers_port());
      client.Write(MakeStreamRequest(id, ""));
      std::string text;
      bool is_open = true;
      RunUntil([&] {
        is_open = is_open && client.ReadAvailable(text);
        return !is_open || text.find("data: v") != std::string::npos;
      });
      if (text.find("data: " + version) != std::string::npos) return id;
    }
    FAIL("no stream began at " << version);
    return {};
  }

  std::map<std::string, std::deque<PacedServer>> servers;
  std::deque<Stream> streams;
  std::optional<int> open_at_completion;

 private:
  void Begin() {
    Stream& stream = streams.emplace_back();
    stream.id = "s" + std::to_string(streams.size());
    stream.client =
        std::make_unique<RawClient>(callers_port(streams.size() % hosts_));
    stream.client->Write(MakeStreamRequest(stream.id, ""));
  }

  void Follow(Stream& stream) {
    const TimePoint now = loop().clock().Now();
    if (!stream.client) {
      if (!stream.is_left || stream.is_taken_up ||
          now - stream.left_at < kTakeUpDelay)
        return;
      stream.is_taken_up = true;
      stream.text.clear();
      stream.client =
          std::make_unique<RawClient>(callers_port(++last_id_ % hosts_));
      stream.client->Write(MakeTakeUp("t" + stream.id, stream.id));
    }
    const bool is_open = stream.client->ReadAvailable(stream.text);
    for (const char* version : {"v1", "v2"})
      if (stream.text.find(Join({"data: ", version})) != std::string::npos)
        stream.versions.insert(version);
    const bool leaves = !stream.is_taken_up && !stream.versions.empty() &&
                        std::stoi(stream.id.substr(1)) % kTakenUpOneOf == 0;
    if (leaves) {
      stream.is_left = true;
      stream.left_at = now;
      stream.client.reset();
    } else if (!is_open) {
      stream.is_refused = stream.text.starts_with("HTTP/1.1 503");
      stream.is_whole = stream.text.ends_with(kStreamEnd);
      stream.client.reset();
    }
  }

  std::size_t hosts_ = 1;
  int last_id_ = 0;
};

// Guards against streams with events of two versions while a version is rolled
// out, and against streams that are lost because the servers before stop at
// once when the order is completed.
TEST_CASE_METHOD(RolloutStreamsFixture,
                 "Streams of a roll-out have one version and end") {
  const std::size_t hosts = GENERATE(1U, 3U);
  CAPTURE(hosts);
  StartWithServers(hosts, kBrokenOneOf);
  Order(R"({"service":"plain","to":"v2","rolloutS":12})");
  RunStreamsFor(seconds(14));
  REQUIRE(State() == RolloutState::kCompleted);
  REQUIRE(open_at_completion);
  CHECK(*open_at_completion == 0);
  std::map<std::string, int> whole;
  std::map<std::string, int> whole_taken_up;
  std::vector<std::string> mixed;
  std::vector<std::string> lost;
  for (const Stream& stream : streams) {
    if (stream.versions.size() > 1) mixed.push_back(stream.id);
    if (stream.is_whole && stream.versions.size() == 1)
      ++(stream.is_taken_up ? whole_taken_up : whole)[*stream.versions.begin()];
    // A stream whose version has no server any more is refused.
    const bool may_be_refused =
        stream.is_taken_up && stream.versions.contains("v1");
    if (!stream.is_whole && !(stream.is_refused && may_be_refused))
      lost.push_back(stream.id + ": " + stream.text.substr(0, 60));
  }
  CAPTURE(streams.size(), whole, whole_taken_up);
  CHECK(mixed.empty());
  CAPTURE(lost);
  CHECK(lost.empty());
  for (const char* version : {"v1", "v2"}) {
    CHECK(whole[version] > 0);
    CHECK(whole_taken_up[version] > 0);
  }
}

// Guards against streams that go on at another version, or at one that gets
// nothing any more, once the order has ended.
TEST_CASE_METHOD(RolloutStreamsFixture,
                 "A stream of a version that gets nothing is refused") {
  const RolloutState state =
      GENERATE(RolloutState::kRolledBack, RolloutState::kCompleted);
  const std::string open = state == RolloutState::kCompleted ? "v2" : "v1";
  const std::string barred = state == RolloutState::kCompleted ? "v1" : "v2";
  CAPTURE(open, barred);
  StartWithServers(1, 0);
  Order(R"({"service":"plain","to":"v2","rolloutS":60})");
  const std::string open_id = BeginAndLeave(open);
  const std::string barred_id = BeginAndLeave(barred);
  REQUIRE(State() == RolloutState::kRunning);
  rows.rollout_statuses[kService] = {
      routing::RolloutStatus{"v2", state, std::nullopt},
      routing::RowVersion(0, 100000)};
  RunFor(kStateDelay);
  const std::string refused = Send(MakeTakeUp("t1", barred_id));
  INFO(refused);
  CHECK(refused.starts_with("HTTP/1.1 503"));
  CHECK(Sum("v1", &PacedServer::taken_up) == 0);
  CHECK(Sum("v2", &PacedServer::taken_up) == 0);
  const std::string gone_on = Send(MakeTakeUp("t2", open_id));
  INFO(gone_on);
  CHECK(gone_on.starts_with("HTTP/1.1 200"));
  CHECK(gone_on.ends_with(kStreamEnd));
  CHECK(gone_on.find("data: " + barred) == std::string::npos);
  CHECK(Sum(open, &PacedServer::taken_up) == 1);
}

}  // namespace
}  // namespace lovagecleat::gateway
