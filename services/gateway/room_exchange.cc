#include "services/gateway/room_exchange.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lovagecleat::gateway {

namespace {

using std::chrono::milliseconds;

// Time for which one measurement of this host's queues is used.
constexpr Duration kMeasurementPeriod = milliseconds(50);
// Loads that were told are used for this long, as other loads of stages.
constexpr Duration kMaximumLoadAge = milliseconds(2400);
// Unchanged plans are told again after this time, and forgotten after the next.
constexpr Duration kPlansPeriod = milliseconds(1000);
constexpr Duration kMaximumPlansAge = milliseconds(2500);
// Bounds of what one message of another host may hold.
constexpr int kMaximumWork = 4096;
constexpr int kMaximumRanks = 128;
constexpr int kMaximumTeams = 64;

// Takes a figure that is negative or no number for none.
double Figure(double value) {
  return std::isfinite(value) && value > 0 ? value : 0.0;
}

template <typename Message>
routing::RoomResource ReadResource(const Message& message) {
  return {
      ServiceId(message.service()), ZoneId(message.zone()),
      message.kind() == static_cast<std::uint32_t>(routing::RoomKind::kResults)
          ? routing::RoomKind::kResults
          : routing::RoomKind::kCalls};
}

template <typename Message>
void WriteResource(const routing::RoomResource& resource, Message& message) {
  message.set_service(resource.service.value());
  message.set_zone(resource.zone.value());
  message.set_kind(static_cast<std::uint32_t>(resource.kind));
}

routing::RoomLoad ReadLoad(const messages::RoomLoad& message) {
  routing::RoomLoad load;
  load.supply.per_second = Figure(message.per_second());
  load.supply.at_once = Figure(message.at_once());
  for (std::size_t i = 0; i < load.supply.taken.size(); ++i)
    if (static_cast<int>(i) < message.taken_size())
      load.supply.taken[i] = Figure(message.taken(static_cast<int>(i)));
  const int ranks = std::min(message.ranks_size(), kMaximumRanks);
  for (int i = 0; i < ranks; ++i) {
    const messages::RoomRankLoad& entry = message.ranks(i);
    routing::RoomRankLoad rank{routing::RoomRank::Decode(entry.rank()),
                               Figure(entry.total()),
                               Figure(entry.even()),
                               {}};
    const int teams = std::min(entry.crowded_size(), kMaximumTeams);
    for (int team = 0; team < teams; ++team)
      rank.crowded.push_back({TeamId(entry.crowded(team).team()),
                              Figure(entry.crowded(team).ahead())});
    load.ranks.push_back(std::move(rank));
  }
  std::sort(load.ranks.begin(), load.ranks.end(),
            [](const routing::RoomRankLoad& a, const routing::RoomRankLoad& b) {
              return a.rank < b.rank;
            });
  return load;
}

void WriteLoad(const routing::RoomResource& resource,
               const routing::RoomLoad& load, messages::RoomLoad& message) {
  WriteResource(resource, message);
  message.set_per_second(load.supply.per_second);
  message.set_at_once(load.supply.at_once);
  for (const double taken : load.supply.taken)
    message.add_taken(static_cast<float>(taken));
  for (const routing::RoomRankLoad& rank : load.ranks) {
    messages::RoomRankLoad& entry = *message.add_ranks();
    entry.set_rank(rank.rank.Encode());
    entry.set_total(rank.total);
    entry.set_even(rank.even);
    for (const routing::RoomTeam& team : rank.crowded) {
      messages::RoomTeam& crowded = *entry.add_crowded();
      crowded.set_team(team.team.value());
      crowded.set_ahead(team.ahead);
    }
  }
}

const char* NameOf(routing::RoomVerdict verdict) {
  switch (verdict) {
    case routing::RoomVerdict::kInObjective:
      return "in_objective";
    case routing::RoomVerdict::kInDeadline:
      return "in_deadline";
    case routing::RoomVerdict::kNone:
      return "none";
  }
  return "";
}

}  // namespace

void RoomExchange::Plan(const std::string& request, std::size_t stage,
                        routing::RoomWork work) {
  const auto known = known_.find(work.resource);
  if (known != known_.end()) known->second.load.Add(work.rank, work.work);
  const auto own = own_.find(work.resource);
  if (own != own_.end()) own->second.Add(work.rank, work.work);
  plans_.Add(request, stage, std::move(work));
}

