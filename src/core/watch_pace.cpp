#include "core/watch_pace.h"

namespace troutstage::core {

WatchPace::Next WatchPace::after(Tenths now, Was was) {
  const bool went_on = std::exchange(goes_on_, was == Was::answered);
  const bool failed_before = std::exchange(failed_, was == Was::turned_away || was == Was::lost);
  switch (was) {
    case Was::answered:
      urgent_until_ = INT64_MIN;
      if (went_on) patience_ = std::max(kPatience, patience_ - patience_ / 10);
      return {0, wait(), patience_};
    case Was::silent:
      // A discovery that is only slow to answer must not be asked to begin ever new watches.
      if (went_on) patience_ = std::min(kFirstPatience, patience_ * 2);
      [[fallthrough]];
    case Was::moved:
      urgent_until_ = now + kUrgent;
      return {0, wait(), kFirstPatience};
    case Was::turned_away:
    case Was::lost:
      break;
  }
  // A connection may end between two calls: a new one is made at once. A first call that fails is another matter.
  if (went_on && was == Was::lost) return {0, wait(), kFirstPatience};
  const Tenths about = now < urgent_until_ ? kPause : failed_before ? kRetry : kFirstRetry;
  return {drawn(about, 0.5), wait(), kFirstPatience};
}

}  // namespace troutstage::core
