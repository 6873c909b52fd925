#include "policy/placement.h"

#include <algorithm>
#include <cassert>

namespace lovagecleat::policy {

namespace {

// The weight of a load report falls linearly from 1 to 0 over this age.
constexpr Duration kReportLifetime = std::chrono::seconds(2);

double ReportWeight(const ServerEntry& server, TimePoint now) {
  const Duration age = now - server.report_at;
  if (age >= kReportLifetime) return 0.0;
  return 1.0 - static_cast<double>(age.count()) /
                   static_cast<double>(kReportLifetime.count());
}

// Estimates the calls from all hosts at the server.
double EstimatedInFlight(const ServerEntry& server, TimePoint now) {
  const auto own = static_cast<double>(server.own_in_flight);
  if (!server.report.has_value()) return own;
  const auto reported = static_cast<double>(server.report->in_flight);
  const double others = std::max(0.0, reported - own);
  return own + others * ReportWeight(server, now);
}

double ExpectedCost(const Candidate& candidate, TimePoint now) {
  const double in_flight = EstimatedInFlight(*candidate.server, now);
  const double limit = std::max(1.0, static_cast<double>(candidate.limit));
  return candidate.server->slowness * (1.0 + in_flight / limit);
}

}  // namespace

const ServerEntry* RoundRobin::Choose(const ServiceId& service,
                                      std::span<const Candidate> candidates,
                                      TimePoint /*now*/) {
  if (candidates.empty()) return nullptr;
  ServerId& last = last_[service];
  // Candidates are ordered by server id.
  const auto next = std::find_if(candidates.begin(), candidates.end(),
                                 [&last](const Candidate& candidate) {
                                   return candidate.server->info.id > last;
                                 });
  const Candidate& chosen = next == candidates.end() ? candidates[0] : *next;
  last = chosen.server->info.id;
  return chosen.server;
}

const ServerEntry* LeastOutstanding::Choose(
    const ServiceId& /*service*/, std::span<const Candidate> candidates,
    TimePoint /*now*/) {
  const ServerEntry* best = nullptr;
  for (const Candidate& candidate : candidates) {
    const bool is_better = best == nullptr || candidate.server->own_in_flight <
                                                  best->own_in_flight;
    if (is_better) best = candidate.server;
  }
  return best;
}

const ServerEntry* ExpectedFinish::Choose(const ServiceId& /*service*/,
                                          std::span<const Candidate> candidates,
                                          TimePoint now) {
  const ServerEntry* best = nullptr;
  double best_cost = 0.0;
  for (const Candidate& candidate : candidates) {
    const double cost = ExpectedCost(candidate, now);
    if (best != nullptr && cost >= best_cost) continue;
    best = candidate.server;
    best_cost = cost;
  }
  return best;
}

Placement MakePlacement(PlacementKind kind) {
  switch (kind) {
    case PlacementKind::kExpectedFinish:
      return ExpectedFinish{};
    case PlacementKind::kRoundRobin:
      return RoundRobin{};
    case PlacementKind::kLeastOutstanding:
      return LeastOutstanding{};
  }
  assert(false);
  return ExpectedFinish{};
}

const ServerEntry* Choose(Placement& placement, const ServiceId& service,
                          std::span<const Candidate> candidates,
                          TimePoint now) {
  return std::visit(
      [&](auto& strategy) { return strategy.Choose(service, candidates, now); },
      placement);
}

}  // namespace lovagecleat::policy
