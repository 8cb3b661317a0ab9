// Estimates whether a hand-off that has been in flight for some time is still answered, from how earlier
// hand-offs of its workload ended. The weight of a hand-off in this record decays with a half-life of 60 s.
//
// The caller reports each hand-off that was answered or timed out by answered() or unanswered(), and asks
// is_likely() about a hand-off in flight. The class does no I/O and reads no clock. It is not thread-safe.
#pragma once

#include <array>
#include <cstddef>

#include "decide.h"

namespace troutstage::policy {

class AnswerProbability {
 public:
  void answered(TenthsOfMs now, TenthsOfMs elapsed);
  void unanswered(TenthsOfMs now, TenthsOfMs waited);  // the hand-off timed out
  // Whether a hand-off of age `age` is likely to be answered within `more`. False without any data.
  bool is_likely(TenthsOfMs now, TenthsOfMs age, TenthsOfMs more);
  // One in this many of the invocations that are unlikely to be answered waits up to its limit all the same.
  // Without this sample, answers that take nearly as long as clients wait would never be observed.
  static constexpr int kSampleInterval = 16;
  // Counts an invocation that is unlikely to be answered. Returns true if it is to wait as a sample.
  bool is_sampled() { return ++unlikely_count_ % kSampleInterval == 0; }

 private:
  static constexpr std::size_t kBinsPerOctave = 4, kBins = 56;  // from 1 ms to 16 s
  using Histogram = std::array<float, kBins>;                   // of hand-offs, by their duration
  static std::size_t bin_of(TenthsOfMs time);
  void decay(TenthsOfMs now);

  Histogram answered_{}, unanswered_{};
  TenthsOfMs decayed_at_ = 0;
  int unlikely_count_ = 0;
};

}  // namespace troutstage::policy
