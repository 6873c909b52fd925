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

// A named value of a log line.
struct Field {
  using Value = std::variant<std::string, std::int64_t, double>;
  std::string_view name;
  Value value;

  Field(std::string_view field_name, std::string text)
      : name(field_name), value(std::move(text)) {}
  Field(std::string_view field_name, std::string_view text)
      : name(field_name), value(std::string(text)) {}
  Field(std::string_view field_name, const char* text)
      : name(field_name), value(std::string(text)) {}
  Field(std::string_view field_name, double number)
      : name(field_name), value(number) {}
  template <typename Integer>
  requires std::is_integral_v<Integer> Field(std::string_view field_name,
                                             Integer number)
      : name(field_name), value(static_cast<std::int64_t>(number)) {}
};

// Limits the rate and the memory of an event log.
struct EventLogLimits {
  double lines_per_second = 200;        // sustained rate
  double burst_lines = 1000;            // size of the token bucket
  std::size_t buffered_bytes = 262144;  // not yet written to the descriptor
};

// Writes JSON lines to a descriptor, one for each decision, state change or
// event of the process. Lines over the limits are dropped and counted; the next
// line written contains the count. Never blocks on the reader.
class EventLog {
 public:
  EventLog(const Clock& clock, std::string host, int descriptor,
           const EventLogLimits& limits = {});
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  // `request` is empty for lines that do not concern a single request.
  void Write(std::string_view event, std::string_view request,
             std::initializer_list<Field> fields);

  // Writes as many buffered bytes as the descriptor accepts without blocking.
  void Flush();

  std::uint64_t dropped_lines() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace lovagecleat::logging
