#pragma once

#include "command_line/command_line.h"

namespace lovagecleat::ctl {

inline constexpr int kExitRefused = 1;
inline constexpr int kExitConflict = 3;
inline constexpr int kExitUnknown = 4;
inline constexpr int kExitPending = 5;
inline constexpr int kExitNotReachable = 6;

}  // namespace lovagecleat::ctl
