#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/json_text.h"

// Private to the configuration library: validating readers of JSON objects.
namespace lovagecleat::configuration {

enum class Presence { kRequired, kOptional };

// Both limits are inclusive.
struct IntegerRange {
  std::int64_t minimum = 0;
  std::int64_t maximum = 0;
};

// One value of an enumeration and its name in JSON.
template <typename Enum>
struct Choice {
  Enum value;
  std::string_view name;
};

template <typename Enum, std::size_t kCount>
std::string_view NameOf(const Choice<Enum> (&choices)[kCount], Enum value) {
  for (const Choice<Enum>& choice : choices) {
    if (choice.value == value) return choice.name;
  }
  return {};
}

// A JSON value with its pointer in the document.
struct Element {
  const Json& value;
  std::string pointer;
};

// Reads the members of one JSON object. A read that fails adds a problem and
// returns nothing; an absent optional member returns nothing without a problem.
class ObjectReader {
 public:
  ObjectReader(const Json& value, std::string pointer,
               std::vector<Problem>& problems);

  // A name has 1 to kMaximumNameBytes letters, digits, '.', '_' and '-'.
  static constexpr std::size_t kMaximumNameBytes = 64;
  std::optional<std::string> ReadName(std::string_view key, Presence presence);

  std::optional<std::string> ReadString(std::string_view key,
                                        Presence presence);
  std::optional<std::int64_t> ReadInteger(std::string_view key,
                                          IntegerRange range,
                                          Presence presence);
  std::optional<bool> ReadBoolean(std::string_view key, Presence presence);

  template <typename Enum, std::size_t kCount>
  std::optional<Enum> ReadChoice(std::string_view key,
                                 const Choice<Enum> (&choices)[kCount],
                                 Presence presence) {
    std::vector<std::string_view> names;
    for (const Choice<Enum>& choice : choices) names.push_back(choice.name);
    const std::optional<std::size_t> index = ReadName(key, names, presence);
    if (!index) return std::nullopt;
    return choices[*index].value;
  }

  // Returns an array of `sizes.minimum` to `sizes.maximum` elements, or an
  // empty one after a problem.
  std::vector<Element> ReadArray(std::string_view key, IntegerRange sizes,
                                 Presence presence);

  // Returns the member's JSON value, whatever its type.
  std::optional<Element> ReadValue(std::string_view key, Presence presence);

  // Reports the keys that no earlier call has read; call it after all reads.
  void ReportUnknownKeys();

  std::string PointerOf(std::string_view key) const;

 private:
  // Returns the index of the member's text in `names`.
  std::optional<std::size_t> ReadName(std::string_view key,
                                      std::span<const std::string_view> names,
                                      Presence presence);
  const Json* Find(std::string_view key, Presence presence);
  void Report(ProblemKind kind, std::string_view key, const Json& found,
              std::string expected);

  const Json& value_;
  std::string pointer_;
  std::vector<Problem>& problems_;
  std::set<std::string, std::less<>> known_keys_;
};

// Returns the name in `element`; adds a problem and returns nothing if it is
// not a valid name.
std::optional<std::string> ReadNameElement(const Element& element,
                                           std::vector<Problem>& problems);

}  // namespace lovagecleat::configuration
