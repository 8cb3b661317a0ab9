#include "core/watch_pace.h"

namespace troutstage::core {

DiscoverySchedule::NextPoll DiscoverySchedule::after(TenthsOfMs now, PollResult result) {
  const bool was_established = std::exchange(is_established_, result == PollResult::answered);
  const bool had_failed =
      std::exchange(has_failed_, result == PollResult::turned_away || result == PollResult::lost);
  switch (result) {
    case PollResult::answered:
      hurry_until_ = INT64_MIN;
      if (was_established) answer_timeout_ = std::max(kAnswerTimeout, answer_timeout_ - answer_timeout_ / 10);
      return {0, wait(), answer_timeout_};
    case PollResult::silent:
      // A longer timeout keeps a discovery service that is only slow from having to begin ever new watches.
      if (was_established) answer_timeout_ = std::min(kFirstAnswerTimeout, answer_timeout_ * 2);
      [[fallthrough]];
    case PollResult::address_changed: hurry_until_ = now + kHurryFor; return {0, wait(), kFirstAnswerTimeout};
    case PollResult::turned_away:
    case PollResult::lost: break;
  }
  // Discovery may close the connection between two polls: reconnect without delay. The failure of a watch's
  // first poll is retried after a delay.
  if (was_established && result == PollResult::lost) return {0, wait(), kFirstAnswerTimeout};
  const TenthsOfMs mean_delay = now < hurry_until_ ? kHurriedRetryDelay
                                : had_failed       ? kRetryDelay
                                                   : kFirstRetryDelay;
  return {randomized(mean_delay, 0.5), wait(), kFirstAnswerTimeout};
}

}  // namespace troutstage::core
