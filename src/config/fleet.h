// The operator's own file on what nodes do together. Without it nothing of that runs.
#pragma once

#include <cstdint>
#include <string>

#include "members/engine.h"

namespace troutstage {

struct FleetFile {
  struct Membership {
    bool enabled = false;
    std::string cluster = "default";  // nodes of another one are not heard
    int self = -1;                    // the node's own place among the peers; -1: that of its own peer_listen,
    bool self_by_name = false;        // or the number that its name ends with
    members::Timing timing;
    members::Sharing sharing;
  } membership;
};

// Throws Malformed with one line that names the key and its range.
FleetFile read_fleet(const std::string& json);

}  // namespace troutstage
