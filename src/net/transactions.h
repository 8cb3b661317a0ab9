// The transactions that this node has open: an id that comes a second time is another client's, or a mistake.
#pragma once

#include <mutex>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace troutstage::net {

class Transactions {
 public:
  // Keeps an id open for as long as it lives.
  class Open {
   public:
    Open(Transactions& all, std::string_view id) : all_(all), id_(id) {
      std::lock_guard held(all_.lock_);
      is_new_ = all_.ids_.insert(id_).second;
    }
    ~Open() {
      std::lock_guard held(all_.lock_);
      if (is_new_) all_.ids_.erase(id_);
    }
    Open(const Open&) = delete;
    Open& operator=(const Open&) = delete;
    bool is_new() const { return is_new_; }

   private:
    Transactions& all_;
    const std::string id_;
    bool is_new_ = false;
  };

 private:
  std::mutex lock_;
  std::unordered_set<std::string> ids_;
};

}  // namespace troutstage::net
