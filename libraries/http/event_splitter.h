#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecleat::http {

// One whole server-sent event as it stood on the wire, with its empty line.
struct RawEvent {
  std::string bytes;
  std::optional<std::uint64_t> id;
};

// Cuts an event stream into whole events and keeps their bytes unchanged, so
// that a stream is only ever passed on up to the end of an event.
class EventSplitter {
 public:
  // An event larger than this is an error.
  static constexpr std::size_t kMaximumEventBytes = std::size_t{1024} * 1024;

  std::vector<RawEvent> Feed(std::string_view bytes);

  // Bytes of an event that has not ended.
  bool has_partial_event() const { return !partial_.empty(); }
  bool has_failed() const { return has_failed_; }

 private:
  std::string partial_;
  bool has_failed_ = false;
};

}  // namespace lovagecleat::http
