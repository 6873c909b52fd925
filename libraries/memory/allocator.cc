#include "memory/allocator.h"

#include <malloc.h>

namespace lovagecleat::memory {

namespace {

// The allocator raises its own threshold up to 32 MiB with each large block
// that is freed, unless it is set.
constexpr int kLargeBlockBytes = 128 * 1024;

}  // namespace

void ReturnFreedBlocks() {
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, kLargeBlockBytes);
}

}  // namespace lovagecleat::memory
