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
// Delay with the same cost as a zone without servers of a stage.
constexpr Duration kMissingServersCost = std::chrono::seconds(2);
// Least time after which a request that was refused for room may return, and
// the fraction of that time over which the returns are spread.
constexpr Duration kLeastRoomAfter = std::chrono::milliseconds(200);
constexpr double kRoomReturnSpread = 1.0;

Duration PrefillTime(const routing::Prompt& prompt, double slowness) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(
          slowness * prompt.prompt_tokens /
          routing::PromptPlacement::kPrefillTokensPerMillisecond));
}

}  // namespace

// All stages run in one zone, since the results passed between them are large.
Duration RequestFlow::ChooseZone() {
  std::set<ZoneId> zones;
  std::uint64_t final_bytes = 0;
  for (std::size_t i = 0; i < plan_->stage_count(); ++i) {
    if (plan_->item_count(i) == 0) continue;
    zones.merge(stages_.ZonesWithServers(plan_->stage(i).service));
    if (plan_->IsFinal(i))
      final_bytes += plan_->item_count(i) * plan_->stage(i).result_bytes;
  }
  const std::vector<routing::ServerRecord*> servers = ServersByRollout(
      context_, service_, false, context_.directory.Usable(service_, Now()));
  const routing::SpeedView speeds = context_.SpeedsNow();
  const routing::PromptServerChoice choice = context_.placement.Choose(
      servers, request_.prompt, context_.host_count, speeds);
  least_prefill_time_ = routing::PromptPlacement::LeastPrefillTime(
      servers, request_.prompt, speeds);
  const routing::ServerRecord* likely = choice.server;
  expected_slowness_ = choice.slowness;
  std::vector<routing::ZoneCandidate> candidates;
  for (const ZoneId& zone : zones) {
    routing::ZoneCandidate candidate;
    candidate.zone = zone;
    for (std::size_t i = 0; i < plan_->stage_count(); ++i) {
      if (plan_->item_count(i) == 0) continue;
      const StageLocation location{plan_->stage(i).service, zone};
      candidate.stages.push_back({stages_.ExpectedWait(location, priority_),
                                  stages_.CapacityAt(location) > 0});
    }
    if (likely != nullptr && likely->entry.zone != zone)
      candidate.crossing_bytes = final_bytes;
    candidates.push_back(std::move(candidate));
  }
  // The random rotation spreads requests over equally good zones.
  std::rotate(
      candidates.begin(),
      candidates.begin() + static_cast<std::ptrdiff_t>(
                               candidates.empty()
                                   ? 0
                                   : context_.random.Below(candidates.size())),
      candidates.end());
  const routing::ZoneCandidate* best = routing::ChooseStageZone(candidates);
  if (best == nullptr) return Duration::zero();
  stage_zone_ = best->zone;
  Duration wait = Duration::zero();
  for (const routing::StageWait& stage : best->stages) wait += stage.wait;
  return wait;
}

// Stages without servers in the zone run in another one.
StageLocation RequestFlow::LocationIn(const ZoneId& zone,
                                      const routing::Stage& stage) {
  const std::set<ZoneId> zones = stages_.ZonesWithServers(stage.service);
  if (zones.empty() || zones.contains(zone)) return {stage.service, zone};
  return {stage.service, *zones.begin()};
}

routing::RoomAnswer RequestFlow::AskForRoom(const ZoneId& zone) {
  routing::RoomQuestion question;
  std::vector<std::optional<std::size_t>> steps(plan_->stage_count());
  for (std::size_t i = 0; i < plan_->stage_count(); ++i) {
    const routing::Stage& stage = plan_->stage(i);
    const std::size_t open = plan_->item_count(i);
    if (open == 0) continue;
    const StageLocation location = LocationIn(zone, stage);
    const auto items = static_cast<double>(open);
    const double usual =
        stages_.room().usual_items().Get(route_->name, i, items);
    const auto bytes = static_cast<double>(stage.result_bytes);
    routing::RoomStep step;
    step.time = stages_.TypicalCallTime(stage.service);
    step.needs = {
        {&stages_.RoomAt(location, routing::RoomKind::kCalls), items, usual},
        {&stages_.RoomAt(location, routing::RoomKind::kResults), items * bytes,
         usual * bytes}};
    for (const std::size_t before : stage.dependencies)
      if (before < steps.size() && steps[before])
        step.dependencies.push_back(*steps[before]);
    steps[i] = question.steps.size();
    question.steps.push_back(std::move(step));
  }
  question.rest = PrefillTime(request_.prompt, expected_slowness_);
  question.priority = priority_;
  const auto& worth = context_.settings.room->worth;
  const auto found = worth.find(route_->name);
  if (found != worth.end()) question.worth = found->second;
  question.team = TeamId(team_);
  question.objective = latency_target_at_ - Now();
  question.deadline = event_deadline_ - Now();
  return routing::DecideRoom(question);
}

