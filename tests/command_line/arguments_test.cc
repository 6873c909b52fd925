#include <array>
#include <catch2/catch.hpp>
#include <iostream>
#include <sstream>
#include <vector>

#include "command_line/command_line.h"

namespace lovagecleat::command_line {
namespace {

CommandLineInterface TestInterface() {
  CommandLineInterface interface;
  interface.program = "tool";
  interface.summary = "does a thing";
  interface.usages = {"--host IP:PORT WORD..."};
  interface.options = {{"host", "IP:PORT", "where", Need::kRequired},
                       {"who", "NAME", "who asks"}};
  interface.switches = {{"json", "prints JSON"}};
  interface.exit_codes = {{kExitSuccess, "done"}, {kExitUsage, "wrong usage"}};
  return interface;
}

// Captures the output to a stream during its lifetime.
class Capture {
 public:
  explicit Capture(std::ostream& stream)
      : stream_(stream), previous_(stream.rdbuf(text_.rdbuf())) {}
  ~Capture() { stream_.rdbuf(previous_); }
  Capture(const Capture&) = delete;
  Capture& operator=(const Capture&) = delete;

  std::string text() const { return text_.str(); }

 private:
  std::ostringstream text_;
  std::ostream& stream_;
  std::streambuf* previous_;
};

std::optional<Arguments> Parse(ArgumentParser& parser,
                               const std::vector<const char*>& words) {
  return parser.Parse(words);
}

TEST_CASE("Options, switches and operands are parsed in any order") {
  ArgumentParser parser(TestInterface());
  const auto arguments = Parse(
      parser, {"tool", "zone", "--host", "127.0.0.1:1", "out", "--json", "z"});
  REQUIRE(arguments.has_value());
  CHECK(arguments->operands == std::vector<std::string>{"zone", "out", "z"});
  CHECK(arguments->Value("host") == "127.0.0.1:1");
  CHECK_FALSE(arguments->Value("who").has_value());
  CHECK(arguments->Has("json"));
}

TEST_CASE("Wrong usage gives its exit code and a message on standard error") {
  const std::vector<std::vector<const char*>> wrong = {
      {"tool", "status"},
      {"tool", "--host"},
      {"tool", "--host", "a", "--host", "b"},
      {"tool", "--host", "a", "--colour", "blue"},
      {}};
  for (const auto& words : wrong) {
    const Capture standard_error(std::cerr);
    ArgumentParser parser(TestInterface());
    CHECK_FALSE(Parse(parser, words).has_value());
    CHECK(parser.exit_code() == kExitUsage);
    CHECK(standard_error.text().find("see tool --help") != std::string::npos);
  }
}

TEST_CASE("The help option prints options and exit codes and succeeds") {
  const Capture standard_output(std::cout);
  ArgumentParser parser(TestInterface());
  CHECK_FALSE(Parse(parser, {"tool", "--help"}).has_value());
  CHECK(parser.exit_code() == kExitSuccess);
  CHECK(standard_output.text() ==
        "tool: does a thing\n\n"
        "Usage:\n  tool --host IP:PORT WORD...\n\n"
        "Options:\n"
        "  --host IP:PORT              where\n"
        "  --who NAME                  who asks\n"
        "  --json                      prints JSON\n"
        "  --help                      prints this text\n"
        "  --version                   prints the version\n\n"
        "Exit codes:\n"
        "  0                           done\n"
        "  2                           wrong usage\n");
}

TEST_CASE("The version option prints the version") {
  const Capture standard_output(std::cout);
  ArgumentParser parser(TestInterface());
  CHECK_FALSE(Parse(parser, {"tool", "--version"}).has_value());
  CHECK(parser.exit_code() == kExitSuccess);
  CHECK(standard_output.text() == "tool " LOVAGECLEAT_VERSION "\n");
}

TEST_CASE("Integers with leading or trailing text are rejected") {
  CHECK(ParseInteger("-17") == -17);
  CHECK_FALSE(ParseInteger(""));
  CHECK_FALSE(ParseInteger(" 1"));
  CHECK_FALSE(ParseInteger("1ms"));
  CHECK_FALSE(ParseInteger("99999999999999999999"));
}

TEST_CASE("Documents are formatted as lines and tables") {
  CHECK(RenderDocument(R"({"host": "a", "ready": true, "zones": [],
      "servers": [{"service": "llm", "id": "llm-1", "limit": 4},
                  {"service": "encoder", "id": "é", "slowness": 1.5}]})") ==
        "host: a\n"
        "ready: yes\n"
        "zones: -\n"
        "\nservers\n"
        "id     limit  service  slowness\n"
        "llm-1  4      llm\n"
        "é             encoder  1.50\n");
  CHECK(RenderDocument(R"({"changes": [{"at_unix_ms": 1796338557123,
      "revision": 2, "before": [{"a": 1}]}]})") ==
        "\nchanges\n"
        "revision  at_unix_ms               before\n"
        "2         2026-12-03 22:55:57 UTC  [{\"a\":1}]\n");
  CHECK(RenderDocument("no JSON") == "no JSON\n");
}

}  // namespace
}  // namespace lovagecleat::command_line
