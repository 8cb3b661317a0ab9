#include "ops/figures.h"

#include <nlohmann/json.hpp>

namespace troutstage::ops {

std::string figures_text(const net::NodeMetrics& metrics) {
  using Json = nlohmann::ordered_json;
  Json fulfilled = Json::object(), throttled = Json::object(), faulted = Json::object();
  for (const auto& [name, answers] : metrics.by_workload) {
    fulfilled[name] = answers.succeeded;
    throttled[name] = answers.rejected;
    faulted[name] = answers.given_up;
  }
  return Json{{"fulfilled", fulfilled},
              {"throttled", throttled},
              {"faulted", faulted},
              {"relayed", metrics.written},
              {"open_requests", metrics.open},
              {"registry_entries", metrics.listed},
              {"out_of_rotation", metrics.avoided},
              {"cfg_accepted", metrics.reloads},
              {"cfg_invalid", metrics.reloads_failed}}
             .dump() +
         "\n";
}

}  // namespace troutstage::ops
