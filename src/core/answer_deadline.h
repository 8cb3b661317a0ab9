// Until when a request is worked on, so that its answer reaches the client in time. Pure arithmetic.
#pragma once

#include <chrono>

#include "core/pauses.h"

namespace troutstage::core {

// A client waits for at least so much longer than it says.
inline constexpr std::chrono::milliseconds kClientSlack{50};
// Of a short limit at most this part is kept back.
inline constexpr int kMostKeptBack = 4;

// How long before a client's limit its answer is due: the process may stand still from then on. `remaining` is what the
// client waits.
std::chrono::milliseconds kept_back(std::chrono::milliseconds remaining);

}  // namespace troutstage::core
