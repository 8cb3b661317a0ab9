// Assigns dense indices to workloads across changes of the settings.
//
// A workload whose settings change gets another index, so invocations in progress keep the old settings under
// the old index. An index is reused only after nothing refers to it.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "decide.h"

namespace troutstage::core {

// Not thread-safe, except that a workload_reference may be copied and released in any thread.
class WorkloadRegistry {
 public:
  // The index of a configured workload.
  struct WorkloadHandle {
    Index workload = 0;
    // The index stands for the same workload until all copies of this reference are released.
    std::shared_ptr<const void> workload_reference;
  };
  // The result of apply_settings().
  struct Assignment {
    // By index. Includes workloads that only invocations in progress still use.
    std::vector<Workload> workloads;
    // By index: the index whose learned state the workload inherits; kNone: no state is inherited.
    std::vector<Index> inherits_from;
    // In the order of the arguments of apply_settings().
    std::vector<WorkloadHandle> workload_handles;
  };
  // Replaces the configured workloads. names[i] is the name of workloads[i].
  Assignment apply_settings(const std::vector<std::string>& names, const std::vector<Workload>& workloads);

 private:
  struct Entry {
    std::string name;
    Workload settings;
    std::shared_ptr<const int> workload_reference;
    bool is_configured = false;  // part of the current settings
  };
  std::vector<Entry> entries_;  // by index
};

}  // namespace troutstage::core
