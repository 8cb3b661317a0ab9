#include "policy/answer_pace.h"

#include <algorithm>

namespace troutstage::policy {

void AnswerPace::add(TimePoint now, std::size_t bytes, TimePoint silent_until) {
  longest_pause_ = std::max(longest_pause_, silent_until - last_piece_at_);
  last_piece_at_ = now;
  received_bytes_ += bytes;
}

AnswerPace::Duration AnswerPace::allowed_pause(TimePoint now) const {
  const Duration short_pause = std::min<Duration>(kShortPause, (now - begun_at_) / kShortPauseDivisor);
  return std::max<Duration>(short_pause, longest_pause_ + longest_pause_ / 2);
}

bool AnswerPace::is_arriving(TimePoint now) const {
  return received_bytes_ > 0 && now - last_piece_at_ <= allowed_pause(now);
}

AnswerPace::Duration AnswerPace::time_for(std::size_t bytes, TimePoint now) const {
  const double share = static_cast<double>(bytes) / static_cast<double>(received_bytes_);
  return std::chrono::duration_cast<Duration>((now - begun_at_) * share);
}

}  // namespace troutstage::policy
