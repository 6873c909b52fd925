#include "configuration/json_text.h"

#include <set>

namespace lovagecleat::configuration {

namespace {

constexpr std::size_t kMaximumDepth = 32;
constexpr std::string_view kEllipsis = "...";

// Arguments of the JSON library's functions.
constexpr int kNoIndent = -1;
constexpr bool kEnsureAscii = true;
constexpr bool kAllowExceptions = false;

// Handles the parser's events and reports duplicate keys, excessive nesting and
// syntax errors, each with its position.
class StructureValidator final : public nlohmann::json_sax<Json> {
 public:
  explicit StructureValidator(std::vector<Problem>& problems)
      : problems_(problems) {}

  bool null() override { return AdvanceArrayIndex(); }
  bool boolean(bool) override { return AdvanceArrayIndex(); }
  bool number_integer(number_integer_t) override { return AdvanceArrayIndex(); }
  bool number_unsigned(number_unsigned_t) override {
    return AdvanceArrayIndex();
  }
  bool number_float(number_float_t, const string_t&) override {
    return AdvanceArrayIndex();
  }
  bool string(string_t&) override { return AdvanceArrayIndex(); }
  bool binary(binary_t&) override { return AdvanceArrayIndex(); }

  bool start_object(std::size_t) override {
    return EnterContainer(ContainerKind::kObject);
  }
  bool start_array(std::size_t) override {
    return EnterContainer(ContainerKind::kArray);
  }
  bool end_object() override { return LeaveContainer(); }
  bool end_array() override { return LeaveContainer(); }

  bool key(string_t& name) override {
    Frame& frame = frames_.back();
    frame.current_pointer = PointerTo(frame.pointer, name);
    if (frame.keys.insert(name).second) return true;
    problems_.push_back({ProblemKind::kDuplicate, frame.current_pointer,
                         ShowValue(Json(name)), "each key once"});
    return true;
  }

  bool parse_error(std::size_t position, const std::string&,
                   const nlohmann::detail::exception&) override {
    problems_.push_back({ProblemKind::kMalformedJson, CurrentPointer(),
                         "an error at byte " + std::to_string(position),
                         "well-formed JSON in UTF-8"});
    return false;
  }

 private:
  enum class ContainerKind { kObject, kArray };
  struct Frame {
    ContainerKind kind = ContainerKind::kObject;
    std::string pointer;
    std::string current_pointer;  // of the member being read
    std::set<std::string> keys;
    std::size_t next_index = 0;
  };

  std::string CurrentPointer() const {
    return frames_.empty() ? std::string() : frames_.back().current_pointer;
  }

  bool AdvanceArrayIndex() {
    if (frames_.empty()) return true;
    Frame& frame = frames_.back();
    if (frame.kind == ContainerKind::kArray) {
      frame.current_pointer = PointerTo(frame.pointer, frame.next_index++);
    }
    return true;
  }

  bool EnterContainer(ContainerKind kind) {
    AdvanceArrayIndex();
    const std::string pointer = CurrentPointer();
    if (frames_.size() == kMaximumDepth) {
      problems_.push_back(
          {ProblemKind::kMalformedJson, pointer, "deeper nesting",
           "at most " + std::to_string(kMaximumDepth) + " levels"});
      return false;
    }
    frames_.push_back({kind, pointer, pointer, {}, 0});
    return true;
  }

  bool LeaveContainer() {
    frames_.pop_back();
    return true;
  }

  std::vector<Problem>& problems_;
  std::vector<Frame> frames_;
};

}  // namespace

std::string PointerTo(std::string_view parent, std::string_view key) {
  std::string pointer(parent);
  pointer += '/';
  for (const char character : key) {
    if (character == '~') {
      pointer += "~0";
    } else if (character == '/') {
      pointer += "~1";
    } else {
      pointer += character;
    }
  }
  return pointer;
}

std::string PointerTo(std::string_view parent, std::size_t index) {
  return PointerTo(parent, std::to_string(index));
}

std::string ShowValue(const Json& value) {
  // ASCII text can be truncated anywhere without splitting a character.
  std::string text =
      value.dump(kNoIndent, ' ', kEnsureAscii, Json::error_handler_t::replace);
  if (text.size() <= kMaximumShownBytes) return text;
  text.resize(kMaximumShownBytes - kEllipsis.size());
  return text.append(kEllipsis);
}

std::optional<Json> ParseJson(std::string_view text,
                              std::vector<Problem>& problems) {
  StructureValidator validator(problems);
  if (!Json::sax_parse(text, &validator)) return std::nullopt;
  return Json::parse(text, nullptr, kAllowExceptions);
}

}  // namespace lovagecleat::configuration
