#include "configuration/room_settings.h"

#include "configuration/object_reader.h"

namespace lovagecleat::configuration {

namespace {

constexpr double kMaximumFactor = 1e6;

// Reads an optional object whose members are numbers above 0.
template <typename Key>
void ReadFactors(ObjectReader& parent, std::string_view key,
                 std::map<Key, double>& factors,
                 std::vector<Problem>& problems) {
  const auto element = parent.ReadValue(key, Presence::kOptional);
  if (!element) return;
  if (!element->value.is_object()) {
    problems.push_back({ProblemKind::kWrongType, element->pointer,
                        ShowValue(element->value), "an object of numbers"});
    return;
  }
  const Json& object = element->value;
  for (const auto& [name, value] : object.items()) {
    const bool is_number = value.is_number();
    const double factor = is_number ? value.template get<double>() : 0;
    if (factor > 0 && factor <= kMaximumFactor) {
      factors[Key(name)] = factor;
    } else {
      problems.push_back({ProblemKind::kOutOfRange,
                          element->pointer + "/" + name, ShowValue(value),
                          "a number above 0, at most 1000000"});
    }
  }
}

}  // namespace

std::optional<RoomSettings> ReadRoomSettings(ObjectReader& parent,
                                             std::vector<Problem>& problems) {
  const auto element = parent.ReadValue("room", Presence::kOptional);
  if (!element) return std::nullopt;
  ObjectReader object(element->value, element->pointer, problems);
  RoomSettings settings;
  ReadFactors(object, "worth", settings.worth, problems);
  ReadFactors(object, "team_weights", settings.team_weights, problems);
  return settings;
}

}  // namespace lovagecleat::configuration
