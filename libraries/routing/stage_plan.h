#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "base/base.h"
#include "routing/model.h"

namespace lovagecleat::routing {

// A result that is stored at the server that computed it.
struct ResultHandle {
  std::string handle;
  ServerId server;
};

// One item of one stage of a request.
struct ItemPosition {
  std::size_t stage = 0;
  std::size_t index = 0;

  friend auto operator<=>(const ItemPosition&, const ItemPosition&) = default;
};

// Tracks which items of a request's stages are still to be computed, and their
// inputs.
class StagePlan {
 public:
  // `counts` holds the number of items of each stage; 0 leaves a stage out.
  StagePlan(std::vector<Stage> stages, std::span<const std::size_t> counts);

  // Returns the items whose inputs are complete and that were not taken before.
  std::vector<ItemPosition> TakeReady();

  // Returns the handles of the results that an item of `stage` takes as inputs.
  std::vector<std::string> InputsOf(std::size_t stage) const;

  // Stores the result of an item. Returns false if the item was already
  // complete.
  bool Complete(ItemPosition position, ResultHandle result);

  // Makes a taken item available to TakeReady again.
  void Requeue(ItemPosition position);

  // Schedules all stages on which `stage` depends, directly or indirectly, to
  // be computed again. Returns their results that were not returned as
  // releasable.
  std::vector<ResultHandle> InvalidateInputsOf(std::size_t stage);

  // Does the same as InvalidateInputsOf, for the inputs of the request itself.
  std::vector<ResultHandle> InvalidateFinalResults();

  bool IsDone() const;

  // Returns whether no stage with items takes the results of `stage`.
  bool IsFinal(std::size_t stage) const;

  // Returns the handles of the results of all final stages, which are the
  // inputs of the request.
  std::vector<std::string> FinalResults() const;

  // Returns the results that are no longer needed: all items that take them are
  // complete, and the request does not take them. Each is returned once.
  std::vector<ResultHandle> TakeReleasable();

  // Returns every result that was not returned as releasable.
  std::vector<ResultHandle> Results() const;

  const Stage& stage(std::size_t index) const { return stages_[index]; }
  std::size_t stage_count() const { return stages_.size(); }
  std::size_t item_count(std::size_t stage) const {
    return items_[stage].size();
  }
  // Returns the number of items of the stage that are not complete.
  std::size_t OpenItems(std::size_t stage) const;

 private:
  enum class ItemState { kWaiting, kTaken, kDone };
  struct Item {
    ItemState state = ItemState::kWaiting;
    ResultHandle result;
    bool is_released = false;
  };

  bool IsStageDone(std::size_t stage) const;
  void InvalidateStage(std::size_t stage,
                       std::vector<ResultHandle>& invalidated);

  std::vector<Stage> stages_;
  std::vector<std::vector<Item>> items_;
};

}  // namespace lovagecleat::routing
