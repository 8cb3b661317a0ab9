// What a node took in, handed off and answered.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

#include "net/ending.h"
#include "net/http.h"

namespace troutstage::net {

struct Counters {
  using Count = std::atomic<std::uint64_t>;
  // Every invocation taken ends as one of the five below it, or is still held.
  Count taken{0};
  Count succeeded{0}, rejected{0}, given_up{0}, client_gone{0}, broke_inside{0};
  // Every hand-off ends in one of the ways of Ended, or is still out.
  Count handed_off{0};
  std::array<Count, kEndedNames.size()> ended{};
  Count connections_taken{0}, accepts_failed{0}, connections_opened{0}, turned_off_full{0},
      turned_off_stopping{0}, answers_unread{0};
  std::array<Count, kBadNames.size()> bad{};  // requests, by what is wrong with them
  Count watches{0}, watches_failed{0};
  Count reloads{0}, reloads_failed{0};

  void count(Ended how) { ++ended[static_cast<std::size_t>(how)]; }
  std::uint64_t bad_requests() const;
  std::string text() const;  // a line for each: its name and figure
};

}  // namespace troutstage::net
