// Lets one thread end another's blocking calls on a connection. It is shut down, never closed: only its owner
// does that, once nobody else knows the descriptor any more.
#pragma once

#include <sys/socket.h>

#include <mutex>

namespace troutstage::net {

class SocketInterrupter {
 public:
  // The owner has one while the descriptor may be shut down; it must go before the descriptor is closed.
  class Attachment {
   public:
    Attachment(SocketInterrupter& shutter, int fd) : interrupter_(shutter) { interrupter_.set_fd(fd); }
    ~Attachment() { interrupter_.set_fd(-1); }
    Attachment(const Attachment&) = delete;
    Attachment& operator=(const Attachment&) = delete;

   private:
    SocketInterrupter& interrupter_;
  };
  void interrupt() {
    std::lock_guard held(lock_);
    is_interrupted_ = true;
    if (fd_ >= 0) ::shutdown(fd_, SHUT_RDWR);
  }
  bool is_interrupted() const {
    std::lock_guard held(lock_);
    return is_interrupted_;
  }

 private:
  void set_fd(int fd) {
    std::lock_guard held(lock_);
    fd_ = fd;
  }
  mutable std::mutex lock_;
  int fd_ = -1;
  bool is_interrupted_ = false;
};

}  // namespace troutstage::net
