#include "policy/answer_probability.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace troutstage::policy {
namespace {

constexpr TenthsOfMs kMillisecond = 10, kSecond = 10000;
constexpr double kHalfLifeSeconds = 60;
// A hand-off in flight is compared with earlier hand-offs that took at least this part of its age.
constexpr double kComparableAgeShare = 0.5;
// The least weight of answers in time: a single answer suffices until its weight has decayed to a tenth.
constexpr float kMinAnswers = 0.1F;
// An answer is likely if at least this share of the comparable hand-offs was answered in time.
constexpr float kMinInTimeShare = 0.02F;

}  // namespace

std::size_t AnswerProbability::bin_of(TenthsOfMs time) {
  if (time <= kMillisecond) return 0;
  const double octaves = std::log2(static_cast<double>(time) / kMillisecond);
  return std::min(kBins - 1, static_cast<std::size_t>(octaves * kBinsPerOctave));
}

void AnswerProbability::decay(TenthsOfMs now) {
  if (now - decayed_at_ < kSecond) return;
  const double seconds = static_cast<double>(now - decayed_at_) / kSecond;
  const auto factor = static_cast<float>(std::exp2(-seconds / kHalfLifeSeconds));
  for (float& count : answered_) count *= factor;
  for (float& count : unanswered_) count *= factor;
  decayed_at_ = now;
}

void AnswerProbability::answered(TenthsOfMs now, TenthsOfMs elapsed) {
  decay(now);
  ++answered_[bin_of(elapsed)];
}

void AnswerProbability::unanswered(TenthsOfMs now, TenthsOfMs waited) {
  decay(now);
  ++unanswered_[bin_of(waited)];
}

bool AnswerProbability::is_likely(TenthsOfMs now, TenthsOfMs age, TenthsOfMs more) {
  decay(now);
  const auto first_bin = static_cast<std::ptrdiff_t>(
      bin_of(static_cast<TenthsOfMs>(kComparableAgeShare * static_cast<double>(age))));
  const auto end_bin = static_cast<std::ptrdiff_t>(bin_of(age + more)) + 1;
  const float in_time = std::accumulate(answered_.begin() + first_bin, answered_.begin() + end_bin, 0.0F);
  const float late = std::accumulate(answered_.begin() + end_bin, answered_.end(), 0.0F);
  const float never = std::accumulate(unanswered_.begin() + first_bin, unanswered_.end(), 0.0F);
  return in_time >= kMinAnswers && in_time >= kMinInTimeShare * (in_time + late + never);
}

}  // namespace troutstage::policy
