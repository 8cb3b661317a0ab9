// Lets the hand-offs of an invocation use the connection of their client, on any thread, for as long as the
// invocation is open. A hand-off may outlast its invocation; the connection is closed then, and the system
// gives its descriptor to another client.
#pragma once

#include <atomic>
#include <mutex>

namespace troutstage::net {

// May be used from any thread.
class ConnectionAccess {
 public:
  // Calls `use`, which should not last long, because end() waits for it. False: end() was called, and `use`
  // was not.
  template <class Use>
  bool with_connection(Use use) {
    std::lock_guard lock(lock_);
    if (has_ended_) return false;
    use();
    return true;
  }
  // Waits until no thread uses the connection. From then on none does.
  void end() {
    has_ended_ = true;
    std::lock_guard lock(lock_);
  }
  bool has_ended() const { return has_ended_; }

 private:
  std::mutex lock_;
  // Set before end() waits for the lock, so that a thread that uses the connection again and again stops.
  std::atomic<bool> has_ended_{false};
};

}  // namespace troutstage::net
