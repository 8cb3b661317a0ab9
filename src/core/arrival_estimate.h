// Estimates when the last byte of a request arrived, from checks of the client's socket.
//
// A check is a system call that reports whether the socket has unread bytes. Bytes that a check finds arrived
// after the start of the preceding check, if that check found nothing, and before the end of the check that
// found them. A call that fails gives no information and does not count as a check.
//
// Usage: report each check with the time at which it ended, before the next check starts, from one thread at
// a time. The class does no I/O and reads no clock.
//
// The arrival time that the kernel reports is not a check and is not trusted alone. It selects a time within
// the interval that the checks allow.
#pragma once

#include <chrono>

namespace troutstage::core {

// The interval in which the bytes of one request at a time arrived on one connection.
class ArrivalEstimate {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  // A thread that waits for bytes checks its sockets at this interval.
  static constexpr std::chrono::milliseconds kCheckInterval{20};
  // Two successive checks lie no further apart than this, unless their thread was stalled.
  static constexpr std::chrono::milliseconds kMaxCheckGap{45};

  // `no_bytes_until`: no byte of the request had arrived by this time.
  explicit ArrivalEstimate(TimePoint no_bytes_until)
      : earliest_(no_bytes_until), last_check_(no_bytes_until) {}

  // Starts the estimate of the next request: no byte of that request had arrived by `moment`. `moment` was
  // read before a check that found nothing, or before the answer that the client waits for was sent.
  void no_bytes_until(TimePoint moment);
  // A check that ended at `now` found no unread byte.
  void found_no_bytes(TimePoint now);
  // A check that ended at `now` found unread bytes. Further calls leave earliest() and latest() as they are
  // until a check finds nothing.
  void found_bytes(TimePoint now);

  bool has_bytes() const { return has_bytes_; }
  // The first bytes that a check found arrived between earliest() and latest().
  TimePoint earliest() const { return earliest_; }
  TimePoint latest() const { return latest_; }
  // End of the last check that found bytes: further bytes of the same request may have arrived until then.
  TimePoint last_bytes_found_at() const { return last_bytes_found_at_; }
  // The estimated arrival: latest() if the interval is no longer than kMaxCheckGap, else earliest(). A
  // request that is estimated too old is answered early; a request that is estimated too young is answered
  // after its client has left.
  TimePoint arrival() const;
  // The estimated arrival where the kernel's times proved right: `reported`, the kernel's time for the last
  // byte, limited to the interval from earliest() to last_bytes_found_at().
  TimePoint arrival_by_system_time(TimePoint reported) const;

 private:
  TimePoint earliest_;
  TimePoint last_check_;  // end of the last check; the next check starts after it
  TimePoint latest_{};
  TimePoint last_bytes_found_at_{};
  bool has_bytes_ = false;
};

}  // namespace troutstage::core
