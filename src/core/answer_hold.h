// Whether a long answer that has begun to come is still kept back from its client. Kept, another backend's
// may take its place, or the request may be refused; passed on, only its own end is left.
//
// Where its request's limit is near, an answer is passed on whole or not at all: one that is not whole at the limit comes too
// late however steadily it comes, and may never end. Where the limit is far, it is passed on once it was kept for as long as is
// allowed.
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
  // `had`: bytes of it that had come when it was first kept.
  AnswerHold(TimePoint begun, TimePoint due, std::size_t had) : begun_(begun), due_(due), bytes_(had) {}
  void note(std::size_t bytes) { bytes_ += bytes; }  // each piece that came since
  Verdict at(TimePoint now) const;
  TimePoint next_look(TimePoint now) const;  // when at() may change with no further piece

 private:
  bool is_due_far() const;
  bool is_fast_enough(TimePoint now) const;

  const TimePoint begun_, due_;
  std::size_t bytes_;  // all that came
};

}  // namespace troutstage::core
