#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "tests/gateway/gateway_fixture.h"

// Tests the decision on room end to end: a crowd of requests with stages for
// one slow server.
namespace lovagecleat::gateway {
namespace {

using std::chrono::milliseconds;
using transport::RawClient;
using transport::RawConnection;

// A call takes 300 ms, so that two or three requests meet the goal of 1 s.
constexpr const char* kRouting = R"({"version":3,"routes":[
 {"name":"staged","host":"a.example","prefix":"/g/","kind":"unsafe",
  "timeoutMs":6000,"goalMs":1000,"attempts":1,"service":"plain",
  "stages":[{"service":"encoder","bytes":1000}]}],
 "services":[{"name":"plain","healthPath":"/h","maxConns":90},
  {"name":"encoder","pieces":{"slots":1,"queue":2,"batch":2,"callMs":280,
   "itemMs":10,"headroomMb":1,"handleS":4,"netMbps":1000}}],
 "limits":{"headerBytes":8000,"bodyBytes":1000,"headerMs":500,"idleMs":9000}})";
constexpr std::size_t kCrowd = 30;
constexpr milliseconds kCallTime(300);

std::string MakeResponse(const std::string& extra, const std::string& body) {
  return "HTTP/1.1 200 X\r\n" + extra +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct Answer {
  std::string text;
  std::chrono::steady_clock::duration taken{};

  bool IsServed() const { return text.starts_with("HTTP/1.1 200"); }
  bool IsRefused() const { return text.starts_with("HTTP/1.1 503"); }
};

class RoomFixture : public GatewayFixture {
 public:
  RoomFixture()
      : plain_([](RawConnection& connection, const std::string& request) {
          const std::string field = "X-Lovagecleat-Request-Id: ";
          const std::size_t begin = request.find(field) + field.size();
          connection.Write(MakeResponse(
              field + request.substr(begin, request.find('\r', begin) - begin) +
                  "\r\nX-Lovagecleat-Response-Seal: s\r\n",
              "ok"));
          return true;
        }),
        stage_([this](RawConnection& connection, const std::string& request) {
          return RunStage(connection, request);
        }) {
    rows.Set("op", "config", kRouting);
    AddServer("plain", "plain", plain_.address());
    AddServer("stage", "encoder", stage_.address());
  }

  // Sends the requests at once, by turns to each of the hosts.
  std::vector<Answer> SendCrowd(std::size_t hosts) {
    std::vector<Answer> answers(kCrowd);
    std::vector<std::uint16_t> ports;
    for (std::size_t host = 0; host < hosts; ++host)
      ports.push_back(callers_port(host));
    RunWithClient([&](RawClient&) {
      std::vector<std::thread> threads;
      for (std::size_t i = 0; i < kCrowd; ++i)
        threads.emplace_back([&answers, &ports, i] {
          const auto start = std::chrono::steady_clock::now();
          RawClient client(ports[i % ports.size()]);
          client.Write(
              "POST /g/ HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
              "X-Lovagecleat-Request-Id: id" +
              std::to_string(i) +
              "\r\nX-Lovagecleat-Pieces: 2\r\nX-Lovagecleat-Piece-Key: k\r\n"
              "Content-Length: 2\r\n\r\nhi");
          answers[i].text = client.ReadToEnd();
          answers[i].taken = std::chrono::steady_clock::now() - start;
        });
      for (std::thread& thread : threads) thread.join();
      return std::string();
    });
    return answers;
  }

  int calls() const { return calls_; }

 private:
  bool RunStage(RawConnection& connection, const std::string& request) {
    if (request.starts_with("GET /report") ||
        request.starts_with("POST /stage-free")) {
      connection.Write(
          MakeResponse("", R"({"queued":0,"busy":true,"freeMb":1})"));
      return true;
    }
    // One call at a time.
    const std::lock_guard<std::mutex> lock(mutex_);
    const int call = ++calls_;
    std::this_thread::sleep_for(kCallTime);
    const auto body =
        nlohmann::json::parse(request.substr(request.find("\r\n\r\n") + 4));
    nlohmann::json items = nlohmann::json::array();
    for (std::size_t i = 0; i < body.at("items").size(); ++i)
      items.push_back(
          {{"handle", "c" + std::to_string(call) + "-" + std::to_string(i)}});
    connection.Write(MakeResponse("", nlohmann::json{{"items", items}}.dump()));
    return true;
  }

  std::mutex mutex_;
  std::atomic<int> calls_ = 0;
  ScriptedServer plain_;
  ScriptedServer stage_;
};

std::size_t CountServed(const std::vector<Answer>& answers) {
  return static_cast<std::size_t>(
      std::count_if(answers.begin(), answers.end(),
                    [](const Answer& answer) { return answer.IsServed(); }));
}

void CheckCrowd(const std::vector<Answer>& answers, int calls) {
  const std::size_t served = CountServed(answers);
  CHECK(served >= 2);
  CHECK(served < kCrowd / 2);
  // No work for requests that are not served.
  CHECK(static_cast<std::size_t>(calls) == served);
  for (const Answer& answer : answers) {
    if (answer.IsServed()) continue;
    CHECK(answer.IsRefused());
    CHECK(answer.text.find("Retry-After: ") != std::string::npos);
    CHECK(answer.taken < milliseconds(1000));
  }
}

}  // namespace

// Guards against requests of a crowd that are held until they fail, and against
// work for them.
TEST_CASE_METHOD(RoomFixture, "A crowd is refused at once beyond the room") {
  Start();
  SetRoom({});
  const std::vector<Answer> answers = SendCrowd(1);
  CheckCrowd(answers, calls());
  CHECK(LogText().find("\"cause\":\"no_room\"") != std::string::npos);
}

TEST_CASE_METHOD(RoomFixture, "Hosts share the room of a batching host") {
  StartHosts(3);
  SetRoom({});
  const std::vector<Answer> answers = SendCrowd(3);
  CheckCrowd(answers, calls());
}

TEST_CASE_METHOD(RoomFixture, "Without the setting nothing decides on room") {
  Start();
  const std::vector<Answer> answers = SendCrowd(1);
  CHECK(CountServed(answers) > kCrowd / 3);
  CHECK(LogText().find("no_room") == std::string::npos);
  CHECK(LogText().find("\"event\":\"room\"") == std::string::npos);
}

}  // namespace lovagecleat::gateway
