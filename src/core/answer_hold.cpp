#include "core/answer_hold.h"

#include <algorithm>
#include <cstdint>

namespace troutstage::core {
namespace {

// What has come may be kept for less than 2 s, whatever follows it.
constexpr std::chrono::milliseconds kLongestHold{1700};
// One that is passed on at its limit goes so much earlier: at the limit itself its request is answered by a
// timer.
constexpr std::chrono::milliseconds kBeforeLimit{10};
// An answer's pace is known once it has come for so long. It is kept where the last part of that time, one of
// so many, brought this share of its mean or more.
constexpr std::chrono::milliseconds kPaceKnownAfter{250};
constexpr int kTimeParts = 4;
constexpr double kLeastOfPace = 0.5;
// An answer goes on while its pause is not much longer than those before; within these bounds.
constexpr int kGapsBorne = 2;
constexpr std::chrono::milliseconds kLeastBorne{20}, kMostBorne{250};
constexpr std::size_t kLeastPerMs = 16;  // bytes; a slower one is taken for one that never ends

}  // namespace

void AnswerHold::note(TimePoint now, std::size_t bytes) {
  longest_gap_ = std::max(longest_gap_, now - last_piece_);
  last_piece_ = now;
  bytes_ += bytes;
  pieces_.push_back({now, bytes});
}

bool AnswerHold::is_fast_enough(TimePoint now) const {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now - begun_).count();
  return bytes_ >= static_cast<std::size_t>(std::max<std::int64_t>(0, ms)) * kLeastPerMs;
}

bool AnswerHold::goes_on(TimePoint now) const {
  const auto pause = std::clamp<TimePoint::duration>(kGapsBorne * longest_gap_, kLeastBorne, kMostBorne);
  return is_fast_enough(now) && now - last_piece_ <= pause;
}

std::size_t AnswerHold::bytes_since(TimePoint from) const {
  std::size_t sum = 0;
  for (auto piece = pieces_.rbegin(); piece != pieces_.rend() && piece->at >= from; ++piece)
    sum += piece->bytes;
  return sum;
}

bool AnswerHold::keeps_its_pace(TimePoint now) const {
  const auto since_begin = now - begun_;
  if (since_begin < kPaceKnownAfter) return false;
  const double usual = static_cast<double>(bytes_ - had_) / kTimeParts;
  return static_cast<double>(bytes_since(now - since_begin / kTimeParts)) >= kLeastOfPace * usual;
}

bool AnswerHold::comes_steadily(TimePoint now) const { return goes_on(now) && keeps_its_pace(now); }

AnswerHold::Verdict AnswerHold::at(TimePoint now) const {
  if (now >= due_ - kBeforeLimit && comes_steadily(now)) return Verdict::pass_on;
  if (now >= due_) return Verdict::give_up;
  return now - begun_ >= kLongestHold && is_fast_enough(now) ? Verdict::pass_on : Verdict::keep;
}

AnswerHold::TimePoint AnswerHold::next_look(TimePoint now) const {
  TimePoint next = due_;
  for (const TimePoint look : {begun_ + kLongestHold, due_ - kBeforeLimit})
    if (now < look) next = std::min(next, look);
  return next;
}

}  // namespace troutstage::core
