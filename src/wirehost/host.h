// Hosts many instances of the decisions on one pair of streams.
#pragma once

#include <istream>
#include <ostream>

namespace troutstage::wirehost {

// Runs until the input ends. Returns the process's exit code; what is malformed is named on `complaints`.
int run(std::istream& in, std::ostream& out, std::ostream& complaints);

}  // namespace troutstage::wirehost
