// The time that a node decides by: steady, in whole tenths of a millisecond.
#pragma once

#include <chrono>

#include "decide.h"

namespace troutstage::core {

class Clock {
 public:
  virtual ~Clock() = default;
  virtual TenthsOfMs now() const = 0;
  virtual std::chrono::steady_clock::time_point at(TenthsOfMs when) const = 0;  // for waits
};

}  // namespace troutstage::core
