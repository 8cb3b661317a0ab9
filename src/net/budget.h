// The descriptors that connections may take: so many in all, and some of them for each side.
#pragma once

#include <cstddef>
#include <mutex>

namespace troutstage::net {

enum class Side { clients, backends };

class Budget {
 public:
  enum class Took { yes, side_full, all_full };
  Budget(std::size_t all, std::size_t most_clients, std::size_t most_backends)
      : all_(all), most_{most_clients, most_backends} {}
  Took take(Side side) {
    std::lock_guard held(lock_);
    const auto s = static_cast<std::size_t>(side);
    if (used_[s] >= most_[s]) return Took::side_full;
    if (used_[0] + used_[1] >= all_) return Took::all_full;
    ++used_[s];
    return Took::yes;
  }
  void give_back(Side side) {
    std::lock_guard held(lock_);
    --used_[static_cast<std::size_t>(side)];
  }

 private:
  std::mutex lock_;
  const std::size_t all_, most_[2];
  std::size_t used_[2] = {0, 0};
};

}  // namespace troutstage::net
