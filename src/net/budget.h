// What connections may take: so many descriptors in all, and some of them for each side; and so many bytes of
// requests' bodies.
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

// Few bodies are large: counting each as the largest would leave a small node few clients.
class Bytes {
 public:
  explicit Bytes(std::size_t all) : left_(all) {}
  // What one request holds of them, as long as it lives.
  class Hold {
   public:
    explicit Hold(Bytes& bytes) : bytes_(bytes) {}
    ~Hold() { bytes_.give_back(held_); }
    Hold(const Hold&) = delete;
    Hold& operator=(const Hold&) = delete;
    bool take(std::size_t n) {
      if (!bytes_.take(n)) return false;
      held_ += n;
      return true;
    }

   private:
    Bytes& bytes_;
    std::size_t held_ = 0;
  };

 private:
  bool take(std::size_t n) {
    std::lock_guard held(lock_);
    if (n > left_) return false;
    left_ -= n;
    return true;
  }
  void give_back(std::size_t n) {
    std::lock_guard held(lock_);
    left_ += n;
  }
  std::mutex lock_;
  std::size_t left_;
};

}  // namespace troutstage::net
