#include "routing/server_speed.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

namespace lovagecleat::routing {

namespace {

// One observation moves the steady part by at most this much, in logarithms,
// and less the more observations there were.
constexpr double kMaximumStep = 0.5;
// Load makes single observations too long, never too short, so those above the
// steady part move it by less.
constexpr double kLoadWeight = 0.5;
// Lowest weight of an observation: the steady part follows a change within some
// tens of observations.
constexpr double kLowestGain = 1.0 / 16;
// Observations that say as much as the assumption that a server is like the
// median one.
constexpr double kPriorObservations = 2.0;
// Weight of an estimate that holds all the observations that it can, which
// counts whole.
constexpr double kFullWeight = 1.0 / kLowestGain;
constexpr double kFullShare = kFullWeight / (kFullWeight + kPriorObservations);
// A server with fewer counts as unknown.
constexpr double kMinimumWeight = 2.0;
// Servers that must be known for a median.
constexpr std::size_t kMinimumServers = 3;
// Distances below this many standard errors are noise.
constexpr double kNoiseErrors = 2.0;
// A class other than the median's is kept as long as the distance is above this
// many standard errors.
constexpr double kKeptClassErrors = 1.0;
// Distance between the middles of two classes of steady slowness, in
// logarithms.
const double kClassStep = 2 * std::log(ServerSpeeds::kDeadBand);
// A class is left this far from its middle, in steps, so that noise at the
// boundary of two, half a step from both, doesn't change it.
constexpr double kClassReach = 0.6;
// Weight of an observation in a moment of slow work.
constexpr double kMomentGain = 0.5;
// An estimate of less is begun anew.
constexpr double kForgottenWeight = 1e-3;
// Longest excess of one observation, as a factor of 4.
constexpr double kMaximumExcess = 1.386;
// What a server says of its machine changes many times a second.
constexpr Duration kReportedHalfLife = std::chrono::milliseconds(300);
// The median is measured again after this time.
constexpr Duration kReferencePeriod = std::chrono::milliseconds(200);
constexpr double kSpreadGain = 0.02;
// Added to the spread of a kind of work, so that a few observations that agree
// by chance count for little.
constexpr double kLeastSpread = 0.05;
// The kind of work asked for may be known this many times worse than another.
constexpr double kOwnKindPreference = 2.0;
// The kind that tells of another one is left for one that is known this many
// times better.
constexpr double kSourcePreference = 1.25;
// Another host's observations count at most this much in one message.
constexpr double kMaximumMergedCount = 8.0;
// An observation counts as at most a factor of 100. Part of it may be common to
// all servers, so it is no bound of the slowness.
constexpr double kMaximumLogRatio = 4.605;
// What other hosts tell beyond it, a factor of a million, is an error.
constexpr double kErroneousLogRatio = 13.8;

double Faded(double value, TimePoint since, TimePoint now, Duration half_life) {
  const double age =
      std::max<double>(0, static_cast<double>((now - since).count()));
  return value * std::exp2(-age / static_cast<double>(half_life.count()));
}

double Median(std::vector<double> &values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

std::optional<Duration> EventGaps::Add(Duration gap) {
  if (gap < kShortestGap) return std::nullopt;
  gaps_[count_++] = gap;
  if (count_ < kGaps) return std::nullopt;
  count_ = 0;
  // A read that comes late makes the next gap too short, so the lowest does not
  // count.
  std::nth_element(gaps_.begin(), gaps_.begin() + 1, gaps_.end());
  return gaps_[1];
}

// Returns nothing for an older incarnation than the known one, whose late
// streams say nothing of the new one. One that hasn't been seen for long is no
// longer trusted: the clock of the machine may have been set back.
ServerSpeeds::ServerState *ServerSpeeds::StateOf(
    const ServiceId &service, const ServerIncarnation &server, TimePoint now) {
  auto &servers = services_[service].servers;
  auto found = servers.find(server.id);
  if (found == servers.end()) {
    if (size_ >= kMaximumServers) RemoveOldest();
    found = services_[service].servers.emplace(server.id, ServerState{}).first;
    found->second.incarnation = server;
    ++size_;
  } else if (found->second.incarnation != server) {
    if (server.started_unix_ms < found->second.incarnation.started_unix_ms &&
        now - found->second.seen_at < kMemory)
      return nullptr;
    found->second = ServerState{};
    found->second.incarnation = server;
  }
  found->second.seen_at = now;
  return &found->second;
}

void ServerSpeeds::RemoveOldest() {
  ServiceState *oldest_service = nullptr;
  std::optional<std::pair<TimePoint, ServerId>> oldest;
  for (auto &[id, service] : services_)
    for (const auto &[server, state] : service.servers)
      if (!oldest || state.seen_at < oldest->first) {
        oldest = {state.seen_at, server};
        oldest_service = &service;
      }
  if (oldest_service == nullptr) return;
  oldest_service->servers.erase(oldest->second);
  --size_;
  std::erase_if(services_,
                [](const auto &item) { return item.second.servers.empty(); });
}

double ServerSpeeds::WeightNow(const Estimate &estimate, TimePoint now) {
  return Faded(estimate.weight, estimate.at, now, kMemory);
}

// Returns the mean of two, since neither is known to be the outlier.
double ServerSpeeds::MedianOfFirst(const Estimate &estimate) {
  std::vector<double> values(
      estimate.first.begin(),
      estimate.first.begin() +
          static_cast<std::ptrdiff_t>(estimate.first_count));
  if (values.size() == 2) return (values[0] + values[1]) / 2;
  return Median(values);
}

void ServerSpeeds::AddDeviation(Reference &reference, double residual) {
  const double deviation = std::min(std::abs(residual), kMaximumExcess);
  reference.spread_weight += 1;
  reference.spread += std::max(1.0 / reference.spread_weight, kSpreadGain) *
                      (deviation - reference.spread);
}

void ServerSpeeds::Add(Estimate &estimate, Reference &reference,
                       double log_ratio, double count, TimePoint now) {
  const double weight = WeightNow(estimate, now);
  if (weight < kForgottenWeight) {
    estimate.weight = 0;
    estimate.first_count = 0;
  }
  const double residual = log_ratio - estimate.mean;
  // Without a mean to bound them by, the median of the first observations
  // counts, bounded around what is usual in the service.
  if (estimate.first_count < estimate.first.size()) {
    estimate.first[estimate.first_count++] =
        reference.median
            ? std::clamp(log_ratio, *reference.median - kMaximumExcess,
                         *reference.median + kMaximumExcess)
            : log_ratio;
    estimate.mean = MedianOfFirst(estimate);
    estimate.weight = std::min(weight + count, kFullWeight);
    estimate.at = now;
    if (estimate.first_count > 1) AddDeviation(reference, residual);
    return;
  }
  const double bounded = std::clamp(residual, -kMaximumStep, kMaximumStep) *
                         (residual > 0 ? kLoadWeight : 1.0);
  const double gain =
      std::min(1.0, std::max(count / (weight + count), count * kLowestGain));
  estimate.mean += gain * bounded;
  estimate.weight = std::min(weight + count, kFullWeight);
  estimate.at = now;
  AddDeviation(reference, residual);
}

// What a server says may be absurd, so it explains no more of a time than the
// range of slowness.
double ServerSpeeds::ReportedPart(const ServerState &server, TimePoint now) {
  return std::clamp(
      Faded(server.reported, server.reported_at, now, kReportedHalfLife),
      std::log(kLowestSlowness), std::log(kHighestSlowness));
}

void ServerSpeeds::Observe(const ServiceId &service,
                           const ServerIncarnation &server, WorkKind kind,
                           Duration taken, Duration expected, TimePoint now) {
  if (taken <= Duration::zero() || expected <= Duration::zero()) return;
  const auto index = static_cast<std::size_t>(kind);
  ServerState *observed = StateOf(service, server, now);
  if (observed == nullptr) return;
  // What the server says of the moment is no part of the steady slowness.
  const double log_ratio =
      std::clamp(std::log(static_cast<double>(taken.count()) /
                          static_cast<double>(expected.count())) -
                     ReportedPart(*observed, now),
                 -kMaximumLogRatio, kMaximumLogRatio);
  Estimate &estimate = observed->kinds[index];
  ServiceState &state = services_[service];
  Reference &reference = state.references[index];
  Measure(state, now);
  if (WeightNow(estimate, now) >= kMinimumWeight) {
    // What is usual for single observations is no moment of slow work.
    const double excess =
        std::min(log_ratio - estimate.mean - kNoiseErrors * reference.spread,
                 kMaximumExcess);
    const double before =
        Faded(estimate.excess, estimate.excess_at, now, kMoment);
    estimate.excess = before + kMomentGain * (std::max(excess, 0.0) - before);
    estimate.excess_at = now;
  }
  Add(estimate, reference, log_ratio, 1, now);
  estimate.new_sum += log_ratio;
  ++estimate.new_count;
}

// Returns the logarithm of the ratio that is usual at the server by now.
double ServerSpeeds::UsualOf(const ServiceId &service,
                             const ServerIncarnation &server, std::size_t kind,
                             TimePoint now) const {
  const auto known = services_.find(service);
  if (known == services_.end()) return 0;
  Measure(known->second, now);
  const double median = known->second.references[kind].median.value_or(0);
  const ServerState *state = Find(service, server.id);
  if (state == nullptr || state->incarnation != server) return median;
  const Estimate &estimate = state->kinds[kind];
  const double steady = WeightNow(estimate, now) >= kMinimumWeight
                            ? estimate.mean
                            : median + Steady(known->second, *state, kind, now);
  return steady + Moment(*state, now);
}

void ServerSpeeds::ObserveMissing(const ServiceId &service,
                                  const ServerIncarnation &server,
                                  WorkKind kind, Duration taken,
                                  Duration expected, TimePoint now) {
  if (taken <= Duration::zero() || expected <= Duration::zero()) return;
  const double log_ratio = std::log(static_cast<double>(taken.count()) /
                                    static_cast<double>(expected.count()));
  if (log_ratio > UsualOf(service, server, static_cast<std::size_t>(kind), now))
    Observe(service, server, kind, taken, expected, now);
}

void ServerSpeeds::Merge(const SpeedSample &sample, TimePoint now) {
  const auto index = static_cast<std::size_t>(sample.kind);
  if (index >= kWorkKinds || sample.count == 0 || sample.server.id.empty() ||
      !(std::abs(sample.log_ratio) <= kErroneousLogRatio))
    return;
  ServerState *server = StateOf(sample.service, sample.server, now);
  if (server == nullptr) return;
  Estimate &estimate = server->kinds[index];
  ServiceState &state = services_[sample.service];
  Measure(state, now);
  Add(estimate, state.references[index],
      std::clamp(sample.log_ratio, -kMaximumLogRatio, kMaximumLogRatio),
      std::min<double>(sample.count, kMaximumMergedCount), now);
}

void ServerSpeeds::SetReported(const ServiceId &service,
                               const ServerIncarnation &server, double slowdown,
                               TimePoint now) {
  if (!std::isfinite(slowdown) || slowdown <= 0) return;
  ServerState *state = StateOf(service, server, now);
  if (state == nullptr) return;
  state->reported = std::log(slowdown);
  state->reported_at = now;
}

// Measures the medians again if they are old, and the servers' classes by them.
// The mean of a server whose weight has faded still counts: it is the best
// known. All classes change here and nowhere else, so that they don't depend on
// how often they are asked for.
void ServerSpeeds::Measure(const ServiceState &service, TimePoint now) {
  if (now - service.measured_at < kReferencePeriod) return;
  service.measured_at = now;
  for (std::size_t kind = 0; kind < kWorkKinds; ++kind) {
    std::vector<double> means;
    for (const auto &[id, server] : service.servers) {
      const Estimate &estimate = server.kinds[kind];
      if (WeightNow(estimate, now) >= kMinimumWeight)
        means.push_back(estimate.mean);
    }
    std::optional<double> &median = service.references[kind].median;
    median.reset();
    if (means.size() >= kMinimumServers) median = Median(means);
  }
  for (const auto &[id, server] : service.servers)
    MeasureServer(service.references, server, now);
}

// A machine is slow as a whole, so a kind that is known better tells more.
void ServerSpeeds::MeasureServer(const References &references,
                                 const ServerState &server, TimePoint now) {
  std::array<std::optional<double>, kWorkKinds> errors;
  for (std::size_t kind = 0; kind < kWorkKinds; ++kind) {
    const Estimate &estimate = server.kinds[kind];
    const Reference &reference = references[kind];
    const double weight = WeightNow(estimate, now);
    server.classes[kind] =
        ClassOf(estimate, reference, weight, server.classes[kind]);
    if (reference.median && weight >= kMinimumWeight)
      errors[kind] = (reference.spread + kLeastSpread) / std::sqrt(weight);
  }
  for (std::size_t kind = 0; kind < kWorkKinds; ++kind) {
    std::optional<std::size_t> &source = server.sources[kind];
    if (source && !errors[*source]) source.reset();
    const auto error_of = [&](std::size_t other) {
      return *errors[other] / (other == kind ? kOwnKindPreference : 1.0) /
             (source == other ? kSourcePreference : 1.0);
    };
    std::optional<std::size_t> best;
    for (std::size_t other = 0; other < kWorkKinds; ++other)
      if (errors[other] && (!best || error_of(other) < error_of(*best)))
        best = other;
    source = best;
  }
}

// Returns the class of the steady slowness in steps from the median, `known`
// being the one before.
int ServerSpeeds::ClassOf(const Estimate &estimate, const Reference &reference,
                          double weight, int known) {
  if (!reference.median || weight < kMinimumWeight) return 0;
  const double share = weight / (weight + kPriorObservations) / kFullShare;
  const double distance = (estimate.mean - *reference.median) * share;
  const double error = reference.spread / std::sqrt(weight);
  const double noise = error * (known == 0 ? kNoiseErrors : kKeptClassErrors);
  if (std::abs(distance) <= noise) return 0;
  const double steps = distance / kClassStep;
  if (std::abs(steps - known) <= kClassReach) return known;
  return static_cast<int>(std::lround(steps));
}

double ServerSpeeds::Steady(const ServiceState &service,
                            const ServerState &server, std::size_t kind,
                            TimePoint now) {
  Measure(service, now);
  const std::optional<std::size_t> source = server.sources[kind];
  return source ? kClassStep * server.classes[*source] : 0.0;
}

double ServerSpeeds::Moment(const ServerState &server, TimePoint now) {
  double excess = 0;
  for (const Estimate &estimate : server.kinds)
    excess = std::max(excess,
                      Faded(estimate.excess, estimate.excess_at, now, kMoment));
  const double reported =
      Faded(server.reported, server.reported_at, now, kReportedHalfLife);
  const double moment = reported < 0 ? reported : std::max(excess, reported);
  return std::abs(moment) <= std::log(kMomentDeadBand) ? 0.0 : moment;
}

const ServerSpeeds::ServerState *ServerSpeeds::Find(
    const ServiceId &service, const ServerId &server) const {
  const auto known = services_.find(service);
  if (known == services_.end()) return nullptr;
  const auto state = known->second.servers.find(server);
  return state == known->second.servers.end() ? nullptr : &state->second;
}

double ServerSpeeds::SlownessOf(const ServiceId &service,
                                const ServerId &server, WorkKind kind,
                                TimePoint now) const {
  const ServerState *state = Find(service, server);
  if (state == nullptr) return 1.0;
  return std::clamp(std::exp(Steady(services_.find(service)->second, *state,
                                    static_cast<std::size_t>(kind), now) +
                             Moment(*state, now)),
                    kLowestSlowness, kHighestSlowness);
}

double ServerSpeeds::SteadySlownessOf(const ServiceId &service,
                                      const ServerId &server, WorkKind kind,
                                      TimePoint now) const {
  const ServerState *state = Find(service, server);
  if (state == nullptr) return 1.0;
  return std::clamp(std::exp(Steady(services_.find(service)->second, *state,
                                    static_cast<std::size_t>(kind), now)),
                    kLowestSlowness, kHighestSlowness);
}

std::vector<SpeedSample> ServerSpeeds::TakeObserved(std::size_t maximum) {
  struct Observed {
    const ServiceId *service;
    const ServerId *id;
    ServerState *server;
  };
  std::vector<Observed> observed;
  for (auto &[service, state] : services_)
    for (auto &[id, server] : state.servers)
      if (std::any_of(server.kinds.begin(), server.kinds.end(),
                      [](const Estimate &kind) { return kind.new_count > 0; }))
        observed.push_back({&service, &id, &server});
  std::rotate(observed.begin(),
              std::find_if(observed.begin(), observed.end(),
                           [this](const Observed &item) {
                             return std::tie(*item.service, *item.id) >
                                    std::tie(taken_.first, taken_.second);
                           }),
              observed.end());
  std::vector<SpeedSample> samples;
  for (const Observed &item : observed) {
    if (samples.size() + kWorkKinds > maximum) break;
    for (std::size_t kind = 0; kind < kWorkKinds; ++kind) {
      Estimate &estimate = item.server->kinds[kind];
      if (estimate.new_count == 0) continue;
      samples.push_back(
          {*item.service, item.server->incarnation, static_cast<WorkKind>(kind),
           estimate.new_sum / estimate.new_count, estimate.new_count});
      estimate.new_sum = 0;
      estimate.new_count = 0;
    }
    taken_ = {*item.service, *item.id};
  }
  return samples;
}

std::vector<SpeedSummary> ServerSpeeds::Summaries(TimePoint now) const {
  std::vector<SpeedSummary> summaries;
  for (const auto &[id, service] : services_) {
    std::vector<double> values;
    for (const auto &[server, state] : service.servers) {
      double weight = 0;
      std::size_t best = 0;
      for (std::size_t kind = 0; kind < kWorkKinds; ++kind) {
        if (WeightNow(state.kinds[kind], now) <= weight) continue;
        weight = WeightNow(state.kinds[kind], now);
        best = kind;
      }
      if (weight >= kMinimumWeight)
        values.push_back(std::exp(Steady(service, state, best, now)));
    }
    if (values.empty()) continue;
    std::sort(values.begin(), values.end());
    SpeedSummary summary{id, values.size(), values.front(),
                         values[values.size() / 2], values.back()};
    summary.below_half = static_cast<std::size_t>(
        std::count_if(values.begin(), values.end(),
                      [](double slowness) { return slowness > 2.0; }));
    summaries.push_back(std::move(summary));
  }
  return summaries;
}

}  // namespace lovagecleat::routing
