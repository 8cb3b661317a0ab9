#include "net/failures.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <thread>

#include "log/log.h"

namespace troutstage::net {
namespace {

constexpr std::chrono::milliseconds kMaxPause{10};
constexpr std::chrono::seconds kLogInterval{1};

std::atomic<std::uint64_t> recorded_shortages{0};
std::atomic<TimePoint::rep> next_log_time{0};

}  // namespace

ErrorClass classify_errno(int error) {
  switch (error) {
    case EINTR: return ErrorClass::interrupted;
    case EAGAIN:
    case EINPROGRESS:
    case EALREADY: return ErrorClass::not_ready;
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case ENOSPC: return ErrorClass::shortage;
    default: return ErrorClass::other;
  }
}

bool Backoff::pause() {
  const TimePoint now = TimePoint::clock::now();
  if (now >= limit_) return false;
  std::this_thread::sleep_for(std::min<std::chrono::nanoseconds>(next_, limit_ - now));
  next_ = std::min(next_ * 2, kMaxPause);
  return true;
}

void record_shortage(std::string_view call, int error) {
  const std::uint64_t count = ++recorded_shortages;
  const TimePoint now = TimePoint::clock::now();
  TimePoint::rep next_allowed = next_log_time;
  if (now.time_since_epoch().count() < next_allowed) return;
  if (!next_log_time.compare_exchange_strong(next_allowed, (now + kLogInterval).time_since_epoch().count()))
    return;
  log::warning("short of something: {}: {} ({} times so far)", call, std::generic_category().message(error),
               count);
}

std::uint64_t shortages() { return recorded_shortages; }

}  // namespace troutstage::net
