#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "http/http.h"
#include "tests/policy/property.h"

namespace lovagecleat::http {
namespace {

// Keeps what a reader tells.
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

struct Reading {
  Recorder told;
  ParseError error = ParseError::kNone;
  bool is_complete = false;
  std::size_t used = 0;
  bool keeps_connection = false;
  bool completes_at_end = false;
};

// Feeds `bytes` in pieces of `step`, as they could come from a socket.
Reading Read(MessageReader::Role role, std::string_view bytes,
             std::size_t step = 100000, MessageLimits limits = {}) {
  Reading reading;
  MessageReader reader(role, limits, reading.told);
  std::string pending;
  for (std::size_t i = 0; i < bytes.size() && !reader.is_complete() &&
                          reader.error() == ParseError::kNone;
       i += step) {
    pending.append(bytes.substr(i, step));
    const std::size_t used = reader.Feed(pending);
    pending.erase(0, used);
    reading.used += used;
  }
  reading.error = reader.error();
  reading.is_complete = reader.is_complete();
  if (reader.has_head() && reading.error == ParseError::kNone)
    reading.keeps_connection = reader.keeps_connection();
  if (!reading.is_complete) reading.completes_at_end = reader.FeedEnd();
  return reading;
}

constexpr std::string_view kChunked =
    "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\n";

TEST_CASE("A request is read alike however its bytes are cut") {
  for (const std::size_t step : {1U, 2U, 7U, 1000U}) {
    const Reading reading = Read(MessageReader::Role::kRequest, kChunked, step);
    REQUIRE(reading.is_complete);
    REQUIRE(reading.used == kChunked.size());
    REQUIRE(reading.told.request.method == "POST");
    REQUIRE(reading.told.request.target == "/a/b?c=d");
    REQUIRE(reading.told.body == "abcde");
    REQUIRE(reading.told.completed == 1);
    // Fields behind the last chunk are not the request's.
    REQUIRE_FALSE(FindField(reading.told.request.fields, "Trailer"));
  }
}

TEST_CASE("Bytes of the next request are left") {
  const std::string two =
      "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n";
  const Reading reading = Read(MessageReader::Role::kRequest, two);
  REQUIRE(reading.is_complete);
  REQUIRE(reading.used == two.size() / 2);
  REQUIRE(reading.told.request.target == "/1");
}

TEST_CASE("Requests that can be read in two ways are malformed") {
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

TEST_CASE("Heads and bodies beyond the limits are told apart") {
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

TEST_CASE("Only the end of the connection completes an unframed response") {
  const std::string_view unframed = "HTTP/1.1 200 OK\r\nX: y\r\n\r\nabc";
  const Reading reading = Read(MessageReader::Role::kResponse, unframed);
  REQUIRE_FALSE(reading.is_complete);
  REQUIRE(reading.completes_at_end);
  REQUIRE(reading.told.body == "abc");
  REQUIRE_FALSE(reading.keeps_connection);
}

TEST_CASE("A framed response that breaks off is not complete") {
  const std::vector<std::string_view> cut = {
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
      "HTTP/1.1 200 OK\r\nContent-Le",
  };
  for (const std::string_view bytes : cut) {
    const Reading reading = Read(MessageReader::Role::kResponse, bytes);
    REQUIRE_FALSE(reading.is_complete);
    REQUIRE_FALSE(reading.completes_at_end);
  }
}

TEST_CASE("Whatever bytes come, the reader ends with a result") {
  constexpr tests::PropertyRuns runs{
      .seed = 5, .count = 2000, .maximum_size = 40};
  tests::RequireProperty(runs, [] {
    tests::Choices choices(*tests::AnyChoices());
    std::string bytes(kChunked);
    while (!choices.IsExhausted() && !bytes.empty()) {
      const auto place = static_cast<std::size_t>(
          choices.Below(static_cast<int>(bytes.size())));
      bytes[place] = static_cast<char>(choices.Below(256));
      if (choices.Below(8) == 0)
        bytes.erase(place, 1 + static_cast<std::size_t>(choices.Below(5)));
    }
    const auto role = choices.Below(2) == 0 ? MessageReader::Role::kRequest
                                            : MessageReader::Role::kResponse;
    const Reading reading =
        Read(role, bytes, 1 + static_cast<std::size_t>(choices.Below(9)));
    RC_ASSERT(reading.used <= bytes.size());
    RC_ASSERT(reading.told.completed <= 1);
    RC_ASSERT(reading.is_complete == (reading.told.completed == 1) ||
              reading.completes_at_end);
  });
}

}  // namespace
}  // namespace lovagecleat::http
