#include "policy/answer_odds.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace troutstage::policy {
namespace {

constexpr TenthsOfMs kMillisecond = 10, kSecond = 10000;
constexpr double kHalfLifeSeconds = 60;  // seconds
constexpr double kComparableAgeShare = 0.5;  // attempts that came to this part of its age are like the one that is out
constexpr float kMinAnswers = 0.1F;  // one that has not faded by more than half
constexpr float kMinInTimeShare = 0.02F;   // of those, which is answered in time

}  // namespace

std::size_t AnswerProbability::bin_of(TenthsOfMs time) {
  if (time <= kMillisecond) return 0;
  const double octaves = std::log2(static_cast<double>(time) / kMillisecond);
  return std::min(kBins - 1, static_cast<std::size_t>(octaves * kBinsPerOctave));
}

void AnswerProbability::decay(TenthsOfMs now) {
  if (now - decayed_at_ < kSecond) return;
  const double seconds = static_cast<double>(now - decayed_at_) / kSecond;
  const auto left = static_cast<float>(std::exp2(-seconds / kHalfLifeSeconds));
  for (float& count : answered_) count *= left;
  for (float& count : unanswered_) count *= left;
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
  const auto from =
      static_cast<std::ptrdiff_t>(bin_of(static_cast<TenthsOfMs>(kComparableAgeShare * static_cast<double>(age))));
  const auto to = static_cast<std::ptrdiff_t>(bin_of(age + more)) + 1;
  const float in_time = std::accumulate(answered_.begin() + from, answered_.begin() + to, 0.0F);
  const float late = std::accumulate(answered_.begin() + to, answered_.end(), 0.0F);
  const float never = std::accumulate(unanswered_.begin() + from, unanswered_.end(), 0.0F);
  return in_time >= kMinAnswers && in_time >= kMinInTimeShare * (in_time + late + never);
}

}  // namespace troutstage::policy
