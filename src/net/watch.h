// Follows discovery's list for the decisions, for as long as they want it watched.
#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>

#include "core/balancer.h"
#include "core/watch_pace.h"
#include "net/counters.h"
#include "net/directory.h"
#include "net/shutter.h"

namespace troutstage::net {

class DiscoveryWatch {
 public:
  DiscoveryWatch(core::Balancer& balancer, BackendDirectory& directory, Counters& counters, const sockaddr_in& discovery,
        std::int64_t version, std::uint64_t seed, std::function<void()> on_list = {})
      : balancer_(balancer), directory_(directory), counters_(counters), discovery_(discovery),
        version_(version), schedule_(seed), on_list_(std::move(on_list)) {}
  void run();                               // until stop() here and at the balancer
  void stop();                              // ends a call that is out
  void move(const sockaddr_in& discovery);  // the same, and goes on at another place from its whole list on

 private:
  static constexpr std::int64_t kNoVersion = -1;  // no version is known

  using PollResult = core::DiscoverySchedule::PollResult;
  void poll_until_stopped();  // until stop()
  void pause(std::chrono::microseconds time);  // unless it is over, or goes on at another place
  PollResult poll_on_one_connection(const sockaddr_in& discovery, SocketInterrupter& shutter);

  core::Balancer& balancer_;
  BackendDirectory& directory_;
  Counters& counters_;
  std::mutex lock_;  // over the place, how to end its calls, and whether it is over; told of by changed_
  std::condition_variable changed_;
  sockaddr_in discovery_;
  std::shared_ptr<SocketInterrupter> interrupter_ = std::make_shared<SocketInterrupter>();  // a new one for each place
  bool has_moved_ = false, stopped_ = false;
  bool was_requested_ = false;  // run()'s own
  std::int64_t version_;  // this and the next two: used by run() alone
  core::DiscoverySchedule schedule_;
  core::DiscoverySchedule::NextPoll next_ = schedule_.first();
  const std::function<void()> on_list_;  // after each list that was told
};

}  // namespace troutstage::net
