// Lets one thread end another thread's blocking calls on a socket. The socket is shut down, never closed:
// only its owner closes it, when no other thread can use the descriptor any more.
#pragma once

#include <sys/socket.h>

#include <mutex>

namespace troutstage::net {

// May be used from any thread.
class SocketInterrupter {
 public:
  // Makes a descriptor known to the interrupter for the lifetime of the object. The owner of the descriptor
  // destroys the object before it closes the descriptor.
  class Attachment {
   public:
    Attachment(SocketInterrupter& interrupter, int fd) : interrupter_(interrupter) {
      interrupter_.set_fd(fd);
    }
    ~Attachment() { interrupter_.set_fd(-1); }
    Attachment(const Attachment&) = delete;
    Attachment& operator=(const Attachment&) = delete;

   private:
    SocketInterrupter& interrupter_;
  };
  // Shuts down the attached socket, if there is one. The owner has to check is_interrupted() after it
  // attaches a socket: a later attachment is not shut down.
  void interrupt() {
    std::lock_guard lock(lock_);
    is_interrupted_ = true;
    if (fd_ >= 0) ::shutdown(fd_, SHUT_RDWR);
  }
  bool is_interrupted() const {
    std::lock_guard lock(lock_);
    return is_interrupted_;
  }

 private:
  void set_fd(int fd) {
    std::lock_guard lock(lock_);
    fd_ = fd;
  }
  mutable std::mutex lock_;
  int fd_ = -1;
  bool is_interrupted_ = false;
};

}  // namespace troutstage::net
