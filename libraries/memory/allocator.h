#pragma once

namespace lovagecleat::memory {

// Makes the allocator return large blocks to the kernel as soon as they are
// freed, so that the resident memory follows what is held.
void ReturnFreedBlocks();

}  // namespace lovagecleat::memory
