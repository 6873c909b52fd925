#pragma once

#include <cstdint>

namespace lovagecleat::policy {

// Rejects duplicate sequence numbers. Numbers may arrive out of order within a
// window of kSize.
class SequenceWindow {
 public:
  // Accepts `sequence`. Returns false if it is a duplicate or older than the
  // window.
  bool Accept(std::uint64_t sequence);

 private:
  static constexpr std::uint64_t kSize = 64;

  std::uint64_t highest_ = 0;
  std::uint64_t accepted_ = 0;  // bit i: highest_ - i was accepted
};

}  // namespace lovagecleat::policy
