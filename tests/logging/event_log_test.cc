#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "logging/logging.h"

namespace lovagecleat::logging {
namespace {

// A pipe that is read only by ReadAll, without blocking.
class Pipe {
 public:
  Pipe() {
    REQUIRE(pipe(ends_.data()) == 0);
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
  }
  ~Pipe() {
    close(ends_[0]);
    close(ends_[1]);
  }
  int writer() const { return ends_[1]; }
  std::string ReadAll() const {
    std::string text;
    std::array<char, 4096> buffer;
    ssize_t count = 0;
    while ((count = read(ends_[0], buffer.data(), buffer.size())) > 0)
      text.append(buffer.data(), static_cast<std::size_t>(count));
    return text;
  }

 private:
  std::array<int, 2> ends_{};
};

std::vector<nlohmann::json> Lines(const std::string& text) {
  std::vector<nlohmann::json> lines;
  std::size_t start = 0;
  while (start < text.size()) {
    const std::size_t end = text.find('\n', start);
    if (end == std::string::npos) break;
    lines.push_back(nlohmann::json::parse(text.substr(start, end - start)));
    start = end + 1;
  }
  return lines;
}

TEST_CASE("A line contains its event, request and fields") {
  ManualClock clock(WallTime(std::chrono::milliseconds(1500)));
  Pipe pipe;
  EventLog log(clock, "host", pipe.writer());
  log.Write("request", "id\"\n\xff", {{"status", 503}, {"ms", 1.5}});
  log.Write("start", "", {{"zone", "z"}});
  log.Flush();
  const auto lines = Lines(pipe.ReadAll());
  REQUIRE(lines.size() == 2);
  REQUIRE(lines[0]["unix_ms"] == 1500);
  REQUIRE(lines[0]["host"] == "host");
  REQUIRE(lines[0]["event"] == "request");
  REQUIRE(lines[0]["status"] == 503);
  REQUIRE(lines[0]["ms"] == 1.5);
  REQUIRE_FALSE(lines[1].contains("request"));
  REQUIRE(lines[1]["zone"] == "z");
}

TEST_CASE("Lines are dropped without blocking when the reader stops") {
  ManualClock clock;
  Pipe pipe;
  EventLogLimits limits;
  limits.lines_per_second = 1e6;
  limits.burst_lines = 1e6;
  EventLog log(clock, "host", pipe.writer(), limits);
  const std::string text(200, 'x');
  for (int i = 0; i < 10000; ++i) {
    log.Write("flood", "", {{"number", i}, {"text", text}});
    log.Flush();
  }
  REQUIRE(log.dropped_lines() > 0);
  std::string received;
  for (int i = 0; i < 100; ++i) {
    received += pipe.ReadAll();
    log.Flush();
  }
  log.Write("after", "", {});
  log.Flush();
  received += pipe.ReadAll();
  const auto lines = Lines(received);
  REQUIRE(lines.back()["event"] == "after");
  REQUIRE(lines.back()["lines_left_out"] == log.dropped_lines());
  REQUIRE(lines.size() + log.dropped_lines() == 10001);
}

TEST_CASE("Lines over the rate are dropped and counted in the next line") {
  ManualClock clock;
  Pipe pipe;
  EventLogLimits limits;
  limits.lines_per_second = 10;
  limits.burst_lines = 5;
  EventLog log(clock, "host", pipe.writer(), limits);
  for (int i = 0; i < 50; ++i) log.Write("flood", "", {});
  REQUIRE(log.dropped_lines() == 45);
  clock.Advance(std::chrono::seconds(1));
  log.Write("after", "", {});
  log.Flush();
  const auto lines = Lines(pipe.ReadAll());
  REQUIRE(lines.size() == 6);
  REQUIRE(lines.back()["lines_left_out"] == 45);
}

}  // namespace
}  // namespace lovagecleat::logging
