#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "base/base.h"
#include "routing/model.h"

namespace lovagecleat::routing {

// A result that lies at the server that made it.
struct ResultHandle {
  std::string handle;
  ServerId maker;
};

// One item of one stage of a request.
struct ItemPlace {
  std::size_t stage = 0;
  std::size_t index = 0;

  friend auto operator<=>(const ItemPlace&, const ItemPlace&) = default;
};

// Which items of a request's stages are still to be made, and with which
// inputs.
class StagePlan {
 public:
  // `counts` holds the number of items of each stage; 0 leaves a stage out.
  StagePlan(std::vector<Stage> stages, std::span<const std::size_t> counts);

  // Items whose inputs are complete and that were not taken before.
  std::vector<ItemPlace> TakeReady();

  // The results that an item of `stage` takes as inputs.
  std::vector<std::string> InputsOf(std::size_t stage) const;

  // False if the item was complete already.
  bool Complete(ItemPlace place, ResultHandle result);

  // The item is to be made again.
  void Reopen(ItemPlace place);

  // Results of the stages before `stage` are to be made again, and with them
  // everything that is not complete yet. Returns the void results.
  std::vector<ResultHandle> ReopenInputsOf(std::size_t stage);

  // As ReopenInputsOf, for the inputs of the request itself.
  std::vector<ResultHandle> ReopenFinal();

  bool IsDone() const;

  // Whether no other stage takes this one's results.
  bool IsFinal(std::size_t stage) const;

  // Results of the stages that no other stage follows: the request's inputs.
  std::vector<std::string> FinalResults() const;

  // Results that every item which takes them has been made with, and that the
  // request itself does not take; each is returned once.
  std::vector<ResultHandle> TakeSpent();

  // Every result that was not returned as spent.
  std::vector<ResultHandle> Results() const;

  const Stage& stage(std::size_t index) const { return stages_[index]; }
  std::size_t stage_count() const { return stages_.size(); }
  std::size_t item_count(std::size_t stage) const {
    return items_[stage].size();
  }
  // Items of the stage that are not complete.
  std::size_t OpenItems(std::size_t stage) const;

 private:
  enum class ItemState { kWaiting, kTaken, kDone };
  struct Item {
    ItemState state = ItemState::kWaiting;
    ResultHandle result;
    bool is_spent = false;
  };

  bool IsStageDone(std::size_t stage) const;
  void ReopenStage(std::size_t stage, std::vector<ResultHandle>& removed);

  std::vector<Stage> stages_;
  std::vector<std::vector<Item>> items_;
};

}  // namespace lovagecleat::routing
