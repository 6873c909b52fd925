#include "routing/room_plans.h"

#include <tuple>

namespace lovagecleat::routing {

namespace {

// Weight of the newest request in the mean number of items.
constexpr double kItemsGain = 0.05;
// Routes are the operators'; a table that replaces many of them leaves old
// means behind.
constexpr std::size_t kMaximumMeans = 65536;

}  // namespace

void RoomPlans::Add(const std::string& request, std::size_t stage,
                    RoomWork work) {
  plans_.emplace(Key(request, stage), std::move(work));
  has_changed_ = true;
}

void RoomPlans::RemoveStage(const std::string& request, std::size_t stage) {
  if (plans_.erase(Key(request, stage)) > 0) has_changed_ = true;
}

void RoomPlans::Remove(const std::string& request) {
  auto it = plans_.lower_bound(Key(request, 0));
  while (it != plans_.end() && it->first.first == request) {
    it = plans_.erase(it);
    has_changed_ = true;
  }
}

std::vector<RoomWork> RoomPlans::Totals() const {
  std::map<std::tuple<RoomResource, RoomRank, TeamId>, double> sums;
  for (const auto& [key, work] : plans_)
    sums[{work.resource, work.rank, work.team}] += work.work;
  std::vector<RoomWork> totals;
  totals.reserve(sums.size());
  for (const auto& [key, work] : sums)
    totals.push_back(
        {std::get<0>(key), std::get<1>(key), std::get<2>(key), work});
  return totals;
}

void RoomBoard::Set(const std::string& host, std::vector<RoomWork> planned,
                    TimePoint now) {
  if (planned.empty()) {
    hosts_.erase(host);
    return;
  }
  hosts_.insert_or_assign(host, Host{std::move(planned), now});
}

void RoomBoard::RemoveOlder(TimePoint since) {
  std::erase_if(hosts_, [since](const auto& host) {
    return host.second.said_at < since;
  });
}

void RoomBoard::AppendPlanned(const RoomResource& resource,
                              std::vector<RoomWork>& work) const {
  for (const auto& [address, host] : hosts_)
    for (const RoomWork& planned : host.planned)
      if (planned.resource == resource) work.push_back(planned);
}

void UsualItems::Observe(const std::string& route, std::size_t stage,
                         double items) {
  if (means_.size() >= kMaximumMeans) means_.clear();
  const auto [mean, is_first] = means_.try_emplace({route, stage}, items);
  if (!is_first) mean->second += kItemsGain * (items - mean->second);
}

double UsualItems::Get(const std::string& route, std::size_t stage,
                       double items) const {
  const auto mean = means_.find({route, stage});
  return mean == means_.end() ? items : mean->second;
}

}  // namespace lovagecleat::routing
