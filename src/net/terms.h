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
  core::Lanes::Offer lane;
  Semantics semantics = Semantics::irreversible;
  std::shared_ptr<Answers> answers;
};

struct Terms {
  std::map<std::string, Offer, std::less<>> workloads;
  Indices tenants;
  bool may_recall = false;
  std::chrono::microseconds connect_limit{0};
};

}  // namespace troutstage::net
