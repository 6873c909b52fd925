#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/base.h"
#include "routing/room.h"

namespace lovagecleat::routing {

// What the requests that a host has admitted will still submit. A stage leaves
// it when it is submitted.
class RoomPlans {
 public:
  void Add(const std::string& request, std::size_t stage, RoomWork work);
  void RemoveStage(const std::string& request, std::size_t stage);
  void Remove(const std::string& request);

  // Returns whether the totals have changed since the last call.
  bool TakeChanged() { return std::exchange(has_changed_, false); }
  bool empty() const { return plans_.empty(); }

  // Returns the work by resource, rank and team.
  std::vector<RoomWork> Totals() const;

 private:
  using Key = std::pair<std::string, std::size_t>;  // request and stage

  std::multimap<Key, RoomWork> plans_;
  bool has_changed_ = false;
};

// What the other hosts have said that their requests will still submit here.
class RoomBoard {
 public:
  // Replaces what the host has said before.
  void Set(const std::string& host, std::vector<RoomWork> planned,
           TimePoint now);
  void Remove(const std::string& host) { hosts_.erase(host); }
  // Forgets hosts that have said nothing since then.
  void RemoveOlder(TimePoint since);

  // Appends what is planned at the resource to `work`.
  void AppendPlanned(const RoomResource& resource,
                     std::vector<RoomWork>& work) const;

 private:
  struct Host {
    std::vector<RoomWork> planned;
    TimePoint said_at{};
  };

  std::map<std::string, Host> hosts_;
};

// The usual number of items of each stage of each route, learned from requests.
class UsualItems {
 public:
  void Observe(const std::string& route, std::size_t stage, double items);
  // Returns `items` if nothing is known.
  double Get(const std::string& route, std::size_t stage, double items) const;

 private:
  std::map<std::pair<std::string, std::size_t>, double> means_;
};

}  // namespace lovagecleat::routing
