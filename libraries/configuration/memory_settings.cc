#include "configuration/memory_settings.h"

#include "configuration/object_reader.h"

namespace lovagecleat::configuration {

namespace {

constexpr double kBytesPerMegabyte = 1024.0 * 1024.0;
constexpr IntegerRange kMegabytes{16, 1'048'576};
constexpr IntegerRange kDescriptors{64, 16'777'216};

}  // namespace

std::optional<MemorySettings> ReadMemorySettings(
    ObjectReader& parent, std::vector<Problem>& problems) {
  const auto element = parent.ReadValue("memory", Presence::kOptional);
  if (!element) return std::nullopt;
  ObjectReader object(element->value, element->pointer, problems);
  MemorySettings settings;
  const auto megabytes = object.ReadValue("megabytes", Presence::kRequired);
  if (megabytes) {
    const Json& value = megabytes->value;
    if (value.is_number() &&
        value.get<double>() >= static_cast<double>(kMegabytes.minimum) &&
        value.get<double>() <= static_cast<double>(kMegabytes.maximum)) {
      settings.bytes =
          static_cast<std::uint64_t>(value.get<double>() * kBytesPerMegabyte);
    } else {
      problems.push_back({ProblemKind::kOutOfRange, megabytes->pointer,
                          ShowValue(value), "a number from 16 to 1048576"});
    }
  }
  const auto descriptors =
      object.ReadInteger("descriptors", kDescriptors, Presence::kOptional);
  if (descriptors)
    settings.descriptors = static_cast<std::uint32_t>(*descriptors);
  const auto share = object.ReadValue("address_share", Presence::kOptional);
  if (share) {
    const Json& value = share->value;
    if (value.is_number() && value.get<double>() > 0 &&
        value.get<double>() <= 1) {
      settings.address_share = value.get<double>();
    } else {
      problems.push_back({ProblemKind::kOutOfRange, share->pointer,
                          ShowValue(value), "a number above 0, at most 1"});
    }
  }
  return settings;
}

}  // namespace lovagecleat::configuration
