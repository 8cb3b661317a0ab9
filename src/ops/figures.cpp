#include "ops/figures.h"

#include <nlohmann/json.hpp>

namespace troutstage::ops {

std::string figures_text(const net::Figures& figures) {
  using Json = nlohmann::ordered_json;
  Json fulfilled = Json::object(), throttled = Json::object(), faulted = Json::object();
  for (const auto& [name, answers] : figures.by_workload) {
    fulfilled[name] = answers.succeeded;
    throttled[name] = answers.rejected;
    faulted[name] = answers.given_up;
  }
  return Json{{"fulfilled", fulfilled},
              {"throttled", throttled},
              {"faulted", faulted},
              {"relayed", figures.written},
              {"open_requests", figures.open},
              {"registry_entries", figures.listed},
              {"out_of_rotation", figures.avoided},
              {"cfg_accepted", figures.reloads},
              {"cfg_invalid", figures.reloads_failed}}
             .dump() +
         "\n";
}

}  // namespace troutstage::ops
