// The ids of requests that must not run a second time: those that are open, and for some time those whose
// requests may have run. An id that comes again belongs to a client that sends its request once more, or to a
// client's mistake.
//
// The two processes of a node share what they know: each writes a table of its own and reads the other's as
// well.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace troutstage::net {

// One id in a table. Lies in memory that two processes may map.
struct TransactionEntry {
  std::atomic<std::uint64_t> id_hash{0};
  // The entry is free once this time of the steady clock has passed, in milliseconds; kOpen: its request is
  // open.
  std::atomic<std::int64_t> known_until_ms{0};
  static constexpr std::int64_t kOpen = INT64_MAX;
};
static_assert(std::atomic<std::uint64_t>::is_always_lock_free &&
              std::atomic<std::int64_t>::is_always_lock_free);

// The memory of the tables: private, or a file that both processes of a node map.
class TransactionMemory {
 public:
  // For a process without another one. Pages that are not used take no memory.
  explicit TransactionMemory(std::size_t entries);
  // The file at `path` has a table for each of the two processes; this one has table `slot`. `is_alone`: no
  // other process uses the file. Throws std::system_error if the file can't be used or there is no room for
  // all of it.
  TransactionMemory(const std::string& path, std::size_t entries, int slot, bool is_alone);
  ~TransactionMemory();
  TransactionMemory(const TransactionMemory&) = delete;
  TransactionMemory& operator=(const TransactionMemory&) = delete;
  std::size_t entries() const { return entries_; }
  TransactionEntry* own() const { return own_; }
  TransactionEntry* others() const { return others_; }  // null: no other process

 private:
  void map(int fd);
  const std::size_t entries_;
  std::size_t bytes_;
  void* mapped_ = nullptr;
  TransactionEntry* own_ = nullptr;
  TransactionEntry* others_ = nullptr;
};

// May be used from any thread.
class TransactionTable {
 public:
  // What became of a claim.
  enum class Claim {
    granted,
    open,          // the request with this id is open
    may_have_run,  // it has ended, and may have run
    full           // there is no room for another id
  };
  explicit TransactionTable(const TransactionMemory& memory);

  // Claims an id for the lifetime of the object. `is_repeatable`: the request may run again, so that only
  // this process's open requests count.
  class ScopedTransaction {
   public:
    ScopedTransaction(TransactionTable& table, std::string_view id, bool is_repeatable)
        : table_(table), claim_(table.claim(id, is_repeatable, entry_)) {}
    ~ScopedTransaction() {
      if (entry_ != nullptr) table_.release(*entry_, keep_for_.load());
    }
    ScopedTransaction(const ScopedTransaction&) = delete;
    ScopedTransaction& operator=(const ScopedTransaction&) = delete;
    Claim claim() const { return claim_; }
    // The request may have run: the id stays known for so long after the end of the object.
    void keep_for(std::chrono::milliseconds time) { keep_for_ = time; }

   private:
    TransactionTable& table_;
    TransactionEntry* entry_ = nullptr;
    std::atomic<std::chrono::milliseconds> keep_for_{std::chrono::milliseconds(0)};
    const Claim claim_;
  };
  std::uint64_t refused() const { return refused_; }  // claims that found no room

 private:
  Claim claim(std::string_view id, bool is_repeatable, TransactionEntry*& entry);
  static void release(TransactionEntry& entry, std::chrono::milliseconds keep_for);
  // Until when the table `entries` knows the id; 0: it does not.
  std::int64_t known_until(const TransactionEntry* entries, std::uint64_t hash) const;

  TransactionEntry* const own_;
  const TransactionEntry* const others_;
  const std::size_t mask_;
  std::mutex lock_;  // over changes of own entries from free to claimed
  std::atomic<std::uint64_t> refused_{0};
};

}  // namespace troutstage::net
