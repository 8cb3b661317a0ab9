#include "core/stop_plan.h"

#include <algorithm>

namespace troutstage::core {
namespace {

// New connections still arrive for up to 0.4 s after the stop order.
constexpr std::chrono::milliseconds kAcceptTime{550};

}  // namespace

ShutdownPlan plan_shutdown(std::chrono::milliseconds longest_time_limit) {
  const auto kill_after = std::min(longest_time_limit, kMaxTimeLimit) + kKillAfterTimeLimit;
  const auto answer_within = kill_after - 2 * kMaxStall - kFinalAnswersTime;
  const auto keep_connections_for = answer_within * 3 / 4;
  return {std::min(kAcceptTime, keep_connections_for), keep_connections_for, answer_within};
}

}  // namespace troutstage::core
