#include <atomic>
#include <catch2/catch.hpp>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/gateway/gateway_fixture.h"

// Tests servers that send more answers than they got calls: at once, or late,
// where the answer to the next call on the connection is expected.
namespace lovagecleat::gateway {
namespace {

using std::chrono::milliseconds;
using transport::RawConnection;

// The service "orders" serves requests and runs stages.
constexpr const char* kRouting = R"({"version":3,"routes":[
 {"name":"unsafe","host":"a.example","prefix":"/u/","kind":"unsafe",
  "timeoutMs":4000,"goalMs":1000,"attempts":2,"service":"orders"},
 {"name":"safe","host":"a.example","prefix":"/s/","kind":"safe",
  "timeoutMs":4000,"goalMs":1000,"attempts":2,"service":"orders"},
 {"name":"stream","host":"a.example","prefix":"/r/","kind":"stream",
  "timeoutMs":9000,"goalMs":1000,"gapAimMs":100,"attempts":2,
  "service":"orders"},
 {"name":"staged","host":"a.example","prefix":"/g/","kind":"unsafe",
  "timeoutMs":6000,"goalMs":2000,"attempts":3,"service":"model",
  "stages":[{"service":"orders","bytes":1000}]}],
 "services":[{"name":"model","healthPath":"/h","maxConns":90},
  {"name":"orders","healthPath":"/h","maxConns":90,
   "pieces":{"slots":1,"queue":2,"batch":4,"callMs":50,
   "itemMs":10,"headroomMb":9,"handleS":4,"netMbps":1000}}],
 "limits":{"headerBytes":8000,"bodyBytes":1000,"headerMs":500,"idleMs":9000}})";

// Longer than it takes to send the next call.
constexpr auto kWorkTime = milliseconds(40);

std::string MakeRequest(const std::string& path, const std::string& id,
                        int items = 0) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
         "X-Lovagecleat-Request-Id: " +
         id +
         "\r\nX-Lovagecleat-Deadline-Ms: 4000\r\n"
         "X-Lovagecleat-Pieces: " +
         std::to_string(items) +
         "\r\nX-Lovagecleat-Piece-Key: k\r\nContent-Length: 2\r\n\r\nhi";
}

std::string IdField(const std::string& id) {
  return id.empty() ? "" : "X-Lovagecleat-Request-Id: " + id + "\r\n";
}

std::string MakeAnswer(int status, const std::string& fields,
                       const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string MakeNotRun(int status, const std::string& fields) {
  return MakeAnswer(status, fields + "X-Lovagecleat-Not-Executed: 1\r\n", "");
}

std::string IdOf(const std::string& request) {
  constexpr std::string_view name = "X-Lovagecleat-Request-Id: ";
  const std::size_t at = request.find(name);
  if (at == std::string::npos) return "";
  const std::size_t begin = at + name.size();
  return request.substr(begin, request.find("\r\n", begin) - begin);
}

enum class When { kAtOnce, kLate };

// Answers requests and stage calls, and sends extra answers to some of them.
class ExtraAnswerServer {
 public:
  // Returns the extra answer for a call, given the answer to it; empty for
  // none. Kept short: it runs under a lock.
  using Extra =
      std::function<std::string(const std::string& call, const std::string&)>;

  ExtraAnswerServer(Extra extra, When when)
      : extra_(std::move(extra)),
        when_(when),
        server_([this](RawConnection& connection, const std::string& call) {
          Handle(connection, call);
          return true;
        }) {}

  std::string address() const { return server_.address(); }
  int connections() const { return server_.connections(); }
  int sent_extras() const { return sent_extras_; }
  int runs_of(const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_[id];
  }

 private:
  void Handle(RawConnection& connection, const std::string& call) {
    std::string late;
    std::string answer;
    std::string at_once;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      late = std::exchange(late_[connection.number()], {});
      answer = AnswerTo(call);
      const std::string extra = extra_(call, answer);
      (when_ == When::kLate ? late_[connection.number()] : at_once) = extra;
    }
    if (!late.empty()) {
      ++sent_extras_;
      connection.Write(late);
    }
    std::this_thread::sleep_for(kWorkTime);
    if (!at_once.empty()) ++sent_extras_;
    // A separate write may come late.
    connection.Write(answer + at_once);
  }

  std::string AnswerTo(const std::string& call) {
    if (call.starts_with("GET /report"))
      return MakeAnswer(200, "", R"({"queued":0,"busy":false,"freeMb":9})");
    if (call.starts_with("POST /stage-free")) return MakeAnswer(200, "", "{}");
    if (call.starts_with("POST /stage-run")) {
      const auto body =
          nlohmann::json::parse(call.substr(call.find("\r\n\r\n") + 4));
      nlohmann::json items = nlohmann::json::array();
      ++calls_;
      for (const auto& item : body.at("items"))
        items.push_back({{"handle", item.at("id").get<std::string>() + "-" +
                                        std::to_string(calls_) + "-" +
                                        std::to_string(items.size())}});
      return MakeAnswer(200, "", nlohmann::json{{"items", items}}.dump());
    }
    const std::string id = IdOf(call);
    ++runs_[id];
    return MakeAnswer(200, IdField(id) + kSeal, "id: 1\ndata: " + id + "\n\n");
  }

  Extra extra_;
  When when_;
  std::mutex mutex_;
  std::map<int, std::string> late_;  // guarded by mutex_
  std::map<std::string, int> runs_;  // guarded by mutex_
  int calls_ = 0;                    // guarded by mutex_
  std::atomic<int> sent_extras_ = 0;
  ScriptedServer server_;
};

