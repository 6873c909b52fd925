#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "messages/messages.h"
#include "services/gateway/context.h"
#include "services/gateway/stage_runner.h"

namespace lovagecleat::gateway {

// What this host knows of the room for stages: what its requests will still
// submit, what other hosts' requests will submit to its queues, and the loads
// that hosts tell each other. Does nothing unless the settings ask for it.
class RoomExchange {
 public:
  RoomExchange(Context& context, StageRunner& runner)
      : context_(context), runner_(runner) {}

  bool is_enabled() const { return context_.settings.room.has_value(); }

  // The request will submit that work for that stage.
  void Plan(const std::string& request, std::size_t stage,
            routing::RoomWork work);
  // The stage was submitted, or all that were not have been given up.
  void RemoveStage(const std::string& request, std::size_t stage);
  void Remove(const std::string& request);

  // Returns the work planned here if the other hosts should be told now.
  std::optional<std::vector<routing::RoomWork>> TakeDuePlans();

  // Returns the load of the resource, with what this host has admitted since
  // it was measured. `is_own` tells whether this host gathers for it.
  const routing::RoomLoad& LoadOf(const routing::RoomResource& resource,
                                  bool is_own);

  // Adds the loads of the resources that this host gathers for.
  void AddLoads(messages::StageTraffic& traffic);
  void OnTraffic(const std::string& from,
                 const messages::StageTraffic& traffic);
  void RemoveHost(const std::string& host) { board_.Remove(host); }

  void CountDecision(const std::string& route,
                     const routing::RoomAnswer& answer);
  routing::UsualItems& usual_items() { return usual_items_; }

 private:
  struct KnownLoad {
    routing::RoomLoad load;
    TimePoint received_at{};
  };

  // Measures the loads here, unless that was done a moment ago.
  void MeasureOwn();

  Context& context_;
  StageRunner& runner_;
  routing::RoomPlans plans_;
  routing::RoomBoard board_;
  routing::UsualItems usual_items_;
  std::map<routing::RoomResource, KnownLoad> known_;
  std::map<routing::RoomResource, routing::RoomLoad> own_;
  TimePoint own_measured_at_{};
  TimePoint plans_told_at_{};
  bool has_told_plans_ = false;
};

}  // namespace lovagecleat::gateway
