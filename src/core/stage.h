// Where a node stands in its life: one state with one owner. Whoever asks for it or changes it comes here.
#pragma once

#include <mutex>
#include <utility>

namespace troutstage::core {

class Stage {
 public:
  enum class Is { starting, ready, draining, stopping };

  Is is() const {
    std::lock_guard held(lock_);
    return stopping_ ? Is::stopping : drained_ ? Is::draining : up_ ? Is::ready : Is::starting;
  }
  bool ready() const { return is() == Is::ready; }
  void came_up() {  // it can serve
    std::lock_guard held(lock_);
    up_ = true;
  }
  // Both can be said any number of times. False: it is stopping, and there is no way back.
  bool drain() { return set_drained(true); }
  bool activate() { return set_drained(false); }
  bool stop() {  // false: it was told before
    std::lock_guard held(lock_);
    return !std::exchange(stopping_, true);
  }

 private:
  bool set_drained(bool drained) {
    std::lock_guard held(lock_);
    if (!stopping_) drained_ = drained;
    return !stopping_;
  }
  mutable std::mutex lock_;
  bool up_ = false, drained_ = false, stopping_ = false;
};

}  // namespace troutstage::core