class ExtraAnswerFixture : public GatewayFixture {
 public:
  ExtraAnswerFixture()
      : model([this](RawConnection& connection, const std::string& request) {
          CheckInputs(request);
          const std::string id = IdOf(request);
          connection.Write(MakeAnswer(200, IdField(id) + kSeal, id));
          return true;
        }) {}

  void StartWith(ExtraAnswerServer& orders) {
    rows.Set("op", "config", kRouting);
    AddServer("orders", "orders", orders.address());
    AddServer("model", "model", model.address());
    Start();
    RunUntil([this] { return gateway->is_ready(); });
  }

  // Whether a request came with results of another one.
  bool has_foreign_inputs() const { return has_foreign_inputs_; }

  // Sends staged requests one after the other, each with its number of items.
  void RunStaged(const std::vector<int>& items) {
    for (std::size_t i = 0; i < items.size(); ++i) {
      const std::string id = "staged" + std::to_string(i);
      const std::string response = Send(MakeRequest("/g/", id, items[i]));
      CAPTURE(i, response);
      REQUIRE(response.starts_with("HTTP/1.1 200"));
      REQUIRE(response.ends_with(id));
    }
    REQUIRE_FALSE(has_foreign_inputs());
  }

  ScriptedServer model;

 private:
  void CheckInputs(const std::string& request) {
    constexpr std::string_view name = "X-Lovagecleat-Inputs: ";
    const std::size_t begin = request.find(name) + name.size();
    std::string rest =
        request.substr(begin, request.find("\r\n", begin) - begin);
    rest.append(",");
    while (!rest.empty()) {
      if (!rest.starts_with(IdOf(request) + "-")) has_foreign_inputs_ = true;
      rest.erase(0, rest.find(',') + 1);
    }
  }

  std::atomic<bool> has_foreign_inputs_ = false;
};

