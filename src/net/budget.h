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
struct Taken {
  std::atomic<std::int64_t> side[2]{}, bytes{0};
};

// What this process has taken, and the other where there is one. Each counts its own first and looks at the
// other's then, so that of two that take the last place at the same moment at most one gets it.
class Ledger {
 public:
  Ledger() : mine_(&own_) {}
  Ledger(Taken* mine, const Taken* other) : mine_(mine), other_(other) {}
  Taken& mine() { return *mine_; }
  std::int64_t others(Side side) const { return paired_ ? other_->side[static_cast<int>(side)].load() : 0; }
  std::int64_t others_bytes() const { return paired_ ? other_->bytes.load() : 0; }
  // A dead process's counts stand for nothing.
  void set_paired(bool paired) { paired_ = paired && other_ != nullptr; }

 private:
  Taken own_;
  Taken* mine_;
  const Taken* other_ = nullptr;
  std::atomic<bool> paired_{false};
};

class Budget {
 public:
  enum class Took { yes, side_full, all_full };
  Budget(std::size_t all, std::size_t most_clients, std::size_t most_backends, Ledger& ledger)
      : all_(static_cast<std::int64_t>(all)), most_{static_cast<std::int64_t>(most_clients),
                                                    static_cast<std::int64_t>(most_backends)},
        ledger_(ledger) {}
  Took take(Side side) {
    std::lock_guard held(lock_);
    const auto s = static_cast<std::size_t>(side);
    auto& mine = ledger_.mine().side;
    ++mine[s];
    // The sum is kept for both processes. How it is shared between the sides each keeps for itself: counted for
    // both, the clients of one that ends had the other turn its own away.
    const std::int64_t sum =
        mine[0] + mine[1] + ledger_.others(Side::clients) + ledger_.others(Side::backends);
    const Took took = mine[s] > most_[s] ? Took::side_full : sum > all_ ? Took::all_full : Took::yes;
    if (took != Took::yes) --mine[s];
    return took;
  }
  void give_back(Side side) { --ledger_.mine().side[static_cast<std::size_t>(side)]; }

 private:
  std::mutex lock_;
  const std::int64_t all_, most_[2];
  Ledger& ledger_;
};

// Few bodies are large: counting each as the largest would leave a small node few clients.
class Bytes {
 public:
  Bytes(std::size_t all, Ledger& ledger) : all_(static_cast<std::int64_t>(all)), ledger_(ledger) {}
  // What one request holds of them, as long as it lives.
  class Hold {
   public:
    explicit Hold(Bytes& bytes) : bytes_(bytes) {}
    ~Hold() { bytes_.ledger_.mine().bytes -= held_; }
    Hold(const Hold&) = delete;
    Hold& operator=(const Hold&) = delete;
    bool take(std::size_t n) { return take_of(n, bytes_.all_); }
    // The same for what need not be held: half of all stays for what has to be.
    bool take_spare(std::size_t n) { return take_of(n, bytes_.all_ / 2); }

   private:
    bool take_of(std::size_t n, std::int64_t all) {
      const auto more = static_cast<std::int64_t>(n);
      if (!bytes_.take(more, all)) return false;
      held_ += more;
      return true;
    }
    Bytes& bytes_;
    std::int64_t held_ = 0;
  };

 private:
  bool take(std::int64_t n, std::int64_t all) {
    auto& mine = ledger_.mine().bytes;
    if ((mine += n) + ledger_.others_bytes() <= all) return true;
    mine -= n;
    return false;
  }
  const std::int64_t all_;
  Ledger& ledger_;
};

}  // namespace troutstage::net
