// What connections may take: so many descriptors in all, and some of them for each side; and so many bytes of
// bodies. Another process of this node may have taken a part of it.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>

namespace troutstage::net {

enum class Side { clients, backends };

// What one process has taken. It may lie in memory that both map.
struct Usage {
  std::atomic<std::int64_t> side[2]{}, bytes{0};
};

// What this process has taken, and the other where there is one. Each counts its own first and looks at the
// other's then, so that of two that take the last place at the same moment at most one gets it.
class SharedUsage {
 public:
  SharedUsage() : mine_(&own_) {}
  SharedUsage(Usage* mine, const Usage* other) : mine_(mine), other_(other) {}
  Usage& mine() { return *mine_; }
  std::int64_t others(Side side) const { return paired_ ? other_->side[static_cast<int>(side)].load() : 0; }
  std::int64_t others_bytes() const { return paired_ ? other_->bytes.load() : 0; }
  // A dead process's counts stand for nothing.
  void set_paired(bool paired) { paired_ = paired && other_ != nullptr; }

 private:
  Usage own_;
  Usage* mine_;
  const Usage* other_ = nullptr;
  std::atomic<bool> paired_{false};
};

class ConnectionBudget {
 public:
  enum class TakeResult { granted, side_full, all_full };
  ConnectionBudget(std::size_t all, std::size_t most_clients, std::size_t most_backends, SharedUsage& shared_usage)
      : all_(static_cast<std::int64_t>(all)), most_{static_cast<std::int64_t>(most_clients),
                                                    static_cast<std::int64_t>(most_backends)},
        shared_usage_(shared_usage) {}
  TakeResult take(Side side) {
    std::lock_guard held(lock_);
    const auto s = static_cast<std::size_t>(side);
    auto& mine = shared_usage_.mine().side;
    ++mine[s];
    // The sum is kept for both processes. How it is shared between the sides each keeps for itself: counted for
    // both, the clients of one that ends had the other turn its own away.
    const std::int64_t sum =
        mine[0] + mine[1] + shared_usage_.others(Side::clients) + shared_usage_.others(Side::backends);
    const TakeResult took = mine[s] > most_[s] ? TakeResult::side_full : sum > all_ ? TakeResult::all_full : TakeResult::granted;
    if (took != TakeResult::granted) --mine[s];
    return took;
  }
  void give_back(Side side) { --shared_usage_.mine().side[static_cast<std::size_t>(side)]; }

 private:
  std::mutex lock_;
  const std::int64_t all_, most_[2];
  SharedUsage& shared_usage_;
};

// Few bodies are large: counting each as the largest would leave a small node few clients.
class BodyBytesBudget {
 public:
  BodyBytesBudget(std::size_t all, SharedUsage& shared_usage) : all_(static_cast<std::int64_t>(all)), shared_usage_(shared_usage) {}
  // What one request holds of them, as long as it lives.
  class Reservation {
   public:
    explicit Reservation(BodyBytesBudget& bytes) : bytes_(bytes) {}
    ~Reservation() { bytes_.shared_usage_.mine().bytes -= held_; }
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;
    bool take(std::size_t n) { return take_of(n, bytes_.all_); }
    // The same for what need not be held: half of all stays for what has to be.
    bool take_optional(std::size_t n) { return take_of(n, bytes_.all_ / 2); }

   private:
    bool take_of(std::size_t n, std::int64_t all) {
      const auto more = static_cast<std::int64_t>(n);
      if (!bytes_.take(more, all)) return false;
      held_ += more;
      return true;
    }
    BodyBytesBudget& bytes_;
    std::int64_t held_ = 0;
  };

 private:
  bool take(std::int64_t n, std::int64_t all) {
    auto& mine = shared_usage_.mine().bytes;
    if ((mine += n) + shared_usage_.others_bytes() <= all) return true;
    mine -= n;
    return false;
  }
  const std::int64_t all_;
  SharedUsage& shared_usage_;
};

}  // namespace troutstage::net
