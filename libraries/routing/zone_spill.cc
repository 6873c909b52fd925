#include "routing/zone_spill.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lovagecleat::routing {

namespace {

// Up to this load the time is that of a queue; above, where there is no steady
// one, the marginal time grows on in a straight line.
constexpr double kHighestLoad = 0.97;
constexpr double kOverloadSlope = 20.0;  // times the marginal time, by load
// Difference of loads by which the slope of the time is taken.
constexpr double kLoadDifference = 0.005;
// Weight of the newest demand, of which there is one a second: clients come at
// random.
constexpr double kDemandGain = 0.2;
// Moves in which a zone's demand is divided over zones.
constexpr double kMovesPerZone = 100;
// Crossing a zone costs no less than this.
constexpr double kLeastCostMs = 1.0;
// Largest numbers of slots and requests that make sense.
constexpr double kMaximumCount = 1e7;
// Shares that fall below this are nothing.
constexpr double kLeastShare = 1e-6;

double Milliseconds(Duration time) {
  return static_cast<double>(time.count()) / 1000;
}

bool IsCount(double value) {
  return std::isfinite(value) && value >= 0 && value <= kMaximumCount;
}

// Returns the load times the time of a request, by Sakasegawa's approximation
// of a queue with `slots` servers.
double TotalMs(double slots, double load, double service_ms) {
  const double exponent = std::sqrt(2 * (slots + 1)) - 1;
  return load * service_ms *
         (1 + std::pow(load, exponent) / (slots * (1 - load)));
}

double MarginalMs(double slots, double load, double service_ms) {
  const double below = std::clamp(load, 0.0, kHighestLoad);
  const double marginal = (TotalMs(slots, below + kLoadDifference, service_ms) -
                           TotalMs(slots, below, service_ms)) /
                          kLoadDifference;
  return marginal * (1 + kOverloadSlope * std::max(0.0, load - kHighestLoad));
}

}  // namespace

Duration MarginalTime(double slots, double load, Duration service_time) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(
          MarginalMs(slots, load, Milliseconds(service_time))));
}

ZoneSpill::ZoneSpill(ZoneId own_zone, ZoneCrossing crossing)
    : own_zone_(std::move(own_zone)),
      cost_ms_(std::max(kLeastCostMs, Milliseconds(crossing.time) +
                                          Milliseconds(crossing.price))) {}

void ZoneSpill::SetDemand(const ZoneId& zone, const ZoneDemand& demand) {
  const bool has_sense = IsCount(demand.slots) && IsCount(demand.demand) &&
                         demand.service_time > Duration::zero();
  if (!has_sense) {
    demands_.erase(zone);
    return;
  }
  const auto known = demands_.find(zone);
  if (known == demands_.end()) {
    if (demands_.size() < kMaximumZones || zone == own_zone_)
      demands_.emplace(zone, demand);
    return;
  }
  const ZoneDemand before = known->second;
  known->second = demand;
  if (demand.measured_at - before.measured_at <= kMaximumAge)
    known->second.demand =
        before.demand + kDemandGain * (demand.demand - before.demand);
}

std::vector<ZoneSpill::Known> ZoneSpill::KnownZones(TimePoint now) const {
  std::vector<Known> known;
  for (const auto& [zone, demand] : demands_)
    if (now - demand.measured_at <= kMaximumAge && demand.slots > 0)
      known.push_back({zone, demand.slots, demand.demand, demand.service_time});
  return known;
}

// Divides the demands of all zones by single moves, each from the zone with the
// highest marginal time to that with the lowest one, until no move gains more
// than `cost_ms`. Returns the shares of the own zone's demand.
std::map<ZoneId, double> ZoneSpill::BestShares(const std::vector<Known>& zones,
                                               double cost_ms) const {
  std::vector<double> loads;
  std::vector<double> left;  // demand that a zone may still send elsewhere
  double total = 0;
  for (const Known& zone : zones) {
    loads.push_back(zone.demand / zone.slots);
    left.push_back((1 - kOwnShare) * zone.demand);
    total += zone.demand;
  }
  const double move =
      total / (kMovesPerZone * static_cast<double>(zones.size()));
  std::vector<double> marginal(zones.size());
  const auto measure = [&](std::size_t zone) {
    marginal[zone] = MarginalMs(zones[zone].slots, loads[zone],
                                Milliseconds(zones[zone].service_time));
  };
  for (std::size_t zone = 0; zone < zones.size(); ++zone) measure(zone);
  std::map<ZoneId, double> moved;  // from the own zone
  // A zone gets from one that sends nothing itself, so the moves end.
  const auto most_moves =
      static_cast<std::size_t>(kMovesPerZone) * zones.size();
  for (std::size_t i = 0; i < most_moves && move > 0; ++i) {
    std::optional<std::size_t> from;
    std::optional<std::size_t> to;
    for (std::size_t zone = 0; zone < zones.size(); ++zone) {
      if (left[zone] >= move && (!from || marginal[zone] > marginal[*from]))
        from = zone;
      if (!to || marginal[zone] < marginal[*to]) to = zone;
    }
    if (!from || *from == *to || marginal[*from] - marginal[*to] <= cost_ms)
      break;
    loads[*from] -= move / zones[*from].slots;
    loads[*to] += move / zones[*to].slots;
    left[*from] -= move;
    measure(*from);
    measure(*to);
    if (zones[*from].zone == own_zone_) moved[zones[*to].zone] += move;
  }
  for (const Known& zone : zones)
    if (zone.zone == own_zone_ && zone.demand > 0)
      for (auto& [other, share] : moved) share /= zone.demand;
  return moved;
}

void ZoneSpill::Step(TimePoint now) {
  const std::vector<Known> zones = KnownZones(now);
  const auto is_known = [&zones](const ZoneId& id) {
    return std::any_of(zones.begin(), zones.end(),
                       [&id](const Known& zone) { return zone.zone == id; });
  };
  std::erase_if(shares_,
                [&](const auto& item) { return !is_known(item.first); });
  // Without a known demand of the own clients nothing else is changed.
  if (!is_known(own_zone_)) return;
  std::map<ZoneId, double> least = BestShares(zones, kEnterFactor * cost_ms_);
  std::map<ZoneId, double> most = BestShares(zones, kLeaveFactor * cost_ms_);
  double room = 1.0 - kOwnShare;
  for (const Known& zone : zones) {
    if (zone.zone == own_zone_) continue;
    double& share = shares_[zone.zone];
    const double low = std::min(least[zone.zone], most[zone.zone]);
    const double high = std::max(least[zone.zone], most[zone.zone]);
    share += std::clamp(std::clamp(share, low, high) - share, -kMaximumStep,
                        kMaximumStep);
    share = std::clamp(share, 0.0, room);
    room -= share;
  }
  std::erase_if(shares_,
                [](const auto& item) { return item.second < kLeastShare; });
}

const ZoneId& ZoneSpill::ZoneFor(double point) const {
  for (const auto& [zone, share] : shares_) {
    if (point < share) return zone;
    point -= share;
  }
  return own_zone_;
}

double ZoneSpill::ShareOf(const ZoneId& zone) const {
  double total = 0;
  for (const auto& [other, share] : shares_) {
    if (other == zone) return share;
    total += share;
  }
  return zone == own_zone_ ? 1.0 - total : 0.0;
}

}  // namespace lovagecleat::routing
