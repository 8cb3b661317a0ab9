// A node's part of what all nodes together may do. Half of the whole, as a rule, is given out for good, alike to
// each peer listed, so that a node may send its own also where it can ask nobody. The rest is shared by the members
// of the agreed view, and only those who know that it was the newest a short while ago.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>

#include "decide.h"

namespace troutstage::members {

struct Sharing {
  double reserve = 0.5;    // of the whole, given out for good: 0 to 1
  TenthsOfMs lease = 50000;    // so old the knowledge may be that the view is the newest
  TenthsOfMs hold = 65000;     // after a change what it freed is used this much later: over the lease, and the window of
                           // time in which sends count
};

class Parts {
 public:
  explicit Parts(const Sharing& sharing) : sharing_(sharing) {}

  // A view was accepted. `in`: the node is one of its `size` members.
  void installed(TenthsOfMs now, std::uint64_t number, bool in, std::size_t size) {
    const bool follows = !held_.empty() && number == held_.back().number + 1;
    if (!in) held_.clear();
    // One that was skipped may have been larger than both round it.
    else if (!follows) held_.clear(), since_ = now;
    if (!in) return;
    if (!held_.empty()) held_.back().until = now;
    held_.push_back({number, static_cast<double>(size), INT64_MAX});
  }

  // Of a whole of 1. `newest_at`: when the view was known to be the newest.
  double part(TenthsOfMs now, TenthsOfMs newest_at, std::uint32_t roster) const {
    const double given = sharing_.reserve / std::max<std::uint32_t>(1, roster);
    if (held_.empty() || now - newest_at >= sharing_.lease || now - since_ < sharing_.hold) return given;
    double most = 1;
    for (const Held& h : held_)
      if (now - sharing_.hold < h.until) most = std::max(most, h.size);
    return given + (1 - sharing_.reserve) / most;
  }

  void forget_old(TenthsOfMs now) {
    while (held_.size() > 1 && held_.front().until <= now - sharing_.hold) held_.pop_front();
  }

 private:
  struct Held {
    std::uint64_t number;
    double size;
    TenthsOfMs until;
  };
  Sharing sharing_;
  std::deque<Held> held_;  // the present one last
  TenthsOfMs since_ = 0;       // it has been a member of each view without a gap
};

}  // namespace troutstage::members
