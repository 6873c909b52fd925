#include <algorithm>
#include <utility>

#include "services/gateway/request_flow.h"

namespace lovagecleat::gateway {

namespace {

// Lost stage results are made again this often.
constexpr int kMaximumRemakes = 1;
// Items that no server of the chosen zone could make are made elsewhere this
// often, all stages together.
constexpr int kMaximumStageFailures = 12;

Duration ReadingTime(const routing::PromptShape& prompt) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(
          prompt.prompt_tokens /
          routing::PromptPlacement::kTokensPerMillisecond));
}

}  // namespace

// All stages are run in one zone, since what they pass on is large.
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
  // Equal zones are taken in turn.
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

// The time that the stages which follow `stage` take, each by `time_of`, and
// the prompt's reading.
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
  return longest > Duration::zero() ? longest : ReadingTime(request_.prompt);
}

Duration RequestFlow::ExpectedTimeAfter(std::size_t stage) {
  return TimeAfter(stage, [this](const routing::Stage& next) {
    return stages_.ExpectedWait(PlaceOf(next), priority_) +
           stages_.TypicalCallTime(next.service);
  });
}

Duration RequestFlow::LeastTimeAfter(std::size_t stage) const {
  return TimeAfter(stage, [this](const routing::Stage& next) {
    return stages_.CallTime(next.service, 1);
  });
}

Duration RequestFlow::LeastStageTime() const {
  std::vector<Duration> until(plan_->stage_count(), Duration::zero());
  Duration longest = Duration::zero();
  for (std::size_t i = 0; i < plan_->stage_count(); ++i) {
    if (plan_->item_count(i) == 0) continue;
    for (const std::size_t before : plan_->stage(i).after)
      if (before < i) until[i] = std::max(until[i], until[before]);
    until[i] += stages_.CallTime(plan_->stage(i).service, 1);
    longest = std::max(longest, until[i]);
  }
  return longest;
}

// The chosen zone, unless it has lost its servers of that service.
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

// When the first input of the stage ends by itself.
TimePoint RequestFlow::InputsEnd(std::size_t stage) const {
  TimePoint end = begins_by_;
  for (const std::size_t before : plan_->stage(stage).after) {
    const auto made = made_at_.find(before);
    const routing::Service* service =
        table_->FindService(plan_->stage(before).service);
    if (made != made_at_.end() && service != nullptr && service->batches)
      end = std::min(end, made->second + service->batches->result_lifetime);
  }
  return end;
}

void RequestFlow::ReleaseResults() {
  if (!plan_ || has_released_) return;
  has_released_ = true;
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
    item.deadline = std::min(begins_by_ - LeastTimeAfter(place.stage),
                             InputsEnd(place.stage));
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
      made_at_.try_emplace(place.stage, Now());
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

// The servers of that zone could not make it; another zone's may.
void RequestFlow::OnItemFailed(routing::ItemPlace place) {
  if (++stage_failures_ > kMaximumStageFailures ||
      Now() + LeastStageTime() >= begins_by_)
    return Refuse("stage_failed");
  failed_zones_.insert(stage_zone_);
  plan_->Reopen(place);
  SubmitReadyItems();
  stages_.Flush();
}

void RequestFlow::OnInputsLost(std::size_t stage) {
  if (remakes_ >= kMaximumRemakes || Now() + LeastStageTime() >= begins_by_)
    return Refuse("inputs_lost");
  ++remakes_;
  const std::vector<routing::ResultHandle> removed =
      stage < plan_->stage_count() ? plan_->ReopenInputsOf(stage)
                                   : plan_->ReopenFinal();
  made_at_.clear();
  if (!has_released_) stages_.Release(removed);
  has_released_ = false;
  SubmitReadyItems();
  stages_.Flush();
}

}  // namespace lovagecleat::gateway
