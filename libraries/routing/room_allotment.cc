#include "routing/room_allotment.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace lovagecleat::routing {

namespace {

double InSeconds(Duration time) {
  return static_cast<double>(time.count()) / 1e6;
}

// The claims that a resource carries, by latest start.
class Schedule {
 public:
  explicit Schedule(const RoomSupply& supply) : supply_(supply) {}

  // Returns whether the resource also carries that work in time, with only
  // `share` of its rate.
  bool Fits(double latest, double work, double share) const {
    if (supply_.per_second <= 0 || work <= 0) return true;
    const auto at = PlaceOf(latest);
    double before = 0;
    for (auto it = entries_.begin(); it != at; ++it) before += it->work;
    if (!IsInTime(before + work, latest, share)) return false;
    for (auto it = at; it != entries_.end(); ++it) {
      before += it->work;
      // What is left to less urgent work allows for more urgent work to come,
      // such as this.
      const double entry_share = it->share < share ? 1.0 : it->share;
      if (!IsInTime(before + work, it->latest, entry_share)) return false;
    }
    return true;
  }

  void Add(double latest, double work, double share) {
    if (supply_.per_second <= 0 || work <= 0) return;
    const auto at = PlaceOf(latest) - entries_.begin();
    entries_.insert(entries_.begin() + at, {latest, work, share});
    total_ += work;
  }

  // Returns the seconds until that much more work could begin.
  double SecondsUntil(double work) const {
    if (supply_.per_second <= 0 || work <= 0) return 0;
    return std::max(0.0, total_ + work - supply_.at_once) / supply_.per_second;
  }

 private:
  struct Entry {
    double latest = 0;  // seconds from now
    double work = 0;
    double share = 1;  // of the rate that is left to it
  };

  std::vector<Entry>::const_iterator PlaceOf(double latest) const {
    return std::upper_bound(
        entries_.begin(), entries_.end(), latest,
        [](double time, const Entry& entry) { return time < entry.latest; });
  }

  bool IsInTime(double work, double latest, double share) const {
    return work <= supply_.at_once + supply_.per_second * share * latest;
  }

  RoomSupply supply_;
  std::vector<Entry> entries_;
  double total_ = 0;
};

// Orders the claims by rank and, within one, by the work that their teams have
// before them there for their weight.
std::vector<std::size_t> OrderOf(std::span<const RoomClaim> claims,
                                 std::span<const double> cost,
                                 const RoomWeights& weights) {
  std::vector<std::size_t> order(claims.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) {
                     return claims[a].objective < claims[b].objective;
                   });
  std::map<std::pair<RoomRank, TeamId>, double> used;
  std::vector<double> turn(claims.size());
  for (const std::size_t i : order) {
    const auto weight = weights.find(claims[i].team);
    double& sum = used[{claims[i].rank, claims[i].team}];
    turn[i] = sum;
    sum +=
        cost[i] /
        (weight == weights.end() || weight->second <= 0 ? 1.0 : weight->second);
  }
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) {
                     if (claims[a].rank != claims[b].rank)
                       return claims[a].rank < claims[b].rank;
                     return turn[a] < turn[b];
                   });
  return order;
}

}  // namespace

RoomAllotment AllotRoom(std::span<const RoomClaim> claims,
                        std::span<const RoomSupply, kRoomKinds> supplies,
                        const RoomWeights& weights) {
  RoomAllotment allotment;
  allotment.verdicts.assign(claims.size(), RoomVerdict::kNone);
  // What a claim takes of the resource that it needs most of.
  std::vector<double> cost(claims.size());
  for (std::size_t i = 0; i < claims.size(); ++i)
    for (std::size_t kind = 0; kind < kRoomKinds; ++kind)
      if (supplies[kind].per_second > 0)
        cost[i] =
            std::max(cost[i], claims[i].work[kind] / supplies[kind].per_second);
  const std::vector<std::size_t> order = OrderOf(claims, cost, weights);
  std::vector<Schedule> schedules(supplies.begin(), supplies.end());
  const auto try_add = [&](std::size_t i, RoomVerdict verdict) {
    if (allotment.verdicts[i] != RoomVerdict::kNone) return;
    const RoomClaim& claim = claims[i];
    const bool is_late = verdict == RoomVerdict::kInDeadline;
    const double latest = InSeconds(is_late ? claim.deadline : claim.objective);
    if (latest <= 0) return;
    RoomRank rank = claim.rank;
    rank.is_late = is_late;
    for (std::size_t kind = 0; kind < kRoomKinds; ++kind)
      if (!schedules[kind].Fits(latest, claim.work[kind],
                                supplies[kind].ShareOf(rank)))
        return;
    for (std::size_t kind = 0; kind < kRoomKinds; ++kind)
      schedules[kind].Add(latest, claim.work[kind],
                          supplies[kind].ShareOf(rank));
    allotment.verdicts[i] = verdict;
  };
  // First the least share of the priorities that are not the most urgent.
  std::map<int, double> least_used;
  for (const std::size_t i : order) {
    const RoomClaim& claim = claims[i];
    if (claim.rank.is_late || claim.rank.priority == 0) continue;
    const double latest = InSeconds(claim.objective);
    double& used = least_used[claim.rank.priority];
    if (latest <= 0 || used + cost[i] > kLeastRoomShare * latest) continue;
    try_add(i, RoomVerdict::kInObjective);
    if (allotment.verdicts[i] != RoomVerdict::kNone) used += cost[i];
  }
  for (const std::size_t i : order)
    if (!claims[i].rank.is_late) try_add(i, RoomVerdict::kInObjective);
  // More work may come before then; when it ends is not known.
  allotment.room_after.assign(claims.size(), Duration::zero());
  for (std::size_t i = 0; i < claims.size(); ++i) {
    double wait = 0;
    for (std::size_t kind = 0; kind < kRoomKinds; ++kind)
      wait = std::max(wait, schedules[kind].SecondsUntil(claims[i].work[kind]));
    allotment.room_after[i] = std::max(
        Duration::zero(), Duration(static_cast<std::int64_t>(wait * 1e6)) -
                              std::max(claims[i].objective, Duration::zero()));
  }
  for (const std::size_t i : order) try_add(i, RoomVerdict::kInDeadline);
  // A claim that waits alone is not refused for its own size.
  const bool has_room = std::any_of(
      allotment.verdicts.begin(), allotment.verdicts.end(),
      [](RoomVerdict verdict) { return verdict != RoomVerdict::kNone; });
  for (const std::size_t i : order) {
    if (has_room) break;
    if (claims[i].deadline <= Duration::zero()) continue;
    allotment.verdicts[i] = RoomVerdict::kInDeadline;
    break;
  }
  return allotment;
}

}  // namespace lovagecleat::routing
