#include "routing/batch_scheduler.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <string_view>
#include <utility>

namespace lovagecleat::routing {

namespace {

// Calls of this host at one server at a time: one running and, if a full batch
// is queued, one behind it.
constexpr std::size_t kMaximumCallsPerServer = 2;
// The second call is sent this long before the first is expected to end: time
// for a network round trip and one event loop iteration of a busy host.
constexpr Duration kPipelineLead = std::chrono::milliseconds(40);
// Weight of the newest call in the moving average of a server's slowness.
constexpr double kSlownessGain = 0.4;
// Half-life of a slowness observation, so that a slow server is tried again.
constexpr double kSlownessHalfLifeSeconds = 2.0;
// A server this many times slower than usual for it is used only if all others
// are too, one that is always that much slower than expected only for items
// that wait longer for the others.
constexpr double kSlowFactor = 2.5;
// After this multiple of its expected time, a call's items are also sent to
// another server. The first server goes on with the call and gets no other one
// meanwhile.
constexpr int kHedgeFactor = 3;
// After this multiple of its expected time, a call counts as failed.
constexpr int kTimeoutFactor = 12;
// Lower bound of the capacity in wait estimates, in servers of the expected
// speed; avoids a division by zero.
constexpr double kMinimumCapacity = 0.1;
// Assumed half-life of the memory that results of other hosts use, since they
// are released or expire.
constexpr double kExternalHalfLifeSeconds = 1.0;
// Fraction of a server's result memory that this host's calls may use.
constexpr double kResultMemoryFraction = 1.0;
// Limits of calls are at most this many times longer at a slow server, since a
// server that hangs must be noticed there too; machines of one kind of server
// differ by less.
constexpr double kMaximumLimitFactor = 3.0;

// Weight of the newest result in the mean time for which results are held, and
// the number after which that mean is used.
constexpr double kHoldGain = 0.05;
constexpr std::size_t kMinimumHolds = 8;
// Time over which arrivals are measured.
constexpr double kArrivalWindowSeconds = 1.0;

RoomRank RankOf(const QueuedItem& item) {
  return item.rank.value_or(MakeRoomRank(item.priority, 0));
}

// Limits are never shorter than those of the expected time.
double LimitFactor(double slowness) {
  return std::clamp(slowness, 1.0, kMaximumLimitFactor);
}

Duration Times(Duration time, double factor) {
  return std::chrono::duration_cast<Duration>(time * factor);
}

}  // namespace

void BatchScheduler::Add(QueuedItem item, TimePoint now) {
  if (allots_room_) CountArrival(item, now);
  Add(std::move(item));
}

void BatchScheduler::Add(QueuedItem item) { queue_.push_back(std::move(item)); }

void BatchScheduler::Remove(std::span<const ItemId> items) {
  std::erase_if(queue_, [items](const QueuedItem& queued) {
    return std::find(items.begin(), items.end(), queued.id) != items.end();
  });
}

Duration BatchScheduler::CallTime(std::size_t items) const {
  return limits_.call_time +
         limits_.item_time * static_cast<std::int64_t>(items);
}

Duration BatchScheduler::HedgeDelay(std::size_t items, double slowness) const {
  return Times(CallTime(items) * kHedgeFactor, LimitFactor(slowness));
}

Duration BatchScheduler::CallTimeout(std::size_t items, double slowness) const {
  return Times(CallTime(items) * kTimeoutFactor, LimitFactor(slowness));
}

double BatchScheduler::LeastSlowness(std::span<ServerRecord* const> servers,
                                     const SpeedView& speeds) {
  std::optional<double> least;
  for (const ServerRecord* server : servers) {
    const double slowness =
        speeds.SteadySlownessOf(server->entry, WorkKind::kStageCall);
    least = std::min(least.value_or(slowness), slowness);
  }
  return std::max(1.0, least.value_or(1.0));
}

std::size_t BatchScheduler::ItemsAhead(int priority) const {
  return static_cast<std::size_t>(std::count_if(
      queue_.begin(), queue_.end(), [priority](const QueuedItem& item) {
        return item.priority <= priority;
      }));
}

std::vector<QueuedItem> BatchScheduler::TakeInfeasible(double capacity,
                                                       TimePoint now,
                                                       double least_slowness) {
  std::vector<QueuedItem> infeasible;
  SortQueue(now);
  const double per_call =
      static_cast<double>(limits_.items) * std::max(capacity, kMinimumCapacity);
  const auto full_call_us =
      static_cast<double>(CallTime(limits_.items).count());
  const Duration least_call_time = Times(CallTime(1), least_slowness);
  std::size_t ahead = 0;
  std::erase_if(queue_, [&](QueuedItem& item) {
    const Duration wait(static_cast<std::int64_t>(
        full_call_us * std::floor(static_cast<double>(ahead) / per_call)));
    if (now + wait + least_call_time < item.deadline) {
      ++ahead;
      return false;
    }
    infeasible.push_back(std::move(item));
    return true;
  });
  return infeasible;
}

// Orders by what AllotRoom decided, priority, and soft deadline. Priority goes
// first, since more urgent work may still come.
void BatchScheduler::SortQueueByRoom() {
  std::stable_sort(queue_.begin(), queue_.end(),
                   [](const QueuedItem& a, const QueuedItem& b) {
                     if (a.verdict != b.verdict) return a.verdict < b.verdict;
                     if (a.priority != b.priority)
                       return a.priority < b.priority;
                     return a.soft_deadline < b.soft_deadline;
                   });
}

// Orders by whether the soft deadline can be met, priority, and soft deadline.
void BatchScheduler::SortQueue(TimePoint now) {
  if (allots_room_) return SortQueueByRoom();
  const Duration typical = CallTime((limits_.items + 1) / 2);
  std::stable_sort(queue_.begin(), queue_.end(),
                   [&](const QueuedItem& a, const QueuedItem& b) {
                     const bool is_late_a = a.soft_deadline - now < typical;
                     const bool is_late_b = b.soft_deadline - now < typical;
                     if (is_late_a != is_late_b) return is_late_b;
                     if (a.priority != b.priority)
                       return a.priority < b.priority;
                     return a.soft_deadline < b.soft_deadline;
                   });
}

std::vector<RefusedItem> BatchScheduler::AllotRoom(
    std::span<const RoomSupply, kRoomKinds> supplies,
    const RoomWeights& weights, TimePoint now) {
  // Copies of items that run already are not asked about again.
  using Group = std::pair<std::string_view, std::size_t>;
  std::map<Group, std::size_t> index;
  std::vector<RoomClaim> claims;
  std::vector<std::size_t> claim_of(queue_.size());
  for (std::size_t i = 0; i < queue_.size(); ++i) {
    const QueuedItem& item = queue_[i];
    const auto [found, is_new] =
        index.try_emplace({item.request, item.position.stage}, claims.size());
    claim_of[i] = found->second;
    if (is_new) {
      RoomClaim claim;
      claim.rank = RankOf(item);
      // The queue knows better than the host that the request came to.
      claim.rank.is_late = false;
      claim.team = item.team;
      const Duration call = CallTime(1);
      claim.objective = item.soft_deadline - now - call;
      claim.deadline = item.deadline - now - call;
      claims.push_back(std::move(claim));
    }
    RoomClaim& claim = claims[found->second];
    claim.work[static_cast<std::size_t>(RoomKind::kCalls)] += 1;
    claim.work[static_cast<std::size_t>(RoomKind::kResults)] +=
        static_cast<double>(item.result_bytes);
  }
  const RoomAllotment allotment = routing::AllotRoom(claims, supplies, weights);
  std::vector<RefusedItem> refused;
  std::size_t kept = 0;
  for (std::size_t i = 0; i < queue_.size(); ++i) {
    const RoomVerdict verdict = allotment.verdicts[claim_of[i]];
    if (verdict == RoomVerdict::kNone) {
      refused.push_back(
          {std::move(queue_[i]), allotment.room_after[claim_of[i]]});
      continue;
    }
    queue_[i].verdict = verdict;
    if (kept != i) queue_[kept] = std::move(queue_[i]);
    ++kept;
  }
  queue_.resize(kept);
  return refused;
}

std::array<RoomSupply, kRoomKinds> BatchScheduler::Supplies(
    std::span<ServerRecord* const> servers, TimePoint now,
    const SpeedView& speeds) const {
  RoomSupply calls;
  RoomSupply results;
  const auto full_call_seconds =
      static_cast<double>(CallTime(limits_.items).count()) / 1e6;
  const double memory =
      kResultMemoryFraction * static_cast<double>(limits_.result_bytes);
  for (const ServerRecord* server : servers) {
    const double speed = 1.0 / std::max(1.0, SlownessNow(*server, now, speeds));
    calls.per_second +=
        speed * static_cast<double>(limits_.items) / full_call_seconds;
    const auto found = states_.find(server->entry.id);
    if (found == states_.end()) {
      calls.at_once += static_cast<double>(limits_.items);
      results.at_once += memory;
      continue;
    }
    const ServerState& state = found->second;
    if (state.calls.empty() && state.deferred_until <= now)
      calls.at_once += static_cast<double>(limits_.items);
    results.at_once +=
        std::max(0.0, memory - static_cast<double>(state.ReservedBytes() +
                                                   ExternalBytes(state, now)));
  }
  if (holds_ >= kMinimumHolds)
    results.per_second = memory * static_cast<double>(servers.size()) /
                         (held_seconds_ + full_call_seconds);
  std::array<RoomSupply, kRoomKinds> supplies{calls, results};
  const double age = std::chrono::duration<double>(now - arrivals_at_).count();
  const double decay = std::exp(-age / kArrivalWindowSeconds);
  for (std::size_t kind = 0; kind < kRoomKinds; ++kind) {
    if (supplies[kind].per_second <= 0) continue;
    for (std::size_t i = 0; i < arrivals_[kind].size(); ++i)
      supplies[kind].taken[i] = arrivals_[kind][i] * decay /
                                kArrivalWindowSeconds /
                                supplies[kind].per_second;
  }
  return supplies;
}

void BatchScheduler::AppendQueued(const RoomResource& resource,
                                  std::vector<RoomWork>& work) const {
  using Group = std::pair<std::string_view, std::size_t>;
  std::map<Group, std::size_t> index;
  for (const QueuedItem& item : queue_) {
    const auto [found, is_new] =
        index.try_emplace({item.request, item.position.stage}, work.size());
    if (is_new) {
      RoomRank rank = RankOf(item);
      rank.is_late = item.verdict != RoomVerdict::kInObjective;
      work.push_back({resource, rank, item.team, 0});
    }
    work[found->second].work += resource.kind == RoomKind::kCalls
                                    ? 1.0
                                    : static_cast<double>(item.result_bytes);
  }
}

void BatchScheduler::ObserveHold(Duration held) {
  const double seconds = std::chrono::duration<double>(held).count();
  held_seconds_ += (holds_ == 0 ? 1.0 : kHoldGain) * (seconds - held_seconds_);
  ++holds_;
}

void BatchScheduler::CountArrival(const QueuedItem& item, TimePoint now) {
  if (RankOf(item).is_late) return;
  const double age = std::chrono::duration<double>(now - arrivals_at_).count();
  const double decay = std::exp(-age / kArrivalWindowSeconds);
  arrivals_at_ = now;
  const auto priority = static_cast<std::size_t>(RankOf(item).priority);
  for (std::size_t kind = 0; kind < kRoomKinds; ++kind)
    for (std::size_t i = 0; i < arrivals_[kind].size(); ++i) {
      arrivals_[kind][i] *= decay;
      // Goes before all less urgent work.
      if (i > priority)
        arrivals_[kind][i] += static_cast<RoomKind>(kind) == RoomKind::kCalls
                                  ? 1.0
                                  : static_cast<double>(item.result_bytes);
    }
}

double BatchScheduler::SlownessNow(const ServerState& state,
                                   TimePoint now) const {
  const double age =
      std::chrono::duration<double>(now - state.slowness_at).count();
  const double decayed =
      1.0 + (state.slowness - 1.0) * std::exp2(-age / kSlownessHalfLifeSeconds);
  if (state.calls.empty()) return decayed;
  // A long-running call shows a slow server before the call has ended.
  const double running =
      static_cast<double>((now - state.started_at()).count()) /
      static_cast<double>(CallTime(state.calls.front().items).count());
  return std::max(decayed, running);
}

// Returns when the second call may be sent behind the running one.
TimePoint BatchScheduler::PipelinedCallAt(const ServerState& state) const {
  return state.started_at() + CallTime(state.calls.front().items) -
         kPipelineLead;
}

bool BatchScheduler::IsFree(const ServerState& state, TimePoint now) const {
  if (state.deferred_until > now) return false;
  if (state.calls.empty()) return true;
  // A partial batch gains more from waiting for further items.
  return state.calls.size() < kMaximumCallsPerServer &&
         queue_.size() >= limits_.items && now >= PipelinedCallAt(state) &&
         SlownessNow(state, now) < kSlowFactor;
}

bool BatchScheduler::HasFreeServer(std::span<ServerRecord* const> servers,
                                   TimePoint now) const {
  return std::any_of(
      servers.begin(), servers.end(), [&](const ServerRecord* server) {
        const auto state = states_.find(server->entry.id);
        return state == states_.end() || IsFree(state->second, now);
      });
}

double BatchScheduler::SlownessNow(const ServerRecord& server, TimePoint now,
                                   const SpeedView& speeds) const {
  const auto state = states_.find(server.entry.id);
  const double observed =
      state == states_.end() ? 1.0 : SlownessNow(state->second, now);
  const double told = speeds.SlownessOf(server.entry, WorkKind::kStageCall);
  return told > 1.0 ? std::max(observed, told) : observed;
}

// A server that is slow all the time is no worse than usual. Estimates show no
// more than the highest slowness.
bool BatchScheduler::IsUnusuallySlow(const ServerRecord& server, TimePoint now,
                                     const SpeedView& speeds) const {
  const double steady =
      speeds.SteadySlownessOf(server.entry, WorkKind::kStageCall);
  return SlownessNow(server, now, speeds) >=
         std::min(kSlowFactor * std::max(1.0, steady),
                  ServerSpeeds::kHighestSlowness);
}

double BatchScheduler::Capacity(std::span<ServerRecord* const> servers,
                                TimePoint now, const SpeedView& speeds) const {
  double capacity = 0;
  for (const ServerRecord* server : servers)
    capacity += 1.0 / std::max(1.0, SlownessNow(*server, now, speeds));
  return capacity;
}

bool BatchScheduler::AreAllSlow(std::span<ServerRecord* const> servers,
                                TimePoint now, const SpeedView& speeds) const {
  return std::all_of(servers.begin(), servers.end(),
                     [&](const ServerRecord* server) {
                       return IsUnusuallySlow(*server, now, speeds);
                     });
}

std::vector<BatchCall> BatchScheduler::TakeCalls(
    std::span<ServerRecord* const> servers, TimePoint now,
    const SpeedView& speeds) {
  std::vector<BatchCall> calls;
  if (queue_.empty()) return calls;
  SortQueue(now);
  std::vector<ServerRecord*> free;
  bool has_usual_server = false;
  double fast_capacity = 0;
  for (ServerRecord* server : servers) {
    const ServerState& state = states_[server->entry.id];
    const double slowness = SlownessNow(*server, now, speeds);
    has_usual_server =
        has_usual_server || !IsUnusuallySlow(*server, now, speeds);
    if (slowness < kSlowFactor) fast_capacity += 1 / std::max(1.0, slowness);
    if (IsFree(state, now)) free.push_back(server);
  }
  std::sort(free.begin(), free.end(),
            [&](const ServerRecord* a, const ServerRecord* b) {
              const auto cost = [&](const ServerRecord* server) {
                const ServerState& state = states_[server->entry.id];
                const int waiting = server->load ? server->load->waiting : 0;
                const auto running = static_cast<double>(state.calls.size());
                return SlownessNow(*server, now, speeds) *
                       (1 + waiting + running);
              };
              return cost(a) < cost(b);
            });
  for (ServerRecord* server : free) {
    ServerState& state = states_[server->entry.id];
    if (has_usual_server && IsUnusuallySlow(*server, now, speeds)) continue;
    const double slowness = SlownessNow(*server, now, speeds);
    // The others would take these items before this server is done with them.
    const bool is_later =
        static_cast<double>(queue_.size()) <=
        (slowness - 1) * fast_capacity * static_cast<double>(limits_.items);
    if (slowness >= kSlowFactor && is_later) continue;
    // The calls chosen above may have left less than a full batch.
    if (!IsFree(state, now)) continue;
    std::vector<QueuedItem> items = TakeItems(state, now);
    if (items.empty()) continue;
    RunningCall call{now, items.size()};
    for (const QueuedItem& item : items)
      call.result_bytes += static_cast<std::int64_t>(item.result_bytes);
    state.calls.push_back(call);
    calls.push_back({server->entry.id, std::move(items)});
  }
  return calls;
}

// Starts a stage of a request only where memory for all of its results is free:
// otherwise a part of them would hold memory while the rest waits for it.
std::vector<QueuedItem> BatchScheduler::TakeItems(const ServerState& state,
                                                  TimePoint now) {
  using Group = std::pair<std::string_view, std::size_t>;
  const auto group_of = [](const QueuedItem& item) {
    return Group(item.request, item.position.stage);
  };
  std::map<Group, std::int64_t> group_bytes;
  for (const QueuedItem& item : queue_)
    group_bytes[group_of(item)] += static_cast<std::int64_t>(item.result_bytes);
  const auto memory_bytes = static_cast<std::int64_t>(
      kResultMemoryFraction * static_cast<double>(limits_.result_bytes));
  std::int64_t bytes = state.ReservedBytes() + ExternalBytes(state, now);
  std::map<Group, bool> is_admitted;
  std::vector<std::size_t> chosen;
  for (std::size_t i = 0; i < queue_.size(); ++i) {
    if (chosen.size() >= limits_.items) break;
    const Group group = group_of(queue_[i]);
    const auto [decision, is_first] = is_admitted.try_emplace(group, false);
    if (is_first) {
      const std::int64_t size = group_bytes[group];
      // Sizes are approximate, so a group is always admitted to an empty
      // server.
      decision->second = bytes == 0 || bytes + size <= memory_bytes;
      if (decision->second) bytes += size;
    }
    if (decision->second) chosen.push_back(i);
  }
  std::vector<QueuedItem> taken;
  taken.reserve(chosen.size());
  for (const std::size_t i : chosen) taken.push_back(std::move(queue_[i]));
  for (auto it = chosen.rbegin(); it != chosen.rend(); ++it)
    queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(*it));
  return taken;
}

