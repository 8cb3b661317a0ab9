#include "core/lanes.h"

#include <algorithm>

namespace troutstage::core {

Lanes::Plan Lanes::settle(const std::vector<std::string>& names, const std::vector<Workload>& workloads) {
  Plan plan;
  const std::vector<Lane> before = lanes_;  // also holds the leases: none of these is free in here
  plan.like.resize(lanes_.size());
  for (Index n = 0; n < lanes_.size(); ++n) plan.like[n] = n, lanes_[n].offered = false;
  // Two are held here, in `before` and in lanes_: a third is somebody's.
  const auto is_free = [&](Index n) {
    return !lanes_[n].offered && (n >= before.size() || (!before[n].offered && lanes_[n].lease.use_count() <= 2));
  };
  for (std::size_t k = 0; k < names.size(); ++k) {
    const auto was = std::find_if(before.begin(), before.end(), [&](const Lane& lane) {
      return lane.offered && lane.name == names[k];
    });
    auto n = static_cast<Index>(was - before.begin());
    if (was == before.end() || was->terms != workloads[k]) {
      const Index past = was == before.end() ? kNone : n;
      for (n = 0; n < lanes_.size() && !is_free(n);) ++n;
      if (n == lanes_.size()) lanes_.emplace_back(), plan.like.push_back(kNone);
      lanes_[n] = {names[k], workloads[k], std::make_shared<const int>(0), false};
      plan.like[n] = past;
    }
    lanes_[n].offered = true;
    plan.offers.push_back({n, lanes_[n].lease});
  }
  for (const Lane& lane : lanes_) plan.workloads.push_back(lane.terms);
  return plan;
}

}  // namespace troutstage::core
