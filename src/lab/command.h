// `troutstage lab members`: the membership on a virtual clock, its invariants, figures and plots.
#pragma once

namespace troutstage::lab {

// The words after `lab`. Returns the exit code: 0; 1: an invariant was broken. Throws Malformed.
int command(int argc, char** argv);

}  // namespace troutstage::lab
