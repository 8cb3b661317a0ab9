#include "policy/answer_delivery.h"

#include <algorithm>

namespace troutstage::policy {
namespace {

using std::chrono::milliseconds;

// A short answer counts as still arriving while its last piece is no older than this, or than its own pauses
// allow.
constexpr milliseconds kMinExpectedWithin{250};

}  // namespace

void AnswerDelivery::add_received(TimePoint now, std::size_t bytes, TimePoint silent_until) {
  waited_ = now - head_at_;
  if (bytes == 0) return;
  if (!first_piece_at_) first_piece_at_ = now;
  pace_.add(now, bytes, silent_until);
}

std::optional<AnswerDelivery::Duration> AnswerDelivery::expected_within(TimePoint now) const {
  if (!is_known_short()) return std::nullopt;
  return std::max<Duration>(kMinExpectedWithin, pace_.allowed_pause(now));
}

AnswerDelivery::TimePoint AnswerDelivery::forward_from(TimePoint now) const {
  const TimePoint before_deadline = deadline_ - (pace_.is_arriving(now) ? kArrivingLead : kPausingLead);
  return first_piece_at_ ? std::min(*first_piece_at_ + kMaxBufferingTime, before_deadline) : before_deadline;
}

AnswerDelivery::Decision AnswerDelivery::at(TimePoint now, TimePoint ends_by) const {
  const Decision otherwise = now >= deadline_ ? Decision::give_up : Decision::buffer;
  if (is_known_short()) return otherwise;
  if (now < forward_from(now)) return Decision::buffer;
  return can_complete_before(ends_by, now) ? Decision::forward : otherwise;
}

AnswerDelivery::TimePoint AnswerDelivery::next_decision_at(TimePoint now) const {
  const TimePoint forward_at = forward_from(now);
  return !is_known_short() && now < forward_at ? forward_at : std::max(now, deadline_);
}

bool AnswerDelivery::is_likely_complete_by(TimePoint limit, TimePoint now) const {
  if (received_bytes() == 0) return false;
  if (!length_) return now - head_at_ <= limit - now;
  return pace_.time_for(*length_ - received_bytes(), now) < limit - now;
}

AnswerDelivery::TimePoint AnswerDelivery::wait_until(TimePoint wait_started_at,
                                                     TimePoint client_deadline) const {
  const std::size_t bytes = received_bytes() + forwarded_later_bytes_;
  const Duration left = kMaxSilence + milliseconds(bytes / kMinBytesPerMs) - waited_;
  return std::max(client_deadline,
                  wait_started_at + std::clamp<Duration>(left, Duration::zero(), kMaxSilence));
}

void AnswerDelivery::add_waited(Duration waited, std::size_t bytes) {
  waited_ += waited;
  forwarded_later_bytes_ += bytes;
}

}  // namespace troutstage::policy