void BatchScheduler::CancelCall(const ServerId& server) {
  ServerState& state = states_[server];
  if (!state.calls.empty()) state.calls.pop_back();
}

std::optional<Duration> BatchScheduler::EndCall(const ServerId& server,
                                                std::size_t items,
                                                std::optional<Duration> served,
                                                TimePoint now) {
  ServerState& state = states_[server];
  if (state.calls.empty()) return std::nullopt;
  // Excludes the time that the call was queued behind an earlier one.
  const Duration service_time =
      std::min(served.value_or(Duration::zero()), now - state.started_at());
  state.calls.pop_front();
  state.ended_at = now;
  if (!served) return std::nullopt;
  const double ratio = static_cast<double>(service_time.count()) /
                       static_cast<double>(CallTime(items).count());
  const double before = SlownessNow(state, now);
  state.slowness = before + kSlownessGain * (ratio - before);
  state.slowness_at = now;
  return service_time;
}

void BatchScheduler::DeferCalls(const ServerId& server, TimePoint until) {
  TimePoint& deferred_until = states_[server].deferred_until;
  deferred_until = std::max(deferred_until, until);
}

std::int64_t BatchScheduler::ExternalBytes(const ServerState& state,
                                           TimePoint now) {
  const double age =
      std::chrono::duration<double>(now - state.external_at).count();
  return static_cast<std::int64_t>(static_cast<double>(state.external_bytes) *
                                   std::exp2(-age / kExternalHalfLifeSeconds));
}

