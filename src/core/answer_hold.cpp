#include "core/answer_hold.h"

#include <algorithm>
#include <cstdint>

namespace troutstage::core {
namespace {

using std::chrono::milliseconds;

// Received bytes may be withheld from a client for less than 2 s if the client waits for much longer than
// that.
constexpr milliseconds kMaxBufferingTime{1700};
// The longest usual deadline of a client is 3 s. A deadline further away than this value counts as far.
constexpr milliseconds kFarDeadline{3500};
// Minimum average rate in bytes per millisecond. A slower answer is treated as an answer that never ends.
constexpr std::size_t kMinBytesPerMs = 16;

}  // namespace

bool AnswerBuffering::is_deadline_far() const { return deadline_ - started_at_ > kFarDeadline; }

bool AnswerBuffering::is_fast_enough(TimePoint now) const {
  const auto ms = std::chrono::duration_cast<milliseconds>(now - started_at_).count();
  return received_bytes_ >= static_cast<std::size_t>(std::max<std::int64_t>(0, ms)) * kMinBytesPerMs;
}

AnswerBuffering::Decision AnswerBuffering::at(TimePoint now) const {
  if (now >= deadline_) return Decision::give_up;
  const bool was_buffered_long = now - started_at_ >= kMaxBufferingTime;
  return is_deadline_far() && was_buffered_long && is_fast_enough(now) ? Decision::forward : Decision::buffer;
}

AnswerBuffering::TimePoint AnswerBuffering::next_decision_at(TimePoint now) const {
  const TimePoint buffering_end = started_at_ + kMaxBufferingTime;
  return is_deadline_far() && now < buffering_end ? buffering_end : deadline_;
}

}  // namespace troutstage::core