// Guards against an order that ran and was refused, and against responses of
// other requests: an extra answer was taken for that to the next request.
TEST_CASE_METHOD(ExtraAnswerFixture,
                 "An extra answer to a request is not taken for the next") {
  const When when = GENERATE(When::kAtOnce, When::kLate);
  const std::string path = GENERATE("/u/", "/s/", "/r/");
  std::atomic<int> status = 0;
  std::mutex mutex;
  std::string extra_id;  // guarded by mutex
  ExtraAnswerServer orders(
      [&](const std::string& call, const std::string&) -> std::string {
        if (!IdOf(call).starts_with("first")) return "";
        const std::lock_guard<std::mutex> lock(mutex);
        const std::string id = extra_id == "own" ? IdOf(call) : extra_id;
        if (status == 200)
          return MakeAnswer(200, IdField(id) + kSeal, "id: 1\ndata: wrong\n\n");
        return MakeNotRun(status, IdField(id));
      },
      when);
  StartWith(orders);
  int round = 0;
  for (const char* id : {"", "own", "other"})
    for (const int next_status : {200, 409, 421, 503}) {
      CAPTURE(when == When::kLate, path, id, next_status);
      {
        const std::lock_guard<std::mutex> lock(mutex);
        extra_id = id;
      }
      status = next_status;
      const std::string first = "first" + std::to_string(++round);
      const std::string next = "next" + std::to_string(round);
      REQUIRE(Send(MakeRequest(path, first)).find("data: " + first) !=
              std::string::npos);
      const std::string response = Send(MakeRequest(path, next));
      CAPTURE(response);
      // An answer without an id leaves it open whether the request ran, and
      // there is no other server.
      const bool may_be_unknown = extra_id.empty() && when == When::kLate;
      if (!may_be_unknown || !response.starts_with("HTTP/1.1 502")) {
        REQUIRE(response.starts_with("HTTP/1.1 200"));
        REQUIRE(response.find("data: " + next) != std::string::npos);
      }
      if (path == "/u/") REQUIRE(orders.runs_of(next) == 1);
    }
}

// Guards against an order that runs twice: the answer of a full server to a
// stage call was taken for that to an order on the same connection.
TEST_CASE_METHOD(
    ExtraAnswerFixture,
    "An extra answer to a stage call is not taken for an order's") {
  const When when = GENERATE(When::kAtOnce, When::kLate);
  const int status = GENERATE(0, 200, 409, 421, 503);
  CAPTURE(when == When::kLate, status);
  ExtraAnswerServer orders(
      [&](const std::string& call, const std::string& answer) -> std::string {
        if (!call.starts_with("POST /stage-run")) return "";
        if (status == 0) return answer;
        return status == 200 ? MakeAnswer(200, "", "{}")
                             : MakeNotRun(status, "");
      },
      when);
  StartWith(orders);
  for (int i = 0; i < 3; ++i) {
    RunStaged({1});
    const std::string id = "order" + std::to_string(i);
    const std::string response = Send(MakeRequest("/u/", id));
    CAPTURE(response);
    REQUIRE(response.find("data: " + id) != std::string::npos);
    REQUIRE(orders.runs_of(id) == 1);
  }
}

// Guards against requests with the results of others: an extra answer to a
// stage call was taken for that to the next call, and the answer to that for
// the one to the call after.
TEST_CASE_METHOD(ExtraAnswerFixture,
                 "An extra answer to a stage call is not taken for the next") {
  const When when = GENERATE(When::kAtOnce, When::kLate);
  const std::string extra =
      GENERATE("copy", "items late", "other items", "no items", "unreadable",
               "503", "409", "421", "500");
  const std::vector<int> items =
      GENERATE(std::vector<int>{1, 1, 1}, std::vector<int>{2, 1, 1});
  CAPTURE(when == When::kLate, extra, items);
  std::atomic<int> calls = 0;
  ExtraAnswerServer orders(
      [&](const std::string& call, const std::string& answer) -> std::string {
        if (!call.starts_with("POST /stage-run") || ++calls > 1) return "";
        if (extra == "copy") return answer;
        if (extra == "items late")
          return MakeAnswer(200, "", R"({"items":[{"reason":"error"}]})");
        if (extra == "other items")
          return MakeAnswer(200, "", R"({"items":[{"handle":"x"},{"handle":"y"},
                                    {"handle":"z"}]})");
        if (extra == "no items") return MakeAnswer(200, "", R"({"items":[]})");
        if (extra == "unreadable") return MakeAnswer(200, "", "{}");
        if (extra == "500") return MakeAnswer(500, "", "");
        return MakeNotRun(std::stoi(extra), "");
      },
      when);
  StartWith(orders);
  RunStaged(items);
  REQUIRE(orders.sent_extras() <= 1);
}

