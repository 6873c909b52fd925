#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecleat::transport {

struct ServerSentEvent {
  std::string event;  // event type; empty means "message"
  std::string id;
  std::string data;

  friend bool operator==(const ServerSentEvent&,
                         const ServerSentEvent&) = default;
};

std::string FormatServerSentEvent(const ServerSentEvent& event);

enum class EventParseError { kNone, kEventTooLarge };

// Parses a text/event-stream that is fed in pieces of any size.
class ServerSentEventParser {
 public:
  explicit ServerSentEventParser(std::size_t maximum_event_bytes)
      : maximum_event_bytes_(maximum_event_bytes) {}

  // Returns the events completed by `bytes`, or nothing on and after an error.
  std::optional<std::vector<ServerSentEvent>> Feed(std::string_view bytes);

  EventParseError last_error() const { return last_error_; }

 private:
  void ProcessLine(std::string_view line, std::vector<ServerSentEvent>& events);

  std::size_t maximum_event_bytes_;
  std::string line_;
  bool has_data_ = false;
  bool after_carriage_return_ = false;
  ServerSentEvent current_;
  EventParseError last_error_ = EventParseError::kNone;
};

}  // namespace lovagecleat::transport
