#include "configuration/settings.h"

#include <arpa/inet.h>

#include <charconv>
#include <utility>

#include "configuration/object_reader.h"

namespace lovagecleat::configuration {

namespace {

constexpr Choice<LogFormat> kLogFormats[] = {
    {LogFormat::kText, "text"},
    {LogFormat::kJson, "json"},
};
constexpr Choice<std::string_view> kLogLevels[] = {
    {"debug", "debug"},
    {"info", "info"},
    {"warning", "warning"},
    {"error", "error"},
};
constexpr Choice<std::string_view> kPlacements[] = {
    {"expected_finish", "expected_finish"},
    {"round_robin", "round_robin"},
    {"least_outstanding", "least_outstanding"},
};

// Listening on port 0 selects any free port, which the process reports; only
// tests use this. A port to connect to must be known.
constexpr IntegerRange kListeningPorts{0, 65535};
constexpr IntegerRange kRemotePorts{1, 65535};
constexpr IntegerRange kBodyBytes{1024, 16'777'216};
constexpr IntegerRange kCallCounts{1, 100000};
constexpr IntegerRange kSeeds{0, std::numeric_limits<std::int64_t>::max()};

bool IsIpAddress(const std::string& text) {
  in_addr ipv4{};
  in6_addr ipv6{};
  return inet_pton(AF_INET, text.c_str(), &ipv4) == 1 ||
         inet_pton(AF_INET6, text.c_str(), &ipv6) == 1;
}

Endpoint ReadEndpoint(ObjectReader& parent, std::string_view key,
                      IntegerRange ports, std::vector<Problem>& problems) {
  const std::optional<Element> element =
      parent.ReadValue(key, Presence::kRequired);
  if (!element) return {};
  ObjectReader object(element->value, element->pointer, problems);
  Endpoint endpoint;
  const std::optional<std::string> address =
      object.ReadString("address", Presence::kRequired);
  if (address && !IsIpAddress(*address)) {
    problems.push_back({ProblemKind::kOutOfRange, object.PointerOf("address"),
                        ShowValue(Json(*address)),
                        "an IP address, such as \"127.0.0.1\""});
  }
  endpoint.address = address.value_or("");
  endpoint.port = static_cast<std::uint16_t>(
      object.ReadInteger("port", ports, Presence::kRequired).value_or(0));
  object.ReportUnknownKeys();
  return endpoint;
}

void ReadOptionalSettings(ObjectReader& object, EntrySettings& settings) {
  const auto format =
      object.ReadChoice("log_format", kLogFormats, Presence::kOptional);
  settings.log_format = format.value_or(settings.log_format);
  const auto level =
      object.ReadChoice("log_level", kLogLevels, Presence::kOptional);
  if (level) settings.log_level = *level;
  const auto placement =
      object.ReadChoice("placement", kPlacements, Presence::kOptional);
  if (placement) settings.placement = *placement;
  const auto body =
      object.ReadInteger("maximum_body_bytes", kBodyBytes, Presence::kOptional);
  if (body) settings.maximum_body_bytes = static_cast<std::uint32_t>(*body);
  const auto calls =
      object.ReadInteger("maximum_calls", kCallCounts, Presence::kOptional);
  if (calls) settings.maximum_calls = static_cast<std::uint32_t>(*calls);
  const auto seed = object.ReadInteger("seed", kSeeds, Presence::kOptional);
  if (seed) settings.seed = static_cast<std::uint64_t>(*seed);
}

}  // namespace

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view address = text.substr(0, colon);
  const std::string_view digits = text.substr(colon + 1);
  const bool bracketed =
      address.size() > 2 && address.front() == '[' && address.back() == ']';
  // Only an IPv6 address contains colons, and it must be in brackets.
  const bool has_colon = address.find(':') != std::string_view::npos;
  if (bracketed != has_colon) return std::nullopt;
  if (bracketed) address = address.substr(1, address.size() - 2);
  Endpoint endpoint{std::string(address), 0};
  const auto [end, error] = std::from_chars(
      digits.data(), digits.data() + digits.size(), endpoint.port);
  const bool is_port = error == std::errc{} &&
                       end == digits.data() + digits.size() &&
                       endpoint.port != 0;
  if (!is_port || !IsIpAddress(endpoint.address)) return std::nullopt;
  return endpoint;
}

std::optional<EntrySettings> SettingsReader::Read(std::string_view json) {
  problems_.clear();
  const std::optional<Json> value = ParseJson(json, problems_);
  if (!value) return std::nullopt;
  ObjectReader object(*value, "", problems_);
  EntrySettings settings;
  settings.host =
      HostId(object.ReadName("host", Presence::kRequired).value_or(""));
  settings.zone =
      ZoneId(object.ReadName("zone", Presence::kRequired).value_or(""));
  settings.callers =
      ReadEndpoint(object, "callers", kListeningPorts, problems_);
  settings.peers = ReadEndpoint(object, "peers", kListeningPorts, problems_);
  settings.platform = ReadEndpoint(object, "platform", kRemotePorts, problems_);
  ReadOptionalSettings(object, settings);
  settings.memory = ReadMemorySettings(object, problems_);
  object.ReportUnknownKeys();
  if (!problems_.empty()) return std::nullopt;
  return settings;
}

}  // namespace lovagecleat::configuration
