// Where a node stands in its life: one state with one owner. Whoever asks for it or changes it comes here.
#pragma once

#include <mutex>
#include <utility>

namespace troutstage::core {

class NodeState {
 public:
  enum class Phase { starting, is_ready, draining, stopping };

  Phase phase() const {
    std::lock_guard held(lock_);
    return is_stopping_ ? Phase::stopping : is_drained_ ? Phase::draining : has_started_ ? Phase::is_ready : Phase::starting;
  }
  bool is_ready() const { return phase() == Phase::is_ready; }
  void mark_started() {  // it can serve
    std::lock_guard held(lock_);
    has_started_ = true;
  }
  // Both can be said any number of times. False: it is stopping, and there is no way back.
  bool drain() { return set_drained(true); }
  bool activate() { return set_drained(false); }
  bool stop() {  // false: it was told before
    std::lock_guard held(lock_);
    return !std::exchange(is_stopping_, true);
  }

 private:
  bool set_drained(bool drained) {
    std::lock_guard held(lock_);
    if (!is_stopping_) is_drained_ = drained;
    return !is_stopping_;
  }
  mutable std::mutex lock_;
  bool has_started_ = false, is_drained_ = false, is_stopping_ = false;
};

}  // namespace troutstage::core
