#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "command_line/command_line.h"

// What an entry host's answer to a request means.
namespace lovagecleat::call {

inline constexpr int kExitFailed = 1;
inline constexpr int kExitNotRun = 3;
inline constexpr int kExitUnknown = 4;
inline constexpr int kExitNotReachable = 6;

struct Answer {
  int exit_code = kExitUnknown;
  std::string document;  // the answer or problem, JSON text; may be empty
  std::string reason;    // why there is no document
};

// Follows the events of a streamed answer, and checks their order.
class StreamReader {
 public:
  using TextCallback = std::function<void(std::string_view)>;

  explicit StreamReader(TextCallback on_text);

  void Take(const transport::ServerSentEvent& event);

  // The last event's document, once one has come.
  const std::optional<Answer>& answer() const { return answer_; }
  // True where an offset was skipped or came twice, or a token came after the
  // end.
  bool is_broken() const { return is_broken_; }

 private:
  void TakeToken(const transport::ServerSentEvent& event);

  TextCallback on_text_;
  std::uint64_t next_offset_ = 0;
  bool is_broken_ = false;
  std::optional<Answer> answer_;
};

// The meaning of a whole response; `stream` has seen its events, if any.
Answer Interpret(const transport::HttpResponse& response,
                 const StreamReader& stream);

// The answer's text if it has one, else its output as JSON.
std::string OutputText(std::string_view document);
// The trace as a table.
std::string TraceText(std::string_view document);

}  // namespace lovagecleat::call
