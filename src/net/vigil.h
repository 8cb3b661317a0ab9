// Watches clients' sockets while their invocations are worked on: a client that closes has gone away.
#pragma once

#include <map>
#include <mutex>

#include "core/balancer.h"
#include "net/socket.h"

namespace troutstage::net {

class DisconnectMonitor {
 public:
  explicit DisconnectMonitor(core::Balancer& balancer);
  void run();  // until stop()
  void stop();

  // Watches a socket for as long as it lives. The socket must stay open meanwhile.
  class ScopedMonitor {
   public:
    ScopedMonitor(DisconnectMonitor& vigil, int fd, core::InvocationHandle ticket);
    ~ScopedMonitor();
    ScopedMonitor(const ScopedMonitor&) = delete;
    ScopedMonitor& operator=(const ScopedMonitor&) = delete;

   private:
    DisconnectMonitor& disconnect_monitor_;
    int fd_;
    std::uint64_t id_;
  };

 private:
  core::Balancer& balancer_;
  Fd poll_, wake_;
  std::mutex lock_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, core::InvocationHandle> watched_;
};

}  // namespace troutstage::net
