// The budget for all memory of a node that grows with its clients: their connections with the buffers of both
// sockets, threads, heads, bodies of requests and answers. Memory is reserved before it is used, so the sum
// of all uses stays within one limit. A predecessor or successor process of this node may use a part of the
// same budget.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "net/budget.h"

namespace troutstage::net {

// What memory is reserved for.
enum class MemoryUse {
  connections,     // a client's connection, and what its socket may buffer
  threads,         // used pages of a thread's stack, and what its allocator caches
  heads,           // of requests that are served, as they are kept and forwarded
  arriving_heads,  // of requests that are still read, and long ones until they are served
  short_bodies,    // the first bytes of a request's body
  request_bodies,  // further bytes, buffered so that they can be sent again
  hand_offs,  // an exchange with a backend, what its socket may buffer, and the first bytes of the answer
  answers     // further bytes of answers that are kept until they are complete
};
inline constexpr std::size_t kMemoryUses = 8;
// Names of the gauges, in the same order.
inline constexpr std::array<std::string_view, kMemoryUses> kMemoryUseNames = {
    "connections",  "threads",        "heads",     "arriving_heads",
    "short_bodies", "request_bodies", "hand_offs", "answers"};

// May be used from any thread.
class MemoryBudget {
 public:
  // `for_connections`: the part of the limit that only clients' connections may use.
  MemoryBudget(std::size_t limit, SharedUsage& shared_usage, std::size_t for_connections = 0)
      : limit_(static_cast<std::int64_t>(limit)),
        for_connections_(static_cast<std::int64_t>(for_connections)), shared_usage_(shared_usage) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  // Reserves `size` bytes. False, with nothing reserved: the share of the budget that is open to this use is
  // exhausted. give_back() has to follow.
  bool take(MemoryUse use, std::size_t size);
  // Reserves memory for a client's connection. Their number is limited, so that they stay within their part.
  void take_for_connection(std::size_t size);
  void give_back(MemoryUse use, std::size_t size);

  std::size_t limit() const { return static_cast<std::size_t>(limit_); }
  // Reserved now by this process: in all, and for one use.
  std::size_t reserved() const;
  std::size_t reserved(MemoryUse use) const;
  std::size_t highest() const { return static_cast<std::size_t>(highest_.load()); }  // of reserved(), so far
  // So much is reserved that what would hold memory for long has to be refused where that does no harm.
  bool is_scarce() const;
  // So much is reserved that no body may be streamed in addition: what is left is for short requests.
  bool is_scarce_for_bodies() const;
  std::uint64_t refused(MemoryUse use) const { return refused_[static_cast<std::size_t>(use)]; }

  // Bytes that one owner has reserved; given back when the object is destroyed. Not thread-safe.
  class Reservation {
   public:
    explicit Reservation(MemoryBudget& budget, MemoryUse use = MemoryUse::request_bodies)
        : budget_(budget), use_(use) {}
    ~Reservation() { give_back(size_); }
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;
    // False: see MemoryBudget::take().
    bool take(std::size_t size);
    void give_back(std::size_t size);
    void give_back_all() { give_back(size_); }
    std::size_t size() const { return size_; }

   private:
    MemoryBudget& budget_;
    const MemoryUse use_;
    std::size_t size_ = 0;
  };

 private:
  void note_reserved(MemoryUse use, std::int64_t size, std::int64_t reserved);
  // What uses other than clients' connections have reserved, and what they may reserve, in both processes.
  std::int64_t reserved_beside_connections() const;
  std::int64_t limit_beside_connections() const { return limit_ - for_connections_; }

  const std::int64_t limit_, for_connections_;
  SharedUsage& shared_usage_;
  std::array<std::atomic<std::int64_t>, kMemoryUses> by_use_{};
  std::array<std::atomic<std::uint64_t>, kMemoryUses> refused_{};
  std::atomic<std::int64_t> highest_{0};
};

}  // namespace troutstage::net
