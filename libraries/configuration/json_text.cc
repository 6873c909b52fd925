#include "configuration/json_text.h"

#include <set>

namespace lovagecleat::configuration {

namespace {

constexpr std::size_t kMaximumDepth = 32;
constexpr std::string_view kMore = "...";

// Arguments of the JSON library's functions.
constexpr int kNoIndent = -1;
constexpr bool kEnsureAscii = true;
constexpr bool kAllowExceptions = false;

// Follows the parser's events, and reports repeated keys, too deep nesting and
// syntax errors, each with where it stands.
class StructureCheck final : public nlohmann::json_sax<Json> {
 public:
  explicit StructureCheck(std::vector<Problem>& problems)
      : problems_(problems) {}

  bool null() override { return TakeValue(); }
  bool boolean(bool) override { return TakeValue(); }
  bool number_integer(number_integer_t) override { return TakeValue(); }
  bool number_unsigned(number_unsigned_t) override { return TakeValue(); }
  bool number_float(number_float_t, const string_t&) override {
    return TakeValue();
  }
  bool string(string_t&) override { return TakeValue(); }
  bool binary(binary_t&) override { return TakeValue(); }

  bool start_object(std::size_t) override { return Open(Kind::kObject); }
  bool start_array(std::size_t) override { return Open(Kind::kArray); }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }

  bool key(string_t& name) override {
    Frame& frame = frames_.back();
    frame.current = PointerTo(frame.pointer, name);
    if (frame.keys.insert(name).second) return true;
    problems_.push_back({ProblemKind::kDuplicate, frame.current,
                         ShowValue(Json(name)), "each key once"});
    return true;
  }

  bool parse_error(std::size_t position, const std::string&,
                   const nlohmann::detail::exception&) override {
    problems_.push_back({ProblemKind::kMalformedJson, Here(),
                         "an error at byte " + std::to_string(position),
                         "well-formed JSON in UTF-8"});
    return false;
  }

 private:
  enum class Kind { kObject, kArray };
  struct Frame {
    Kind kind = Kind::kObject;
    std::string pointer;
    std::string current;  // of the member that is being read
    std::set<std::string> keys;
    std::size_t next_index = 0;
  };

  std::string Here() const {
    return frames_.empty() ? std::string() : frames_.back().current;
  }

  bool TakeValue() {
    if (frames_.empty()) return true;
    Frame& frame = frames_.back();
    if (frame.kind == Kind::kArray) {
      frame.current = PointerTo(frame.pointer, frame.next_index++);
    }
    return true;
  }

  bool Open(Kind kind) {
    TakeValue();
    const std::string pointer = Here();
    if (frames_.size() == kMaximumDepth) {
      problems_.push_back(
          {ProblemKind::kMalformedJson, pointer, "deeper nesting",
           "at most " + std::to_string(kMaximumDepth) + " levels"});
      return false;
    }
    frames_.push_back({kind, pointer, pointer, {}, 0});
    return true;
  }

  bool Close() {
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
  for (const char letter : key) {
    if (letter == '~') {
      pointer += "~0";
    } else if (letter == '/') {
      pointer += "~1";
    } else {
      pointer += letter;
    }
  }
  return pointer;
}

std::string PointerTo(std::string_view parent, std::size_t index) {
  return PointerTo(parent, std::to_string(index));
}

std::string ShowValue(const Json& value) {
  // Text in ASCII can be cut anywhere without breaking a character.
  std::string text =
      value.dump(kNoIndent, ' ', kEnsureAscii, Json::error_handler_t::replace);
  if (text.size() <= kMaximumShownBytes) return text;
  text.resize(kMaximumShownBytes - kMore.size());
  return text.append(kMore);
}

std::optional<Json> ParseJson(std::string_view text,
                              std::vector<Problem>& problems) {
  StructureCheck check(problems);
  if (!Json::sax_parse(text, &check)) return std::nullopt;
  return Json::parse(text, nullptr, kAllowExceptions);
}

}  // namespace lovagecleat::configuration
