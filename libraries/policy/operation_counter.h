#pragma once

#include "base/base.h"

namespace lovagecleat::policy {

// Generates the ids of reads and writes of the table.
class OperationCounter {
 public:
  OperationId Next() { return OperationId(++last_id_); }

 private:
  std::uint64_t last_id_ = 0;
};

}  // namespace lovagecleat::policy
