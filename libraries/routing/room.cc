#include "routing/room.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace lovagecleat::routing {

namespace {

// A worth of 2^kTopWorthExponent a second or more has step 0, half of it
// step 1.
constexpr int kTopWorthExponent = 10;
// Teams that a load tells of by name.
constexpr std::size_t kMaximumCrowdedTeams = 24;
// Least part of a resource that late work is expected to get, so that its wait
// stays finite.
constexpr double kLeastLateShare = 0.02;
// Longest wait that is told apart from longer ones.
constexpr double kMaximumWaitSeconds = 3600;

double WeightOf(const RoomWeights& weights, const TeamId& team) {
  const auto found = weights.find(team);
  return found == weights.end() || found->second <= 0 ? 1.0 : found->second;
}

Duration Seconds(double seconds) {
  return Duration(static_cast<std::int64_t>(
      std::clamp(seconds, 0.0, kMaximumWaitSeconds) * 1e6));
}

// Returns the work of a rank that goes before more work of a team with `own`
// work of it: each other team's as far as it has no more for its weight.
double AheadWithin(const std::map<TeamId, double>& work_by_team,
                   const TeamId* team, double own, double unit,
                   const RoomWeights& weights) {
  const double weight = team == nullptr ? 1.0 : WeightOf(weights, *team);
  double ahead = own;
  for (const auto& [other, work] : work_by_team)
    if (team == nullptr || other != *team)
      ahead += std::min(work, (own + unit) * WeightOf(weights, other) / weight);
  return ahead;
}

}  // namespace

std::uint32_t RoomRank::Encode() const {
  return static_cast<std::uint32_t>(
      ((is_late ? kPriorities : 0) + priority) * kWorthSteps + worth_step);
}

RoomRank RoomRank::Decode(std::uint32_t number) {
  const auto bounded = static_cast<int>(std::min<std::uint32_t>(
      number, static_cast<std::uint32_t>(2 * kPriorities * kWorthSteps - 1)));
  RoomRank rank;
  rank.worth_step = bounded % kWorthSteps;
  const int group = bounded / kWorthSteps;
  rank.is_late = group >= kPriorities;
  rank.priority = group % kPriorities;
  return rank;
}

RoomRank MakeRoomRank(int priority, double worth_per_second) {
  RoomRank rank;
  rank.priority = std::clamp(priority, 0, RoomRank::kPriorities - 1);
  rank.worth_step = RoomRank::kWorthSteps - 1;
  if (worth_per_second > 0 && std::isfinite(worth_per_second)) {
    const double step =
        kTopWorthExponent - std::floor(std::log2(worth_per_second));
    rank.worth_step = static_cast<int>(
        std::clamp(step, 0.0, static_cast<double>(RoomRank::kWorthSteps - 1)));
  }
  return rank;
}

double RoomSupply::ShareOf(const RoomRank& rank) const {
  const std::size_t index =
      rank.is_late ? taken.size() - 1 : static_cast<std::size_t>(rank.priority);
  const double least = rank.is_late ? kLeastLateShare : kLeastRoomShare;
  return std::clamp(1.0 - taken[index], least, 1.0);
}

Duration RoomLoad::WaitFor(const RoomRank& rank, const TeamId& team,
                           double work) const {
  if (supply.per_second <= 0) return Duration::zero();
  double before = 0;
  double before_in_priority = 0;
  double within = 0;
  for (const RoomRankLoad& load : ranks) {
    if (load.rank > rank) break;
    if (load.rank < rank) {
      before += load.total;
      if (load.rank.is_late == rank.is_late &&
          load.rank.priority == rank.priority)
        before_in_priority += load.total;
      continue;
    }
    within = load.even;
    for (const RoomTeam& crowded : load.crowded)
      if (crowded.team == team) within = crowded.ahead;
  }
  const double share = supply.ShareOf(rank);
  double seconds =
      (before + within + work - supply.at_once) / (supply.per_second * share);
  // The most urgent priority needs no least share.
  if (!rank.is_late && rank.priority > 0)
    seconds = std::min(seconds, (before_in_priority + within + work) /
                                    (supply.per_second * kLeastRoomShare));
  return Seconds(seconds);
}

bool RoomLoad::HasWaiting() const {
  return std::any_of(ranks.begin(), ranks.end(),
                     [](const RoomRankLoad& load) { return load.total > 0; });
}

void RoomLoad::Add(const RoomRank& rank, double work) {
  const auto at =
      std::lower_bound(ranks.begin(), ranks.end(), rank,
                       [](const RoomRankLoad& load, const RoomRank& wanted) {
                         return load.rank < wanted;
                       });
  if (at != ranks.end() && at->rank == rank) {
    at->total += work;
    at->even += work;
    return;
  }
  ranks.insert(at, {rank, work, work, {}});
}

