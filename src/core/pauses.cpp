#include "core/pauses.h"

#include <algorithm>
#include <utility>

namespace troutstage::core {

std::chrono::milliseconds Pauses::beat(TimePoint now) {
  std::lock_guard held(lock_);
  const auto gap = now - last_beat_;
  const TimePoint begin = std::exchange(last_beat_, now);
  if (gap <= kBeat + kJitter) return std::chrono::milliseconds(0);
  if (begin - end_ > kBacklog) begin_ = begin;
  end_ = now;
  return std::chrono::duration_cast<std::chrono::milliseconds>(gap);
}

Pauses::TimePoint Pauses::earliest_arrival(TimePoint now) const {
  std::lock_guard held(lock_);
  const bool right_before = now - end_ <= kBacklog;
  // The thread that beats may not have run yet.
  const bool unnoticed = now - last_beat_ > kBeat + kJitter;
  if (!right_before && !unnoticed) return now;
  const TimePoint begin = right_before ? begin_ : last_beat_;
  return std::max(begin, now - kLongestPause);
}

}  // namespace troutstage::core
