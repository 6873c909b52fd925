#include "policy/change_request.h"

#include <nlohmann/json.hpp>

namespace lovagecleat::policy {
namespace {

using Json = nlohmann::json;
using configuration::Change;
using configuration::Configuration;
using configuration::ReplaceConfiguration;
using configuration::ServerAvailability;
using configuration::SetServerState;
using configuration::SetTargets;
using configuration::SetZoneState;
using configuration::ZoneState;

// Pads revisions so that row keys sort by revision up to 10^12 - 1.
constexpr std::size_t kRevisionDigits = 12;

// Returns the present value of the setting that `change` changes, as a change
// that would set this value.
Change StateAt(const Change& change, const Configuration& configuration) {
  const auto read = Overloaded{
      [&](const SetTargets& item) -> Change {
        const auto* found = configuration.FindClass(item.request_class);
        if (found == nullptr) return SetTargets{item.request_class, {}};
        return SetTargets{item.request_class, found->targets};
      },
      [&](const SetZoneState& item) -> Change {
        const bool is_out = configuration.IsZoneOut(item.zone);
        return SetZoneState{item.zone,
                            is_out ? ZoneState::kOut : ZoneState::kIn};
      },
      [&](const SetServerState& item) -> Change {
        const bool is_out = configuration.servers_out.contains(item.server);
        return SetServerState{item.server, is_out ? ServerAvailability::kOut
                                                  : ServerAvailability::kIn};
      },
      [&](const ReplaceConfiguration&) -> Change {
        return ReplaceConfiguration{configuration};
      },
  };
  return std::visit(read, change);
}

Json ToJson(const Change& change) {
  return Json::parse(configuration::WriteChange(change), nullptr, false);
}

}  // namespace

bool IsDrain(const Change& change) {
  if (const auto* zone = std::get_if<SetZoneState>(&change)) {
    return zone->state == ZoneState::kOut;
  }
  if (const auto* server = std::get_if<SetServerState>(&change)) {
    return server->state == ServerAvailability::kOut;
  }
  return false;
}

std::string AuditRowKey(std::uint64_t revision) {
  std::string digits = std::to_string(revision);
  if (digits.size() < kRevisionDigits) {
    digits.insert(0, kRevisionDigits - digits.size(), '0');
  }
  return std::string(kAuditRowPrefix) + digits;
}

std::string EncodeAuditRow(const ChangeRequest& request,
                           const Configuration& before,
                           const Configuration& after) {
  const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
      request.submitted_at.time_since_epoch());
  const Json row{{"revision", after.revision},
                 {"change_id", request.change_id},
                 {"who", request.operator_name},
                 {"at_unix_ms", at.count()},
                 {"host", request.host.value()},
                 {"change", ToJson(request.change)},
                 {"before", ToJson(StateAt(request.change, before))},
                 {"after", ToJson(StateAt(request.change, after))}};
  return row.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<std::string> ReadAuditChangeId(std::string_view value) {
  const Json row = Json::parse(value, nullptr, false);
  if (!row.is_object()) return std::nullopt;
  const auto found = row.find("change_id");
  if (found == row.end() || !found->is_string()) return std::nullopt;
  return found->get<std::string>();
}

}  // namespace lovagecleat::policy