void RoomExchange::RemoveStage(const std::string& request, std::size_t stage) {
  plans_.RemoveStage(request, stage);
}

void RoomExchange::Remove(const std::string& request) {
  plans_.Remove(request);
}

// Plans matter only where requests wait, so without a load of another host
// nothing is told.
std::optional<std::vector<routing::RoomWork>> RoomExchange::TakeDuePlans() {
  if (!is_enabled()) return std::nullopt;
  const TimePoint now = context_.Now();
  std::erase_if(known_, [now](const auto& known) {
    return now - known.second.received_at > kMaximumLoadAge;
  });
  board_.RemoveOlder(now - kMaximumPlansAge);
  if (known_.empty() && !has_told_plans_) return std::nullopt;
  const bool is_repeat =
      !plans_.empty() && now - plans_told_at_ >= kPlansPeriod;
  if (!plans_.TakeChanged() && !is_repeat) return std::nullopt;
  plans_told_at_ = now;
  // Nothing is told once more, to replace what was told before.
  has_told_plans_ = !known_.empty();
  return known_.empty() ? std::vector<routing::RoomWork>() : plans_.Totals();
}

void RoomExchange::MeasureOwn() {
  const TimePoint now = context_.Now();
  if (own_measured_at_ != TimePoint{} &&
      now - own_measured_at_ < kMeasurementPeriod)
    return;
  own_measured_at_ = now;
  const std::vector<routing::RoomWork> planned = plans_.Totals();
  for (StageRunner::StageRoom& room : runner_.Rooms()) {
    for (std::size_t kind = 0; kind < routing::kRoomKinds; ++kind) {
      const routing::RoomResource resource{
          room.location.service, room.location.zone,
          static_cast<routing::RoomKind>(kind)};
      std::vector<routing::RoomWork>& waiting = room.waiting[kind];
      board_.AppendPlanned(resource, waiting);
      for (const routing::RoomWork& work : planned)
        if (work.resource == resource) waiting.push_back(work);
      own_[resource] = routing::MeasureRoom(
          waiting, room.supplies[kind], context_.settings.room->team_weights);
    }
  }
}

const routing::RoomLoad& RoomExchange::LoadOf(
    const routing::RoomResource& resource, bool is_own) {
  static const routing::RoomLoad unknown;
  if (is_own) {
    MeasureOwn();
    const auto own = own_.find(resource);
    return own == own_.end() ? unknown : own->second;
  }
  const auto known = known_.find(resource);
  const bool is_known =
      known != known_.end() &&
      context_.Now() - known->second.received_at <= kMaximumLoadAge;
  return is_known ? known->second.load : unknown;
}

void RoomExchange::AddLoads(messages::StageTraffic& traffic) {
  traffic.clear_room();
  if (!is_enabled()) return;
  MeasureOwn();
  for (const auto& [resource, load] : own_)
    if (load.HasWaiting()) WriteLoad(resource, load, *traffic.add_room());
}

void RoomExchange::OnTraffic(const std::string& from,
                             const messages::StageTraffic& traffic) {
  if (!is_enabled()) return;
  const TimePoint now = context_.Now();
  if (traffic.has_planned()) {
    std::vector<routing::RoomWork> planned;
    const int count = std::min(traffic.planned().work_size(), kMaximumWork);
    for (int i = 0; i < count; ++i) {
      const messages::RoomWork& work = traffic.planned().work(i);
      planned.push_back({ReadResource(work),
                         routing::RoomRank::Decode(work.rank()),
                         TeamId(work.team()), Figure(work.work())});
    }
    board_.Set(from, std::move(planned), now);
  }
  // A resource without an entry has no work that waits.
  for (const messages::GatheringLoad& load : traffic.loads())
    for (std::size_t kind = 0; kind < routing::kRoomKinds; ++kind)
      known_.erase({ServiceId(load.service()), ZoneId(load.zone()),
                    static_cast<routing::RoomKind>(kind)});
  for (const messages::RoomLoad& load : traffic.room())
    known_.insert_or_assign(ReadResource(load), KnownLoad{ReadLoad(load), now});
}

void RoomExchange::CountDecision(const std::string& route,
                                 const routing::RoomAnswer& answer) {
  context_.metrics.Count(
      "lovagecleat_room_decisions_total",
      {{"route", route}, {"verdict", NameOf(answer.verdict)}});
}

}  // namespace lovagecleat::gateway
