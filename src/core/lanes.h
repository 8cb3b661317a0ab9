// The small numbers of workloads, while settings change under way: one whose terms change goes on under
// another number, and a number is given again only once nothing refers to what it stood for.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "decide.h"

namespace troutstage::core {

class WorkloadRegistry {
 public:
  struct WorkloadHandle {
    Index workload = 0;
    std::shared_ptr<const void> workload_reference;  // the number stands for this workload for as long as anybody has it
  };
  struct Assignment {
    std::vector<Workload> workloads;  // by number, also those that only invocations under way still have
    std::vector<Index> inherits_from;          // by number: whose past it goes on from; kNone: it has none
    std::vector<WorkloadHandle> workload_handles;        // in the order of what was given
  };
  // What is offered from now on.
  Assignment apply_settings(const std::vector<std::string>& names, const std::vector<Workload>& workloads);

 private:
  struct Entry {
    std::string name;
    Workload settings;
    std::shared_ptr<const int> workload_reference;
    bool is_configured = false;
  };
  std::vector<Entry> entries_;
};

}  // namespace troutstage::core
