#include <catch2/catch.hpp>

#include "http/http.h"

namespace lovagecleat::http {
namespace {

TEST_CASE("Events keep their bytes and their ids are parsed") {
  const std::string stream =
      "id: 3\ndata: a\n\nx-weights: 2\nid:4\r\ndata: b\r\n\r\n";
  const std::string_view view = stream;
  for (std::size_t step = 1; step <= stream.size(); ++step) {
    EventSplitter splitter;
    std::vector<RawEvent> events;
    for (std::size_t i = 0; i < stream.size(); i += step) {
      for (RawEvent& event : splitter.Feed(view.substr(i, step)))
        events.push_back(std::move(event));
    }
    REQUIRE(events.size() == 2);
    REQUIRE(events[0].bytes + events[1].bytes == stream);
    REQUIRE(events[0].id == 3U);
    REQUIRE(events[1].id == 4U);
    REQUIRE_FALSE(splitter.has_partial_event());
  }
}

TEST_CASE("An incomplete event is not returned") {
  EventSplitter splitter;
  REQUIRE(splitter.Feed("id: 1\ndata: whole\n\nid: 2\ndata: cu").size() == 1);
  REQUIRE(splitter.has_partial_event());
}

TEST_CASE("An event above the size limit makes the splitter fail") {
  EventSplitter splitter;
  const std::string long_line(EventSplitter::kMaximumEventBytes + 1, 'x');
  REQUIRE(splitter.Feed(long_line).empty());
  REQUIRE(splitter.has_failed());
  REQUIRE(splitter.Feed("\n\n").empty());
}

TEST_CASE("An event with a non-numeric id has no id") {
  EventSplitter splitter;
  const auto events = splitter.Feed("id: 12x\ndata: a\n\ndata: b\n\n");
  REQUIRE(events.size() == 2);
  REQUIRE_FALSE(events[0].id);
  REQUIRE_FALSE(events[1].id);
}

}  // namespace
}  // namespace lovagecleat::http
