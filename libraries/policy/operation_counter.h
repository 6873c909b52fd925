#pragma once

#include "base/base.h"

namespace lovagecleat::policy {

// Gives each read or write of the table its number.
class OperationCounter {
 public:
  OperationId Next() { return OperationId(++last_); }

 private:
  std::uint64_t last_ = 0;
};

}  // namespace lovagecleat::policy
