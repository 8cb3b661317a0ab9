// A virtual network and clock in which the real membership engines of many nodes run from one seed, with faults drawn
// from it or written down, and with every invariant checked after each step by what the wire and the engines show.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "members/engine.h"

namespace troutstage::lab {

// One kind of fault over a span of time. Times in seconds of the run.
struct Fault {
  enum class Kind { loss, twice, delay, cut_link, cut_in, cut_out, split, pause, crash, slow, leave, lost_zone };
  Kind kind = Kind::loss;
  double from = 0, until = 0;       // crash: it starts again at `until`, if that is later
  std::vector<Index> nodes;         // whom it concerns; cut_link: from the first to the second only
  double amount = 0;                // loss, twice: a share; delay, slow: mean milliseconds more
};
std::string text(const Fault& fault);

enum class Policy { agreed, heartbeats, swim };  // the last two are baselines

struct Scenario {
  std::uint32_t nodes = 9;
  std::uint32_t zones = 3;
  double seconds = 60;
  double settle = 45;  // without faults, at the end: all have to be one view again
  double delay_ms = 1;
  std::uint64_t seed = 1;
  Policy policy = Policy::agreed;
  bool together = true;         // all are members of one view at the start
  std::vector<Fault> faults;
  members::Timing timing;
  members::Sharing sharing;
};
// Reads a scenario file (JSON). Throws Malformed with one line that names the key.
Scenario read_scenario(const std::string& json);
// A mixture of all the faults, drawn from the seed.
Scenario drawn(std::uint64_t seed, std::uint32_t nodes, double seconds);

// An invariant was broken. The text names it, the seed and the step, with what came just before.
struct Broken : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Outcome {
  std::uint64_t steps = 0, datagrams = 0, bytes = 0, views = 0, suspicions = 0, refuted = 0, false_removals = 0;
  std::uint64_t trace = 0;       // a hash over all steps: the same for the same seed
  double node_seconds = 0;
  double together_s = 0;          // from the start of all to one view of all
  std::vector<double> removal_s;  // crash to agreed removal at the last survivor, for each node that crashed
  std::vector<double> first_removal_s;
  bool one_view = false;  // at the end, of all that live
  std::uint64_t most_sent = 0;  // datagrams of one node
  struct Sample {
    double at = 0, part_sum = 0;
    std::size_t live = 0, in_majority = 0, members = 0;  // members: of the newest view
    std::uint64_t number = 0;
  };
  std::vector<Sample> samples;  // one a second
};

// Throws Broken. `log`: where to write each note, or nothing.
Outcome run(const Scenario& scenario, const std::function<void(const std::string&)>& log = {});

}  // namespace troutstage::lab
