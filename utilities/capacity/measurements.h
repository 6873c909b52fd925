#pragma once

#include <nlohmann/json.hpp>

// Measures costs at several system sizes and computes their slopes.
namespace lovagecleat::capacity {

// Each returns the measured points and slopes that docs/CAPACITY.md explains.
nlohmann::json MeasureMembers();
nlohmann::json MeasureServers();
nlohmann::json MeasureTeams();
nlohmann::json MeasureConfiguration();
nlohmann::json MeasureTokens();
nlohmann::json MeasureIntents();

}  // namespace lovagecleat::capacity
