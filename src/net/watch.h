// Follows discovery's list for the decisions, for as long as they want it watched.
#pragma once

#include <mutex>

#include "core/balancer.h"
#include "net/counters.h"
#include "net/directory.h"

namespace troutstage::net {

class Watch {
 public:
  Watch(core::Balancer& balancer, Directory& directory, Counters& counters, const sockaddr_in& discovery,
        std::int64_t version)
      : balancer_(balancer), directory_(directory), counters_(counters), discovery_(discovery),
        version_(version) {}
  void run();   // until stop() here and at the balancer
  void stop();  // ends a call that is out

 private:
  void follow();  // until a call fails
  bool hold(int fd);

  core::Balancer& balancer_;
  Directory& directory_;
  Counters& counters_;
  const sockaddr_in discovery_;
  std::int64_t version_;
  std::mutex lock_;
  int fd_ = -1;
  bool stopped_ = false;
};

}  // namespace troutstage::net
