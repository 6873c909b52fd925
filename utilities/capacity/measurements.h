#pragma once

#include <nlohmann/json.hpp>

// What is measured, and how a slope is drawn through it.
namespace lovagecleat::capacity {

// Points and slopes; see docs/CAPACITY.md for each.
nlohmann::json MeasureMembers();
nlohmann::json MeasureServers();
nlohmann::json MeasureTeams();
nlohmann::json MeasureConfiguration();
nlohmann::json MeasureTokens();
nlohmann::json MeasureIntents();

}  // namespace lovagecleat::capacity
