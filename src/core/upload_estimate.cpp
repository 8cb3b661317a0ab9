#include "core/upload_estimate.h"

#include <algorithm>

namespace troutstage::core {
namespace {

// Arrived bytes between two samples.
constexpr std::uint64_t kSampleBytes = 256 << 10;

}  // namespace

void UploadEstimate::add(const Look& look) {
  if (was_unwritten_at(look)) {
    unwritten_until_ = std::max(unwritten_until_, look.at);
    samples_.clear();
  } else if (!end_) {
    add_sample(look);
  }
}

bool UploadEstimate::was_unwritten_at(const Look& look) {
  const bool is_idle = is_sender_idle(look);
  if (!end_) return is_idle;
  return look.arrived_bytes + kMaxSendBufferBytes < *end_ || (is_idle && look.arrived_bytes < *end_);
}

bool UploadEstimate::is_sender_idle(const Look& look) {
  if (look.read_pause > kMaxReadPause) {
    may_hold_more_ = true;
    reading_since_ = look;
  }
  if (!look.is_empty) {
    empty_since_.reset();
    return false;
  }
  if (!empty_since_ || empty_since_->arrived_bytes != look.arrived_bytes) empty_since_ = look;
  if (may_hold_more_ && !has_drained(look)) return false;
  may_hold_more_ = false;
  return true;
}

bool UploadEstimate::has_drained(const Look& look) {
  if (look.at - empty_since_->at >= kSettleTime) return true;
  if (look.at - reading_since_.at < kSettleTime) return false;
  const std::uint64_t arrived_bytes = look.arrived_bytes - reading_since_.arrived_bytes;
  reading_since_ = look;
  return arrived_bytes < min_receive_window_;
}

void UploadEstimate::add_sample(const Look& look) {
  while (!samples_.empty() && samples_.front().arrived_bytes + kMaxSendBufferBytes < look.arrived_bytes) {
    unwritten_until_ = std::max(unwritten_until_, samples_.front().at);
    samples_.pop_front();
  }
  if (samples_.empty() || samples_.back().arrived_bytes + kSampleBytes <= look.arrived_bytes)
    samples_.push_back(look);
}

}  // namespace troutstage::core
