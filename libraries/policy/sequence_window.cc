#include "policy/sequence_window.h"

namespace lovagecleat::policy {

bool SequenceWindow::Accept(std::uint64_t sequence) {
  if (sequence > highest_) {
    const std::uint64_t shift = sequence - highest_;
    accepted_ = shift >= kSize ? 0 : accepted_ << shift;
    accepted_ |= 1;
    highest_ = sequence;
    return true;
  }
  const std::uint64_t age = highest_ - sequence;
  if (age >= kSize) return false;
  const std::uint64_t bit = std::uint64_t{1} << age;
  if ((accepted_ & bit) != 0) return false;
  accepted_ |= bit;
  return true;
}

}  // namespace lovagecleat::policy
