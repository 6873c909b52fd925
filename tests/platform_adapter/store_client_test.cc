#include "platform/store_client.h"

#include <fcntl.h>
#include <glib.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>

#include "tests/transport/loop_fixture.h"
#include "tests/transport/raw_server.h"

namespace lovagecleat::platform_adapter {
namespace {

using gateway::RowsResponse;
using routing::RowVersion;
using std::chrono::milliseconds;

// Returns a response with one row, or with none if `key` is empty.
std::string MakePage(const std::string& fields, int version,
                     const std::string& key, bool has_more = false) {
  std::string row;
  if (!key.empty())
    row = R"({"table":"op","key":")" + key + R"(","value":"dg==","ver":)" +
          std::to_string(version) + "}";
  const std::string body =
      R"({"ver":)" + std::to_string(version) + R"(,"nowMs":1,"morePages":)" +
      (has_more ? "true" : "false") + R"(,"rows":[)" + row + "]}";
  return "HTTP/1.1 200 OK\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A client and a store with prepared responses, sent in order.
class StoreClientFixture : public transport::LoopFixture {
 public:
  StoreClientFixture()
      : server_([this](transport::RawConnection& connection) {
          while (const auto request = connection.ReadRequest()) {
            std::string response;
            {
              const std::lock_guard<std::mutex> lock(mutex_);
              requests_.push_back(request->substr(0, request->find('\r')));
              last_request_ = *request;
              if (responses_.empty()) return;
              response = responses_.front();
              responses_.pop_front();
            }
            connection.Write(response);
          }
        }),
        log_descriptors_(OpenPipe()),
        log_(clock_, "host", log_descriptors_[1]),
        poller_(loop()),
        pool_(poller_),
        client(loop(), pool_, log_, server_.address()) {}

  ~StoreClientFixture() {
    for (const int descriptor : log_descriptors_) close(descriptor);
  }

  void Respond(const std::string& response) {
    const std::lock_guard<std::mutex> lock(mutex_);
    responses_.push_back(response);
  }

  RowsResponse ReadAll() {
    return Complete([this](const gateway::RowSource::Callback& callback) {
      client.ReadAll("op", callback);
    });
  }

  RowsResponse Follow(RowVersion version) {
    return Complete([&](const gateway::RowSource::Callback& callback) {
      client.Follow("op", version, milliseconds(0), callback);
    });
  }

  std::vector<std::string> requests() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return requests_;
  }

  // Returns the body of the last request, as JSON.
  nlohmann::json LastBody() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return nlohmann::json::parse(
        last_request_.substr(last_request_.find("\r\n\r\n") + 4));
  }

  // Returns the lines logged so far; there must be at least one.
  std::string ReadLog() {
    log_.Flush();
    std::array<char, 4096> bytes{};
    const ssize_t size = read(log_descriptors_[0], bytes.data(), bytes.size());
    REQUIRE(size > 0);
    return {bytes.data(), static_cast<std::size_t>(size)};
  }

 private:
  static std::array<int, 2> OpenPipe() {
    std::array<int, 2> descriptors{};
    REQUIRE(pipe2(descriptors.data(), O_NONBLOCK | O_CLOEXEC) == 0);
    return descriptors;
  }

  RowsResponse Complete(
      const std::function<void(const gateway::RowSource::Callback&)>& call) {
    std::optional<RowsResponse> received;
    call([&](RowsResponse response) { received = std::move(response); });
    RunUntil([&] { return received.has_value(); });
    return *received;
  }

  std::mutex mutex_;
  std::deque<std::string> responses_;
  std::vector<std::string> requests_;
  std::string last_request_;
  transport::RawServer server_;
  SystemClock clock_;
  std::array<int, 2> log_descriptors_;
  logging::EventLog log_;
  http::Poller poller_;
  http::ConnectionPool pool_;

