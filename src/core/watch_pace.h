// Schedules the long polls of the discovery service: when the next poll starts, how long discovery may hold
// it, and when a missing answer means that the watch is broken. A watch is a sequence of polls, each for the
// changes since the list before it.
//
// Usage: pass the result of each poll to after(), in order, and make the next poll as its return value says.
// The class does no I/O, reads no clock and is not thread-safe. Times are tenths of a millisecond of one
// steady clock.
//
// Requirements: a watch that falls silent looks like a watch without news. By the platform's rules, a node
// counts as informed of a change that the watch misses 6 s after the silence began (2 s after the wait of the
// last poll, if that is later), whether or not the change arrived. The same holds 4 s after an order to use
// another discovery address. Docs: docs/design.md, "Discovery".
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>
#include <utility>

#include "decide.h"

namespace troutstage::core {

// The schedule of one watch and its successors.
class DiscoverySchedule {
 public:
  // How a poll ended.
  enum class PollResult {
    answered,         // discovery sent a list, perhaps without changes
    turned_away,      // discovery answered with anything but a list
    silent,           // no answer in time
    lost,             // the connection failed or broke, or the answer is malformed
    address_changed,  // this node cancelled the poll: the next poll goes to another discovery address
  };
  // When and how to make the next poll.
  struct NextPoll {
    TenthsOfMs pause = 0;           // delay before the poll
    TenthsOfMs wait = 0;            // how long discovery may hold the poll while there is no news
    TenthsOfMs answer_timeout = 0;  // how long to wait for the answer after `wait`
  };

  // `seed`: for the random parts of delays.
  explicit DiscoverySchedule(std::uint64_t seed) : random_(seed) {}
  NextPoll first() { return {0, wait(), kFirstAnswerTimeout}; }
  NextPoll after(TenthsOfMs now, PollResult result);
  // Whether the last poll was answered, so the next poll continues the watch.
  bool is_established() const { return is_established_; }

 private:
  // A poll that continues a watch is cheap for discovery; a poll that begins a watch is not. With short waits
  // a silent watch is noticed early, so a whole fleet has time to begin new watches at a discovery service
  // that accepts only a limited number at once. The wait is randomized because the watches of all nodes
  // begin, and are answered with news, at the same moments.
  static constexpr TenthsOfMs kPollWait = 10000;
  // The answer is due at the end of the wait. Before that, discovery may queue the first poll
  // of a watch.
  static constexpr TenthsOfMs kAnswerTimeout = 5000, kFirstAnswerTimeout = 25000;
  // Within this time after a silent poll or a change of address, the node counts as informed of what the
  // watch missed, so retries are faster.
  static constexpr TenthsOfMs kHurryFor = 60000;
  // Mean delay before a retry within that time.
  static constexpr TenthsOfMs kHurriedRetryDelay = 2000;
  // Mean delay before a retry at other times: after the first failure, and after further failures. A node
  // counts as informed of a change 6 s after discovery is reachable again, so several polls have to fit in.
  static constexpr TenthsOfMs kFirstRetryDelay = 5000, kRetryDelay = 10000;

  TenthsOfMs wait() { return randomized(kPollWait, 0.25); }
  // A random value of [mean * (1 - spread), mean * (1 + spread)).
  TenthsOfMs randomized(TenthsOfMs mean, double spread) {
    return static_cast<TenthsOfMs>(static_cast<double>(mean) *
                                   (1 - spread + 2 * spread * std::generate_canonical<double, 32>(random_)));
  }

  std::knuth_b random_;
  bool is_established_ = false;
  bool has_failed_ = false;                     // the last poll was turned away or lost
  TenthsOfMs answer_timeout_ = kAnswerTimeout;  // for polls that continue a watch
  TenthsOfMs hurry_until_ = INT64_MIN;
};

}  // namespace troutstage::core
