// Timing of a graceful shutdown, computed from the platform's limits. Reads no clock.
#pragma once

#include <chrono>

namespace troutstage::core {

// All durations count from the stop order (SIGTERM).
struct ShutdownPlan {
  // New connections are accepted for this long.
  std::chrono::milliseconds accept_for{0};
  // Client connections stay in use for this long, unless all clients have disconnected before.
  std::chrono::milliseconds keep_connections_for{0};
  // All invocations, including those accepted after the order, are answered within this time. -1: each
  // invocation has its own time limit only.
  std::chrono::milliseconds answer_within{-1};
};

// The platform sends SIGKILL no earlier than this long after the longest time limit, counted from SIGTERM. Of
// a longer time limit, only kMaxTimeLimit counts.
inline constexpr std::chrono::milliseconds kKillAfterTimeLimit{700}, kMaxTimeLimit{3000};
// The process may be stalled for this long at any point. A stall at the stop order delays its handling, and
// another stall can delay the last answers.
inline constexpr std::chrono::milliseconds kMaxStall{150};
// Time in which a node with a fraction of one processor writes the answers that are due together.
inline constexpr std::chrono::milliseconds kFinalAnswersTime{100};

// Plans a shutdown that completes before SIGKILL. `longest_time_limit`: the longest of all workloads.
ShutdownPlan plan_shutdown(std::chrono::milliseconds longest_time_limit);

}  // namespace troutstage::core
