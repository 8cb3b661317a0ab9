// Monitors clients' sockets while their invocations are being worked on, and reports to the balancer when a
// client disconnects.
#pragma once

#include <map>
#include <mutex>

#include "core/balancer.h"
#include "net/socket.h"

namespace troutstage::net {

// One epoll thread for all clients. The constructor throws std::system_error if no descriptor is available.
class DisconnectMonitor {
 public:
  explicit DisconnectMonitor(core::Balancer& balancer);
  // Blocks until stop(). Reports each disconnect to the balancer on the calling thread. Returns earlier, and
  // logs the error, if epoll_wait fails for another reason than an interruption or a shortage.
  void run();
  void stop();

  // Monitors a socket for the lifetime of the object. The socket must stay open meanwhile. May be created and
  // destroyed on any thread.
  class ScopedMonitor {
   public:
    ScopedMonitor(DisconnectMonitor& monitor, int fd, core::InvocationHandle handle);
    ~ScopedMonitor();
    ScopedMonitor(const ScopedMonitor&) = delete;
    ScopedMonitor& operator=(const ScopedMonitor&) = delete;

   private:
    DisconnectMonitor& monitor_;
    int fd_;
    std::uint64_t id_;
  };

 private:
  core::Balancer& balancer_;
  Fd epoll_, wake_event_;
  std::mutex lock_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, core::InvocationHandle> monitored_;
};

}  // namespace troutstage::net
