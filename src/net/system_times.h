// Checks whether the system reports correctly when a connection's last bytes arrived.
//
// Some kernels and compatibility layers support TCP_INFO only in part: the call succeeds, and its times are 0
// or mean something else. The times are used only after they were checked against known pauses on a
// connection of this process to itself.
#pragma once

#include <chrono>

namespace troutstage::net {

// The tolerance when the system's times are compared with this process's clock; one tick of the system is up
// to 10 ms long.
inline constexpr std::chrono::milliseconds kSystemTimesTolerance{15};

// Checks the times on a connection over loopback. Blocks for about 0.1 s, for 1 s at most. Also false if
// that connection can't be made. Throws nothing.
bool system_times_are_true();

}  // namespace troutstage::net
