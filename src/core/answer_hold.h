// Decides whether a long answer that has started to arrive is buffered, forwarded to the client, or given up.
//
// While an answer is only buffered, the answer of another backend can replace it, or the invocation can be
// rejected. Once the first byte has been forwarded to the client, only this answer can complete the
// invocation.
//
// If the deadline of the invocation is near, the answer is forwarded only when it is complete. An answer that
// is incomplete at the deadline is too late however steadily it arrives, and it may never end. If the
// deadline is far away, the answer is forwarded after the longest permitted buffering time, provided that its
// average rate is high enough.
//
// Usage: call add_received() for each piece, and call at() after each piece and when next_decision_at() is
// reached. The class does no I/O, reads no clock and is not thread-safe.
#pragma once

#include <chrono>
#include <cstddef>

namespace troutstage::core {

// Decides about one answer, from the time at which its buffering starts.
class AnswerBuffering {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  enum class Decision {
    buffer,   // keep reading, forward nothing yet
    forward,  // start to send the buffered bytes to the client
    give_up   // the deadline has passed: drop the answer
  };

  // `started_at`: when buffering starts.
  // `deadline`: until then the invocation can still get another final answer.
  // `received_bytes`: the number of body bytes that were received before `started_at`.
  AnswerBuffering(TimePoint started_at, TimePoint deadline, std::size_t received_bytes)
      : started_at_(started_at), deadline_(deadline), received_bytes_(received_bytes) {}

  // Adds the size of a piece that was received.
  void add_received(std::size_t bytes) { received_bytes_ += bytes; }

  // What to do with the answer at `now`.
  Decision at(TimePoint now) const;

  // The earliest time after `now` at which the decision can change without another piece.
  TimePoint next_decision_at(TimePoint now) const;

 private:
  bool is_deadline_far() const;
  bool is_fast_enough(TimePoint now) const;

  const TimePoint started_at_, deadline_;
  std::size_t received_bytes_;  // body bytes received so far, with those from before started_at_
};

}  // namespace troutstage::core
