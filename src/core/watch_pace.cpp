#include "core/watch_pace.h"

namespace troutstage::core {

void WatchPace::expect_news_by(Tenths when) {
  told_by_ = when;
  refused_ = false;
}

WatchPace::Next WatchPace::after(Tenths now, Was was) {
  const bool went_on = std::exchange(goes_on_, was == Was::answered);
  const bool failed_before = std::exchange(failed_, was == Was::turned_away || was == Was::lost);
  switch (was) {
    case Was::answered:
      expect_news_by(now + kCountsAsTold);
      urgent_until_ = INT64_MIN;
      if (went_on) patience_ = std::max(kPatience, patience_ - patience_ / 10);
      return {0, wait(), patience_};
    case Was::silent:
      // A discovery that is only slow to answer must not be asked to begin ever new watches.
      if (went_on) patience_ = std::min(kFirstPatience, patience_ * 2);
      [[fallthrough]];
    case Was::moved:
      if (was == Was::moved) expect_news_by(now + kCountsAsToldAfterMove);
      urgent_until_ = now + kUrgent;
      return {0, wait(), kFirstPatience};
    case Was::turned_away:
      refused_ = true;
      break;
    case Was::lost:  // it is down, or can't be reached
      expect_news_by(now + kCountsAsTold);
      break;
  }
  // A connection may end between two calls: a new one is made at once. A first call that fails is another matter.
  if (went_on && was == Was::lost) return {0, wait(), kFirstPatience};
  const bool expires_soon = refused_ && now > told_by_ - kCountsAsTold / 2;
  const Tenths about = now < urgent_until_ || expires_soon ? kPause : failed_before ? kRetry : kFirstRetry;
  return {drawn(about, 0.5), wait(), kFirstPatience};
}

}  // namespace troutstage::core
