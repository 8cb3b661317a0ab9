#include "net/memory_budget.h"

namespace troutstage::net {
namespace {

// The percentage of the limit beside connections up to which each use may fill the budget. What finishes a
// request that has begun may use all of it; what begins one, or only makes it safer, leaves the rest for
// that.
constexpr std::array<std::int64_t, kMemoryUses> kMemoryShare = {
    0,    // connections: reserved apart
    85,   // threads
    90,   // heads
    60,   // arriving_heads
    90,   // short_bodies
    60,   // request_bodies
    100,  // hand_offs
    45    // answers
};
constexpr std::int64_t kScarceShare = 65, kScarceShareForBodies = 75;

}  // namespace

std::int64_t MemoryBudget::reserved_beside_connections() const {
  const std::int64_t all = shared_usage_.mine().bytes + shared_usage_.others_bytes();
  return all - by_use_[static_cast<std::size_t>(MemoryUse::connections)];
}

bool MemoryBudget::take(MemoryUse use, std::size_t size) {
  const auto more = static_cast<std::int64_t>(size);
  // Adds first: of two owners that ask for the last bytes at the same moment, at most one gets them.
  const std::int64_t reserved = shared_usage_.mine().bytes += more;
  if (reserved_beside_connections() >
      limit_beside_connections() * kMemoryShare[static_cast<std::size_t>(use)] / 100) {
    shared_usage_.mine().bytes -= more;
    ++refused_[static_cast<std::size_t>(use)];
    return false;
  }
  note_reserved(use, more, reserved);
  return true;
}

bool MemoryBudget::is_scarce() const {
  return reserved_beside_connections() > limit_beside_connections() * kScarceShare / 100;
}

bool MemoryBudget::is_scarce_for_bodies() const {
  return reserved_beside_connections() > limit_beside_connections() * kScarceShareForBodies / 100;
}

void MemoryBudget::take_for_connection(std::size_t size) {
  const auto more = static_cast<std::int64_t>(size);
  note_reserved(MemoryUse::connections, more, shared_usage_.mine().bytes += more);
}

void MemoryBudget::give_back(MemoryUse use, std::size_t size) {
  shared_usage_.mine().bytes -= static_cast<std::int64_t>(size);
  by_use_[static_cast<std::size_t>(use)] -= static_cast<std::int64_t>(size);
}

void MemoryBudget::note_reserved(MemoryUse use, std::int64_t size, std::int64_t reserved) {
  by_use_[static_cast<std::size_t>(use)] += size;
  std::int64_t highest = highest_;
  while (highest < reserved && !highest_.compare_exchange_weak(highest, reserved)) {
  }
}

std::size_t MemoryBudget::reserved() const {
  return static_cast<std::size_t>(shared_usage_.mine().bytes.load());
}
std::size_t MemoryBudget::reserved(MemoryUse use) const {
  return static_cast<std::size_t>(by_use_[static_cast<std::size_t>(use)].load());
}

bool MemoryBudget::Reservation::take(std::size_t size) {
  if (!budget_.take(use_, size)) return false;
  size_ += size;
  return true;
}

void MemoryBudget::Reservation::give_back(std::size_t size) {
  budget_.give_back(use_, size);
  size_ -= size;
}

}  // namespace troutstage::net
