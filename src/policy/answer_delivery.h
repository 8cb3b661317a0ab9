// Decides when a part of an answer is forwarded to the client, how long the rest is waited for, and when the
// answer is given up.
//
// Until it is forwarded, an answer can be replaced: by that of another attempt, or by a rejection. From its
// first forwarded byte on, only this answer can complete the invocation.
//
// - An answer known to be short (kMaxShortAnswerBytes) has to be complete by the deadline. It is never
//   forwarded in part, and is given up at the deadline.
// - Of a longer answer, or one of unknown length, only the first bytes are due by the deadline. It is
//   forwarded shortly before the deadline, or once it has been buffered for kMaxBufferingTime. A pause does
//   not change this: while an answer pauses, nothing tells whether its backend will go on, and giving up an
//   answer that goes on loses the invocation, while the client of one that does not can tell that it is
//   incomplete.
// - If this node ends before the rest can have arrived, only an answer that is likely to be complete by then
//   is forwarded.
// - A forwarded answer is waited for until the deadline of the client, and after that while its backend
//   neither is silent for kMaxSilence nor, over the whole answer, sends more slowly than kMinBytesPerMs.
//
// Usage: call add_received() for each piece, and at() after each piece and when next_decision_at() is
// reached; after Decision::forward call wait_until() for each further wait. The class does no I/O, reads no
// clock and is not thread-safe.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

#include "policy/answer_pace.h"

namespace troutstage::policy {

// Decides about the answer of one attempt, from the arrival of its head.
class AnswerDelivery {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  using Duration = std::chrono::steady_clock::duration;

  // The longest answer that has to be complete by the deadline.
  static constexpr std::size_t kMaxShortAnswerBytes = 64 * 1024;
  // Received bytes may be withheld from a client for less than 2 s.
  static constexpr std::chrono::milliseconds kMaxBufferingTime{1700};
  // How long before the deadline an answer is forwarded. Of two attempts, the one that still arrives is
  // forwarded; the other one gets its turn only if the first is late.
  static constexpr std::chrono::milliseconds kArrivingLead{15}, kPausingLead{10};
  // A backend that sends nothing of a forwarded answer for this long has stopped.
  static constexpr std::chrono::milliseconds kMaxSilence{5000};
  // The slowest mean pace of a forwarded answer, in bytes per millisecond, apart from one kMaxSilence.
  static constexpr std::size_t kMinBytesPerMs = 16;

  enum class Decision {
    buffer,   // keep reading, forward nothing yet
    forward,  // start to send the buffered bytes to the client
    give_up   // the deadline has passed: drop the answer
  };

  // `head_at`: when the head of the answer arrived. `deadline`: until then the invocation can still get
  // another final answer. `length`: of the whole body; empty: not known.
  AnswerDelivery(TimePoint head_at, TimePoint deadline, std::optional<std::size_t> length)
      : head_at_(head_at), deadline_(deadline), length_(length), pace_(head_at) {}

  // Adds a piece that was read at `now`. `silent_until`: see AnswerPace::add().
  void add_received(TimePoint now, std::size_t bytes, TimePoint silent_until);
  void add_received(TimePoint now, std::size_t bytes) { add_received(now, bytes, now); }
  std::size_t received_bytes() const { return pace_.received_bytes(); }

  // Whether the answer has to be complete by its deadline.
  bool is_known_short() const { return length_ && *length_ <= kMaxShortAnswerBytes; }
  // Within which time the next piece is expected, for as long as nothing was forwarded. Empty: no pause ends
  // the answer, which will be forwarded.
  std::optional<Duration> expected_within(TimePoint now) const;

  // What to do with the answer at `now`. `ends_by`: when this node ends; max(): not known.
  Decision at(TimePoint now, TimePoint ends_by = TimePoint::max()) const;
  // Whether an answer of which no more can be buffered may be forwarded at `now`; else it has to be given up.
  bool may_forward_full(TimePoint now, TimePoint ends_by) const { return can_complete_before(ends_by, now); }
  // The earliest time after `now` at which the decision can change without another piece.
  TimePoint next_decision_at(TimePoint now) const;

  // After Decision::forward: until when to wait for the next piece, if the wait begins at `wait_started_at`.
  // `client_deadline`: of the invocation.
  TimePoint wait_until(TimePoint wait_started_at, TimePoint client_deadline) const;
  // A wait of this length ended, with `bytes` of the body or with none.
  void add_waited(Duration waited, std::size_t bytes);

 private:
  // From when on the answer is forwarded, as far as is known at `now`.
  TimePoint forward_from(TimePoint now) const;
  // Whether the end of this node, if any, leaves time for the rest.
  bool can_complete_before(TimePoint ends_by, TimePoint now) const {
    return ends_by == TimePoint::max() || is_likely_complete_by(ends_by, now);
  }
  // Whether the rest is likely to arrive by `limit`. Without a length it is taken to need as long as the part
  // that has arrived.
  bool is_likely_complete_by(TimePoint limit, TimePoint now) const;

  const TimePoint head_at_, deadline_;
  const std::optional<std::size_t> length_;
  AnswerPace pace_;  // until it is forwarded
  std::optional<TimePoint> first_piece_at_;
  Duration waited_{};  // for the whole answer
  std::size_t forwarded_later_bytes_ = 0;
};

}  // namespace troutstage::policy
