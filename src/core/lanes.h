// The small numbers of workloads, while settings change under way: one whose terms change goes on under
// another number, and a number is given again only once nothing refers to what it stood for.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "decide.h"

namespace troutstage::core {

class Lanes {
 public:
  struct Offer {
    Index workload = 0;
    std::shared_ptr<const void> lease;  // the number stands for this workload for as long as anybody has it
  };
  struct Plan {
    std::vector<Workload> workloads;  // by number, also those that only invocations under way still have
    std::vector<Index> like;          // by number: whose past it goes on from; kNone: it has none
    std::vector<Offer> offers;        // in the order of what was given
  };
  // What is offered from now on.
  Plan settle(const std::vector<std::string>& names, const std::vector<Workload>& workloads);

 private:
  struct Lane {
    std::string name;
    Workload terms;
    std::shared_ptr<const int> lease;
    bool offered = false;
  };
  std::vector<Lane> lanes_;
};

}  // namespace troutstage::core
