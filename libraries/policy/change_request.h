#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "configuration/configuration.h"

namespace lovagecleat::policy {

// One operator's change, with what the audit trail keeps of it.
struct ChangeRequest {
  std::string change_id;  // unique, chosen by the operator's tool
  std::string who;
  std::uint64_t expected_revision = 0;
  configuration::Change change;
  WallTime submitted_at{};
  HostId host;  // that the operator asked
};

// True for changes that only take a zone or a server out of service.
bool IsDrain(const configuration::Change& change);

// "audit/000000000012"; keys sort by revision.
std::string AuditRowKey(std::uint64_t revision);

inline constexpr std::string_view kAuditRowPrefix = "audit/";

// The audit row of `request`, which led from `before` to `after`.
std::string EncodeAuditRow(const ChangeRequest& request,
                           const configuration::Configuration& before,
                           const configuration::Configuration& after);

// The id of the change that an audit row records.
std::optional<std::string> ReadAuditChangeId(std::string_view value);

}  // namespace lovagecleat::policy
