// When this process stood still: it was stopped, or had no processor. What it finds afterwards may have come
// meanwhile.
//
// How to call it: beat() every kBeat from one thread; earliest_arrival() from any thread. It does no I/O and
// reads no clock.
#pragma once

#include <chrono>
#include <mutex>

namespace troutstage::core {

// The longest that a process stands still at a time, by the terms of the platform.
inline constexpr std::chrono::milliseconds kLongestPause{150};

class Pauses {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  // Between two beats; and what a beat may be late by without being the end of a pause.
  static constexpr std::chrono::milliseconds kBeat{20}, kJitter{15};
  // What came during a pause is read within this after its end.
  static constexpr std::chrono::milliseconds kBacklog{50};

  explicit Pauses(TimePoint start) : last_beat_(start), begin_(start), end_(start - 2 * kBacklog) {}

  // Returns how long the process stood still before this beat, from the one before on; zero where it did not.
  std::chrono::milliseconds beat(TimePoint now);
  // The earliest that something found at `now` can have come: `now`, unless the process stood still right
  // before. At most kLongestPause earlier.
  TimePoint earliest_arrival(TimePoint now) const;

 private:
  mutable std::mutex lock_;
  TimePoint last_beat_;
  TimePoint begin_, end_;  // of the newest pause; one that follows within kBacklog of another is the same one
};

}  // namespace troutstage::core
