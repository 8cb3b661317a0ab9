#include "core/watch_pace.h"

namespace troutstage::core {

DiscoverySchedule::NextPoll DiscoverySchedule::after(TenthsOfMs now, PollResult was) {
  const bool went_on = std::exchange(is_established_, was == PollResult::answered);
  const bool failed_before = std::exchange(has_failed_, was == PollResult::turned_away || was == PollResult::lost);
  switch (was) {
    case PollResult::answered:
      hurry_until_ = INT64_MIN;
      if (went_on) answer_timeout_ = std::max(kAnswerTimeout, answer_timeout_ - answer_timeout_ / 10);
      return {0, wait(), answer_timeout_};
    case PollResult::silent:
      // A discovery that is only slow to answer must not be asked to begin ever new watches.
      if (went_on) answer_timeout_ = std::min(kFirstAnswerTimeout, answer_timeout_ * 2);
      [[fallthrough]];
    case PollResult::address_changed:
      hurry_until_ = now + kHurryFor;
      return {0, wait(), kFirstAnswerTimeout};
    case PollResult::turned_away:
    case PollResult::lost:
      break;
  }
  // A connection may end between two calls: a new one is made at once. A first call that fails is another matter.
  if (went_on && was == PollResult::lost) return {0, wait(), kFirstAnswerTimeout};
  const TenthsOfMs about = now < hurry_until_ ? kHurriedRetryDelay : failed_before ? kRetryDelay : kFirstRetryDelay;
  return {randomized(about, 0.5), wait(), kFirstAnswerTimeout};
}

}  // namespace troutstage::core