bool RequestFlow::AdmitByRoom() {
  std::set<ZoneId> zones;
  std::uint64_t final_bytes = 0;
  for (std::size_t i = 0; i < plan_->stage_count(); ++i) {
    if (plan_->item_count(i) == 0) continue;
    stages_.room().usual_items().Observe(
        route_->name, i, static_cast<double>(plan_->item_count(i)));
    zones.merge(stages_.ZonesWithServers(plan_->stage(i).service));
    if (plan_->IsFinal(i))
      final_bytes += plan_->item_count(i) * plan_->stage(i).result_bytes;
  }
  const routing::PromptServerChoice choice = context_.placement.Choose(
      ServersByRollout(context_, service_, false,
                       context_.directory.Usable(service_, Now())),
      request_.prompt, context_.host_count, context_.SpeedsNow());
  expected_slowness_ = choice.slowness;
  std::optional<routing::RoomAnswer> best;
  Duration best_cost{};
  // The random order spreads requests over equally good zones.
  std::vector<ZoneId> order(zones.begin(), zones.end());
  if (!order.empty())
    std::rotate(order.begin(),
                order.begin() + static_cast<std::ptrdiff_t>(
                                    context_.random.Below(order.size())),
                order.end());
  for (const ZoneId& zone : order) {
    const routing::RoomAnswer answer = AskForRoom(zone);
    Duration cost = answer.finish;
    if (choice.server != nullptr && choice.server->entry.zone != zone)
      cost += routing::CrossingCost(final_bytes);
    for (std::size_t i = 0; i < plan_->stage_count(); ++i)
      if (plan_->item_count(i) > 0 &&
          stages_.CapacityAt({plan_->stage(i).service, zone}) <= 0)
        cost += kMissingServersCost;
    const bool is_better =
        !best || answer.verdict < best->verdict ||
        (answer.verdict == best->verdict && cost < best_cost);
    if (!is_better) continue;
    best = answer;
    best_cost = cost;
    stage_zone_ = zone;
  }
  // Without servers the items wait, as without this decision.
  if (!best) return true;
  stages_.room().CountDecision(route_->name, *best);
  if (best->verdict != routing::RoomVerdict::kInObjective) {
    const bool has_step = best->step.has_value();
    context_.log.Write(
        "room", request_.id,
        {{"route", route_->name},
         {"verdict", best->verdict == routing::RoomVerdict::kNone
                         ? std::string_view("none")
                         : std::string_view("in_deadline")},
         {"zone", stage_zone_.value()},
         {"scarce_step", has_step ? static_cast<int>(*best->step) : -1},
         {"rank", best->rank.Encode()},
         {"finish_ms", static_cast<double>(best->finish.count()) / 1000.0},
         {"room_after_ms",
          static_cast<double>(best->room_after.count()) / 1000.0}});
  }
  if (best->verdict == routing::RoomVerdict::kNone) {
    RefuseForRoom(best->room_after);
    return false;
  }
  room_rank_ = best->rank;
  PlanStages();
  return true;
}

void RequestFlow::PlanStages() {
  for (std::size_t i = 0; i < plan_->stage_count(); ++i) {
    const routing::Stage& stage = plan_->stage(i);
    if (plan_->item_count(i) == 0) continue;
    const StageLocation location = LocationIn(stage_zone_, stage);
    const auto items = static_cast<double>(plan_->item_count(i));
    for (const routing::RoomKind kind :
         {routing::RoomKind::kCalls, routing::RoomKind::kResults}) {
      const double work = kind == routing::RoomKind::kCalls
                              ? items
                              : items * static_cast<double>(stage.result_bytes);
      stages_.room().Plan(request_.id, i,
                          {{location.service, location.zone, kind},
                           *room_rank_,
                           TeamId(team_),
                           work});
    }
  }
}

