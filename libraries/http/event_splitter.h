#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecleat::http {

// A complete server-sent event as received, including its empty line.
struct RawEvent {
  std::string bytes;
  std::optional<std::uint64_t> id;
};

// Splits an event stream into complete events without changing their bytes, so
// that a stream is forwarded only up to the end of an event.
class EventSplitter {
 public:
  // Limits the size of one event; a larger one makes the splitter fail.
  static constexpr std::size_t kMaximumEventBytes = std::size_t{1024} * 1024;

  std::vector<RawEvent> Feed(std::string_view bytes);

  // Returns whether an incomplete event is buffered.
  bool has_partial_event() const { return !partial_.empty(); }
  bool has_failed() const { return has_failed_; }

 private:
  std::string partial_;
  bool has_failed_ = false;
};

}  // namespace lovagecleat::http
