// How likely an attempt that has been out for some time is still answered, by how the last ones of its
// workload ended. Older ones count less and less.
//
// How to call it: answered() or unanswered() for each attempt that ran to its end, likely() for one that is
// out. It does no I/O and reads no clock. All times are in tenths of a millisecond.
#pragma once

#include <array>
#include <cstddef>

#include "decide.h"

namespace troutstage::policy {

class AnswerProbability {
 public:
  void answered(TenthsOfMs now, TenthsOfMs elapsed);
  void unanswered(TenthsOfMs now, TenthsOfMs waited);  // it was waited for to its end
  // Whether an attempt that is `age` old is likely to be answered within `more`. Where nothing is known it is
  // not.
  bool is_likely(TenthsOfMs now, TenthsOfMs age, TenthsOfMs more);
  // The share of invocations that are waited for though no answer is likely: without them nothing would be
  // learned of answers that take nearly as long as their clients wait.
  static constexpr int kSampleInterval = 16;
  bool is_sampled() { return ++unlikely_count_ % kSampleInterval == 0; }

 private:
  static constexpr std::size_t kBinsPerOctave = 4, kBins = 56;  // from 1 ms to 16 s
  using Histogram = std::array<float, kBins>;                   // by how long it took
  static std::size_t bin_of(TenthsOfMs time);
  void decay(TenthsOfMs now);

  Histogram answered_{}, unanswered_{};
  TenthsOfMs decayed_at_ = 0;
  int unlikely_count_ = 0;
};

}  // namespace troutstage::policy