void RequestFlow::RefuseForRoom(Duration room_after) {
  Failure failure{StatusWithoutResponse(), "no_room",
                  std::max(room_after, kLeastRoomAfter), true};
  failure.return_spread = kRoomReturnSpread;
  Fail(failure);
}

// Returns the time of the longest chain of stages that follow `stage`, each as
// `time_of` gives it.
Duration RequestFlow::TimeAfter(
    std::size_t stage,
    const std::function<Duration(const routing::Stage&)>& time_of) const {
  Duration longest = Duration::zero();
  for (std::size_t i = stage + 1; i < plan_->stage_count(); ++i) {
    const std::vector<std::size_t>& dependencies = plan_->stage(i).dependencies;
    if (plan_->item_count(i) == 0 ||
        std::find(dependencies.begin(), dependencies.end(), stage) ==
            dependencies.end())
      continue;
    longest =
        std::max(longest, time_of(plan_->stage(i)) + TimeAfter(i, time_of));
  }
  return longest;
}

Duration RequestFlow::ExpectedTimeAfter(std::size_t stage) {
  return TimeAfter(stage,
                   [this](const routing::Stage& next) {
                     return stages_.ExpectedWait(LocationOf(next), priority_) +
                            stages_.TypicalCallTime(next.service);
                   }) +
         PrefillTime(request_.prompt, expected_slowness_);
}

Duration RequestFlow::MinimumTimeAfter(std::size_t stage) const {
  return TimeAfter(stage,
                   [this](const routing::Stage& next) {
                     return stages_.CallTime(next.service, 1);
                   }) +
         least_prefill_time_;
}

Duration RequestFlow::MinimumStageTime() const {
  std::vector<Duration> finish_times(plan_->stage_count(), Duration::zero());
  Duration longest = Duration::zero();
  for (std::size_t i = 0; i < plan_->stage_count(); ++i) {
    if (plan_->item_count(i) == 0) continue;
    for (const std::size_t before : plan_->stage(i).dependencies)
      if (before < i)
        finish_times[i] = std::max(finish_times[i], finish_times[before]);
    finish_times[i] += stages_.CallTime(plan_->stage(i).service, 1);
    longest = std::max(longest, finish_times[i]);
  }
  return longest;
}

// Returns the chosen zone, unless it has no usable servers of that service or
// an item has failed there; then the other zone with the shortest wait.
StageLocation RequestFlow::LocationOf(const routing::Stage& stage) {
  std::set<ZoneId> zones = stages_.ZonesWithServers(stage.service);
  for (const ZoneId& zone : failed_zones_)
    if (zones.size() > 1) zones.erase(zone);
  if (zones.empty() || zones.contains(stage_zone_))
    return {stage.service, stage_zone_};
  StageLocation best{stage.service, *zones.begin()};
  for (const ZoneId& zone : zones) {
    const StageLocation location{stage.service, zone};
    if (stages_.ExpectedWait(location, priority_) <
        stages_.ExpectedWait(best, priority_))
      best = location;
  }
  return best;
}

// Returns when the first input of the stage expires on its server.
TimePoint RequestFlow::InputsExpireAt(std::size_t stage) const {
  TimePoint end = event_deadline_;
  for (const std::size_t before : plan_->stage(stage).dependencies) {
    const auto first_result = first_result_at_.find(before);
    const routing::Service* service =
        table_->FindService(plan_->stage(before).service);
    if (first_result != first_result_at_.end() && service != nullptr &&
        service->batches)
      end = std::min(end,
                     first_result->second + service->batches->result_lifetime);
  }
  return end;
}

void RequestFlow::ReleaseResults() {
  if (!plan_ || has_released_results_) return;
  has_released_results_ = true;
  stages_.Release(plan_->Results());
}

// Also ends the computation of stage results that nothing waits for any more.
void RequestFlow::DropStageWork() {
  if (room_rank_) stages_.room().Remove(request_.id);
  if (!open_items_.empty()) {
    const std::vector<routing::ItemId> items(open_items_.begin(),
                                             open_items_.end());
    open_items_.clear();
    stages_.CancelItems(items);
  }
  ReleaseResults();
}

