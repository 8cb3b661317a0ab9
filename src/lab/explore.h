// Every order in which the words on a change of the view can come: explicit-state exploration of the real engines,
// with messages lost, doubled and overtaking one another, and one node that crashes and comes back from nothing.
#pragma once

#include <cstdint>
#include <string>

namespace troutstage::lab {

struct Exploration {
  std::uint32_t nodes = 3;
  int depth = 10;       // steps from the start, at the most
  int proposals = 2;    // different changes are proposed, each by another node
  int doubled = 1;      // messages that come twice, in one run
  bool crash = true;
  std::uint64_t most_states = 20000000;
  int forms = 0;  // times that a node which has lost the majority forms a view anew; any may lose it, once each
  bool lost = false;  // all have lost it from the start
};
struct Explored {
  std::uint64_t states = 0, steps = 0, agreed = 0;  // agreed: states in which some node holds a new view
  std::uint64_t formed = 0;                         // ... that was formed anew
  bool whole = true;  // all within the depth were seen
};

// Throws Broken, with the steps that lead there.
Explored explore(const Exploration& what);

}  // namespace troutstage::lab
