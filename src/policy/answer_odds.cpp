#include "policy/answer_odds.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace troutstage::policy {
namespace {

constexpr Tenths kMillisecond = 10, kSecond = 10000;
constexpr double kHalfLife = 60;  // seconds
constexpr double kNearAge = 0.5;  // attempts that came to this part of its age are like the one that is out
constexpr float kLeastAnswers = 0.1F;  // one that has not faded by more than half
constexpr float kLeastShare = 0.02F;   // of those, which is answered in time

}  // namespace

std::size_t AnswerOdds::bin_of(Tenths time) {
  if (time <= kMillisecond) return 0;
  const double octaves = std::log2(static_cast<double>(time) / kMillisecond);
  return std::min(kBins - 1, static_cast<std::size_t>(octaves * kBinsPerOctave));
}

void AnswerOdds::fade(Tenths now) {
  if (now - faded_at_ < kSecond) return;
  const double seconds = static_cast<double>(now - faded_at_) / kSecond;
  const auto left = static_cast<float>(std::exp2(-seconds / kHalfLife));
  for (float& count : answered_) count *= left;
  for (float& count : unanswered_) count *= left;
  faded_at_ = now;
}

void AnswerOdds::answered(Tenths now, Tenths took) {
  fade(now);
  ++answered_[bin_of(took)];
}

void AnswerOdds::unanswered(Tenths now, Tenths waited) {
  fade(now);
  ++unanswered_[bin_of(waited)];
}

bool AnswerOdds::likely(Tenths now, Tenths age, Tenths more) {
  fade(now);
  const auto from =
      static_cast<std::ptrdiff_t>(bin_of(static_cast<Tenths>(kNearAge * static_cast<double>(age))));
  const auto to = static_cast<std::ptrdiff_t>(bin_of(age + more)) + 1;
  const float in_time = std::accumulate(answered_.begin() + from, answered_.begin() + to, 0.0F);
  const float late = std::accumulate(answered_.begin() + to, answered_.end(), 0.0F);
  const float never = std::accumulate(unanswered_.begin() + from, unanswered_.end(), 0.0F);
  return in_time >= kLeastAnswers && in_time >= kLeastShare * (in_time + late + never);
}

}  // namespace troutstage::policy
