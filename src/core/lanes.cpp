#include "core/lanes.h"

#include <algorithm>

namespace troutstage::core {

WorkloadRegistry::Assignment WorkloadRegistry::apply_settings(const std::vector<std::string>& names,
                                                              const std::vector<Workload>& workloads) {
  Assignment assignment;
  // The copy also holds the references, so no reference count drops to 0 during this call.
  const std::vector<Entry> previous = entries_;
  assignment.inherits_from.resize(entries_.size());
  for (Index n = 0; n < entries_.size(); ++n)
    assignment.inherits_from[n] = n, entries_[n].is_configured = false;
  // This function holds two references, in `previous` and in entries_. Any further reference belongs to an
  // invocation or to a WorkloadHandle that is still in use.
  const auto is_free = [&](Index n) {
    return !entries_[n].is_configured &&
           (n >= previous.size() ||
            (!previous[n].is_configured && entries_[n].workload_reference.use_count() <= 2));
  };
  for (std::size_t k = 0; k < names.size(); ++k) {
    const auto match = std::find_if(previous.begin(), previous.end(), [&](const Entry& entry) {
      return entry.is_configured && entry.name == names[k];
    });
    auto n = static_cast<Index>(match - previous.begin());
    if (match == previous.end() || match->settings != workloads[k]) {
      const Index inherited = match == previous.end() ? kNone : n;
      for (n = 0; n < entries_.size() && !is_free(n);) ++n;
      if (n == entries_.size()) entries_.emplace_back(), assignment.inherits_from.push_back(kNone);
      entries_[n] = {names[k], workloads[k], std::make_shared<const int>(0), false};
      assignment.inherits_from[n] = inherited;
    }
    entries_[n].is_configured = true;
    assignment.workload_handles.push_back({n, entries_[n].workload_reference});
  }
  for (const Entry& entry : entries_) assignment.workloads.push_back(entry.settings);
  return assignment;
}

}  // namespace troutstage::core
