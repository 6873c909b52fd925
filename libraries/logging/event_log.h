#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "base/base.h"

namespace lovagecleat::logging {

// One named value of a log line.
struct Field {
  using Value = std::variant<std::string, std::int64_t, double>;
  std::string_view name;
  Value value;

  Field(std::string_view field, std::string text)
      : name(field), value(std::move(text)) {}
  Field(std::string_view field, std::string_view text)
      : name(field), value(std::string(text)) {}
  Field(std::string_view field, const char* text)
      : name(field), value(std::string(text)) {}
  Field(std::string_view field, double number) : name(field), value(number) {}
  template <typename Integer>
  requires std::is_integral_v<Integer> Field(std::string_view field,
                                             Integer number)
      : name(field), value(static_cast<std::int64_t>(number)) {}
};

// How much is written at most.
struct EventLogLimits {
  double lines_per_second = 200;        // over some seconds
  double burst_lines = 1000;            // at once after a quiet time
  std::size_t buffered_bytes = 262144;  // that the reader has not taken yet
};

// Writes one JSON object a line to a descriptor: a decision, a changed belief
// or an event of the process. Lines beyond the limits are counted, not written;
// the count stands in the next line that is. Never waits for the reader.
class EventLog {
 public:
  EventLog(const Clock& clock, std::string host, int descriptor,
           const EventLogLimits& limits = {});
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  // `request` is empty for lines of no single request.
  void Write(std::string_view event, std::string_view request,
             std::initializer_list<Field> fields);

  // Hands buffered lines to the descriptor as far as it takes them at once.
  void Flush();

  std::uint64_t dropped_lines() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace lovagecleat::logging
