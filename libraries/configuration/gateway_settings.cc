#include "configuration/gateway_settings.h"

#include <cmath>

#include "configuration/object_reader.h"

namespace lovagecleat::configuration {

namespace {

constexpr IntegerRange kSeedPeerCount{0, 64};
constexpr double kMaximumNumber = 1e6;
constexpr Duration kMillisecond = std::chrono::milliseconds(1);
constexpr Duration kSecond = std::chrono::seconds(1);

// Reads an address in the form "IP:PORT".
std::string ReadAddress(ObjectReader& object, std::string_view key,
                        Presence presence, std::vector<Problem>& problems) {
  const auto text = object.ReadString(key, presence);
  if (!text || text->empty()) {
    if (text && presence == Presence::kRequired)
      problems.push_back({ProblemKind::kEmpty, object.PointerOf(key), "\"\"",
                          "an address, such as \"127.0.0.1:8080\""});
    return {};
  }
  if (!ParseEndpoint(*text)) {
    problems.push_back({ProblemKind::kOutOfRange, object.PointerOf(key),
                        ShowValue(Json(*text)),
                        "an address, such as \"127.0.0.1:8080\""});
  }
  return *text;
}

// Reads an optional number from 0 to kMaximumNumber; leaves `number` unchanged
// if it is absent or invalid.
void ReadNumber(ObjectReader& object, std::string_view key, double& number,
                std::vector<Problem>& problems) {
  const auto element = object.ReadValue(key, Presence::kOptional);
  if (!element) return;
  if (!element->value.is_number() || element->value.get<double>() < 0 ||
      element->value.get<double>() > kMaximumNumber) {
    problems.push_back({ProblemKind::kOutOfRange, element->pointer,
                        ShowValue(element->value),
                        "a number from 0 to 1000000"});
    return;
  }
  number = element->value.get<double>();
}

// Reads a duration in that unit, which may have a fraction.
void ReadDuration(ObjectReader& object, std::string_view key, Duration unit,
                  Duration& duration, std::vector<Problem>& problems) {
  const auto unit_count = static_cast<double>(unit.count());
  double units = static_cast<double>(duration.count()) / unit_count;
  ReadNumber(object, key, units, problems);
  duration = Duration(std::llround(units * unit_count));
}

// The limits apply if one of them is set.
void ReadExposure(ObjectReader& object, std::optional<ExposureLimits>& exposure,
                  std::vector<Problem>& problems) {
  constexpr double unset = -1;
  constexpr Duration unset_time{-1000};
  double share = unset;
  double slack = unset;
  Duration rollback_time = unset_time;
  ReadNumber(object, "exposure_share", share, problems);
  ReadNumber(object, "exposure_slack", slack, problems);
  ReadDuration(object, "rollback_ms", kMillisecond, rollback_time, problems);
  if (share == unset && slack == unset && rollback_time == unset_time) return;
  exposure.emplace();
  if (share != unset) exposure->share = share;
  if (slack != unset) exposure->slack = slack;
  if (rollback_time != unset_time) exposure->rollback_time = rollback_time;
}

void ReadLimits(ObjectReader& parent, GatewayLimits& limits,
                std::vector<Problem>& problems) {
  const auto element = parent.ReadValue("bounds", Presence::kOptional);
  if (!element) return;
  ObjectReader object(element->value, element->pointer, problems);
  ReadNumber(object, "cold_factor", limits.cold_factor, problems);
  ReadNumber(object, "cold_slack", limits.cold_slack, problems);
  ReadNumber(object, "retry_ratio", limits.retry_ratio, problems);
  ReadNumber(object, "retry_slack", limits.retry_slack, problems);
  ReadDuration(object, "contact_ms", kMillisecond, limits.store_contact_timeout,
               problems);
  ReadDuration(object, "change_ms", kMillisecond, limits.maximum_change_delay,
               problems);
  ReadDuration(object, "stop_s", kSecond, limits.shutdown_timeout, problems);
  ReadExposure(object, limits.exposure, problems);
}

}  // namespace

std::optional<GatewaySettings> GatewaySettingsReader::Read(
    std::string_view json) {
  problems_.clear();
  const std::optional<Json> value = ParseJson(json, problems_);
  if (!value) return std::nullopt;
  ObjectReader object(*value, "", problems_);
  GatewaySettings settings;
  settings.host =
      HostId(object.ReadName("host", Presence::kRequired).value_or(""));
  settings.zone =
      ZoneId(object.ReadName("zone", Presence::kRequired).value_or(""));
  settings.callers =
      ReadAddress(object, "callers", Presence::kRequired, problems_);
  settings.readiness =
      ReadAddress(object, "readiness", Presence::kRequired, problems_);
  settings.peers = ReadAddress(object, "peers", Presence::kRequired, problems_);
  settings.metrics =
      ReadAddress(object, "metrics", Presence::kOptional, problems_);
  settings.store = ReadAddress(object, "store", Presence::kRequired, problems_);
  for (const Element& seed :
       object.ReadArray("seeds", kSeedPeerCount, Presence::kOptional)) {
    if (!seed.value.is_string() ||
        !ParseEndpoint(seed.value.get<std::string>())) {
      problems_.push_back({ProblemKind::kOutOfRange, seed.pointer,
                           ShowValue(seed.value),
                           "an address, such as \"127.0.0.1:8080\""});
      continue;
    }
    settings.seed_peers.push_back(seed.value.get<std::string>());
  }
  ReadNumber(object, "processor", settings.processor_cores, problems_);
  ReadLimits(object, settings.limits, problems_);
  settings.memory = ReadMemorySettings(object, problems_);
  settings.room = ReadRoomSettings(object, problems_);
  const auto level = object.ReadString("log_level", Presence::kOptional);
  if (level) settings.log_level = *level;
  if (!problems_.empty()) return std::nullopt;
  return settings;
}

}  // namespace lovagecleat::configuration
