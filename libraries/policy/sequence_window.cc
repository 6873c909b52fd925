#include "policy/sequence_window.h"

namespace lovagecleat::policy {

bool SequenceWindow::Take(std::uint64_t sequence) {
  if (sequence > highest_) {
    const std::uint64_t step = sequence - highest_;
    taken_ = step >= kSize ? 0 : taken_ << step;
    taken_ |= 1;
    highest_ = sequence;
    return true;
  }
  const std::uint64_t behind = highest_ - sequence;
  if (behind >= kSize) return false;
  const std::uint64_t bit = std::uint64_t{1} << behind;
  if ((taken_ & bit) != 0) return false;
  taken_ |= bit;
  return true;
}

}  // namespace lovagecleat::policy
