// The limits on descriptors, in all and for each side, and what the two processes of a node use of its limits
// together.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>

namespace troutstage::net {

// The kind of a connection: from a client to this node, or from this node to a backend.
enum class Side { clients, backends };

// What one process uses: connections by side, and reserved bytes of memory. If there are two processes, lies
// in memory that both map.
struct Usage {
  std::atomic<std::int64_t> side[2]{}, bytes{0};
};

// The usage of this process, and of the other process of the node if there is one. Each process first adds
// to its own count and then reads the other's, so that of two processes that take the last unit at the same
// moment at most one gets it.
class SharedUsage {
 public:
  SharedUsage() : mine_(&own_) {}
  SharedUsage(Usage* mine, const Usage* other) : mine_(mine), other_(other) {}
  // The counts of this process, which its budgets change.
  Usage& mine() { return *mine_; }
  // The counts of the other process; 0 if it does not run.
  std::int64_t others(Side side) const {
    return is_paired_ ? other_->side[static_cast<int>(side)].load() : 0;
  }
  std::int64_t others_bytes() const { return is_paired_ ? other_->bytes.load() : 0; }
  // Sets whether the other process runs. The counts of a process that has ended are ignored.
  void set_paired(bool is_paired) { is_paired_ = is_paired && other_ != nullptr; }

 private:
  Usage own_;
  Usage* mine_;
  const Usage* other_ = nullptr;
  std::atomic<bool> is_paired_{false};
};

// The budget for descriptors of connections. May be used from any thread. If a node has two processes,
// each has its own budget, and reads what the other process uses from SharedUsage.
class ConnectionBudget {
 public:
  enum class TakeResult { granted, side_full, all_full };
  ConnectionBudget(std::size_t all, std::size_t max_clients, std::size_t max_backends,
                   SharedUsage& shared_usage)
      : all_(static_cast<std::int64_t>(all)), max_by_side_{static_cast<std::int64_t>(max_clients),
                                                           static_cast<std::int64_t>(max_backends)},
        shared_usage_(shared_usage) {}
  // Takes one descriptor for this side, or says which limit is reached. give_back() has to follow `granted`.
  TakeResult take(Side side) {
    std::lock_guard lock(lock_);
    const auto s = static_cast<std::size_t>(side);
    auto& mine = shared_usage_.mine().side;
    ++mine[s];
    // The limit on the sum counts both processes. The limits of the sides count each process alone: when they
    // counted both, the clients of a process that was ending made the other process reject its own.
    const std::int64_t sum =
        mine[0] + mine[1] + shared_usage_.others(Side::clients) + shared_usage_.others(Side::backends);
    const TakeResult result = mine[s] > max_by_side_[s] ? TakeResult::side_full
                              : sum > all_              ? TakeResult::all_full
                                                        : TakeResult::granted;
    if (result != TakeResult::granted) --mine[s];
    return result;
  }
  void give_back(Side side) { --shared_usage_.mine().side[static_cast<std::size_t>(side)]; }

 private:
  std::mutex lock_;
  const std::int64_t all_, max_by_side_[2];
  SharedUsage& shared_usage_;
};

}  // namespace troutstage::net