RoomLoad MeasureRoom(std::span<const RoomWork> waiting,
                     const RoomSupply& supply, const RoomWeights& weights) {
  RoomLoad load;
  load.supply = supply;
  struct Rank {
    std::map<TeamId, double> by_team;
    std::size_t entries = 0;
    double total = 0;
  };
  std::map<RoomRank, Rank> ranks;
  for (const RoomWork& work : waiting) {
    if (work.work <= 0) continue;
    Rank& rank = ranks[work.rank];
    rank.by_team[work.team] += work.work;
    rank.total += work.work;
    ++rank.entries;
  }
  for (const auto& [place, rank] : ranks) {
    const double unit = rank.total / static_cast<double>(rank.entries);
    RoomRankLoad entry{place,
                       rank.total,
                       AheadWithin(rank.by_team, nullptr, 0, unit, weights),
                       {}};
    for (const auto& [team, work] : rank.by_team)
      entry.crowded.push_back(
          {team, AheadWithin(rank.by_team, &team, work, unit, weights)});
    std::sort(
        entry.crowded.begin(), entry.crowded.end(),
        [](const RoomTeam& a, const RoomTeam& b) { return a.ahead > b.ahead; });
    if (entry.crowded.size() > kMaximumCrowdedTeams)
      entry.crowded.resize(kMaximumCrowdedTeams);
    load.ranks.push_back(std::move(entry));
  }
  return load;
}

namespace {

// Returns the expected time to the end of the request with that rank.
Duration FinishOf(const RoomQuestion& question, const RoomRank& rank) {
  std::vector<Duration> ends;
  Duration last = Duration::zero();
  for (const RoomStep& step : question.steps) {
    Duration start = Duration::zero();
    for (const std::size_t before : step.dependencies)
      if (before < ends.size()) start = std::max(start, ends[before]);
    // The work ahead is done while earlier steps run.
    for (const RoomStep::Need& need : step.needs)
      start =
          std::max(start, need.load->WaitFor(rank, question.team, need.work));
    ends.push_back(start + step.time);
    last = std::max(last, ends.back());
  }
  return last + question.rest;
}

struct Scarce {
  std::optional<std::size_t> step;
  double seconds = 0;  // of the resource that a usual request takes
};

// The scarce resource is the one at which the last in the queue waits longest;
// without any queue, that which the request needs longest.
Scarce FindScarce(const RoomQuestion& question) {
  constexpr RoomRank last{false, RoomRank::kPriorities - 1,
                          RoomRank::kWorthSteps - 1};
  Scarce scarce;
  double longest = -1;
  for (std::size_t i = 0; i < question.steps.size(); ++i) {
    for (const RoomStep::Need& need : question.steps[i].needs) {
      const RoomLoad& load = *need.load;
      if (load.supply.per_second <= 0) continue;
      double total = need.work - load.supply.at_once;
      for (const RoomRankLoad& rank : load.ranks)
        if (rank.rank <= last) total += rank.total;
      const double seconds = std::max(total, 0.0) / load.supply.per_second;
      if (seconds <= longest) continue;
      longest = seconds;
      scarce.step = i;
      const double usual = need.usual_work > 0 ? need.usual_work : need.work;
      scarce.seconds = usual / load.supply.per_second;
    }
  }
  return scarce;
}

}  // namespace

RoomAnswer DecideRoom(const RoomQuestion& question) {
  const Scarce scarce = FindScarce(question);
  RoomAnswer answer;
  answer.step = scarce.step;
  answer.rank =
      MakeRoomRank(question.priority, scarce.seconds > 0
                                          ? question.worth / scarce.seconds
                                          : std::numeric_limits<double>::max());
  answer.finish = FinishOf(question, answer.rank);
  if (answer.finish <= question.objective) return answer;
  answer.room_after = answer.finish - question.objective;
  answer.rank.is_late = true;
  answer.verdict = RoomVerdict::kInDeadline;
  const bool has_waiting = std::any_of(
      question.steps.begin(), question.steps.end(), [](const RoomStep& step) {
        return std::any_of(
            step.needs.begin(), step.needs.end(),
            [](const RoomStep::Need& need) { return need.load->HasWaiting(); });
      });
  answer.finish = FinishOf(question, answer.rank);
  // Where nothing waits, a refusal would rest on times alone that could never
  // be measured again.
  if (has_waiting && answer.finish > question.deadline)
    answer.verdict = RoomVerdict::kNone;
  return answer;
}

}  // namespace lovagecleat::routing
