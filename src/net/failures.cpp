#include "net/failures.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <thread>

#include "log/log.h"

namespace troutstage::net {
namespace {

constexpr std::chrono::milliseconds kLongestPause{10};
constexpr std::chrono::seconds kBetweenLines{1};

std::atomic<std::uint64_t> noted{0};
std::atomic<Moment::rep> next_line{0};

}  // namespace

Failure classify(int error) {
  switch (error) {
    case EINTR: return Failure::interrupted;
    case EAGAIN:
    case EINPROGRESS:
    case EALREADY: return Failure::not_ready;
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case ENOSPC: return Failure::shortage;
    default: return Failure::other;
  }
}

bool Backoff::pause() {
  const Moment now = Moment::clock::now();
  if (now >= limit_) return false;
  std::this_thread::sleep_for(std::min<std::chrono::nanoseconds>(next_, limit_ - now));
  next_ = std::min(next_ * 2, kLongestPause);
  return true;
}

void note_shortage(std::string_view call, int error) {
  const std::uint64_t count = ++noted;
  const Moment now = Moment::clock::now();
  Moment::rep due = next_line;
  if (now.time_since_epoch().count() < due) return;
  if (!next_line.compare_exchange_strong(due, (now + kBetweenLines).time_since_epoch().count())) return;
  log::warning("short of something: {}: {} ({} times so far)", call, std::generic_category().message(error),
               count);
}

std::uint64_t shortages() { return noted; }

}  // namespace troutstage::net
