#include "routing/batch_scheduler.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <utility>

namespace lovagecleat::routing {

namespace {

// Calls of this host at one server at a time: the next one fills up while the
// first is at work.
constexpr int kCallsPerServer = 1;
// Weight of the newest call in a server's slowness.
constexpr double kSlownessGain = 0.4;
// What was seen of a server loses its weight by half in this time, so that it
// gets another try.
constexpr double kSlownessHalfLifeSeconds = 2.0;
// A server this many times slower than expected is used only when no other is.
constexpr double kMuchSlower = 2.5;
// Beyond this many times its expected time a call's items are made elsewhere,
// too. The server works on, and gets no other call meanwhile.
constexpr int kPatienceFactor = 3;
// Beyond this many times its expected time a call is taken as lost.
constexpr int kTimeoutFactor = 12;
// Stands for servers that do nothing, in servers of the expected speed.
constexpr double kLeastCapacity = 0.1;
// Part of the room for results that calls may fill by this host's own count.
constexpr double kRoomShare = 0.95;

}  // namespace

void BatchScheduler::Add(WaitingItem item) {
  waiting_.push_back(std::move(item));
}

void BatchScheduler::Remove(std::span<const ItemId> items) {
  std::erase_if(waiting_, [items](const WaitingItem& waiting) {
    return std::find(items.begin(), items.end(), waiting.id) != items.end();
  });
}

Duration BatchScheduler::CallTime(std::size_t items) const {
  return limits_.call_time +
         limits_.item_time * static_cast<std::int64_t>(items);
}

Duration BatchScheduler::CallPatience(std::size_t items) const {
  return CallTime(items) * kPatienceFactor;
}

Duration BatchScheduler::CallTimeout(std::size_t items) const {
  return CallTime(items) * kTimeoutFactor;
}

std::size_t BatchScheduler::WaitingBefore(int priority) const {
  return static_cast<std::size_t>(std::count_if(
      waiting_.begin(), waiting_.end(), [priority](const WaitingItem& item) {
        return item.priority <= priority;
      }));
}

std::vector<WaitingItem> BatchScheduler::TakeHopeless(double capacity,
                                                      TimePoint now) {
  std::vector<WaitingItem> hopeless;
  SortWaiting(now);
  const double per_call =
      static_cast<double>(limits_.items) * std::max(capacity, kLeastCapacity);
  const auto full = static_cast<double>(CallTime(limits_.items).count());
  std::size_t kept = 0;
  std::erase_if(waiting_, [&](WaitingItem& item) {
    const Duration wait(static_cast<std::int64_t>(
        full * std::floor(static_cast<double>(kept) / per_call)));
    if (now + wait + CallTime(1) < item.deadline) {
      ++kept;
      return false;
    }
    hopeless.push_back(std::move(item));
    return true;
  });
  return hopeless;
}

// What can still be in time goes first, then what is urgent, then what is due.
void BatchScheduler::SortWaiting(TimePoint now) {
  const Duration typical = CallTime(1);
  std::stable_sort(waiting_.begin(), waiting_.end(),
                   [&](const WaitingItem& a, const WaitingItem& b) {
                     const bool is_a_late = a.useful_until - now < typical;
                     const bool is_b_late = b.useful_until - now < typical;
                     if (is_a_late != is_b_late) return is_b_late;
                     if (a.priority != b.priority)
                       return a.priority < b.priority;
                     return a.useful_until < b.useful_until;
                   });
}

double BatchScheduler::SlownessNow(const Lane& lane, TimePoint now) const {
  const double age =
      std::chrono::duration<double>(now - lane.slowness_at).count();
  const double seen =
      1.0 + (lane.slowness - 1.0) * std::exp2(-age / kSlownessHalfLifeSeconds);
  if (lane.calls == 0) return seen;
  // A call that takes long tells of a slow server before it has ended.
  const double running =
      static_cast<double>((now - lane.call_started_at).count()) /
      static_cast<double>(CallTime(lane.call_items).count());
  return std::max(seen, running);
}

double BatchScheduler::SlownessNow(const ServerId& server,
                                   TimePoint now) const {
  const auto lane = lanes_.find(server);
  return lane == lanes_.end() ? 1.0 : SlownessNow(lane->second, now);
}

double BatchScheduler::Capacity(std::span<ServerRecord* const> servers,
                                TimePoint now) const {
  double capacity = 0;
  for (const ServerRecord* server : servers)
    capacity += 1.0 / std::max(1.0, SlownessNow(server->entry.id, now));
  return capacity;
}

bool BatchScheduler::AreAllSlow(std::span<ServerRecord* const> servers,
                                TimePoint now) const {
  return std::all_of(servers.begin(), servers.end(),
                     [&](const ServerRecord* server) {
                       return SlownessNow(server->entry.id, now) >= kMuchSlower;
                     });
}

std::vector<BatchCall> BatchScheduler::TakeCalls(
    std::span<ServerRecord* const> servers, TimePoint now) {
  std::vector<BatchCall> calls;
  if (waiting_.empty()) return calls;
  SortWaiting(now);
  std::vector<ServerRecord*> free;
  bool has_quick = false;
  for (ServerRecord* server : servers) {
    const Lane& lane = lanes_[server->entry.id];
    has_quick = has_quick || SlownessNow(lane, now) < kMuchSlower;
    if (lane.calls >= kCallsPerServer || lane.deferred_until > now) continue;
    free.push_back(server);
  }
  std::sort(free.begin(), free.end(),
            [this, now](const ServerRecord* a, const ServerRecord* b) {
              const auto waiting = [](const ServerRecord* server) {
                return server->load ? server->load->waiting : 0;
              };
              const double left =
                  SlownessNow(lanes_[a->entry.id], now) * (1 + waiting(a));
              const double right =
                  SlownessNow(lanes_[b->entry.id], now) * (1 + waiting(b));
              return left < right;
            });
  for (ServerRecord* server : free) {
    Lane& lane = lanes_[server->entry.id];
    if (has_quick && SlownessNow(lane, now) >= kMuchSlower) continue;
    std::vector<WaitingItem> items = TakeItems(lane);
    if (items.empty()) continue;
    ++lane.calls;
    lane.call_started_at = now;
    lane.call_items = items.size();
    calls.push_back({server->entry.id, std::move(items)});
  }
  return calls;
}

// A stage of a request is begun only where all of its results have room: part
// of them would hold room while the rest waits for it.
std::vector<WaitingItem> BatchScheduler::TakeItems(const Lane& lane) {
  using Group = std::pair<std::string_view, std::size_t>;
  const auto group_of = [](const WaitingItem& item) {
    return Group(item.request, item.place.stage);
  };
  std::map<Group, std::int64_t> group_bytes;
  for (const WaitingItem& item : waiting_)
    group_bytes[group_of(item)] += static_cast<std::int64_t>(item.result_bytes);
  const auto room = static_cast<std::int64_t>(
      kRoomShare * static_cast<double>(limits_.result_bytes));
  std::int64_t bytes = lane.result_bytes;
  std::map<Group, bool> is_admitted;
  std::vector<std::size_t> chosen;
  for (std::size_t i = 0; i < waiting_.size(); ++i) {
    if (chosen.size() >= limits_.items) break;
    const Group group = group_of(waiting_[i]);
    const auto [decision, is_first] = is_admitted.try_emplace(group, false);
    if (is_first) {
      const std::int64_t size = group_bytes[group];
      // Sizes are approximate, so an empty server always gets its try.
      decision->second = bytes == 0 || bytes + size <= room;
      if (decision->second) bytes += size;
    }
    if (decision->second) chosen.push_back(i);
  }
  std::vector<WaitingItem> taken;
  taken.reserve(chosen.size());
  for (const std::size_t i : chosen) taken.push_back(std::move(waiting_[i]));
  for (auto it = chosen.rbegin(); it != chosen.rend(); ++it)
    waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(*it));
  return taken;
}

