#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "command_line/command_line.h"

// Interprets an entry host's response to a request.
namespace lovagecleat::call {

inline constexpr int kExitFailed = 1;
inline constexpr int kExitNotRun = 3;
inline constexpr int kExitUnknown = 4;
inline constexpr int kExitNotReachable = 6;

struct Answer {
  int exit_code = kExitUnknown;
  std::string document;  // JSON text of the answer or problem; may be empty
  std::string reason;    // why there is no document
};

// Reads the events of a streamed answer and checks their order.
class StreamReader {
 public:
  using TextCallback = std::function<void(std::string_view)>;

  explicit StreamReader(TextCallback on_text);

  void HandleEvent(const transport::ServerSentEvent& event);

  // The document of the final event; unset until it arrives.
  const std::optional<Answer>& answer() const { return answer_; }
  // Returns true if a token offset was skipped or repeated, or an event
  // followed the final one.
  bool is_broken() const { return is_broken_; }

 private:
  void HandleToken(const transport::ServerSentEvent& event);

  TextCallback on_text_;
  std::uint64_t next_offset_ = 0;
  bool is_broken_ = false;
  std::optional<Answer> answer_;
};

// Interprets a complete response; `stream` has handled its events, if any.
Answer InterpretResponse(const transport::HttpResponse& response,
                         const StreamReader& stream);

// Returns the text of the answer's output, or the output as JSON if it has
// none.
std::string OutputText(std::string_view document);
// Renders the trace as a table; empty if there is none.
std::string TraceText(std::string_view document);

}  // namespace lovagecleat::call
