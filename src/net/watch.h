// Follows discovery's list for the decisions, for as long as they want it watched.
#pragma once

#include "core/balancer.h"
#include "net/counters.h"
#include "net/directory.h"
#include "net/shutter.h"

namespace troutstage::net {

class Watch {
 public:
  Watch(core::Balancer& balancer, Directory& directory, Counters& counters, const sockaddr_in& discovery,
        std::int64_t version)
      : balancer_(balancer), directory_(directory), counters_(counters), discovery_(discovery),
        version_(version) {}
  void run();                       // until stop() here and at the balancer
  void stop() { shutter_.shut(); }  // ends a call that is out

 private:
  void follow();  // until a call fails
  bool calls_on_one_connection();

  core::Balancer& balancer_;
  Directory& directory_;
  Counters& counters_;
  const sockaddr_in discovery_;
  std::int64_t version_;
  Shutter shutter_;
};

}  // namespace troutstage::net
