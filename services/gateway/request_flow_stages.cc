#include <algorithm>
#include <utility>

#include "services/gateway/request_flow.h"

namespace lovagecleat::gateway {

namespace {

// Lost stage results are recomputed at most this often per request.
constexpr int kMaximumRecomputations = 1;
// Items that fail on the servers of the chosen zone are resubmitted to another
// zone at most this often per request, over all stages.
constexpr int kMaximumStageFailures = 12;

Duration PrefillTime(const routing::PromptShape& prompt) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(
          prompt.prompt_tokens /
          routing::PromptPlacement::kTokensPerMillisecond));
}

}  // namespace

// All stages run in one zone, since the results passed between them are large.
Duration RequestFlow::ChooseZone() {
  std::set<ZoneId> zones;
  std::uint64_t final_bytes = 0;
  for (std::size_t i = 0; i < plan_->stage_count(); ++i) {
    if (plan_->item_count(i) == 0) continue;
    zones.merge(stages_.ZonesOf(plan_->stage(i).service));
    if (plan_->IsFinal(i))
      final_bytes += plan_->item_count(i) * plan_->stage(i).result_bytes;
  }
  const routing::ServerRecord* likely =
      context_.placement
          .Choose(context_.directory.Usable(service_, Now()), request_.prompt,
                  context_.hosts)
          .server;
  std::vector<routing::ZoneChoice> choices;
  for (const ZoneId& zone : zones) {
    routing::ZoneChoice choice;
    choice.zone = zone;
    for (std::size_t i = 0; i < plan_->stage_count(); ++i) {
      if (plan_->item_count(i) == 0) continue;
      const StagePlace place{plan_->stage(i).service, zone};
      choice.stages.push_back({stages_.ExpectedWait(place, priority_),
                               stages_.CapacityAt(place) > 0});
    }
    if (likely != nullptr && likely->entry.zone != zone)
      choice.crossing_bytes = final_bytes;
    choices.push_back(std::move(choice));
  }
  // The random rotation spreads requests over equally good zones.
  std::rotate(
      choices.begin(),
      choices.begin() +
          static_cast<std::ptrdiff_t>(
              choices.empty() ? 0 : context_.random.Below(choices.size())),
      choices.end());
  const routing::ZoneChoice* best = routing::ChooseStageZone(choices);
  if (best == nullptr) return Duration::zero();
  stage_zone_ = best->zone;
  Duration wait = Duration::zero();
  for (const routing::StageWait& stage : best->stages) wait += stage.wait;
  return wait;
}

// Returns the time of the longest chain of stages that follow `stage`, each as
// `time_of` gives it, plus the prompt's prefill.
Duration RequestFlow::TimeAfter(
    std::size_t stage,
    const std::function<Duration(const routing::Stage&)>& time_of) const {
  Duration longest = Duration::zero();
  for (std::size_t i = stage + 1; i < plan_->stage_count(); ++i) {
    const std::vector<std::size_t>& after = plan_->stage(i).after;
    if (plan_->item_count(i) == 0 ||
        std::find(after.begin(), after.end(), stage) == after.end())
      continue;
    longest =
        std::max(longest, time_of(plan_->stage(i)) + TimeAfter(i, time_of));
  }
  return longest > Duration::zero() ? longest : PrefillTime(request_.prompt);
}

Duration RequestFlow::ExpectedTimeAfter(std::size_t stage) {
  return TimeAfter(stage, [this](const routing::Stage& next) {
    return stages_.ExpectedWait(PlaceOf(next), priority_) +
           stages_.TypicalCallTime(next.service);
  });
}

Duration RequestFlow::MinimumTimeAfter(std::size_t stage) const {
  return TimeAfter(stage, [this](const routing::Stage& next) {
    return stages_.CallTime(next.service, 1);
  });
}

Duration RequestFlow::MinimumStageTime() const {
  std::vector<Duration> finish_times(plan_->stage_count(), Duration::zero());
  Duration longest = Duration::zero();
  for (std::size_t i = 0; i < plan_->stage_count(); ++i) {
    if (plan_->item_count(i) == 0) continue;
    for (const std::size_t before : plan_->stage(i).after)
      if (before < i)
        finish_times[i] = std::max(finish_times[i], finish_times[before]);
    finish_times[i] += stages_.CallTime(plan_->stage(i).service, 1);
    longest = std::max(longest, finish_times[i]);
  }
  return longest;
}

