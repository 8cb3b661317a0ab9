// When discovery is called, what it is asked to wait, and when silence is taken for a broken watch.
//
// How to call it: give after() each thing that became of a call, in order, and make the next call as it says. It does
// no I/O and reads no clock; times are tenths of a millisecond of one steady clock.
//
// What it has to keep: a watch that falls silent looks like one with no news, and what it misses counts as told 6 s
// after that (2 s after the wait of its last call, if that is later) whether or not it arrived; the same holds 4 s after
// an order to watch another place. Docs: docs/design.md, "Discovery".
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>
#include <utility>

#include "decide.h"

namespace troutstage::core {

class DiscoverySchedule {
 public:
  enum class PollResult {
    answered,     // with a list, perhaps of no changes
    turned_away,  // with anything else
    silent,       // not at all in the time that it was given
    lost,         // its connection did not come up, or broke; or its answer can't be read
    address_changed,        // it was ended from here: the next one goes to another place
  };
  struct NextPoll {
    TenthsOfMs pause = 0;     // before that call
    TenthsOfMs wait = 0;      // what it asks discovery to wait for news
    TenthsOfMs answer_timeout = 0;  // for its answer, after that wait
  };

  explicit DiscoverySchedule(std::uint64_t seed) : random_(seed) {}
  NextPoll first() { return {0, wait(), kFirstAnswerTimeout}; }
  NextPoll after(TenthsOfMs now, PollResult was);
  bool is_established() const { return is_established_; }  // the last call was answered

 private:
  // A call on a watch that goes on is cheap for discovery, one that begins a watch is not. Short waits find a silent
  // watch early, which leaves a whole fleet time to begin anew where discovery takes only so many at once; drawn, since
  // every node's watch begins or is answered with news at the same moments.
  static constexpr TenthsOfMs kPollWait = 10000;
  // Its answer comes at the end of that wait. The first call of a watch may have to stand in line before that.
  static constexpr TenthsOfMs kAnswerTimeout = 5000, kFirstAnswerTimeout = 25000;
  static constexpr TenthsOfMs kHurryFor = 60000;  // after a silence or a move, what is missed counts as told within this
  static constexpr TenthsOfMs kHurriedRetryDelay = 2000;    // meanwhile between calls, about
  // Else between calls that fail, about: at first and then. A change counts as told 6 s after discovery could be reached, so
  // several calls have to fit in there.
  static constexpr TenthsOfMs kFirstRetryDelay = 5000, kRetryDelay = 10000;

  TenthsOfMs wait() { return randomized(kPollWait, 0.25); }
  TenthsOfMs randomized(TenthsOfMs about, double by) {
    return static_cast<TenthsOfMs>(static_cast<double>(about) * (1 - by + 2 * by * std::generate_canonical<double, 32>(random_)));
  }

  std::knuth_b random_;
  bool is_established_ = false;
  bool has_failed_ = false;  // the last call
  TenthsOfMs answer_timeout_ = kAnswerTimeout;  // of calls on a watch that goes on
  TenthsOfMs hurry_until_ = INT64_MIN;
};

}  // namespace troutstage::core
