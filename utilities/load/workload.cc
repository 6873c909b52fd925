#include "utilities/load/workload.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lovagecleat::load {

namespace {

using Json = nlohmann::json;

constexpr double kMicrosecondsPerSecond = 1e6;

Duration Seconds(double seconds) {
  return Duration(static_cast<Duration::rep>(seconds * kMicrosecondsPerSecond));
}

Workload ReadWorkload(const Json& json) {
  Workload workload;
  for (const Json& one : json.at("classes")) {
    ClassLoad load;
    load.id = ClassId(one.at("class").get<std::string>());
    load.rate = one.at("rate").get<double>();
    load.delivery = one.value("stream", false) ? Delivery::kStream
                                               : Delivery::kSingleResponse;
    load.key = one.value("key", false) ? KeyUse::kUnique : KeyUse::kNone;
    workload.classes.push_back(std::move(load));
  }
  for (const Json& one : json.at("teams")) {
    workload.teams.push_back(
        TeamShare{TeamId(one.at("team").get<std::string>()),
                  one.at("share").get<double>()});
  }
  for (const Json& one : json.at("phases")) {
    const double from = one.at("from").get<double>();
    workload.phases.push_back(Phase{one.at("name").get<std::string>(),
                                    Seconds(one.at("seconds").get<double>()),
                                    from, one.value("to", from)});
  }
  workload.contexts = json.value("contexts", std::uint64_t{1});
  return workload;
}

double MaximumFactor(const Workload& workload) {
  double maximum = 0.0;
  for (const Phase& phase : workload.phases) {
    maximum = std::max({maximum, phase.from_factor, phase.to_factor});
  }
  return maximum;
}

std::size_t DrawTeam(const Workload& workload, Random& random) {
  double total = 0.0;
  for (const TeamShare& team : workload.teams) total += team.share;
  double remaining = random.Unit() * total;
  for (std::size_t i = 0; i < workload.teams.size(); ++i) {
    remaining -= workload.teams[i].share;
    if (remaining < 0.0) return i;
  }
  return workload.teams.size() - 1;
}

// Draws Poisson arrivals at the highest rate and thins them to the rate at each
// time.
void PlanClass(const Workload& workload, std::size_t class_index, double scale,
               Random& random, std::vector<Arrival>& arrivals) {
  const double maximum_factor = MaximumFactor(workload);
  const double rate =
      workload.classes[class_index].rate * scale * maximum_factor;
  if (rate <= 0.0) return;
  const Duration mean = Seconds(1.0 / rate);
  const Duration end = workload.length();
  Duration at = random.Exponential(mean);
  while (at < end) {
    const bool is_kept =
        random.Unit() * maximum_factor < FactorAt(workload, at);
    Arrival arrival{at, class_index, DrawTeam(workload, random),
                    random.Below(workload.contexts)};
    if (is_kept) arrivals.push_back(arrival);
    at += std::max(random.Exponential(mean), Duration(1));
  }
}

}  // namespace

Duration Workload::length() const {
  Duration total{};
  for (const Phase& phase : phases) total += phase.length;
  return total;
}

std::optional<Workload> WorkloadReader::Read(std::string_view json) {
  const Json document = Json::parse(json, nullptr, false);
  last_error_ = WorkloadError::kMalformedJson;
  if (document.is_discarded()) return std::nullopt;
  last_error_ = WorkloadError::kMissingOrInvalid;
  try {
    Workload workload = ReadWorkload(document);
    last_error_ = WorkloadError::kEmpty;
    if (workload.classes.empty() || workload.teams.empty()) return std::nullopt;
    if (workload.phases.empty() || workload.contexts == 0) return std::nullopt;
    last_error_ = WorkloadError::kNone;
    return workload;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::vector<Arrival> PlanArrivals(const Workload& workload, double scale,
                                  std::uint64_t seed,
                                  std::size_t maximum_count) {
  std::vector<Arrival> arrivals;
  for (std::size_t i = 0; i < workload.classes.size(); ++i) {
    // Each class has its own random generator, so that a change of one class
    // does not change the arrivals of the others.
    Random random(StableHash(workload.classes[i].id.value(), seed));
    PlanClass(workload, i, scale, random, arrivals);
  }
  std::stable_sort(
      arrivals.begin(), arrivals.end(),
      [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  if (arrivals.size() > maximum_count) arrivals.resize(maximum_count);
  return arrivals;
}

double FactorAt(const Workload& workload, Duration at) {
  Duration start{};
  for (const Phase& phase : workload.phases) {
    const Duration time_in_phase = at - start;
    start += phase.length;
    if (at >= start) continue;
    const double share = static_cast<double>(time_in_phase.count()) /
                         static_cast<double>(phase.length.count());
    return phase.from_factor + (phase.to_factor - phase.from_factor) * share;
  }
  return 0.0;
}

}  // namespace lovagecleat::load
