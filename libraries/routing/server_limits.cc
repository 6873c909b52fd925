#include "routing/server_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lovagecleat::routing {

namespace {

// Fraction of a limit that hosts use. Servers tolerate some more; the rest
// allows for hosts that know of different ones.
constexpr double kUsedFraction = 0.9;
// The same if one host sends, for the time in which two do.
constexpr double kUsedFractionOfOneHost = 0.7;
// A server with a lower limit, such as 0, is still asked now and then, since
// only its responses tell whether the limit has ended.
constexpr double kMinimumRequestsPerSecond = 0.25;
// Each host may send a request at any time, so a small limit is split over at
// most this many hosts, and more by the second figure for each request a
// second.
constexpr double kHostsOfSmallLimit = 4;
constexpr double kHostsPerRequestPerSecond = 2;
// A host that could not send in time makes up for at most this time.
constexpr Duration kCatchUpTime = std::chrono::milliseconds(200);
// A change by less is not noticeable.
constexpr double kNoticeableChange = 0.05;
// A limit ends if a response without it comes this long after the last one that
// names it.
constexpr Duration kEndDelay = std::chrono::milliseconds(1000);
constexpr std::size_t kMaximumLimits = 4096;

Duration Interval(double requests_per_second) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1.0 / requests_per_second));
}

}  // namespace

void ServerLimits::SetHosts(std::vector<HostId> hosts) {
  hosts_ = std::move(hosts);
}

const ServerLimits::NamedLimit* ServerLimits::Find(
    const ServerIncarnation& server) const {
  const auto found = limits_.find(server.id);
  return found == limits_.end() || found->second.server != server
             ? nullptr
             : &found->second;
}

bool ServerLimits::Set(const ServerIncarnation& server,
                       const LimitStatement& statement) {
  const auto known = limits_.find(server.id);
  const bool is_known =
      known != limits_.end() && known->second.server == server;
  if (!statement.requests_per_second) {
    if (!is_known || statement.at - known->second.named_at < kEndDelay)
      return false;
    limits_.erase(known);
    return true;
  }
  const double limit = *statement.requests_per_second;
  if (!is_known) {
    if (limits_.size() >= kMaximumLimits && known == limits_.end())
      RemoveOldest();
    NamedLimit named{server, limit, statement.at, {}};
    // This host has just sent a request, and so have others.
    const double rate = std::max(limit, kMinimumRequestsPerSecond);
    named.next_send_at = statement.at + Interval(rate);
    limits_.insert_or_assign(server.id, std::move(named));
    return true;
  }
  NamedLimit& named = known->second;
  if (statement.at < named.named_at) return false;
  named.named_at = statement.at;
  const double change = std::abs(limit - named.requests_per_second);
  if (change <= kNoticeableChange * named.requests_per_second) return false;
  named.requests_per_second = limit;
  const double rate =
      RateOf(named, ServerUsers::kAllHosts).value_or(kMinimumRequestsPerSecond);
  named.next_send_at =
      std::min(named.next_send_at, statement.at + Interval(rate));
  return true;
}

// Other hosts may report servers that are gone here, whose removal was seen
// before.
void ServerLimits::RemoveOldest() {
  limits_.erase(std::min_element(limits_.begin(), limits_.end(),
                                 [](const auto& a, const auto& b) {
                                   return a.second.named_at < b.second.named_at;
                                 }));
}

std::optional<double> ServerLimits::RateOf(const NamedLimit& limit,
                                           ServerUsers users) const {
  const double total =
      std::max(limit.requests_per_second, kMinimumRequestsPerSecond);
  if (users == ServerUsers::kOneHost) return total * kUsedFractionOfOneHost;
  const std::size_t hosts = std::max<std::size_t>(hosts_.size(), 1);
  const auto most = static_cast<std::size_t>(std::min(
      kHostsOfSmallLimit +
          std::floor(kHostsPerRequestPerSecond * limit.requests_per_second),
      static_cast<double>(hosts)));
  const double rate = total * kUsedFraction / static_cast<double>(most);
  if (most == hosts) return rate;
  // Rendezvous hashing makes every host choose the same few hosts.
  const std::uint64_t seed = StableHash(limit.server.id.value());
  const std::uint64_t own_rank = StableHash(self_.value(), seed);
  const auto ranked_higher = static_cast<std::size_t>(
      std::count_if(hosts_.begin(), hosts_.end(), [&](const HostId& host) {
        return host != self_ && StableHash(host.value(), seed) > own_rank;
      }));
  return ranked_higher < most ? std::optional(rate) : std::nullopt;
}

std::optional<TimePoint> ServerLimits::NextSendAt(
    const ServerIncarnation& server, ServerUsers users, TimePoint now) const {
  const NamedLimit* limit = Find(server);
  if (limit == nullptr) return now;
  if (!RateOf(*limit, users)) return std::nullopt;
  return std::max(limit->next_send_at, now);
}

bool ServerLimits::MaySend(const ServerIncarnation& server, ServerUsers users,
                           TimePoint now) const {
  return NextSendAt(server, users, now) == now;
}

void ServerLimits::CountSend(const ServerIncarnation& server, ServerUsers users,
                             TimePoint now) {
  const auto found = limits_.find(server.id);
  if (found == limits_.end() || found->second.server != server) return;
  NamedLimit& limit = found->second;
  const std::optional<double> rate = RateOf(limit, users);
  if (!rate) return;
  limit.next_send_at =
      std::max(limit.next_send_at, now - kCatchUpTime) + Interval(*rate);
}

}  // namespace lovagecleat::routing
