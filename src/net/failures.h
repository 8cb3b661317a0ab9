// What a failed system call says, and what its caller may do about it. A call that fails says nothing of the
// other side of a connection unless its error does: it is tried again, or its caller goes on as if it knew
// nothing.
#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <string_view>
#include <system_error>

namespace troutstage::net {

using TimePoint = std::chrono::steady_clock::time_point;

enum class ErrorClass {
  interrupted,  // by a signal: call again
  not_ready,    // nothing there yet, or no room: wait for it
  shortage,     // this machine is short of something for a moment: wait a little, make room, call again
  other         // the error stands for itself
};
ErrorClass classify_errno(int error);

// Pauses between calls that fail for a moment: 1 ms at first, up to 10 ms later.
class Backoff {
 public:
  explicit Backoff(TimePoint limit) : limit_(limit) {}
  bool pause();  // false: the limit has come, and there was no pause

 private:
  const TimePoint limit_;
  std::chrono::milliseconds next_{1};
};

// Counts a shortage for the process, and logs it, once a second at most.
void record_shortage(std::string_view call, int error);
std::uint64_t shortages();  // noted since the process began

// Calls that make something that a node can't start without: repeated through a shortage for some seconds.
// `call` returns whether it succeeded and leaves its error in errno otherwise; what it throws is passed on.
inline constexpr std::chrono::milliseconds kStartRetryTime{3000};
template <class Call>
bool retry_on_shortage(std::string_view name, Call call, std::chrono::milliseconds patience = kStartRetryTime) {
  Backoff backoff(TimePoint::clock::now() + patience);
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
