#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "base/base.h"
#include "routing/model.h"

namespace lovagecleat::routing {

// The demand of one zone's clients for a service, and the servers there.
struct ZoneDemand {
  double slots = 0;  // requests that run at a time; less for slow servers
  // Requests of the zone's own clients that would run at a time: their rate,
  // times the time of one without waiting. Wherever they are sent.
  double demand = 0;
  Duration service_time{};  // of a request without waiting
  TimePoint measured_at{};
};

// What it costs to send a request to another zone.
struct ZoneCrossing {
  Duration time{};
  Duration price{};  // the time that is worth its price
};

// Returns by how much one more request lengthens the time of all requests that
// run at servers of that load, its own time included. `load` is the share of
// the slots that are taken. Grows with the load, also beyond 1.
Duration MarginalTime(double slots, double load, Duration service_time);

// Decides which share of its requests a host sends to the servers of other
// zones. Handles the load pattern "demand that is uneven between zones".
//
// A request goes to another zone while it and those beside it end earlier that
// way, by more than the crossing costs. This is found from the demands alone,
// which don't depend on where requests are sent: hosts that know the same come
// to the same shares for all zones, and no load swings between zones. A share
// rises while the gain would be more than kEnterFactor times the cost, and
// falls while it is less than kLeaveFactor times the cost.
class ZoneSpill {
 public:
  static constexpr double kEnterFactor = 3.0;
  static constexpr double kLeaveFactor = 0.6;
  // Largest change of a share in one step.
  static constexpr double kMaximumStep = 0.03;
  static constexpr Duration kPeriod = std::chrono::seconds(1);
  // A zone of which nothing newer is known gets nothing.
  static constexpr Duration kMaximumAge = std::chrono::seconds(5);
  // Share of the requests that stays, so that the own servers stay warm and
  // what is known of them is true.
  static constexpr double kOwnShare = 0.2;
  // Zones that are kept; those beyond are ignored.
  static constexpr std::size_t kMaximumZones = 16;

  ZoneSpill(ZoneId own_zone, ZoneCrossing crossing);

  // Records what is known of a zone; called about once in kPeriod for each.
  // Numbers that make no sense make the zone unknown.
  void SetDemand(const ZoneId& zone, const ZoneDemand& demand);

  // Adjusts the shares by one step. Called once in kPeriod.
  void Step(TimePoint now);

  // Returns the zone for a request. `point` is uniform in [0, 1).
  const ZoneId& ZoneFor(double point) const;

  double ShareOf(const ZoneId& zone) const;

 private:
  struct Known {
    ZoneId zone;
    double slots = 0;
    double demand = 0;
    Duration service_time{};
  };

  std::vector<Known> KnownZones(TimePoint now) const;
  std::map<ZoneId, double> BestShares(const std::vector<Known>& zones,
                                      double cost_ms) const;

  ZoneId own_zone_;
  double cost_ms_;
  std::map<ZoneId, ZoneDemand> demands_;
  std::map<ZoneId, double> shares_;  // of other zones
};

}  // namespace lovagecleat::routing
