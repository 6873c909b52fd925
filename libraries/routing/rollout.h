#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "routing/rollout_evidence.h"
#include "routing/rollout_exposure.h"
#include "routing/rollout_order.h"
#include "routing/rollout_test.h"
#include "routing/row_replica.h"

namespace lovagecleat::routing {

enum class RolloutPhase {
  kUnknown,     // this host does not know yet how the order stands
  kCanary,      // a small part of the requests goes to the version
  kMoving,      // requests go to it while the bounds allow that
  kRolledBack,  // it gets nothing
  kCompleted,   // only it gets requests
};

std::string_view NameOf(RolloutPhase phase);

// What one process has counted since the order.
struct HostEvidence {
  std::string host;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;  // rises with each report
  std::uint64_t requests = 0;
  std::uint64_t sent_new = 0;
  RouteEvidenceMap routes;
};

// What hosts tell each other about an order.
struct RolloutReport {
  RolloutOrder order;
  RowVersion order_version;
  RolloutPhase phase = RolloutPhase::kUnknown;
  bool is_stored = false;   // the phase is final: the row of the state says it
  bool is_written = false;  // the row answers `order_version` with this phase
  // The version had the service's traffic before.
  bool is_established = false;
  Duration elapsed{};  // since the order
  double share = 0;    // of the requests in kCanary; from hosts that decide
  std::optional<HostEvidence> evidence;
};

// What the host that holds a Rollout knows apart from it.
struct RolloutSurroundings {
  // Rank of this host for the service among the reachable ones.
  std::size_t rank = 0;
  // Servers that may get requests.
  std::size_t servers_on_trial = 0;
  std::size_t servers_before = 0;
  // All known hosts are reachable.
  bool reaches_all_hosts = true;
};

// How a host has learned of an order.
enum class OrderSight {
  kAppeared,  // it was not there before
  kFound,     // it was there when the host first looked
};

struct RolloutStart {
  HostId host;
  std::uint64_t incarnation = 0;
  TimePoint process_started_at{};
  RolloutBounds bounds;
  OrderSight sight = OrderSight::kFound;
  // Another order for the same version was in progress and has used the slack.
  bool has_used_slack = false;
  // The version had the service's traffic before.
  bool is_established = false;
  // Part of a request to begin counting with, in [0, 1), so that hosts do not
  // all send at the same moment.
  double initial_part = 0;
};

// One order at one host: how the service's requests are split, what the answers
// show, and what follows from it (docs/design/rollouts.md).
class Rollout {
 public:
  // Hosts that decide for a service; the others follow them.
  static constexpr std::size_t kDeciders = 3;

  Rollout(const RolloutOrder& order, RowVersion version,
          const RolloutStart& start, TimePoint now);

  const RolloutOrder& order() const { return order_; }
  RowVersion order_version() const { return order_version_; }
  RolloutPhase phase() const { return phase_; }
  bool is_stored() const { return is_stored_; }
  bool is_written() const { return is_written_; }
  bool is_established() const { return start_.is_established; }
  OrderSight sight() const { return start_.sight; }
  // Why the phase was entered, for the log.
  std::string_view cause() const { return cause_; }
  double share() const { return share_; }
  Duration Elapsed(TimePoint now) const { return now - started_at_; }
  const RolloutExposure& exposure() const { return exposure_; }
  const RolloutEvidence& evidence() const { return evidence_; }
  const RolloutTest& test() const { return test_; }
  std::uint64_t total_requests() const;
  std::uint64_t total_sent_new() const;

  // The order was repeated, or its row replaced by one that states none.
  void SetOrderVersion(RowVersion version);
  void SetHosts(std::span<const HostId> hosts);

  // --- Sending ---
  // Decides whether a new request goes to the version on trial.
  bool TakesNew(TimePoint now);
  // Decides the same for a call with up to that many stage items.
  bool TakesNewCall(std::uint64_t items, TimePoint now) const;
  // Returns how many requests may be sent to it now.
  std::uint64_t RemainingNew(TimePoint now) const;
  bool MaySendNew(std::uint64_t count, TimePoint now) const {
    return RemainingNew(now) >= count;
  }
  // Returns whether the order may be completed already, so that the servers
  // before may have been stopped.
  bool MayBeCompleted(TimePoint now) const;
  void CountRequests(std::uint64_t count) { exposure_.CountRequests(count); }
  void CountNew(std::uint64_t count) { exposure_.CountNew(count); }
  bool CountAnswer(const VersionAnswer& answer) {
    return evidence_.Count(answer);
  }

