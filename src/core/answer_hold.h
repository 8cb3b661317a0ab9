// Whether a long answer that has begun to come is still kept back from its client. Kept, another backend's
// may take its place, or the request may be refused; passed on, only its own end is left.
//
// How to call it: note() each piece; ask at() after each, and when next_look() has come. It does no I/O and
// reads no clock.
#pragma once

#include <chrono>
#include <cstddef>

namespace troutstage::core {

class AnswerHold {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  enum class Verdict { keep, pass_on, give_up };

  // `due`: until when its request may be answered otherwise.
  AnswerHold(TimePoint begun, TimePoint due) : begun_(begun), due_(due), last_piece_(begun) {}
  void note(TimePoint now, std::size_t bytes);
  Verdict at(TimePoint now) const;
  TimePoint next_look(TimePoint now) const;  // when at() may change with no further piece

 private:
  bool is_fast_enough(TimePoint now) const;
  bool goes_on(TimePoint now) const;

  const TimePoint begun_, due_;
  TimePoint last_piece_;
  TimePoint::duration longest_gap_{0};  // between two pieces
  std::size_t bytes_ = 0;
};

}  // namespace troutstage::core