void RequestFlow::SubmitReadyItems() {
  for (const routing::ItemPosition& position : plan_->TakeReady()) {
    const routing::Stage& stage = plan_->stage(position.stage);
    if (room_rank_) stages_.room().RemoveStage(request_.id, position.stage);
    routing::QueuedItem item;
    item.request = request_.id;
    item.position = position;
    if (stage.dependencies.empty()) {
      item.key = request_.stage_key;
    } else {
      item.inputs = plan_->InputsOf(position.stage);
    }
    item.result_bytes = stage.result_bytes;
    item.priority = priority_;
    item.team = TeamId(team_);
    item.rank = room_rank_;
    item.soft_deadline = latency_target_at_ - ExpectedTimeAfter(position.stage);
    item.deadline = std::min(event_deadline_ - MinimumTimeAfter(position.stage),
                             InputsExpireAt(position.stage));
    auto id = std::make_shared<routing::ItemId>();
    *id = stages_.Submit(LocationOf(stage), std::move(item),
                         [this, position, id](ItemResult item_result) {
                           open_items_.erase(*id);
                           OnItemResult(position, std::move(item_result));
                         });
    open_items_.insert(*id);
  }
}

void RequestFlow::OnItemResult(routing::ItemPosition position,
                               ItemResult item_result) {
  switch (item_result.outcome) {
    case ItemOutcome::kCompleted:
      if (!plan_->Complete(position, item_result.result)) {
        stages_.Release(
            std::span<const routing::ResultHandle>(&item_result.result, 1));
        return;
      }
      first_result_at_.try_emplace(position.stage, Now());
      stages_.Release(plan_->TakeReleasable());
      if (plan_->IsDone()) return OnStagesDone();
      SubmitReadyItems();
      return;
    case ItemOutcome::kInputLost:
      plan_->Requeue(position);
      return OnInputsLost(position.stage);
    case ItemOutcome::kDeadlinePassed:
      if (room_rank_ && !call_ && item_result.room_after > Duration::zero())
        return RefuseForRoom(item_result.room_after);
      return GiveUpStages("stage_late");
    case ItemOutcome::kNoResultMemory:
    case ItemOutcome::kFailed:
      return OnItemFailed(position, item_result.needs_retry);
  }
}

// The item failed on the servers of one zone; those of another may succeed.
void RequestFlow::OnItemFailed(routing::ItemPosition position,
                               bool needs_retry) {
  if (++stage_failures_ > kMaximumStageFailures ||
      Now() + MinimumStageTime() >= event_deadline_)
    return GiveUpStages("stage_failed");
  if (needs_retry &&
      !context_.retry_budget.TakeRetry(plan_->stage(position.stage).service))
    return GiveUpStages("retry_budget");
  failed_zones_.insert(stage_zone_);
  plan_->Requeue(position);
  SubmitReadyItems();
  stages_.Flush();
}

void RequestFlow::OnInputsLost(std::size_t stage) {
  if (recomputations_ >= kMaximumRecomputations)
    return GiveUpStages("inputs_lost");
  ++recomputations_;
  RecomputeStages(stage);
}

// Computes the inputs of `stage` again, or those of the request itself if
// `stage` is the number of stages.
void RequestFlow::RecomputeStages(std::size_t stage) {
  if (Now() + MinimumStageTime() >= event_deadline_)
    return GiveUpStages("inputs_lost");
  const std::vector<routing::ResultHandle> removed =
      stage < plan_->stage_count() ? plan_->InvalidateInputsOf(stage)
                                   : plan_->InvalidateFinalResults();
  first_result_at_.clear();
  if (!has_released_results_) stages_.Release(removed);
  has_released_results_ = false;
  SubmitReadyItems();
  stages_.Flush();
}

void RequestFlow::OnStagesDone() {
  if (!call_) return Send();
  // The results were computed to leave a silent server. It is kept until
  // another one can take over, which the response timer checks.
  if (CanLeaveServer()) LeaveServer();
}

// A request whose server may still continue does not depend on its stages.
void RequestFlow::GiveUpStages(std::string_view cause) {
  if (call_) return DropStageWork();
  if (const auto first_return = TooLateReturn())
    return RefuseUntil(*first_return);
  Refuse(cause);
}

}  // namespace lovagecleat::gateway
