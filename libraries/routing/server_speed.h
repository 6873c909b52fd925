#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "base/base.h"
#include "routing/model.h"

namespace lovagecleat::routing {

enum class WorkKind {
  kPrefill,     // reading a prompt, until the first event of a stream
  kDecodeStep,  // the time from one event of a stream to the next
  kPlain,       // a request that is answered as a whole
  kStageCall,   // a batched call
};
inline constexpr std::size_t kWorkKinds = 4;

// Finds the time of a decode step from the gaps between the events of a stream.
// Gaps in which the server also read another prompt are left out.
class EventGaps {
 public:
  // Returns a low quantile of the last gaps, once for kGaps of them.
  std::optional<Duration> Add(Duration gap);

 private:
  static constexpr std::size_t kGaps = 5;
  // Shorter ones lie between two reads of what was sent at once.
  static constexpr Duration kShortestGap = std::chrono::milliseconds(1);
  std::array<Duration, kGaps> gaps_{};
  std::size_t count_ = 0;
};

// How long work took at one server, from a number of observations.
struct SpeedSample {
  ServiceId service;
  ServerIncarnation server;
  WorkKind kind = WorkKind::kPrefill;
  // Mean logarithm of the time taken, divided by the time expected of any
  // server of the service.
  double log_ratio = 0;
  std::uint32_t count = 1;
};

// The estimates for the servers of one service.
struct SpeedSummary {
  ServiceId service;
  std::size_t servers = 0;  // with enough observations
  double lowest = 1;        // slowness
  double median = 1;
  double highest = 1;
  std::size_t below_half = 0;  // servers slower than twice the median
};

// Estimates how fast each backend server works, from what this host and others
// saw it do and from what it says of its machine. Handles the load patterns
// "uneven servers" and "moment of slow work".
//
// The slowness of a server is the time that work takes there, divided by the
// time that it takes at the median server of the service. It has two parts: a
// steady one, which outliers move little and which is forgotten with a
// half-life of kMemory, and a moment of slow work, which is noticed at once and
// fades with a half-life of kMoment, so that the server is tried again.
class ServerSpeeds {
 public:
  static constexpr Duration kMemory = std::chrono::seconds(30);
  static constexpr Duration kMoment = std::chrono::milliseconds(600);
  // A slowness between 1 / kDeadBand and kDeadBand counts as 1. Sending a
  // prompt elsewhere costs its shared parts, which are longer than its own by
  // more than that share. Beyond it the steady part is rounded to powers of
  // kDeadBand squared, so that work is not drawn to the one server whose
  // estimate is the lowest by chance. Such a class is kept beyond its boundary
  // by a tenth of its width.
  static constexpr double kDeadBand = 1.25;
  // The same for moments, since load looks like slow work for a moment.
  static constexpr double kMomentDeadBand = 1.5;
  static constexpr double kLowestSlowness = 0.25;
  static constexpr double kHighestSlowness = 8.0;
  // Servers that are kept; of more, the one that was seen least recently goes.
  static constexpr std::size_t kMaximumServers = 4096;

  // Records that work took `taken` at the server. `expected` is the time
  // expected of any server of the service, up to a factor common to all.
  // Times of zero and less are ignored.
  void Observe(const ServiceId& service, const ServerIncarnation& server,
               WorkKind kind, Duration taken, Duration expected, TimePoint now);

  // Records that work isn't done after `taken`. It tells nothing unless that is
  // longer than work takes there as a rule.
  void ObserveMissing(const ServiceId& service, const ServerIncarnation& server,
                      WorkKind kind, Duration taken, Duration expected,
                      TimePoint now);

  // Records what another host saw within about the last second.
  void Merge(const SpeedSample& sample, TimePoint now);

  // Records what a server said: how long work takes on its machine, divided by
  // how long it takes as a rule.
  void SetReported(const ServiceId& service, const ServerIncarnation& server,
                   double slowdown, TimePoint now);

  // Returns the slowness of the server for that kind of work, or as another
  // kind shows it that is known much better. It is 1 for a server that nothing
  // is known of.
  double SlownessOf(const ServiceId& service, const ServerId& server,
                    WorkKind kind, TimePoint now) const;

