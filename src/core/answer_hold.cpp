#include "core/answer_hold.h"

#include <algorithm>
#include <cstdint>

namespace troutstage::core {
namespace {

using std::chrono::milliseconds;

// What has come may be kept for less than 2 s, where its client waits for much longer.
constexpr milliseconds kMaxBufferingTime{1700};
// A limit that is further away than the longest usual deadline, 3 s, is far.
constexpr milliseconds kFarDeadline{3500};
constexpr std::size_t kMinBytesPerMs = 16;  // bytes; a slower one is taken for one that never ends

}  // namespace

bool AnswerBuffering::is_deadline_far() const { return deadline_ - started_at_ > kFarDeadline; }

bool AnswerBuffering::is_fast_enough(TimePoint now) const {
  const auto ms = std::chrono::duration_cast<milliseconds>(now - started_at_).count();
  return received_bytes_ >= static_cast<std::size_t>(std::max<std::int64_t>(0, ms)) * kMinBytesPerMs;
}

AnswerBuffering::Decision AnswerBuffering::at(TimePoint now) const {
  if (now >= deadline_) return Decision::give_up;
  const bool was_kept_long = now - started_at_ >= kMaxBufferingTime;
  return is_deadline_far() && was_kept_long && is_fast_enough(now) ? Decision::forward : Decision::buffer;
}

AnswerBuffering::TimePoint AnswerBuffering::next_decision_at(TimePoint now) const {
  const TimePoint longest = started_at_ + kMaxBufferingTime;
  return is_deadline_far() && now < longest ? longest : deadline_;
}

}  // namespace troutstage::core
