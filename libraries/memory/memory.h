#pragma once

// Public header of the memory library: the account of the bytes that a process
// holds for its clients.
#include "memory/allocator.h"     // IWYU pragma: export
#include "memory/byte_account.h"  // IWYU pragma: export