void BatchScheduler::UpdateFreeMemory(const ServerId& server,
                                      std::int64_t free_bytes, TimePoint now) {
  ServerState& state = states_[server];
  const auto memory_bytes = static_cast<std::int64_t>(limits_.result_bytes);
  state.external_bytes = std::max<std::int64_t>(
      0, memory_bytes - free_bytes - state.ReservedBytes());
  state.external_at = now;
}

void BatchScheduler::AddResultBytes(const ServerId& server,
                                    std::int64_t bytes) {
  ServerState& state = states_[server];
  state.result_bytes = std::max<std::int64_t>(0, state.result_bytes + bytes);
}

std::optional<TimePoint> BatchScheduler::NextDispatchAt(TimePoint now) const {
  if (queue_.empty()) return std::nullopt;
  std::optional<TimePoint> next;
  const auto consider = [&](TimePoint at) {
    if (at > now && (!next || at < *next)) next = at;
  };
  for (const auto& [server, state] : states_) {
    consider(state.deferred_until);
    if (state.calls.size() == 1 && queue_.size() >= limits_.items)
      consider(PipelinedCallAt(state));
  }
  for (const QueuedItem& item : queue_) {
    consider(item.deadline - CallTime(1));
  }
  return next;
}

}  // namespace lovagecleat::routing
