// Turns a configuration for a pool of nodes into one for a node beside each client process. Reads no file and
// writes none.
#pragma once

#include <string>
#include <vector>

namespace troutstage::migrate {

// What no old file says of the new deployment.
struct Target {
  int nodes = 0;    // of all processes together; 0: not said
  int streams = 0;  // hand-offs that a connection carries at once; 0: not said
  std::string listen;
};

struct Migrated {
  std::string text;                  // the new file
  std::vector<std::string> changed;  // one line each
  std::vector<std::string> left;     // what could not be carried over, and what to do about it
};

// Throws Malformed where the old file can't be used itself.
Migrated migrate(const std::string& old_file, const Target& target);

}  // namespace troutstage::migrate
