// When the last byte of a request came, from the looks that its reader took at the connection.
//
// A look is a call that says whether something unread is there. What a look finds came after the look before it had
// begun, where that found nothing, and before it ended itself. A call that fails is no look: it says nothing.
//
// How to call it: report each look with the time at which it ended, before the next one begins, from one thread at a
// time. It does no I/O and reads no clock.
//
// What the system tells of the same is a claim, not a look: it chooses among the moments that the looks allow.
#pragma once

#include <chrono>

namespace troutstage::core {

class ArrivalEstimate {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  // Whoever waits for bytes looks so often.
  static constexpr std::chrono::milliseconds kCheckInterval{20};
  // Two looks in a row take no longer than this, unless their thread is held up.
  static constexpr std::chrono::milliseconds kMaxCheckGap{45};

  // `nothing_until`: no byte of the request had come by then.
  explicit ArrivalEstimate(TimePoint no_bytes_until) : earliest_(no_bytes_until), last_check_(no_bytes_until) {}

  // No byte of the next request had come by `moment`: read before a call that found nothing, or before the answer
  // that its sender waits for.
  void no_bytes_until(TimePoint moment);
  // A look that ended at `now` found nothing unread.
  void found_no_bytes(TimePoint now);
  // A look that ended at `now` found bytes. Later ones change nothing until a look finds nothing.
  void found_bytes(TimePoint now);

  bool has_bytes() const { return has_bytes_; }
  // What was found came between these two.
  TimePoint earliest() const { return earliest_; }
  TimePoint latest() const { return latest_; }
  // Bytes that belong to it may have come up to here.
  TimePoint last_bytes_found_at() const { return last_bytes_found_at_; }
  // The latest where no more than kLongestGap lies between the two, else the earliest: a request counted as too old is
  // answered early, one counted as too young is answered after its client has gone.
  TimePoint arrival() const;
  // The same where the system, which was seen to tell the truth, tells when the last byte came.
  TimePoint arrival_by_system_time(TimePoint told) const;

 private:
  TimePoint earliest_;
  TimePoint last_check_;  // its end: the next one begins after it
  TimePoint latest_{};
  TimePoint last_bytes_found_at_{};  // the end of the last look that found bytes
  bool has_bytes_ = false;
};

}  // namespace troutstage::core
