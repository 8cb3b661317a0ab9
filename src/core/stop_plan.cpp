#include "core/stop_plan.h"

#include <algorithm>

namespace troutstage::core {
namespace {

// New connections go on coming for up to 0.4 s after the order.
constexpr std::chrono::milliseconds kAccepting{550};

}  // namespace

Stop stop_before_kill(std::chrono::milliseconds longest) {
  const auto kill = std::min(longest, kLongestLimit) + kKilledAfterLimit;
  const auto answering = kill - 2 * kLongestHoldUp - kLastAnswers;
  const auto keeping = answering * 3 / 4;
  return {std::min(kAccepting, keeping), keeping, answering};
}

}  // namespace troutstage::core
