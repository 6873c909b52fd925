#pragma once

#include <cstdint>

namespace lovagecleat::policy {

// Takes each sequence number at most once, with bounded reordering.
class SequenceWindow {
 public:
  // False if `sequence` came before or is too old to tell.
  bool Take(std::uint64_t sequence);

 private:
  static constexpr std::uint64_t kSize = 64;

  std::uint64_t highest_ = 0;
  std::uint64_t taken_ = 0;  // bit i: highest_ - i was taken
};

}  // namespace lovagecleat::policy
