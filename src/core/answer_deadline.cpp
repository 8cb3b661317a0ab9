#include "core/answer_deadline.h"

#include <algorithm>

namespace troutstage::core {

std::chrono::milliseconds kept_back(std::chrono::milliseconds remaining) {
  return std::min(kLongestPause - kClientSlack, remaining / kMostKeptBack);
}

}  // namespace troutstage::core
