// What a node is told at its start: its configuration file, with the environment's and the command line's
// word over it.
#pragma once

#include <string>
#include <vector>

#include "config/fleet.h"
#include "core/settings.h"

namespace troutstage {

struct Config {
  std::string name, listen, discovery;
  std::string mgmt;               // where operators call; empty: nowhere
  int passed_socket = -1;         // the clients' listener that it was started with; -1: none
  std::string scratch;            // a folder that another process of this node sees too
  std::string discovery_in_file;  // what the file itself says of it
  std::string peer_listen;         // where other nodes' datagrams come; and where each node's go, in order
  std::vector<std::string> peers;
  std::string zone;                // its name
  FleetFile fleet;                     // what nodes do together: nothing, without an operator's own file
  std::string known;  // the list as it was last had, in discovery's form
  std::size_t descriptors = 1024, memory_mb = 192;
  std::size_t own_descriptors = 0;  // what else in this process keeps open
  Settings settings;
  SettingPairs given;  // all of the file but the list, by paths
  NameIndices names;
  std::vector<std::string> unused;  // settings that are understood but can't be followed on sockets
};

// Throws Malformed with one line that says what is wrong.
Config read_config(const std::string& json);
// Throws Malformed where `fresh` lacks what the running one has: a default there would be taken for its word.
void check_complete(const Config& running, const Config& fresh);
std::string read_file(const std::string& path);

}  // namespace troutstage
