// Tells a peer that reads slowly from one that has stopped reading, by the bytes that it takes.
//
// A peer that reads steadily still takes bytes in steps: its machine reports room in its receive buffer only
// once a good part of that is free. So a pause in which nothing is taken may last for as long as a slow peer
// needs for such a step, and only a longer one means that it has stopped.
//
// Usage: call start() when a write begins and observe() while it waits. The class does no I/O, reads no clock
// and is not thread-safe.
#pragma once

#include <chrono>
#include <cstdint>

namespace troutstage::core {

// Observes one connection.
class ReaderProgress {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  // The slowest pace at which a peer has to read, in bytes per millisecond.
  static constexpr std::uint64_t kMinBytesPerMs = 64;
  // How long a peer may take nothing, apart from the time for a step.
  static constexpr std::chrono::milliseconds kMaxPause{5000};

  // A write begins: until now the peer had nothing to take.
  void start(TimePoint now) { progress_at_ = now; }
  // `taken_bytes`: how many bytes the peer has taken so far. `window_bytes`: how many more it would take now.
  void observe(TimePoint now, std::uint64_t taken_bytes, std::uint64_t window_bytes);
  // The peer has stopped reading if it takes nothing until then.
  TimePoint limit() const;

 private:
  TimePoint progress_at_;
  std::uint64_t taken_bytes_ = 0;
  // The largest that was observed.
  std::uint64_t window_bytes_ = 0;
};

}  // namespace troutstage::core
