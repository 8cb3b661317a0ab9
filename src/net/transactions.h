// The transactions that this node has open: an id that comes a second time is another client's, or a mistake.
#pragma once

#include <mutex>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace troutstage::net {

class OpenTransactions {
 public:
  // Keeps an id open for as long as it lives.
  class ScopedTransaction {
   public:
    ScopedTransaction(OpenTransactions& all, std::string_view id) : all_(all), id_(id) {
      std::lock_guard held(all_.lock_);
      is_new_ = all_.ids_.insert(id_).second;
    }
    ~ScopedTransaction() {
      std::lock_guard held(all_.lock_);
      if (is_new_) all_.ids_.erase(id_);
    }
    ScopedTransaction(const ScopedTransaction&) = delete;
    ScopedTransaction& operator=(const ScopedTransaction&) = delete;
    bool is_new() const { return is_new_; }

   private:
    OpenTransactions& all_;
    const std::string id_;
    bool is_new_ = false;
  };

 private:
  std::mutex lock_;
  std::unordered_set<std::string> ids_;
};

}  // namespace troutstage::net
