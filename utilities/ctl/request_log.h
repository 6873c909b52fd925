#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecleat::ctl {

// One gateway log line in readable form.
struct RequestLogLine {
  std::int64_t unix_ms = 0;
  std::string text;  // host, event and fields
};

// Returns the log lines about one request, sorted by time: its own lines, and
// the lines without a request that its hosts logged shortly before or during
// it. Skips lines without a JSON object. Empty if no line has the request.
std::vector<RequestLogLine> ReadRequestLog(std::istream& log,
                                           std::string_view request);

}  // namespace lovagecleat::ctl