// Guards against a copy of the answer of a full server, which names no item.
TEST_CASE_METHOD(ExtraAnswerFixture,
                 "A second refusal of a stage call does not end the next") {
  std::atomic<int> calls = 0;
  std::atomic<int> connections_with_refusal = 0;
  std::mutex mutex;
  std::set<int> refused;
  ScriptedServer stage([&](RawConnection& connection, const std::string& call) {
    if (!call.starts_with("POST /stage-run")) {
      connection.Write(MakeAnswer(200, "", "{}"));
      return true;
    }
    {
      const std::lock_guard<std::mutex> lock(mutex);
      if (refused.contains(connection.number())) ++connections_with_refusal;
      if (calls == 0) refused.insert(connection.number());
    }
    const int call_number = ++calls;
    connection.Write(
        call_number == 1
            ? MakeNotRun(503, "")
            : MakeAnswer(200, "", R"({"items":[{"handle":"staged0-0"}]})"));
    return true;
  });
  rows.Set("op", "config", kRouting);
  AddServer("orders", "orders", stage.address());
  AddServer("model", "model", model.address());
  Start();
  RunUntil([this] { return gateway->is_ready(); });
  RunStaged({1});
  REQUIRE(calls == 2);
  REQUIRE(connections_with_refusal == 0);
}

// Guards against confused answers after releases and reports, which name
// nothing at all.
TEST_CASE_METHOD(ExtraAnswerFixture,
                 "An extra answer to a release is not taken for another") {
  const When when = GENERATE(When::kAtOnce, When::kLate);
  const std::string extra = GENERATE("copy", "stage call", "503", "409", "421");
  CAPTURE(when == When::kLate, extra);
  ExtraAnswerServer orders(
      [&](const std::string& call, const std::string& answer) -> std::string {
        if (!call.starts_with("POST /stage-free")) return "";
        if (extra == "copy") return answer;
        if (extra == "stage call")
          return MakeAnswer(200, "", R"({"items":[{"handle":"x"}]})");
        return MakeNotRun(std::stoi(extra), "");
      },
      when);
  StartWith(orders);
  for (int i = 0; i < 3; ++i) {
    RunStaged({1});
    RunFor(milliseconds(40));  // the release is sent
    const std::string id = "order" + std::to_string(i);
    REQUIRE(Send(MakeRequest("/u/", id)).find("data: " + id) !=
            std::string::npos);
    REQUIRE(orders.runs_of(id) == 1);
  }
}

// Guards against confused answers after reports, which are asked for while a
// call is slow.
TEST_CASE_METHOD(ExtraAnswerFixture,
                 "An extra report is not taken for another answer") {
  std::atomic<int> reports = 0;
  std::atomic<int> calls = 0;
  std::mutex mutex;
  std::map<int, std::string> late;
  ScriptedServer stage([&](RawConnection& connection, const std::string& call) {
    std::string extra;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      extra = std::exchange(late[connection.number()], {});
    }
    connection.Write(extra);
    if (call.starts_with("GET /report")) {
      ++reports;
      const std::string answer =
          MakeAnswer(200, "", R"({"queued":0,"busy":true,"freeMb":9})");
      connection.Write(answer);
      const std::lock_guard<std::mutex> lock(mutex);
      late[connection.number()] = answer;
      return true;
    }
    const std::string id = IdOf(call);
    if (!id.empty()) {
      std::this_thread::sleep_for(kWorkTime);
      connection.Write(MakeAnswer(200, IdField(id) + kSeal, id));
      return true;
    }
    if (call.starts_with("POST /stage-free")) {
      connection.Write(MakeAnswer(200, "", "{}"));
      return true;
    }
    ++calls;
    std::this_thread::sleep_for(milliseconds(500));
    const auto body =
        nlohmann::json::parse(call.substr(call.find("\r\n\r\n") + 4));
    nlohmann::json items = nlohmann::json::array();
    for (const auto& item : body.at("items"))
      items.push_back({{"handle", item.at("id").get<std::string>() + "-" +
                                      std::to_string(calls)}});
    connection.Write(
        MakeAnswer(200, "", nlohmann::json{{"items", items}}.dump()));
    return true;
  });
  rows.Set("op", "config", kRouting);
  AddServer("orders", "orders", stage.address());
  AddServer("model", "model", model.address());
  Start();
  RunUntil([this] { return gateway->is_ready(); });
  for (int i = 0; i < 2; ++i) {
    RunStaged({1});
    const std::string id = "order" + std::to_string(i);
    REQUIRE(Send(MakeRequest("/u/", id)).ends_with(id));
  }
  REQUIRE(reports > 0);
}

