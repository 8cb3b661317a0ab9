#include "core/lanes.h"

#include <algorithm>

namespace troutstage::core {

WorkloadRegistry::Assignment WorkloadRegistry::apply_settings(const std::vector<std::string>& names, const std::vector<Workload>& workloads) {
  Assignment plan;
  const std::vector<Entry> before = entries_;  // also holds the leases: none of these is free in here
  plan.inherits_from.resize(entries_.size());
  for (Index n = 0; n < entries_.size(); ++n) plan.inherits_from[n] = n, entries_[n].is_configured = false;
  // Two are held here, in `before` and in lanes_: a third is somebody's.
  const auto is_free = [&](Index n) {
    return !entries_[n].is_configured && (n >= before.size() || (!before[n].is_configured && entries_[n].workload_reference.use_count() <= 2));
  };
  for (std::size_t k = 0; k < names.size(); ++k) {
    const auto was = std::find_if(before.begin(), before.end(), [&](const Entry& lane) {
      return lane.is_configured && lane.name == names[k];
    });
    auto n = static_cast<Index>(was - before.begin());
    if (was == before.end() || was->settings != workloads[k]) {
      const Index past = was == before.end() ? kNone : n;
      for (n = 0; n < entries_.size() && !is_free(n);) ++n;
      if (n == entries_.size()) entries_.emplace_back(), plan.inherits_from.push_back(kNone);
      entries_[n] = {names[k], workloads[k], std::make_shared<const int>(0), false};
      plan.inherits_from[n] = past;
    }
    entries_[n].is_configured = true;
    plan.workload_handles.push_back({n, entries_[n].workload_reference});
  }
  for (const Entry& lane : entries_) plan.workloads.push_back(lane.settings);
  return plan;
}

}  // namespace troutstage::core
