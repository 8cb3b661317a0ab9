// The lifecycle of a node: starting, ready, draining, stopping.
#pragma once

#include <mutex>
#include <utility>

namespace troutstage::core {

// The only record of a node's lifecycle. Thread-safe.
class NodeState {
 public:
  enum class Phase {
    starting,  // can't serve yet
    ready,     // serves requests
    draining,  // finishes its requests and should get no new ones, until activate()
    stopping   // ends; no way back
  };

  Phase phase() const {
    std::lock_guard lock(lock_);
    return is_stopping_   ? Phase::stopping
           : is_drained_  ? Phase::draining
           : has_started_ ? Phase::ready
                          : Phase::starting;
  }
  bool is_ready() const { return phase() == Phase::ready; }
  // The node can serve requests now.
  void mark_started() {
    std::lock_guard lock(lock_);
    has_started_ = true;
  }
  // drain() and activate() are idempotent, and allowed before mark_started(). They return false and have no
  // effect after stop().
  bool drain() { return set_drained(true); }
  bool activate() { return set_drained(false); }
  // Enters the final phase. False: stop() was called before.
  bool stop() {
    std::lock_guard lock(lock_);
    return !std::exchange(is_stopping_, true);
  }

 private:
  bool set_drained(bool drained) {
    std::lock_guard lock(lock_);
    if (!is_stopping_) is_drained_ = drained;
    return !is_stopping_;
  }
  mutable std::mutex lock_;
  bool has_started_ = false, is_drained_ = false, is_stopping_ = false;
};

}  // namespace troutstage::core