// Guards against a stream that runs and is refused: after a 409 the request
// went to the same server over the same connection, where a second copy of the
// 409 has its id.
TEST_CASE_METHOD(ExtraAnswerFixture,
                 "A request sent again to its server does not get a copy") {
  const When when = GENERATE(When::kAtOnce, When::kLate);
  CAPTURE(when == When::kLate);
  std::atomic<int> tries = 0;
  std::atomic<int> runs = 0;
  std::mutex mutex;
  std::set<int> refused;
  ScriptedServer lossy([&](RawConnection& connection, const std::string& call) {
    const std::string id = IdOf(call);
    const std::string refusal = MakeNotRun(409, IdField(id));
    bool sends_copy = false;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      sends_copy = when == When::kLate && refused.contains(connection.number());
      refused.erase(connection.number());
    }
    if (sends_copy) connection.Write(refusal);
    if (++tries <= 1) {
      {
        const std::lock_guard<std::mutex> lock(mutex);
        refused.insert(connection.number());
      }
      connection.Write(when == When::kAtOnce ? refusal + refusal : refusal);
      return true;
    }
    std::this_thread::sleep_for(kWorkTime);
    ++runs;
    connection.Write(MakeAnswer(200, IdField(id) + kSeal, id));
    return true;
  });
  ExtraAnswerServer orders(
      [](const std::string&, const std::string&) { return ""; }, when);
  rows.Set("op", "config", kRouting);
  AddServer("orders", "orders", orders.address());
  AddServer("model", "model", lossy.address());
  Start();
  RunUntil([this] { return gateway->is_ready(); });
  const std::string response = Send(MakeRequest("/g/", "staged0", 1));
  CAPTURE(response);
  REQUIRE(response.starts_with("HTTP/1.1 200"));
  REQUIRE(runs == 1);
}

// Guards against the response of another request from a host that requests are
// passed on to.
TEST_CASE_METHOD(ExtraAnswerFixture,
                 "An extra answer of another host is not taken for the next") {
  const When when = GENERATE(When::kAtOnce, When::kLate);
  const std::string id = GENERATE("id1", "other");
  const int status = GENERATE(200, 409, 503);
  CAPTURE(when == When::kLate, id, status);
  ExtraAnswerServer other_host(
      [&](const std::string& call, const std::string&) -> std::string {
        if (IdOf(call) != "id1") return "";
        return status == 200
                   ? MakeAnswer(200, IdField(id) + kSeal, "data: wrong")
                   : MakeNotRun(status, IdField(id) + kSeal);
      },
      when);
  rows.Set("op", "config", kRouting);
  const std::string nowhere =
      "127.0.0.1:" + std::to_string(transport::UnusedPort());
  AddServer("orders1", "orders", nowhere);
  AddServer("orders2", "orders", nowhere);
  StartHosts(2);
  nlohmann::json row =
      nlohmann::json::parse(rows.Find("hosts", "host-2")->value);
  row["callers"] = other_host.address();
  rows.Set("hosts", "host-2", row.dump());
  RunFor(milliseconds(1500));
  for (const char* request : {"id1", "id2", "id3"}) {
    const std::string response = Send(MakeRequest("/u/", request));
    CAPTURE(request, response);
    REQUIRE(response.find("data: " + std::string(request)) !=
            std::string::npos);
    REQUIRE(other_host.runs_of(request) == 1);
  }
}

}  // namespace
}  // namespace lovagecleat::gateway
