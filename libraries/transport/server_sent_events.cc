#include "transport/server_sent_events.h"

#include <cassert>

namespace lovagecleat::transport {

namespace {

void AppendField(std::string& text, std::string_view name,
                 std::string_view value) {
  assert(value.find_first_of("\r\n") == std::string_view::npos);
  text.append(name).append(": ").append(value).append("\n");
}

// The part before the colon, and the part after it without one leading space.
struct Field {
  std::string_view name;
  std::string_view value;
};

Field SplitField(std::string_view line) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos) return {line, {}};
  std::string_view value = line.substr(colon + 1);
  if (value.starts_with(' ')) value.remove_prefix(1);
  return {line.substr(0, colon), value};
}

}  // namespace

std::string FormatServerSentEvent(const ServerSentEvent& event) {
  std::string text;
  if (!event.event.empty()) AppendField(text, "event", event.event);
  if (!event.id.empty()) AppendField(text, "id", event.id);
  std::string_view rest = event.data;
  // Each line of the data needs its own field; the receiver joins them.
  for (auto end = rest.find('\n'); end != std::string_view::npos;
       end = rest.find('\n')) {
    AppendField(text, "data", rest.substr(0, end));
    rest.remove_prefix(end + 1);
  }
  AppendField(text, "data", rest);
  text.append("\n");
  return text;
}

std::optional<std::vector<ServerSentEvent>> ServerSentEventParser::Feed(
    std::string_view bytes) {
  if (last_error_ != EventParseError::kNone) return std::nullopt;
  std::vector<ServerSentEvent> events;
  while (!bytes.empty()) {
    // CR LF is one line end, even if split across two pieces.
    if (after_carriage_return_ && bytes.front() == '\n') bytes.remove_prefix(1);
    after_carriage_return_ = false;
    const auto end = bytes.find_first_of("\r\n");
    line_.append(bytes.substr(0, end));
    if (line_.size() + current_.data.size() > maximum_event_bytes_) {
      last_error_ = EventParseError::kEventTooLarge;
      return std::nullopt;
    }
    if (end == std::string_view::npos) break;
    after_carriage_return_ = bytes[end] == '\r';
    bytes.remove_prefix(end + 1);
    ProcessLine(line_, events);
    line_.clear();
  }
  return events;
}

void ServerSentEventParser::ProcessLine(std::string_view line,
                                        std::vector<ServerSentEvent>& events) {
  if (line.empty()) {
    if (has_data_) events.push_back(std::move(current_));
    current_ = {};
    has_data_ = false;
    return;
  }
  const Field field = SplitField(line);
  if (field.name == "event") current_.event = field.value;
  if (field.name == "id") current_.id = field.value;
  if (field.name != "data") return;
  if (has_data_) current_.data.append("\n");
  current_.data.append(field.value);
  has_data_ = true;
}

}  // namespace lovagecleat::transport
