#include "core/watch_pace.h"

namespace troutstage::core {

WatchPace::Next WatchPace::after(Tenths now, Was was) {
  const bool went_on = std::exchange(goes_on_, was == Was::answered);
  switch (was) {
    case Was::answered:
      urgent_until_ = INT64_MIN;
      if (went_on) patience_ = std::max(kPatience, patience_ - patience_ / 10);
      return {true, 0, wait(), patience_};
    case Was::silent:
      // A discovery that is only slow to answer must not be asked to begin ever new watches.
      if (went_on) patience_ = std::min(kFirstPatience, patience_ * 2);
      [[fallthrough]];
    case Was::moved:
      urgent_until_ = now + kUrgent;
      return {true, 0, wait(), kFirstPatience};
    case Was::turned_away:
    case Was::lost:
      break;
  }
  // A connection may end between two calls: a new one is made at once. A first call that fails is another matter.
  if (went_on && was == Was::lost) return {true, 0, wait(), kFirstPatience};
  // In its own time, with growing gaps, a node would be told by the clock before it is told by a list.
  const bool urgent = now < urgent_until_;
  return {urgent, urgent ? drawn(kPause, 0.5) : 0, wait(), kFirstPatience};
}

}  // namespace troutstage::core
