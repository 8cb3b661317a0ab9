#include "core/arrival_estimate.h"

#include <algorithm>

namespace troutstage::core {

void ArrivalEstimate::no_bytes_until(TimePoint moment) {
  earliest_ = std::max(earliest_, moment);
  last_check_ = std::max(last_check_, moment);
  has_bytes_ = false;
}

void ArrivalEstimate::found_no_bytes(TimePoint now) {
  earliest_ = std::max(earliest_, last_check_);
  last_check_ = std::max(last_check_, now);
  has_bytes_ = false;
}

void ArrivalEstimate::found_bytes(TimePoint now) {
  last_bytes_found_at_ = std::max({last_bytes_found_at_, earliest_, now});
  if (has_bytes_) return;
  has_bytes_ = true;
  latest_ = std::max(earliest_, now);
  last_check_ = std::max(last_check_, now);
}

ArrivalEstimate::TimePoint ArrivalEstimate::arrival() const {
  return has_bytes_ && latest_ - earliest_ <= kMaxCheckGap ? latest_ : earliest_;
}

ArrivalEstimate::TimePoint ArrivalEstimate::arrival_by_system_time(TimePoint reported) const {
  return has_bytes_ ? std::clamp(reported, earliest_, last_bytes_found_at_) : earliest_;
}

}  // namespace troutstage::core
