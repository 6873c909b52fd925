#include "configuration/object_reader.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace lovagecleat::configuration {

namespace {

constexpr std::string_view kNameExpected =
    "a name of 1 to 64 letters, digits, '.', '_' and '-'";
constexpr std::string_view kMissingValue = "nothing";
constexpr auto kMaximumInteger =
    static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());

// Lists the characters explicitly, since <cctype> depends on the locale.
bool IsNameCharacter(char character) {
  return (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || character == '.' ||
         character == '_' || character == '-';
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= ObjectReader::kMaximumNameBytes &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

std::string DescribeRange(IntegerRange range) {
  return "from " + std::to_string(range.minimum) + " to " +
         std::to_string(range.maximum);
}

// Returns nothing if the number does not fit or is not an integer.
std::optional<std::int64_t> ToInteger(const Json& value) {
  if (value.is_number_unsigned()) {
    const auto number = value.get<std::uint64_t>();
    if (number > kMaximumInteger) return std::nullopt;
    return static_cast<std::int64_t>(number);
  }
  if (value.is_number_integer()) return value.get<std::int64_t>();
  return std::nullopt;
}

}  // namespace

ObjectReader::ObjectReader(const Json& value, std::string pointer,
                           std::vector<Problem>& problems)
    : value_(value), pointer_(std::move(pointer)), problems_(problems) {
  if (value_.is_object()) return;
  problems_.push_back(
      {ProblemKind::kWrongType, pointer_, ShowValue(value_), "an object"});
}

std::string ObjectReader::PointerOf(std::string_view key) const {
  return PointerTo(pointer_, key);
}

void ObjectReader::Report(ProblemKind kind, std::string_view key,
                          const Json& found, std::string expected) {
  problems_.push_back(
      {kind, PointerOf(key), ShowValue(found), std::move(expected)});
}

const Json* ObjectReader::Find(std::string_view key, Presence presence) {
  known_keys_.emplace(key);
  // The constructor has already reported a value that is not an object.
  if (!value_.is_object()) return nullptr;
  const auto found = value_.find(key);
  if (found != value_.end()) return &*found;
  if (presence == Presence::kRequired) {
    problems_.push_back({ProblemKind::kMissingKey, PointerOf(key),
                         std::string(kMissingValue), "a value for this key"});
  }
  return nullptr;
}

std::optional<std::string> ObjectReader::ReadString(std::string_view key,
                                                    Presence presence) {
  const Json* found = Find(key, presence);
  if (found == nullptr) return std::nullopt;
  if (found->is_string()) return found->get<std::string>();
  Report(ProblemKind::kWrongType, key, *found, "a string");
  return std::nullopt;
}

std::optional<std::string> ObjectReader::ReadName(std::string_view key,
                                                  Presence presence) {
  const Json* found = Find(key, presence);
  if (found == nullptr) return std::nullopt;
  return ReadNameElement({*found, PointerOf(key)}, problems_);
}

std::optional<std::int64_t> ObjectReader::ReadInteger(std::string_view key,
                                                      IntegerRange range,
                                                      Presence presence) {
  const Json* found = Find(key, presence);
  if (found == nullptr) return std::nullopt;
  if (!found->is_number()) {
    Report(ProblemKind::kWrongType, key, *found,
           "a whole number " + DescribeRange(range));
    return std::nullopt;
  }
  const std::optional<std::int64_t> number = ToInteger(*found);
  if (number && *number >= range.minimum && *number <= range.maximum)
    return number;
  Report(ProblemKind::kOutOfRange, key, *found,
         "a whole number " + DescribeRange(range));
  return std::nullopt;
}

std::optional<bool> ObjectReader::ReadBoolean(std::string_view key,
                                              Presence presence) {
  const Json* found = Find(key, presence);
  if (found == nullptr) return std::nullopt;
  if (found->is_boolean()) return found->get<bool>();
  Report(ProblemKind::kWrongType, key, *found, "true or false");
  return std::nullopt;
}

std::optional<std::size_t> ObjectReader::ReadName(
    std::string_view key, std::span<const std::string_view> names,
    Presence presence) {
  const Json* found = Find(key, presence);
  if (found == nullptr) return std::nullopt;
  std::string expected = "one of";
  for (std::size_t i = 0; i < names.size(); ++i) {
    expected += (i == 0 ? " \"" : ", \"") + std::string(names[i]) + "\"";
    if (found->is_string() && found->get_ref<const std::string&>() == names[i])
      return i;
  }
  const ProblemKind kind =
      found->is_string() ? ProblemKind::kOutOfRange : ProblemKind::kWrongType;
  Report(kind, key, *found, std::move(expected));
  return std::nullopt;
}

std::vector<Element> ObjectReader::ReadArray(std::string_view key,
                                             IntegerRange sizes,
                                             Presence presence) {
  const Json* found = Find(key, presence);
  if (found == nullptr) return {};
  const std::string expected = "an array of " + std::to_string(sizes.minimum) +
                               " to " + std::to_string(sizes.maximum) +
                               " elements";
  if (!found->is_array()) {
    Report(ProblemKind::kWrongType, key, *found, expected);
    return {};
  }
  const auto size = static_cast<std::int64_t>(found->size());
  if (size < sizes.minimum || size > sizes.maximum) {
    const ProblemKind kind =
        size == 0 ? ProblemKind::kEmpty : ProblemKind::kOutOfRange;
    problems_.push_back(
        {kind, PointerOf(key), std::to_string(size) + " elements", expected});
    return {};
  }
  std::vector<Element> elements;
  elements.reserve(found->size());
  for (std::size_t i = 0; i < found->size(); ++i) {
    elements.push_back({(*found)[i], PointerTo(PointerOf(key), i)});
  }
  return elements;
}

std::optional<Element> ObjectReader::ReadValue(std::string_view key,
                                               Presence presence) {
  const Json* found = Find(key, presence);
  if (found == nullptr) return std::nullopt;
  return Element{*found, PointerOf(key)};
}

void ObjectReader::ReportUnknownKeys() {
  if (!value_.is_object()) return;
  std::string expected = "one of";
  for (const std::string& key : known_keys_) expected += " " + key;
  for (const auto& [key, member] : value_.items()) {
    if (known_keys_.contains(key)) continue;
    Report(ProblemKind::kUnknownKey, key, member, expected);
  }
}

std::optional<std::string> ReadNameElement(const Element& element,
                                           std::vector<Problem>& problems) {
  if (!element.value.is_string()) {
    problems.push_back({ProblemKind::kWrongType, element.pointer,
                        ShowValue(element.value), std::string(kNameExpected)});
    return std::nullopt;
  }
  const auto& text = element.value.get_ref<const std::string&>();
  if (IsName(text)) return text;
  const ProblemKind kind =
      text.empty() ? ProblemKind::kEmpty : ProblemKind::kOutOfRange;
  problems.push_back({kind, element.pointer, ShowValue(element.value),
                      std::string(kNameExpected)});
  return std::nullopt;
}

}  // namespace lovagecleat::configuration
