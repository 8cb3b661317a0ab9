// The configuration that requests are served under. A snapshot: a reload replaces it whole and never changes
// it, so a request keeps the snapshot that was valid when it arrived.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>

#include "core/lanes.h"
#include "core/settings.h"
#include "net/counters.h"

namespace troutstage::net {

// A workload that clients may name in a request.
struct WorkloadEntry {
  core::WorkloadRegistry::WorkloadHandle workload_handle;
  Semantics semantics = Semantics::non_idempotent;
  std::shared_ptr<AnswerCounts> answers;
  // How long the id of a request that may have run stays known, counted from its end.
  std::chrono::milliseconds id_keep_time{0};
};

// Immutable once it is published, so any thread may read it.
struct RequestConfig {
  std::map<std::string, WorkloadEntry, std::less<>> workloads;
  IndexByName tenants;
  // A hand-off that is in flight may be cancelled.
  bool may_cancel = false;
  // Limit for connecting to a backend.
  std::chrono::microseconds connect_timeout{0};
};

}  // namespace troutstage::net
