#include "core/arrival_estimate.h"

#include <algorithm>

namespace troutstage::core {

void ArrivalEstimate::nothing_until(TimePoint moment) {
  earliest_ = std::max(earliest_, moment);
  last_look_ = std::max(last_look_, moment);
  has_bytes_ = false;
}

void ArrivalEstimate::found_nothing(TimePoint now) {
  earliest_ = std::max(earliest_, last_look_);
  last_look_ = std::max(last_look_, now);
  has_bytes_ = false;
}

void ArrivalEstimate::found_bytes(TimePoint now) {
  last_found_ = std::max({last_found_, earliest_, now});
  if (has_bytes_) return;
  has_bytes_ = true;
  latest_ = std::max(earliest_, now);
  last_look_ = std::max(last_look_, now);
}

ArrivalEstimate::TimePoint ArrivalEstimate::arrival() const {
  return has_bytes_ && latest_ - earliest_ <= kLongestGap ? latest_ : earliest_;
}

ArrivalEstimate::TimePoint ArrivalEstimate::arrival_as_told(TimePoint told) const {
  return has_bytes_ ? std::clamp(told, earliest_, last_found_) : earliest_;
}

}  // namespace troutstage::core
