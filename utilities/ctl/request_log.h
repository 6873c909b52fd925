#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecleat::ctl {

// One line of a gateway's log, for people.
struct StoryLine {
  std::int64_t unix_ms = 0;
  std::string text;  // host, event and fields
};

// The story of one request out of gateways' logs, in the order of time: its own
// lines, and what the hosts that had it came to believe shortly before or
// meanwhile. Lines that are no JSON objects are passed over. Empty if no line
// names the request.
std::vector<StoryLine> ReadStory(std::istream& log, std::string_view request);

}  // namespace lovagecleat::ctl
