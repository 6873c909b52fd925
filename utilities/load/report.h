#pragma once

#include <string>

namespace lovagecleat::load {

// Renders the JSON results of a run as a self-contained HTML page with plots.
std::string RenderReport(const std::string& results_json);

}  // namespace lovagecleat::load
