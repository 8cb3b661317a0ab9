// What the names in a request mean to this node at one moment: a whole that is swapped, never changed.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>

#include "core/lanes.h"
#include "core/settings.h"
#include "net/counters.h"

namespace troutstage::net {

struct Offer {
  core::WorkloadRegistry::WorkloadHandle workload_handle;
  Semantics semantics = Semantics::non_idempotent;
  std::shared_ptr<AnswerCounts> answers;
};

struct RequestConfig {
  std::map<std::string, Offer, std::less<>> workloads;
  IndexByName tenants;
  bool may_cancel = false;
  std::chrono::microseconds connect_timeout{0};
};

}  // namespace troutstage::net
