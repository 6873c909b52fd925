#include "routing/stage_plan.h"

#include <algorithm>
#include <utility>

namespace lovagecleat::routing {

StagePlan::StagePlan(std::vector<Stage> stages,
                     std::span<const std::size_t> counts)
    : stages_(std::move(stages)), items_(stages_.size()) {
  for (std::size_t i = 0; i < items_.size(); ++i)
    items_[i].resize(i < counts.size() ? counts[i] : 1);
}

bool StagePlan::IsStageDone(std::size_t stage) const {
  return OpenItems(stage) == 0;
}

std::size_t StagePlan::OpenItems(std::size_t stage) const {
  return static_cast<std::size_t>(std::count_if(
      items_[stage].begin(), items_[stage].end(),
      [](const Item& item) { return item.state != ItemState::kDone; }));
}

std::vector<ItemPosition> StagePlan::TakeReady() {
  std::vector<ItemPosition> ready;
  for (std::size_t i = 0; i < stages_.size(); ++i) {
    const std::vector<std::size_t>& dependencies = stages_[i].dependencies;
    const bool has_inputs = std::all_of(
        dependencies.begin(), dependencies.end(),
        [this](std::size_t input_stage) { return IsStageDone(input_stage); });
    if (!has_inputs) continue;
    for (std::size_t k = 0; k < items_[i].size(); ++k) {
      if (items_[i][k].state != ItemState::kWaiting) continue;
      items_[i][k].state = ItemState::kTaken;
      ready.push_back({i, k});
    }
  }
  return ready;
}

std::vector<std::string> StagePlan::InputsOf(std::size_t stage) const {
  std::vector<std::string> inputs;
  for (const std::size_t input_stage : stages_[stage].dependencies)
    for (const Item& item : items_[input_stage])
      inputs.push_back(item.result.handle);
  return inputs;
}

bool StagePlan::Complete(ItemPosition position, ResultHandle result) {
  Item& item = items_[position.stage][position.index];
  if (item.state == ItemState::kDone) return false;
  item.state = ItemState::kDone;
  item.result = std::move(result);
  return true;
}

void StagePlan::Requeue(ItemPosition position) {
  Item& item = items_[position.stage][position.index];
  if (item.state == ItemState::kTaken) item.state = ItemState::kWaiting;
}

void StagePlan::InvalidateStage(std::size_t stage,
                                std::vector<ResultHandle>& invalidated) {
  for (Item& item : items_[stage]) {
    if (item.state == ItemState::kDone && !item.is_released)
      invalidated.push_back(item.result);
    item = Item{};
  }
  // The inputs of this stage may have expired as well.
  for (const std::size_t input_stage : stages_[stage].dependencies)
    InvalidateStage(input_stage, invalidated);
}

std::vector<ResultHandle> StagePlan::InvalidateInputsOf(std::size_t stage) {
  std::vector<ResultHandle> invalidated;
  for (const std::size_t input_stage : stages_[stage].dependencies)
    InvalidateStage(input_stage, invalidated);
  return invalidated;
}

std::vector<ResultHandle> StagePlan::InvalidateFinalResults() {
  std::vector<ResultHandle> invalidated;
  for (std::size_t i = 0; i < stages_.size(); ++i)
    if (IsFinal(i)) InvalidateStage(i, invalidated);
  return invalidated;
}

bool StagePlan::IsFinal(std::size_t stage) const {
  for (std::size_t i = 0; i < stages_.size(); ++i) {
    const std::vector<std::size_t>& dependencies = stages_[i].dependencies;
    if (items_[i].empty()) continue;
    if (std::find(dependencies.begin(), dependencies.end(), stage) !=
        dependencies.end())
      return false;
  }
  return true;
}

bool StagePlan::IsDone() const {
  for (std::size_t i = 0; i < stages_.size(); ++i)
    if (!IsStageDone(i)) return false;
  return true;
}

std::vector<std::string> StagePlan::FinalResults() const {
  std::vector<std::string> handles;
  for (std::size_t i = 0; i < stages_.size(); ++i) {
    if (!IsFinal(i)) continue;
    for (const Item& item : items_[i]) handles.push_back(item.result.handle);
  }
  return handles;
}

std::vector<ResultHandle> StagePlan::TakeReleasable() {
  std::vector<ResultHandle> releasable;
  for (std::size_t i = 0; i < stages_.size(); ++i) {
    if (items_[i].empty() || IsFinal(i) || !IsStageDone(i)) continue;
    bool are_consumers_done = true;
    for (std::size_t k = 0; k < stages_.size(); ++k) {
      const std::vector<std::size_t>& dependencies = stages_[k].dependencies;
      if (std::find(dependencies.begin(), dependencies.end(), i) !=
          dependencies.end())
        are_consumers_done = are_consumers_done && IsStageDone(k);
    }
    if (!are_consumers_done) continue;
    for (Item& item : items_[i]) {
      if (std::exchange(item.is_released, true)) continue;
      releasable.push_back(item.result);
    }
  }
  return releasable;
}

std::vector<ResultHandle> StagePlan::Results() const {
  std::vector<ResultHandle> results;
  for (const std::vector<Item>& stage : items_)
    for (const Item& item : stage)
      if (item.state == ItemState::kDone && !item.is_released)
        results.push_back(item.result);
  return results;
}

}  // namespace lovagecleat::routing
