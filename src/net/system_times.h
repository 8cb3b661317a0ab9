// Whether the system tells truthfully when a connection's last bytes came.
//
// Some kernels and compatibility layers serve TCP_INFO in part: the call succeeds, and the times in it are 0 or mean
// something else. Its word is used only after it was checked against known pauses on a connection of this process's own.
#pragma once

#include <chrono>

namespace troutstage::net {

// The system's times are as exact as this; one of its ticks is up to 10 ms long.
inline constexpr std::chrono::milliseconds kSystemTimesTolerance{15};

// Checks them on a connection over loopback. Blocks for about 0.1 s, for 1 s at most; false also where that connection can't
// be made. Throws nothing.
bool system_times_are_true();

}  // namespace troutstage::net
