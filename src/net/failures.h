// Classifies the errors of failed system calls and repeats calls that failed for a reason that passes.
//
// A failed call says nothing about the peer of a connection unless its errno does. The caller repeats such a
// call, or proceeds as if the call had given no information.
#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <string_view>
#include <system_error>

namespace troutstage::net {

using TimePoint = std::chrono::steady_clock::time_point;

// What the caller of a failed system call may do about its error.
enum class ErrorClass {
  interrupted,  // by a signal: repeat the call
  not_ready,    // nothing to read, or no buffer space, yet: wait for the descriptor
  shortage,     // no descriptor, memory or buffer on this machine for a moment: pause, free some, repeat
  other         // does not pass by itself: the caller handles this error
};
ErrorClass classify_errno(int error);

// Sleeps between repeated calls: 1 ms at first, then twice as long each time, up to 10 ms. Not thread-safe.
class Backoff {
 public:
  explicit Backoff(TimePoint limit) : limit_(limit) {}
  bool pause();  // false: the limit has passed, and the call did not sleep

 private:
  const TimePoint limit_;
  std::chrono::milliseconds next_{1};
};

// Counts a shortage for the whole process, and logs at most one line a second. `call` names the system call
// and `error` is its errno. Thread-safe.
void record_shortage(std::string_view call, int error);
std::uint64_t shortages();  // recorded since the process started

// For resources that a node can't start without.
inline constexpr std::chrono::milliseconds kStartRetryTime{3000};
// Repeats a call while it fails with an interrupt or a shortage. `call` returns whether the call succeeded,
// and leaves its error in errno otherwise; `name` is the name of the system call for the log. Returns false,
// with the errno of the last call, after any other error or when the retry time is over. Exceptions from
// `call` propagate.
template <class Call>
bool retry_on_shortage(std::string_view name, Call call,
                       std::chrono::milliseconds retry_time = kStartRetryTime) {
  Backoff backoff(TimePoint::clock::now() + retry_time);
  while (!call()) {
    const int error = errno;
    const ErrorClass failure = classify_errno(error);
    if (failure == ErrorClass::shortage) record_shortage(name, error);
    else if (failure != ErrorClass::interrupted) return false;
    if (!backoff.pause()) {
      errno = error;
      return false;
    }
  }
  return true;
}

}  // namespace troutstage::net