// Returns the chosen zone, unless it has no usable servers of that service or
// an item has failed there; then the other zone with the shortest wait.
StagePlace RequestFlow::PlaceOf(const routing::Stage& stage) {
  std::set<ZoneId> zones = stages_.ZonesOf(stage.service);
  for (const ZoneId& zone : failed_zones_)
    if (zones.size() > 1) zones.erase(zone);
  if (zones.empty() || zones.contains(stage_zone_))
    return {stage.service, stage_zone_};
  StagePlace best{stage.service, *zones.begin()};
  for (const ZoneId& zone : zones) {
    const StagePlace place{stage.service, zone};
    if (stages_.ExpectedWait(place, priority_) <
        stages_.ExpectedWait(best, priority_))
      best = place;
  }
  return best;
}

// Returns when the first input of the stage expires on its server.
TimePoint RequestFlow::InputsExpireAt(std::size_t stage) const {
  TimePoint end = start_deadline_;
  for (const std::size_t before : plan_->stage(stage).after) {
    const auto made = first_result_at_.find(before);
    const routing::Service* service =
        table_->FindService(plan_->stage(before).service);
    if (made != first_result_at_.end() && service != nullptr &&
        service->batches)
      end = std::min(end, made->second + service->batches->result_lifetime);
  }
  return end;
}

void RequestFlow::ReleaseResults() {
  if (!plan_ || has_released_results_) return;
  has_released_results_ = true;
  stages_.Release(plan_->Results());
}

void RequestFlow::SubmitReadyItems() {
  for (const routing::ItemPlace& place : plan_->TakeReady()) {
    const routing::Stage& stage = plan_->stage(place.stage);
    routing::WaitingItem item;
    item.request = request_.id;
    item.place = place;
    if (stage.after.empty()) {
      item.key = request_.stage_key;
    } else {
      item.inputs = plan_->InputsOf(place.stage);
    }
    item.result_bytes = stage.result_bytes;
    item.priority = priority_;
    item.useful_until = goal_at_ - ExpectedTimeAfter(place.stage);
    item.deadline = std::min(start_deadline_ - MinimumTimeAfter(place.stage),
                             InputsExpireAt(place.stage));
    auto id = std::make_shared<routing::ItemId>();
    *id = stages_.Submit(PlaceOf(stage), std::move(item),
                         [this, place, id](ItemEnd end) {
                           open_items_.erase(*id);
                           OnItemEnd(place, std::move(end));
                         });
    open_items_.insert(*id);
  }
}

void RequestFlow::OnItemEnd(routing::ItemPlace place, ItemEnd end) {
  switch (end.outcome) {
    case ItemOutcome::kMade:
      if (!plan_->Complete(place, end.result)) {
        stages_.Release(std::span<const routing::ResultHandle>(&end.result, 1));
        return;
      }
      first_result_at_.try_emplace(place.stage, Now());
      stages_.Release(plan_->TakeSpent());
      if (plan_->IsDone()) return Send();
      SubmitReadyItems();
      return;
    case ItemOutcome::kInputLost:
      plan_->Reopen(place);
      return OnInputsLost(place.stage);
    case ItemOutcome::kLate:
      return Refuse("stage_late");
    case ItemOutcome::kNoRoom:
    case ItemOutcome::kFailed:
      return OnItemFailed(place);
  }
}

// The item failed on the servers of one zone; those of another may succeed.
void RequestFlow::OnItemFailed(routing::ItemPlace place) {
  if (++stage_failures_ > kMaximumStageFailures ||
      Now() + MinimumStageTime() >= start_deadline_)
    return Refuse("stage_failed");
  failed_zones_.insert(stage_zone_);
  plan_->Reopen(place);
  SubmitReadyItems();
  stages_.Flush();
}

void RequestFlow::OnInputsLost(std::size_t stage) {
  if (recomputations_ >= kMaximumRecomputations ||
      Now() + MinimumStageTime() >= start_deadline_)
    return Refuse("inputs_lost");
  ++recomputations_;
  const std::vector<routing::ResultHandle> removed =
      stage < plan_->stage_count() ? plan_->ReopenInputsOf(stage)
                                   : plan_->ReopenFinal();
  first_result_at_.clear();
  if (!has_released_results_) stages_.Release(removed);
  has_released_results_ = false;
  SubmitReadyItems();
  stages_.Flush();
}

}  // namespace lovagecleat::gateway
