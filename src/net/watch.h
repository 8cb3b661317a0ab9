// Follows the list of discovery by long polls and passes each list to the balancer.
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

// One thread calls run(); any thread may call stop() and move().
class DiscoveryWatch {
 public:
  // `version`: of the list that the node already has; -1: none. `on_list` is called after each list,
  // by the thread of run().
  DiscoveryWatch(core::Balancer& balancer, BackendDirectory& directory, Counters& counters,
                 const sockaddr_in& discovery, std::int64_t version, std::uint64_t seed,
                 std::function<void()> on_list = {})
      : balancer_(balancer), directory_(directory), counters_(counters), discovery_(discovery),
        version_(version), schedule_(seed), on_list_(std::move(on_list)) {}
  // Blocks until the balancer requests the watch, then polls until stop(). Also returns if the balancer is
  // stopped before its request.
  void run();
  void stop();  // ends the polling of run() and interrupts a poll that is in progress
  // Interrupts the poll and continues at another address with its whole list. Starts the watch if the
  // balancer has not requested it yet.
  void move(const sockaddr_in& discovery);

 private:
  static constexpr std::int64_t kNoVersion = -1;  // requests the whole list

  using PollResult = core::DiscoverySchedule::PollResult;
  void poll_until_stopped();                                    // returns after stop()
  void wait_between_polls(std::chrono::microseconds duration);  // returns early on stop() and move()
  // Polls on one connection for as long as answers come; returns what became of the last poll.
  PollResult poll_on_one_connection(const sockaddr_in& discovery, SocketInterrupter& interrupter);

  core::Balancer& balancer_;
  BackendDirectory& directory_;
  Counters& counters_;
  std::mutex lock_;  // guards discovery_, interrupter_, has_moved_ and stopped_; changed_ signals changes
  std::condition_variable changed_;
  sockaddr_in discovery_;
  // Replaced for each address of discovery.
  std::shared_ptr<SocketInterrupter> interrupter_ = std::make_shared<SocketInterrupter>();
  bool has_moved_ = false, stopped_ = false;
  bool was_requested_ = false;  // used by run() only
  std::int64_t version_;        // of the list in force; this and the next two are used by run() only
  core::DiscoverySchedule schedule_;
  core::DiscoverySchedule::NextPoll next_ = schedule_.first();
  const std::function<void()> on_list_;  // called after each list that the balancer was given
};

}  // namespace troutstage::net
