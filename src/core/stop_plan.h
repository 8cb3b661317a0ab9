// When a node that was told to end lets go of what. Pure arithmetic: the terms of the platform in, spans from
// the order on out.
#pragma once

#include <chrono>

namespace troutstage::core {

struct ShutdownPlan {
  std::chrono::milliseconds accept_for{0};   // connections still come for so long
  std::chrono::milliseconds keep_connections_for{0};     // clients' connections stay in use, unless all have gone before
  std::chrono::milliseconds answer_within{-1};  // what comes after the order is answered by then; -1: in its time
};

// SIGKILL comes so long after the longest time limit at the earliest, counted from SIGTERM; of that limit
// this much counts.
inline constexpr std::chrono::milliseconds kKillAfterTimeLimit{700}, kMaxTimeLimit{3000};
// A process may stand still for so long at any point. That may fall on the order, which is then noticed so
// much later, and again on the last answers.
inline constexpr std::chrono::milliseconds kMaxStall{150};
// In which a node that has a part of a processor alone writes the answers that are due together.
inline constexpr std::chrono::milliseconds kFinalAnswersTime{100};

// `longest` is the longest time limit that the settings give a client.
ShutdownPlan plan_shutdown(std::chrono::milliseconds longest);

}  // namespace troutstage::core
