// The ids of the transactions that this node has open. An id that arrives again while it is open belongs to
// another client, or is a client's mistake.
#pragma once

#include <mutex>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace troutstage::net {

// May be used from any thread.
class OpenTransactions {
 public:
  // Marks an id as open for the lifetime of the object.
  class ScopedTransaction {
   public:
    ScopedTransaction(OpenTransactions& transactions, std::string_view id)
        : transactions_(transactions), id_(id) {
      std::lock_guard lock(transactions_.lock_);
      is_new_ = transactions_.ids_.insert(id_).second;
    }
    ~ScopedTransaction() {
      std::lock_guard lock(transactions_.lock_);
      if (is_new_) transactions_.ids_.erase(id_);
    }
    ScopedTransaction(const ScopedTransaction&) = delete;
    ScopedTransaction& operator=(const ScopedTransaction&) = delete;
    // False: the id was open already; this object then changes nothing.
    bool is_new() const { return is_new_; }

   private:
    OpenTransactions& transactions_;
    const std::string id_;
    bool is_new_ = false;
  };

 private:
  std::mutex lock_;
  std::unordered_set<std::string> ids_;
};

}  // namespace troutstage::net
