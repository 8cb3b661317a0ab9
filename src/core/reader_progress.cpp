#include "core/reader_progress.h"

#include <algorithm>

namespace troutstage::core {
namespace {

// A peer reports room in its receive buffer once this part of it is free, at the latest.
constexpr std::uint64_t kStepsPerWindow = 2;

}  // namespace

void ReaderProgress::observe(TimePoint now, std::uint64_t taken_bytes, std::uint64_t window_bytes) {
  window_bytes_ = std::max(window_bytes_, window_bytes);
  if (taken_bytes <= taken_bytes_) return;
  taken_bytes_ = taken_bytes;
  progress_at_ = now;
}

// What the peer has not read yet is a part of what it has taken.
ReaderProgress::TimePoint ReaderProgress::limit() const {
  const std::uint64_t step = std::min(window_bytes_ / kStepsPerWindow, taken_bytes_);
  return progress_at_ + kMaxPause + std::chrono::milliseconds(step / kMinBytesPerMs);
}

}  // namespace troutstage::core
