#include <array>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "http/http.h"
#include "tests/policy/property.h"

namespace lovagecleat::http {
namespace {

// Records the parts of a message.
struct Recorder final : MessageObserver {
  void OnRequestHead(RequestHead&& head) override { request = std::move(head); }
  void OnResponseHead(ResponseHead&& head) override {
    response = std::move(head);
  }
  void OnMessageBody(std::string_view bytes) override { body.append(bytes); }
  void OnMessageComplete() override { ++completed; }

  RequestHead request;
  ResponseHead response;
  std::string body;
  int completed = 0;
};

struct ReadResult {
  Recorder recorder;
  ParseError error = ParseError::kNone;
  bool is_complete = false;
  std::size_t used = 0;
  bool keeps_connection = false;
  bool completes_at_end = false;
};

// Feeds `bytes` in pieces of `step` bytes, as a socket could deliver them.
ReadResult Read(MessageReader::Role role, std::string_view bytes,
                std::size_t step = 100000, MessageLimits limits = {}) {
  ReadResult result;
  MessageReader reader(role, limits, result.recorder);
  std::string pending;
  for (std::size_t i = 0; i < bytes.size() && !reader.is_complete() &&
                          reader.error() == ParseError::kNone;
       i += step) {
    pending.append(bytes.substr(i, step));
    const std::size_t used = reader.Feed(pending);
    pending.erase(0, used);
    result.used += used;
  }
  result.error = reader.error();
  result.is_complete = reader.is_complete();
  if (reader.has_head() && result.error == ParseError::kNone)
    result.keeps_connection = reader.keeps_connection();
  if (!result.is_complete) result.completes_at_end = reader.FeedEnd();
  return result;
}

constexpr std::string_view kChunked =
    "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\n";

TEST_CASE("A request is parsed alike however its bytes are split") {
  for (const std::size_t step : {1U, 2U, 7U, 1000U}) {
    const ReadResult result =
        Read(MessageReader::Role::kRequest, kChunked, step);
    REQUIRE(result.is_complete);
    REQUIRE(result.used == kChunked.size());
    REQUIRE(result.recorder.request.method == "POST");
    REQUIRE(result.recorder.request.target == "/a/b?c=d");
    REQUIRE(result.recorder.body == "abcde");
    REQUIRE(result.recorder.completed == 1);
    // Trailer fields are not added to the fields of the request.
    REQUIRE_FALSE(FindField(result.recorder.request.fields, "Trailer"));
  }
}

TEST_CASE("Bytes of the next request are not consumed") {
  const std::string two =
      "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n";
  const ReadResult result = Read(MessageReader::Role::kRequest, two);
  REQUIRE(result.is_complete);
  REQUIRE(result.used == two.size() / 2);
  REQUIRE(result.recorder.request.target == "/1");
}

TEST_CASE("Ambiguous requests are malformed") {
  const std::vector<std::string> heads = {
      ("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
       "Transfer-Encoding: chunked\r\n\r\n"),
      ("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
       "Content-Length: 3\r\n\r\n"),
      ("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
       "Content-Length: 3\r\n\r\nabc"),
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\nabc",
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc",
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
      ("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
       "Transfer-Encoding: chunked\r\n\r\n"),
      "POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: h\r\nHost: other\r\n\r\n",
      "GET / HTTP/1.1\r\n\r\n",
      "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n",
      "GET /a#b HTTP/1.1\r\nHost: h\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n",
      "GET / HTTP/1.1\r\nHost : h\r\n\r\n",
      "GET / HTTP/1.1\nHost: h\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: h\rX: y\r\n\r\n",
      "GET / HTTP/2.0\r\nHost: h\r\n\r\n",
      "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
  };
  for (const std::string& head : heads) {
    INFO(head);
    REQUIRE(Read(MessageReader::Role::kRequest, head).error ==
            ParseError::kMalformed);
  }
}

TEST_CASE("Heads and bodies above the limits give different errors") {
  MessageLimits limits{200, 4};
  const std::string long_head =
      "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(300, 'x') + "\r\n\r\n";
  REQUIRE(Read(MessageReader::Role::kRequest, long_head, 50, limits).error ==
          ParseError::kHeaderTooLarge);
  REQUIRE(Read(MessageReader::Role::kRequest,
               "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde",
               1000, limits)
              .error == ParseError::kBodyTooLarge);
  REQUIRE(Read(MessageReader::Role::kRequest, kChunked, 1000, limits).error ==
          ParseError::kBodyTooLarge);
}

// Guards against the end of the process: Beast asserts that at least five bytes
// are there once it has seen the size of the last chunk.
TEST_CASE("An empty chunked body is read however its bytes are split") {
  const std::string_view start = GENERATE(
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string_view body = GENERATE("0\r\n\r\n", "0\r\nX: y\r\n\r\n",
                                         "0;x\r\n\r\n", "1\r\nx\r\n0\r\n\r\n");
  const std::string bytes = std::string(start) + std::string(body);
  const auto role = start.starts_with("POST") ? MessageReader::Role::kRequest
                                              : MessageReader::Role::kResponse;
  for (std::size_t step = 1; step <= bytes.size(); ++step) {
    INFO(body << " in steps of " << step);
    Recorder recorder;
    MessageReader reader(role, {}, recorder);
    std::string pending;
    for (std::size_t i = 0; i < bytes.size(); i += step) {
      pending.append(bytes.substr(i, step));
      // The same bytes may be fed again before others arrive.
      for (int repeat = 0; repeat < 3 && !reader.is_complete(); ++repeat)
        pending.erase(0, reader.Feed(pending));
    }
    REQUIRE(reader.is_complete());
    REQUIRE(recorder.completed == 1);
  }
}

// Guards against memory without bounds: the line of a chunk and the trailer
// fields, which are read only when complete, could have any size.
TEST_CASE("Lines without end are errors wherever they begin") {
  const MessageLimits limits{2000, 1'000'000};
  const std::string_view role_and_start = GENERATE(
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string_view begin =
      GENERATE("", "3\r\nabc\r\n", "1;", "1;a=\"", "0;", "0\r\n", "0\r\nX: ");
  const std::string_view unit = GENERATE("x", "Y: y\r\n", ";x=y");
  const auto role = role_and_start.starts_with("POST")
                        ? MessageReader::Role::kRequest
                        : MessageReader::Role::kResponse;
  std::string bytes = std::string(role_and_start) + std::string(begin);
  while (bytes.size() < 10'000) bytes.append(unit);
  INFO(begin << unit);
  const ReadResult result = Read(role, bytes, 100, limits);
  REQUIRE(result.error != ParseError::kNone);
  REQUIRE(result.used < 1000);
}

TEST_CASE("Only the end of the connection completes an unframed response") {
  const std::string_view unframed = "HTTP/1.1 200 OK\r\nX: y\r\n\r\nabc";
  const ReadResult result = Read(MessageReader::Role::kResponse, unframed);
  REQUIRE_FALSE(result.is_complete);
  REQUIRE(result.completes_at_end);
  REQUIRE(result.recorder.body == "abc");
  REQUIRE_FALSE(result.keeps_connection);
}

TEST_CASE("A truncated framed response is not complete") {
  const std::vector<std::string_view> cut = {
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
      "HTTP/1.1 200 OK\r\nContent-Le",
  };
  for (const std::string_view bytes : cut) {
    const ReadResult result = Read(MessageReader::Role::kResponse, bytes);
    REQUIRE_FALSE(result.is_complete);
    REQUIRE_FALSE(result.completes_at_end);
  }
}

TEST_CASE("The reader handles arbitrary bytes") {
  constexpr tests::PropertyRuns runs{
      .seed = 5, .count = 2000, .maximum_size = 40};
  tests::RequireProperty(runs, [] {
    tests::Choices choices(*tests::AnyChoices());
    std::string bytes(kChunked);
    while (!choices.IsExhausted() && !bytes.empty()) {
      const auto position = static_cast<std::size_t>(
          choices.Below(static_cast<int>(bytes.size())));
      bytes[position] = static_cast<char>(choices.Below(256));
      if (choices.Below(8) == 0)
        bytes.erase(position, 1 + static_cast<std::size_t>(choices.Below(5)));
    }
    const auto role = choices.Below(2) == 0 ? MessageReader::Role::kRequest
                                            : MessageReader::Role::kResponse;
    const ReadResult result =
        Read(role, bytes, 1 + static_cast<std::size_t>(choices.Below(9)));
    RC_ASSERT(result.used <= bytes.size());
    RC_ASSERT(result.recorder.completed <= 1);
    RC_ASSERT(result.is_complete == (result.recorder.completed == 1) ||
              result.completes_at_end);
  });
}

// Guards against the end of the process in the chunk parser, whose
// preconditions depend on how the bytes are split.
TEST_CASE("The reader handles arbitrary chunks however they are split") {
  constexpr tests::PropertyRuns runs{
      .seed = 7, .count = 20000, .maximum_size = 60};
  constexpr std::array<std::string_view, 17> parts = {
      "0\r\n",     "\r\n",     "1\r\nx\r\n", "3\r\nabc\r\n",
      "0;a=b\r\n", "X: y\r\n", " z\r\n",     "0",
      "5",         ";",        "\"",         "\r",
      "\n",        "\t",       ":",          "x",
      "\r\n\r\n"};
  tests::RequireProperty(runs, [&parts] {
    tests::Choices choices(*tests::AnyChoices());
    const bool is_request = choices.Below(2) == 0;
    std::string bytes =
        std::string(is_request ? "POST / HTTP/1.1\r\nHost: h\r\n"
                               : "HTTP/1.1 200 OK\r\n") +
        "Transfer-Encoding: chunked\r\n\r\n";
    while (!choices.IsExhausted())
      bytes.append(parts.at(static_cast<std::size_t>(
          choices.Below(static_cast<int>(parts.size())))));
    Recorder recorder;
    MessageReader reader(is_request ? MessageReader::Role::kRequest
                                    : MessageReader::Role::kResponse,
                         {}, recorder);
    std::string pending;
    std::size_t step = 1 + bytes.size() % 7;
    for (std::size_t i = 0; i < bytes.size(); i += step) {
      step = 1 + (step * 5 + bytes.size()) % 7;
      pending.append(bytes.substr(i, step));
      for (int repeat = 0; repeat < 2 && !reader.is_complete() &&
                           reader.error() == ParseError::kNone;
           ++repeat)
        pending.erase(0, reader.Feed(pending));
    }
    RC_ASSERT(recorder.completed <= 1);
  });
}

}  // namespace
}  // namespace lovagecleat::http
