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

class AnswerBuffering {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  enum class Decision { buffer, forward, give_up };

  // `due`: until when its request may be answered otherwise.
  // `had`: bytes of it that had come when it was first kept.
  AnswerBuffering(TimePoint begun, TimePoint due, std::size_t had) : started_at_(begun), deadline_(due), received_bytes_(had) {}
  void add_received(std::size_t bytes) { received_bytes_ += bytes; }  // each piece that came since
  Decision at(TimePoint now) const;
  TimePoint next_decision_at(TimePoint now) const;  // when at() may change with no further piece

 private:
  bool is_deadline_far() const;
  bool is_fast_enough(TimePoint now) const;

  const TimePoint started_at_, deadline_;
  std::size_t received_bytes_;  // all that came
};

}  // namespace troutstage::core
