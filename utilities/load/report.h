#pragma once

#include <string>

namespace lovagecleat::load {

// One HTML page that needs nothing else, with plots of a run's JSON results.
std::string RenderReport(const std::string& results_json);

}  // namespace lovagecleat::load