 public:
  StoreClient client;
};

TEST_CASE_METHOD(StoreClientFixture, "Rows have the era of their response") {
  Respond(MakePage("Store-Era: 2\r\n", 7, "config"));
  const RowsResponse all = ReadAll();
  REQUIRE(all.status == RowsResponse::Status::kRead);
  REQUIRE(all.version == RowVersion(2, 7));
  REQUIRE(all.rows.at(0).version == RowVersion(2, 7));
  Respond(MakePage("Store-Era: 3\r\n", 4, "config"));
  const RowsResponse changes = Follow(all.version);
  REQUIRE(changes.version == RowVersion(3, 4));
  REQUIRE(changes.rows.at(0).version == RowVersion(3, 4));
}

TEST_CASE_METHOD(StoreClientFixture, "A store without the field is in era 0") {
  Respond(MakePage("", 7, "config"));
  REQUIRE(ReadAll().version == RowVersion(0, 7));
}

TEST_CASE_METHOD(StoreClientFixture,
                 "A response whose era cannot be read is not used") {
  const auto [fields, expected] = GENERATE(table<const char*, const char*>({
      {"Store-Era: 1\r\nStore-Era: 2\r\n", "a single field"},
      {"Store-Era: 1\r\nStore-Era: 1\r\n", "a single field"},
      {"Store-Era:\r\n", "a whole number"},
      {"Store-Era: new\r\n", "a whole number"},
      {"Store-Era: -1\r\n", "a whole number"},
      {"Store-Era: 1.5\r\n", "a whole number"},
      {"Store-Era: 99999999999999999999\r\n", "a whole number"},
  }));
  INFO(fields);
  Respond(MakePage(fields, 7, "config"));
  REQUIRE(ReadAll().status == RowsResponse::Status::kUnavailable);
  const std::string log = ReadLog();
  REQUIRE(log.find("store_era_unreadable") != std::string::npos);
  REQUIRE(log.find(expected) != std::string::npos);
  // The next response counts again.
  Respond(MakePage("Store-Era: 1\r\n", 7, "config"));
  REQUIRE(Follow({1, 6}).status == RowsResponse::Status::kRead);
}

TEST_CASE_METHOD(StoreClientFixture, "Gone history needs no rows") {
  Respond("HTTP/1.1 410 Gone\r\nStore-Era: 1\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(Follow({0, 9}).status == RowsResponse::Status::kHistoryGone);
}

// Guards against a table that never existed: its pages are of two eras.
TEST_CASE_METHOD(StoreClientFixture,
                 "A read starts anew if its pages are of two eras") {
  Respond(MakePage("Store-Era: 1\r\n", 9, "a", true));
  Respond(MakePage("Store-Era: 2\r\n", 5, "b", true));
  Respond(MakePage("Store-Era: 2\r\n", 5, "a", true));
  Respond(MakePage("Store-Era: 2\r\n", 6, "b"));
  const RowsResponse response = ReadAll();
  REQUIRE(response.status == RowsResponse::Status::kRead);
  REQUIRE(response.version == RowVersion(2, 5));
  REQUIRE(response.rows.size() == 2);
  REQUIRE(response.rows[0].version == RowVersion(2, 5));
  REQUIRE(response.rows[1].version == RowVersion(2, 6));
  REQUIRE(requests().size() == 4);
  REQUIRE(requests()[2] == requests()[0]);
}

TEST_CASE_METHOD(StoreClientFixture,
                 "A later page of an older era ends the read") {
  Respond(MakePage("Store-Era: 2\r\n", 5, "a", true));
  Respond(MakePage("Store-Era: 1\r\n", 9, "b"));
  REQUIRE(ReadAll().status == RowsResponse::Status::kUnavailable);
}

TEST_CASE_METHOD(StoreClientFixture,
                 "Blocked prompt parts are rows in the table of hosts") {
  using Kind = gateway::RowSubject::Kind;
  const auto subject_of = [this](const std::string& key) {
    return client.SubjectOf({"gateways", key, "", RowVersion(0, 1), false});
  };
  REQUIRE(subject_of("host-1").kind == Kind::kHost);
  REQUIRE(subject_of("blocked-part/bad1").kind == Kind::kContentBlock);
  REQUIRE(subject_of("blocked-part/bad1").name == "bad1");
  const std::string ok =
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"ver\":8}";
  Respond(ok);
  std::optional<bool> is_written;
  client.WriteContentBlock("bad1", "v",
                           [&](bool result) { is_written = result; });
  RunUntil([&] { return is_written.has_value(); });
  REQUIRE(*is_written);
  const nlohmann::json write = LastBody().at("writes").at(0);
  REQUIRE(write.at("table") == "gateways");
  REQUIRE(write.at("key") == "blocked-part/bad1");
  REQUIRE(write.at("value") == "dg==");
  Respond(ok);
  client.RemoveContentBlock("bad1");
  RunUntil([&] { return requests().size() == 2; });
  const nlohmann::json removal = LastBody();
  REQUIRE(removal.at("writes").empty());
  REQUIRE(removal.at("remove").at(0).at("key") == "blocked-part/bad1");
}

// Guards against states of roll-outs that are written over another order or
// another state, or under other names than operators read.
TEST_CASE_METHOD(StoreClientFixture,
                 "The state of a roll-out is written under a condition") {
  using gateway::RowSubject;
  using routing::StatusWriteResult;
  const RowSubject subject =
      client.SubjectOf({"op", "rollout/plain", "", RowVersion(0, 1), false});
  CHECK(subject.kind == RowSubject::Kind::kRollout);
  CHECK(subject.name == "plain");
  std::optional<gateway::RolloutStatusResult> result;
  const auto write = [&](std::optional<RowVersion> known,
                         const std::string& response) {
    Respond(response);
    result.reset();
    client.WriteRolloutStatus(
        {ServiceId("plain"),
         {"v2", routing::RolloutState::kRolledBack, milliseconds(5),
          milliseconds(12500)},
         RowVersion(0, 7),
         known},
        [&](const gateway::RolloutStatusResult& written) { result = written; });
    RunUntil([&] { return result.has_value(); });
  };
  write(std::nullopt,
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"ver\":8}");
  CHECK(result->result == StatusWriteResult::kWritten);
  CHECK(result->version == RowVersion(0, 8));
  const nlohmann::json body = LastBody();
  CHECK(body.at("expect").at(0) == nlohmann::json({{"table", "op"},
                                                   {"part", ""},
                                                   {"key", "rollout/plain"},
                                                   {"ver", 7}}));
  CHECK(body.at("expect").at(1) == nlohmann::json({{"table", "status"},
                                                   {"part", ""},
                                                   {"key", "rollout/plain"},
                                                   {"ver", 0}}));
  CHECK(body.at("writes").at(0).at("table") == "status");
  CHECK(body.at("writes").at(0).at("key") == "rollout/plain");
  gsize size = 0;
  guchar* value = g_base64_decode(
      body.at("writes").at(0).at("value").get<std::string>().c_str(), &size);
  CHECK(nlohmann::json::parse(value, value + size) ==
        nlohmann::json({{"state", "rolled_back"},
                        {"to", "v2"},
                        {"startedMs", 5},
                        {"rolloutMs", 12500}}));
  g_free(value);
  write(RowVersion(0, 8), "HTTP/1.1 412 X\r\nContent-Length: 2\r\n\r\n{}");
  CHECK(result->result == StatusWriteResult::kConflict);
  CHECK(LastBody().at("expect").at(1).at("ver") == 8);
  write(RowVersion(0, 8), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  CHECK(result->result == StatusWriteResult::kNoResponse);
}

TEST_CASE_METHOD(StoreClientFixture, "The state of a roll-out is read") {
  const auto read = [&](const std::string& key, const std::string& value) {
    const std::string row = R"({"table":"status","key":")" + key +
                            R"(","ver":4,"value":")" + value + R"("})";
    const std::string body = R"({"ver":9,"nowMs":1,"rows":[)" +
                             (key.empty() ? std::string() : row) + "]}";
    Respond("HTTP/1.1 200 OK\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body);
    std::optional<std::optional<gateway::RolloutStatusRow>> result;
    client.ReadRolloutStatus(
        ServiceId("plain"),
        [&](const std::optional<gateway::RolloutStatusRow>& row_read) {
          result = row_read;
        });
    RunUntil([&] { return result.has_value(); });
    return *result;
  };
  // {"state":"completed","to":"v2"}
  auto row =
      read("rollout/plain", "eyJzdGF0ZSI6ImNvbXBsZXRlZCIsInRvIjoidjIifQ==");
  REQUIRE(row);
  CHECK(row->version == RowVersion(0, 4));
  CHECK(row->status == routing::RolloutStatus{"v2",
                                              routing::RolloutState::kCompleted,
                                              std::nullopt});
  // {"state":"running","to":"v2","startedMs":7,"rolloutMs":12500}
  row = read("rollout/plain",
             "eyJzdGF0ZSI6InJ1bm5pbmciLCJ0byI6InYyIiwic3RhcnRlZE1zIjo3LCJyb2xsb"
             "3V0TXMiOjEyNTAwfQ==");
  REQUIRE(row);
  CHECK(row->status ==
        routing::RolloutStatus{"v2", routing::RolloutState::kRunning,
                               milliseconds(7), milliseconds(12500)});
  constexpr const char* above_the_range =
      "eyJzdGF0ZSI6InJ1bm5pbmciLCJ0byI6InYyIiwic3RhcnRlZE1zIjoxODQ0Njc0NDA3Mz"
      "cwOTU1MTYxNX0=";
  // Times that are none: 18446744073709551615, 1e300, -5, "soon", null.
  for (const char* value :
       {above_the_range,
        "eyJzdGF0ZSI6InJ1bm5pbmciLCJ0byI6InYyIiwic3RhcnRlZE1zIjoxZTMwMH0=",
        "eyJzdGF0ZSI6InJ1bm5pbmciLCJ0byI6InYyIiwic3RhcnRlZE1zIjotNX0=",
        "eyJzdGF0ZSI6InJ1bm5pbmciLCJ0byI6InYyIiwic3RhcnRlZE1zIjoic29vbiJ9",
        "eyJzdGF0ZSI6InJ1bm5pbmciLCJ0byI6InYyIiwic3RhcnRlZE1zIjpudWxsfQ=="}) {
    row = read("rollout/plain", value);
    REQUIRE(row);
    CHECK(row->status == routing::RolloutStatus{"v2",
                                                routing::RolloutState::kRunning,
                                                std::nullopt});
  }
  // Another service, and no JSON.
  row = read("rollout/plainer", "e30=");
  REQUIRE(row);
  CHECK_FALSE(row->version);
  row = read("rollout/plain", "dg==");
  REQUIRE(row);
  CHECK(row->version == RowVersion(0, 4));
  CHECK_FALSE(row->status);
  CHECK_FALSE(read("", "")->version);
  Respond("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
  bool has_ended = false;
  client.ReadRolloutStatus(
      ServiceId("plain"),
      [&](const std::optional<gateway::RolloutStatusRow>& unread) {
        has_ended = true;
        CHECK_FALSE(unread);
      });
  RunUntil([&] { return has_ended; });
}

}  // namespace
}  // namespace lovagecleat::platform_adapter
