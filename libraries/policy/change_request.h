#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "configuration/configuration.h"

namespace lovagecleat::policy {

// A change submitted by an operator, with the data for its audit row.
struct ChangeRequest {
  std::string change_id;  // unique, chosen by the operator's tool
  std::string operator_name;
  std::uint64_t expected_revision = 0;
  configuration::Change change;
  WallTime submitted_at{};
  HostId host;  // that the operator submitted the change to
};

// Returns true for changes that only take a zone or a server out of service.
bool IsDrain(const configuration::Change& change);

// Returns a key such as "audit/000000000012"; keys sort by revision.
std::string AuditRowKey(std::uint64_t revision);

inline constexpr std::string_view kAuditRowPrefix = "audit/";

// Returns the audit row of `request`, which changed `before` to `after`.
std::string EncodeAuditRow(const ChangeRequest& request,
                           const configuration::Configuration& before,
                           const configuration::Configuration& after);

// Returns the change id in an audit row, or nullopt if it cannot be parsed.
std::optional<std::string> ReadAuditChangeId(std::string_view value);

}  // namespace lovagecleat::policy
