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

class WatchPace {
 public:
  enum class Was {
    answered,     // with a list, perhaps of no changes
    turned_away,  // with anything else
    silent,       // not at all in the time that it was given
    lost,         // its connection did not come up, or broke; or its answer can't be read
    moved,        // it was ended from here: the next one goes to another place
  };
  struct Next {
    Tenths pause = 0;     // before that call
    Tenths wait = 0;      // what it asks discovery to wait for news
    Tenths patience = 0;  // for its answer, after that wait
  };

  explicit WatchPace(std::uint64_t seed) : chance_(seed) {}
  Next first() { return {0, wait(), kFirstPatience}; }
  Next after(Tenths now, Was was);
  bool goes_on() const { return goes_on_; }  // the last call was answered

 private:
  // A call on a watch that goes on is cheap for discovery, one that begins a watch is not. Short waits find a silent
  // watch early, which leaves a whole fleet time to begin anew where discovery takes only so many at once; drawn, since
  // every node's watch begins or is answered with news at the same moments.
  static constexpr Tenths kWait = 10000;
  // Its answer comes at the end of that wait. The first call of a watch may have to stand in line before that.
  static constexpr Tenths kPatience = 5000, kFirstPatience = 25000;
  static constexpr Tenths kUrgent = 60000;  // after a silence or a move, what is missed counts as told within this
  static constexpr Tenths kPause = 2000;    // meanwhile between calls, about
  // Else between calls that fail, about: at first and then. A change counts as told 6 s after discovery could be reached, so
  // several calls have to fit in there.
  static constexpr Tenths kFirstRetry = 5000, kRetry = 10000;

  Tenths wait() { return drawn(kWait, 0.25); }
  Tenths drawn(Tenths about, double by) {
    return static_cast<Tenths>(static_cast<double>(about) * (1 - by + 2 * by * std::generate_canonical<double, 32>(chance_)));
  }

  std::knuth_b chance_;
  bool goes_on_ = false;
  bool failed_ = false;  // the last call
  Tenths patience_ = kPatience;  // of calls on a watch that goes on
  Tenths urgent_until_ = INT64_MIN;
};

}  // namespace troutstage::core
