// The clock of a node: steady, in whole tenths of a millisecond. Tests replace it.
#pragma once

#include <chrono>

#include "decide.h"

namespace troutstage::core {

class Clock {
 public:
  virtual ~Clock() = default;
  virtual TenthsOfMs now() const = 0;
  // The time point of the steady clock that corresponds to `when`, for timed waits.
  virtual std::chrono::steady_clock::time_point at(TenthsOfMs when) const = 0;
};

}  // namespace troutstage::core
