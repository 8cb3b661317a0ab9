// Watches clients' sockets while their invocations are worked on: a client that closes has gone away.
#pragma once

#include <map>
#include <mutex>

#include "core/balancer.h"
#include "net/socket.h"

namespace troutstage::net {

class Vigil {
 public:
  explicit Vigil(core::Balancer& balancer);
  void run();  // until stop()
  void stop();

  // Watches a socket for as long as it lives. The socket must stay open meanwhile.
  class Over {
   public:
    Over(Vigil& vigil, int fd, core::Ticket ticket);
    ~Over();
    Over(const Over&) = delete;
    Over& operator=(const Over&) = delete;

   private:
    Vigil& vigil_;
    int fd_;
    std::uint64_t id_;
  };

 private:
  core::Balancer& balancer_;
  Fd poll_, wake_;
  std::mutex lock_;
  std::uint64_t next_ = 1;
  std::map<std::uint64_t, core::Ticket> watched_;
};

}  // namespace troutstage::net