  // Returns only the steady part of SlownessOf.
  double SteadySlownessOf(const ServiceId& service, const ServerId& server,
                          WorkKind kind, TimePoint now) const;

  // Returns what this host observed itself and has not returned yet, of up to
  // `maximum` samples. Servers that are left out come first in the next call.
  std::vector<SpeedSample> TakeObserved(std::size_t maximum = kMaximumServers *
                                                              kWorkKinds);

  std::vector<SpeedSummary> Summaries(TimePoint now) const;

  std::size_t size() const { return size_; }

 private:
  struct Estimate {
    double mean = 0;    // of the logarithms
    double weight = 0;  // number of observations, less those forgotten
    TimePoint at{};
    std::array<double, 3> first{};  // observations
    std::size_t first_count = 0;
    double excess = 0;  // of the newest observations over the mean
    TimePoint excess_at{};
    // Observations of this host that it has not told others.
    double new_sum = 0;
    std::uint32_t new_count = 0;
  };
  struct ServerState {
    ServerIncarnation incarnation;
    std::array<Estimate, kWorkKinds> kinds;
    double reported = 0;  // logarithm
    TimePoint reported_at{};
    TimePoint seen_at{};
    // Steady slowness by kind of work, in steps from the median.
    mutable std::array<int, kWorkKinds> classes{};
    // The kind of which the class counts; nothing while none is known.
    mutable std::array<std::optional<std::size_t>, kWorkKinds> sources{};
  };
  // What the servers of a service have in common for one kind of work.
  struct Reference {
    // Median over the servers; nothing while too few are known.
    std::optional<double> median;
    double spread = 0;  // mean absolute deviation of single observations
    double spread_weight = 0;
  };
  using References = std::array<Reference, kWorkKinds>;
  struct ServiceState {
    std::map<ServerId, ServerState> servers;
    mutable References references;
    mutable TimePoint measured_at{};
  };

  ServerState* StateOf(const ServiceId& service,
                       const ServerIncarnation& server, TimePoint now);
  void RemoveOldest();
  static void Add(Estimate& estimate, Reference& reference, double log_ratio,
                  double count, TimePoint now);
  double UsualOf(const ServiceId& service, const ServerIncarnation& server,
                 std::size_t kind, TimePoint now) const;
  static double ReportedPart(const ServerState& server, TimePoint now);
  static double MedianOfFirst(const Estimate& estimate);
  static void AddDeviation(Reference& reference, double residual);
  static double WeightNow(const Estimate& estimate, TimePoint now);
  static void Measure(const ServiceState& service, TimePoint now);
  static void MeasureServer(const References& references,
                            const ServerState& server, TimePoint now);
  static int ClassOf(const Estimate& estimate, const Reference& reference,
                     double weight, int known);
  const ServerState* Find(const ServiceId& service,
                          const ServerId& server) const;
  // Both are logarithms.
  static double Steady(const ServiceState& service, const ServerState& server,
                       std::size_t kind, TimePoint now);
  static double Moment(const ServerState& server, TimePoint now);

  std::map<ServiceId, ServiceState> services_;
  std::size_t size_ = 0;
  // The last server that TakeObserved returned.
  std::pair<ServiceId, ServerId> taken_;
};

// The slowness of servers at one moment; 1 for all without estimates.
class SpeedView {
 public:
  SpeedView() = default;
  SpeedView(const ServerSpeeds& speeds, TimePoint now)
      : speeds_(&speeds), now_(now) {}

  double SlownessOf(const ServerEntry& server, WorkKind kind) const {
    return speeds_ == nullptr
               ? 1.0
               : speeds_->SlownessOf(server.service, server.id, kind, now_);
  }

  double SteadySlownessOf(const ServerEntry& server, WorkKind kind) const {
    return speeds_ == nullptr ? 1.0
                              : speeds_->SteadySlownessOf(
                                    server.service, server.id, kind, now_);
  }

 private:
  const ServerSpeeds* speeds_ = nullptr;
  TimePoint now_{};
};

}  // namespace lovagecleat::routing
