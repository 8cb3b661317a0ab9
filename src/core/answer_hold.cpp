#include "core/answer_hold.h"

#include <algorithm>
#include <cstdint>

namespace troutstage::core {
namespace {

using std::chrono::milliseconds;

// What has come may be kept for less than 2 s, where its client waits for much longer.
constexpr milliseconds kLongestHold{1700};
// A limit that is further away than the longest usual deadline, 3 s, is far.
constexpr milliseconds kFar{3500};
constexpr std::size_t kLeastPerMs = 16;  // bytes; a slower one is taken for one that never ends

}  // namespace

bool AnswerHold::is_due_far() const { return due_ - begun_ > kFar; }

bool AnswerHold::is_fast_enough(TimePoint now) const {
  const auto ms = std::chrono::duration_cast<milliseconds>(now - begun_).count();
  return bytes_ >= static_cast<std::size_t>(std::max<std::int64_t>(0, ms)) * kLeastPerMs;
}

AnswerHold::Verdict AnswerHold::at(TimePoint now) const {
  if (now >= due_) return Verdict::give_up;
  const bool was_kept_long = now - begun_ >= kLongestHold;
  return is_due_far() && was_kept_long && is_fast_enough(now) ? Verdict::pass_on : Verdict::keep;
}

AnswerHold::TimePoint AnswerHold::next_look(TimePoint now) const {
  const TimePoint longest = begun_ + kLongestHold;
  return is_due_far() && now < longest ? longest : due_;
}

}  // namespace troutstage::core
