#include "routing/batch_scheduler.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <utility>

namespace lovagecleat::routing {

namespace {

// Calls of this host at one server at a time: one at work and, where enough
// waits, one that follows it.
constexpr std::size_t kCallsPerServer = 2;
// The call that follows is sent this long before the first is expected to end:
// two ways through the network and a turn of a busy host.
constexpr Duration kFollowLead = std::chrono::milliseconds(40);
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
// Results of others end or are given up; half of what was seen is taken to be
// gone after this time.
constexpr double kForeignHalfLifeSeconds = 1.0;
// Part of the room for results that calls may fill by this host's own count.
constexpr double kRoomShare = 1.0;

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
  const Duration typical = CallTime((limits_.items + 1) / 2);
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
  if (lane.calls.empty()) return seen;
  // A call that takes long tells of a slow server before it has ended.
  const double running =
      static_cast<double>((now - lane.started_at()).count()) /
      static_cast<double>(CallTime(lane.calls.front().items).count());
  return std::max(seen, running);
}

// When the call that follows the running one is to be sent.
TimePoint BatchScheduler::NextCallAt(const Lane& lane) const {
  return lane.started_at() + CallTime(lane.calls.front().items) - kFollowLead;
}

bool BatchScheduler::IsFree(const Lane& lane, TimePoint now) const {
  if (lane.deferred_until > now) return false;
  if (lane.calls.empty()) return true;
  // A call that is not full gains more from the items that still come.
  return lane.calls.size() < kCallsPerServer &&
         waiting_.size() >= limits_.items && now >= NextCallAt(lane) &&
         SlownessNow(lane, now) < kMuchSlower;
}

bool BatchScheduler::HasFreeServer(std::span<ServerRecord* const> servers,
                                   TimePoint now) const {
  return std::any_of(servers.begin(), servers.end(),
                     [&](const ServerRecord* server) {
                       const auto lane = lanes_.find(server->entry.id);
                       return lane == lanes_.end() || IsFree(lane->second, now);
                     });
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
    if (IsFree(lane, now)) free.push_back(server);
  }
  std::sort(free.begin(), free.end(),
            [this, now](const ServerRecord* a, const ServerRecord* b) {
              const auto cost = [this, now](const ServerRecord* server) {
                const Lane& lane = lanes_[server->entry.id];
                const int waiting = server->load ? server->load->waiting : 0;
                const auto running = static_cast<double>(lane.calls.size());
                return SlownessNow(lane, now) * (1 + waiting + running);
              };
              return cost(a) < cost(b);
            });
  for (ServerRecord* server : free) {
    Lane& lane = lanes_[server->entry.id];
    if (has_quick && SlownessNow(lane, now) >= kMuchSlower) continue;
    // Calls chosen before may have left too little for one that follows.
    if (!IsFree(lane, now)) continue;
    std::vector<WaitingItem> items = TakeItems(lane, now);
    if (items.empty()) continue;
    RunningCall call{now, items.size()};
    for (const WaitingItem& item : items)
      call.result_bytes += static_cast<std::int64_t>(item.result_bytes);
    lane.calls.push_back(call);
    calls.push_back({server->entry.id, std::move(items)});
  }
  return calls;
}

// A stage of a request is begun only where all of its results have room: part
// of them would hold room while the rest waits for it.
std::vector<WaitingItem> BatchScheduler::TakeItems(const Lane& lane,
                                                   TimePoint now) {
  using Group = std::pair<std::string_view, std::size_t>;
  const auto group_of = [](const WaitingItem& item) {
    return Group(item.request, item.place.stage);
  };
  std::map<Group, std::int64_t> group_bytes;
  for (const WaitingItem& item : waiting_)
    group_bytes[group_of(item)] += static_cast<std::int64_t>(item.result_bytes);
  const auto room = static_cast<std::int64_t>(
      kRoomShare * static_cast<double>(limits_.result_bytes));
  std::int64_t bytes = lane.RoomTaken() + ForeignBytes(lane, now);
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

void BatchScheduler::CancelCall(const ServerId& server) {
  Lane& lane = lanes_[server];
  if (!lane.calls.empty()) lane.calls.pop_back();
}

void BatchScheduler::EndCall(const ServerId& server, std::size_t items,
                             std::optional<Duration> served, TimePoint now) {
  Lane& lane = lanes_[server];
  if (lane.calls.empty()) return;
  // The time behind an earlier call says nothing of the server's speed.
  const Duration at_work =
      std::min(served.value_or(Duration::zero()), now - lane.started_at());
  lane.calls.pop_front();
  lane.ended_at = now;
  if (!served) return;
  const double ratio = static_cast<double>(at_work.count()) /
                       static_cast<double>(CallTime(items).count());
  const double before = SlownessNow(lane, now);
  lane.slowness = before + kSlownessGain * (ratio - before);
  lane.slowness_at = now;
}

void BatchScheduler::Defer(const ServerId& server, TimePoint until) {
  lanes_[server].deferred_until = until;
}

std::int64_t BatchScheduler::ForeignBytes(const Lane& lane, TimePoint now) {
  const double age =
      std::chrono::duration<double>(now - lane.foreign_at).count();
  return static_cast<std::int64_t>(static_cast<double>(lane.foreign_bytes) *
                                   std::exp2(-age / kForeignHalfLifeSeconds));
}

void BatchScheduler::NoteRoom(const ServerId& server, std::int64_t free_bytes,
                              TimePoint now) {
  Lane& lane = lanes_[server];
  const auto room = static_cast<std::int64_t>(limits_.result_bytes);
  lane.foreign_bytes =
      std::max<std::int64_t>(0, room - free_bytes - lane.RoomTaken());
  lane.foreign_at = now;
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
  for (const auto& [server, lane] : lanes_) {
    consider(lane.deferred_until);
    if (lane.calls.size() == 1 && waiting_.size() >= limits_.items)
      consider(NextCallAt(lane));
  }
  for (const WaitingItem& item : waiting_) {
    consider(item.deadline - CallTime(1));
  }
  return next;
}

}  // namespace lovagecleat::routing