void BatchScheduler::EndCall(const ServerId& server, std::size_t items,
                             std::optional<Duration> served, TimePoint now) {
  Lane& lane = lanes_[server];
  --lane.calls;
  if (!served) return;
  const double ratio = static_cast<double>(served->count()) /
                       static_cast<double>(CallTime(items).count());
  const double before = lane.calls == 0 ? SlownessNow(lane, now) : 1.0;
  lane.slowness = before + kSlownessGain * (ratio - before);
  lane.slowness_at = now;
}

void BatchScheduler::Defer(const ServerId& server, TimePoint until) {
  lanes_[server].deferred_until = until;
}

void BatchScheduler::CountResult(const ServerId& server, std::int64_t bytes) {
  Lane& lane = lanes_[server];
  lane.result_bytes = std::max<std::int64_t>(0, lane.result_bytes + bytes);
}

std::optional<TimePoint> BatchScheduler::NextChance(TimePoint now) const {
  if (waiting_.empty()) return std::nullopt;
  std::optional<TimePoint> next;
  const auto consider = [&](TimePoint at) {
    if (at > now && (!next || at < *next)) next = at;
  };
  for (const auto& [server, lane] : lanes_) consider(lane.deferred_until);
  for (const WaitingItem& item : waiting_) {
    consider(item.deadline - CallTime(1));
  }
  return next;
}

}  // namespace lovagecleat::routing
