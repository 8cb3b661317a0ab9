// Measures the pace and the pauses of an answer that arrives in pieces.
//
// An answer of which a part has arrived can't be told for certain from one that never goes on: its pauses so
// far are no bound for the next one. So what this class says only chooses between answers, or ends an answer
// from which nothing would be lost.
//
// The caller reports each piece with the time of its arrival. The class does no I/O and reads no clock. It is
// not thread-safe.
#pragma once

#include <chrono>
#include <cstddef>

namespace troutstage::policy {

class AnswerPace {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  using Duration = std::chrono::steady_clock::duration;
  // A pause up to this length, or up to a part of the time since the beginning if that is shorter, says
  // nothing, however steadily the answer came before.
  static constexpr std::chrono::milliseconds kShortPause{80};
  static constexpr int kShortPauseDivisor = 4;

  explicit AnswerPace(TimePoint begun_at) : begun_at_(begun_at), last_piece_at_(begun_at) {}
  // `silent_until`: until then nothing had arrived after the previous piece. The time from then to `now` may
  // be a pause of the caller and counts as none of the answer's.
  void add(TimePoint now, std::size_t bytes, TimePoint silent_until);
  void add(TimePoint now, std::size_t bytes) { add(now, bytes, now); }
  std::size_t received_bytes() const { return received_bytes_; }
  // One and a half times the longest pause so far, at least a short one.
  Duration allowed_pause(TimePoint now) const;
  // Whether the present pause is no longer than allowed_pause().
  bool is_arriving(TimePoint now) const;
  // How long `bytes` more take at the mean pace since the beginning. Something has to have arrived.
  Duration time_for(std::size_t bytes, TimePoint now) const;

 private:
  const TimePoint begun_at_;
  TimePoint last_piece_at_;
  Duration longest_pause_{};
  std::size_t received_bytes_ = 0;
};

}  // namespace troutstage::policy
