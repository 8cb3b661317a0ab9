// Lets one thread end another's blocking calls on a connection. It is shut down, never closed: only its owner
// does that, once nobody else knows the descriptor any more.
#pragma once

#include <sys/socket.h>

#include <mutex>

namespace troutstage::net {

class Shutter {
 public:
  // The owner has one while the descriptor may be shut down; it must go before the descriptor is closed.
  class Hold {
   public:
    Hold(Shutter& shutter, int fd) : shutter_(shutter) { shutter_.set(fd); }
    ~Hold() { shutter_.set(-1); }
    Hold(const Hold&) = delete;
    Hold& operator=(const Hold&) = delete;

   private:
    Shutter& shutter_;
  };
  void shut() {
    std::lock_guard held(lock_);
    shut_ = true;
    if (fd_ >= 0) ::shutdown(fd_, SHUT_RDWR);
  }
  bool is_shut() const {
    std::lock_guard held(lock_);
    return shut_;
  }

 private:
  void set(int fd) {
    std::lock_guard held(lock_);
    fd_ = fd;
  }
  mutable std::mutex lock_;
  int fd_ = -1;
  bool shut_ = false;
};

}  // namespace troutstage::net
