#include <catch2/catch.hpp>

#include "transport/transport.h"

namespace lovagecleat::transport {
namespace {

constexpr std::size_t kMaximumEventBytes = 64;

std::vector<ServerSentEvent> FeedInPieces(std::string_view text,
                                          std::size_t piece_bytes) {
  ServerSentEventParser parser(kMaximumEventBytes);
  std::vector<ServerSentEvent> all;
  while (!text.empty()) {
    const auto events = parser.Feed(text.substr(0, piece_bytes));
    REQUIRE(events);
    all.insert(all.end(), events->begin(), events->end());
    text.remove_prefix(std::min(piece_bytes, text.size()));
  }
  return all;
}

TEST_CASE("Parsed events do not depend on the size of the pieces") {
  const std::string_view text =
      ": a comment\r\n\r\nevent: token\nid: 0\ndata: {\"text\": \"a\"}\n\n"
      "data:first\rdata: second\r\revent: done\r\ndata\r\n\r\nid: lost";
  const std::vector<ServerSentEvent> expected = {
      {"token", "0", "{\"text\": \"a\"}"},
      {"", "", "first\nsecond"},
      {"done", "", ""}};
  for (std::size_t piece = 1; piece <= text.size(); ++piece)
    REQUIRE(FeedInPieces(text, piece) == expected);
}

TEST_CASE("A formatted event is parsed back unchanged") {
  const ServerSentEvent event{"answer", "17", "two\n\nlines: and\n"};
  const auto parsed = FeedInPieces(FormatServerSentEvent(event), 3);
  REQUIRE(parsed == std::vector<ServerSentEvent>{event});
}

TEST_CASE("Parsing fails for good after an event over the limit") {
  ServerSentEventParser parser(kMaximumEventBytes);
  REQUIRE(parser.Feed("data: " + std::string(40, 'x') + "\n"));
  REQUIRE_FALSE(parser.Feed("data: " + std::string(40, 'x') + "\n"));
  REQUIRE(parser.last_error() == EventParseError::kEventTooLarge);
  REQUIRE_FALSE(parser.Feed("\n"));
}

}  // namespace
}  // namespace lovagecleat::transport