  // --- Other hosts and the row of the state ---
  RolloutReport MakeReport(TimePoint now, bool with_evidence);
  void OnReport(const RolloutReport& report, TimePoint now);
  // Records what the row of the state says; nothing if there is none.
  // `store_time` is the time on the store's clock. `is_only_version` tells
  // whether the service has servers of no other version.
  void OnStatus(const std::optional<RolloutStatus>& status,
                RowVersion status_version, std::optional<Duration> store_time,
                bool is_only_version, TimePoint now);

  // Takes the decisions that are due.
  void Update(const RolloutSurroundings& surroundings, TimePoint now);

  // Returns the state that the row should be given by this host now.
  std::optional<RolloutState> StateToWrite(std::size_t rank, TimePoint now);

  // Returns the time between two reports to the hosts that decide.
  Duration ReportPeriod() const;
  // Returns whether this host should read the row of the state, and takes it
  // that it does. `is_needed` tells that it has a reason of its own.
  bool TakeStatusRead(bool is_needed, const RolloutSurroundings& surroundings,
                      TimePoint now);

 private:
  struct KnownHost {
    HostEvidence newest;
    std::vector<std::uint64_t> ended;  // incarnations
  };

  // Returns the time since this host last knew that the order stands.
  Duration Age(TimePoint now) const;
  bool IsFresh(TimePoint now) const;
  bool MustReadStatus(const RolloutSurroundings& surroundings,
                      TimePoint now) const;
  Duration CompletionLead() const;
  Duration CompleteAt() const { return order_.time - CompletionLead(); }
  Duration MovingAt(TimePoint now) const;
  double RequestRate(TimePoint now) const;
  double OwnRequestRate(TimePoint now) const;
  double TargetShare(TimePoint now) const;
  bool HasEnoughServers(const RolloutSurroundings& surroundings,
                        TimePoint now) const;
  bool HasEnoughEvidence(TimePoint now) const;
  void UpdateShare(TimePoint now);
  void Enter(RolloutPhase phase, bool is_stored, std::string_view cause);
  void Resolve(RolloutPhase phase, bool is_stored, std::string_view cause,
               TimePoint started_at, TimePoint now);
  void MergeEvidence(const HostEvidence& evidence);
  std::optional<RolloutState> UnwrittenState(TimePoint now) const;

  RolloutOrder order_;
  RowVersion first_version_;  // of the order's row
  RowVersion order_version_;  // the newest one
  RolloutStart start_;
  RolloutPhase phase_ = RolloutPhase::kUnknown;
  bool is_stored_ = false;
  std::string_view cause_;
  TimePoint learned_at_;
  TimePoint started_at_;
  TimePoint resolved_at_{};
  std::optional<TimePoint> heard_at_;
  std::optional<TimePoint> status_read_at_;
  std::optional<TimePoint> status_read_begun_at_;
  bool is_written_ = false;  // see RolloutReport
  bool may_complete_ = false;
  bool is_decider_ = false;
  std::optional<TimePoint> unwritten_since_;
  std::optional<RolloutState> unwritten_state_;
  bool is_resumed_ = false;  // evidence of before was lost
  bool has_slack_ = false;
  double share_ = 0;
  double due_ = 0;  // requests due to the version on trial
  RolloutExposure exposure_;
  RolloutEvidence evidence_;
  RouteEvidenceMap counted_;  // the part of evidence_ that test_ has
  RolloutTest test_;
  std::uint64_t sequence_ = 0;
  TimePoint period_ended_at_{};
  std::map<std::string, KnownHost> hosts_;
  std::uint64_t ended_requests_ = 0;  // of ended processes
  std::uint64_t ended_sent_new_ = 0;
};

}  // namespace lovagecleat::routing
