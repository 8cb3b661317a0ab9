#include "core/answer_hold.h"

#include <algorithm>
#include <cstdint>

namespace troutstage::core {
namespace {

constexpr std::chrono::milliseconds kHold{500};
// What has come may be kept for less than 2 s, whatever follows it.
constexpr std::chrono::milliseconds kLongestHold{1700};
// An answer goes on while its pause is not much longer than those before; within these bounds.
constexpr int kGapsBorne = 2;
constexpr std::chrono::milliseconds kLeastBorne{20}, kMostBorne{250};
constexpr std::size_t kLeastPerMs = 16;  // bytes; a slower one is taken for one that never ends

}  // namespace

void AnswerHold::note(TimePoint now, std::size_t bytes) {
  longest_gap_ = std::max(longest_gap_, now - last_piece_);
  last_piece_ = now;
  bytes_ += bytes;
}

bool AnswerHold::is_fast_enough(TimePoint now) const {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now - begun_).count();
  return bytes_ >= static_cast<std::size_t>(std::max<std::int64_t>(0, ms)) * kLeastPerMs;
}

bool AnswerHold::goes_on(TimePoint now) const {
  const auto pause = std::clamp<TimePoint::duration>(kGapsBorne * longest_gap_, kLeastBorne, kMostBorne);
  return is_fast_enough(now) && now - last_piece_ <= pause;
}

AnswerHold::Verdict AnswerHold::at(TimePoint now) const {
  if (now >= due_) return goes_on(now) ? Verdict::pass_on : Verdict::give_up;
  if (now - begun_ >= kLongestHold) return is_fast_enough(now) ? Verdict::pass_on : Verdict::keep;
  return now - begun_ >= kHold && goes_on(now) ? Verdict::pass_on : Verdict::keep;
}

AnswerHold::TimePoint AnswerHold::next_look(TimePoint now) const {
  for (const TimePoint look : {begun_ + kHold, begun_ + kLongestHold})
    if (now < look) return std::min(look, due_);
  return due_;
}

}  // namespace troutstage::core
