#include "http/event_splitter.h"

#include <charconv>

namespace lovagecleat::http {

namespace {

// Returns the length of the first event including its empty line, or nullopt if
// the event is incomplete.
std::optional<std::size_t> EventLength(std::string_view bytes) {
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    if (bytes[i] != '\n') continue;
    if (i + 1 < bytes.size() && bytes[i + 1] == '\n') return i + 2;
    if (i + 2 < bytes.size() && bytes[i + 1] == '\r' && bytes[i + 2] == '\n')
      return i + 3;
  }
  return std::nullopt;
}

std::optional<std::uint64_t> ParseEventId(std::string_view event) {
  constexpr std::string_view name = "id:";
  std::size_t start = 0;
  while (start < event.size()) {
    std::string_view line =
        event.substr(start, event.find('\n', start) - start);
    start += line.size() + 1;
    if (!line.starts_with(name)) continue;
    line.remove_prefix(name.size());
    while (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    while (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    std::uint64_t id = 0;
    const auto [stop, error] =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (error == std::errc{} && stop == line.data() + line.size()) return id;
  }
  return std::nullopt;
}

}  // namespace

std::vector<RawEvent> EventSplitter::Feed(std::string_view bytes) {
  std::vector<RawEvent> events;
  if (has_failed_) return events;
  partial_.append(bytes);
  std::size_t start = 0;
  while (const auto length =
             EventLength({partial_.data() + start, partial_.size() - start})) {
    std::string event = partial_.substr(start, *length);
    const std::optional<std::uint64_t> id = ParseEventId(event);
    events.push_back({std::move(event), id});
    start += *length;
  }
  partial_.erase(0, start);
  has_failed_ = partial_.size() > kMaximumEventBytes;
  return events;
}

}  // namespace lovagecleat::http
