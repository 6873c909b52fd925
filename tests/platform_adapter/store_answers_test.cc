#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "platform/store_client.h"
#include "tests/transport/loop_fixture.h"
#include "tests/transport/raw_server.h"

// Tests a store that sends answers a second time, late, and bytes that are no
// answer.
namespace lovagecleat::platform_adapter {
namespace {

using gateway::RowsResponse;
using routing::RowVersion;
using std::chrono::milliseconds;
using transport::RawConnection;

std::string MakeAnswer(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string MakePage(const std::string& table, const std::string& key,
                     int version, bool has_more = false) {
  return MakeAnswer(
      200, R"({"ver":)" + std::to_string(version) + R"(,"morePages":)" +
               (has_more ? "true" : "false") + R"(,"rows":[{"table":")" +
               table + R"(","key":")" + key + R"(","value":"dg==","ver":)" +
               std::to_string(version) + "}]}");
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// A store that sends the answer to the call before, once more, when the next
// call comes on its connection.
class StoreAnswersFixture : public transport::LoopFixture {
 public:
  StoreAnswersFixture()
      : server_([this](RawConnection& connection) {
          std::string last;
          while (const auto call = connection.ReadRequest()) {
            ++calls;
            if (sends_copies && !last.empty()) connection.Write(last);
            std::this_thread::sleep_for(milliseconds(30));
            last = answer(*call);
            connection.Write(last);
          }
        }),
        log_(clock_, "host", -1),
        poller_(loop()),
        pool_(poller_),
        client(loop(), pool_, log_, server_.address()) {}

  RowsResponse ReadAll(const std::string& table) {
    return Complete([&](const gateway::RowSource::Callback& callback) {
      client.ReadAll(table, callback);
    });
  }

  RowsResponse Follow(const std::string& table, int version) {
    return Complete([&](const gateway::RowSource::Callback& callback) {
      client.Follow(table, RowVersion(0, static_cast<std::uint64_t>(version)),
                    milliseconds(0), callback);
    });
  }

  bool Write(const std::string& part) {
    std::optional<bool> is_written;
    client.WriteContentBlock(part, "v",
                             [&](bool result) { is_written = result; });
    RunUntil([&] { return is_written.has_value(); });
    return *is_written;
  }

  std::function<std::string(const std::string& call)> answer;
  std::atomic<bool> sends_copies = true;
  std::atomic<int> calls = 0;

 private:
  RowsResponse Complete(
      const std::function<void(const gateway::RowSource::Callback&)>& call) {
    std::optional<RowsResponse> received;
    call([&](RowsResponse response) { received = std::move(response); });
    RunUntil([&] { return received.has_value(); });
    return *received;
  }

  transport::RawServer server_;
  SystemClock clock_;
  logging::EventLog log_;
  http::Poller poller_;
  http::ConnectionPool pool_;

 public:
  StoreClient client;
};

// Guards against rows of another table, and against one without the rows of
// its first pages.
TEST_CASE_METHOD(StoreAnswersFixture,
                 "A copy of a page is not taken for another page") {
  answer = [](const std::string& call) {
    if (Contains(call, "table=servers")) return MakePage("servers", "s", 9);
    return Contains(call, "from=") ? MakePage("op", "b", 8)
                                   : MakePage("op", "a", 8, true);
  };
  const RowsResponse servers = ReadAll("servers");
  REQUIRE(servers.rows.size() == 1);
  const RowsResponse first = ReadAll("op");
  REQUIRE(first.status == RowsResponse::Status::kRead);
  REQUIRE(first.rows.size() == 2);
  REQUIRE(first.rows.at(0).key == "a");
  const RowsResponse second = ReadAll("op");
  REQUIRE(second.rows.size() == 2);
  REQUIRE(second.rows.at(0).key == "a");
  REQUIRE(ReadAll("servers").rows.at(0).table == "servers");
}

// Guards against changes that are missed: the version of another table's
// changes was taken for that of its own.
TEST_CASE_METHOD(StoreAnswersFixture,
                 "A copy of changes is not taken for those of another table") {
  answer = [](const std::string& call) {
    if (!Contains(call, "table=servers"))
      return MakeAnswer(200, R"({"ver":90,"rows":[]})");
    return MakePage("servers", "s", 20);
  };
  REQUIRE(Follow("op", 5).version == RowVersion(0, 90));
  const RowsResponse servers = Follow("servers", 10);
  REQUIRE(servers.rows.size() == 1);
  REQUIRE(servers.version == RowVersion(0, 20));
}

// Guards against changes that are missed after a copy of the table's own
// changes: the client follows on from the version that it was told, and gets
// all that came after it.
TEST_CASE_METHOD(StoreAnswersFixture,
                 "A copy of a table's changes loses none of them") {
  // A change each call: a row named by its version.
  answer = [](const std::string& call) {
    const int after = std::stoi(call.substr(call.find("after=") + 6));
    return MakePage("servers", "s" + std::to_string(after + 1), after + 1);
  };
  int version = 0;
  std::string keys;
  for (int i = 0; i < 6; ++i) {
    const RowsResponse response = Follow("servers", version);
    REQUIRE(response.status == RowsResponse::Status::kRead);
    if (response.version > RowVersion(0, static_cast<std::uint64_t>(version)))
      keys += response.rows.at(0).key + " ";
    version = std::max(version, static_cast<int>(response.version.number()));
    if (i == 3) sends_copies = false;
  }
  REQUIRE(keys.starts_with("s1 s2 s3 "));
}

// Guards against a write that counts as done: the answer to the write before it
// came a second time.
TEST_CASE_METHOD(StoreAnswersFixture,
                 "A copy of the answer to a write is not taken for another") {
  answer = [](const std::string& call) {
    return MakeAnswer(Contains(call, "blocked-part/good") ? 200 : 503, "{}");
  };
  REQUIRE(Write("good"));
  REQUIRE_FALSE(Write("bad"));
  REQUIRE(Write("good"));
}

// Guards against a wait until the time limit.
TEST_CASE_METHOD(StoreAnswersFixture,
                 "A status that does not exist is no answer of the store") {
  const std::string status = GENERATE("000", "099", "101", "600", "999");
  CAPTURE(status);
  sends_copies = false;
  answer = [&](const std::string&) {
    return "HTTP/1.1 " + status +
           " X\r\nContent-Length: 21\r\n\r\n"
           R"({"ver":90,"rows":[]} )";
  };
  const TimePoint start = loop().clock().Now();
  REQUIRE(ReadAll("op").status == RowsResponse::Status::kUnavailable);
  REQUIRE(Follow("op", 5).status == RowsResponse::Status::kUnavailable);
  REQUIRE_FALSE(Write("good"));
  REQUIRE(loop().clock().Now() - start < milliseconds(600));
}

}  // namespace
}  // namespace lovagecleat::platform_adapter
