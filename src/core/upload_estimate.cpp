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

bool UploadEstimate::was_unwritten_at(const Look& look) const {
  if (!end_) return look.is_sender_idle;
  return look.arrived_bytes + max_send_buffer_bytes_ < *end_ ||
         (look.is_sender_idle && look.arrived_bytes < *end_);
}

void UploadEstimate::add_sample(const Look& look) {
  while (!samples_.empty() && samples_.front().arrived_bytes + max_send_buffer_bytes_ < look.arrived_bytes) {
    unwritten_until_ = std::max(unwritten_until_, samples_.front().at);
    samples_.pop_front();
  }
  if (samples_.empty() || samples_.back().arrived_bytes + kSampleBytes <= look.arrived_bytes)
    samples_.push_back(look);
}

}  // namespace troutstage::core
