#include "config/fleet.h"

#include <fmt/format.h>

#include <cmath>
#include <nlohmann/json.hpp>

#include "core/settings.h"

namespace troutstage {
namespace {

using Json = nlohmann::json;

double ranged(const Json& value, const std::string& key, double least, double most) {
  if (!value.is_number()) throw Malformed(key + " is no number");
  const double n = value.get<double>();
  if (!(n >= least && n <= most)) throw Malformed(fmt::format("{} is not between {} and {}", key, least, most));
  return n;
}
TenthsOfMs span(const Json& value, const std::string& key, double least_ms, double most_ms) {
  return static_cast<TenthsOfMs>(std::llround(ranged(value, key, least_ms, most_ms) * 10));
}

void read_membership(const Json& json, FleetFile::Membership& m) {
  if (!json.is_object()) throw Malformed("membership is no object");
  for (const auto& [name, value] : json.items()) {
    const std::string key = "membership." + name;
    if (name == "enabled") {
      if (!value.is_boolean()) throw Malformed(key + " is neither true nor false");
      m.enabled = value.get<bool>();
    } else if (name == "cluster") {
      if (!value.is_string() || value.get<std::string>().empty() || value.get<std::string>().size() > 64)
        throw Malformed(key + " is no text of 1 to 64 bytes");
      m.cluster = value.get<std::string>();
    } else if (name == "self" && value == "name") {
      m.self_by_name = true;
    } else if (name == "self") {
      const double n = ranged(value, key, 0, members::kMostNodes - 1);
      if (n != std::floor(n)) throw Malformed(key + " is no whole number");
      m.self = static_cast<int>(n);
    } else if (name == "probe_ms") {
      m.timing.probe = span(value, key, 50, 10000);
    } else if (name == "answer_ms") {
      m.timing.answer = span(value, key, 10, 5000);
    } else if (name == "suspect_ms") {
      m.timing.suspect = span(value, key, 200, 60000);
    } else if (name == "confirm_most_ms") {
      m.timing.confirm_most = span(value, key, 100, 60000);
    } else if (name == "confirm_least_ms") {
      m.timing.confirm_least = span(value, key, 50, 60000);
    } else if (name == "roll_call_ms") {
      m.timing.roll_call = span(value, key, 100, 30000);
    } else if (name == "lost_ms") {
      m.timing.lost = span(value, key, 1000, 600000);
    } else if (name == "helpers") {
      m.timing.helpers = static_cast<int>(ranged(value, key, 0, 16));
    } else if (name == "lease_ms") {
      m.sharing.lease = span(value, key, 500, 300000);
    } else if (name == "reserve") {
      m.sharing.reserve = ranged(value, key, 0, 1);
    } else {
      throw Malformed("unknown key " + key);
    }
  }
  const auto& t = m.timing;
  if (t.answer >= t.probe) throw Malformed("membership.answer_ms is not below membership.probe_ms");
  if (t.suspect < 2 * t.probe) throw Malformed("membership.suspect_ms is below twice membership.probe_ms");
  if (t.confirm_least > t.confirm_most) throw Malformed("membership.confirm_least_ms is over membership.confirm_most_ms");
  if (m.sharing.lease < 3 * t.roll_call) throw Malformed("membership.lease_ms is below three times membership.roll_call_ms");
  if (t.lost <= m.sharing.lease) throw Malformed("membership.lost_ms is not over membership.lease_ms");
}

}  // namespace

FleetFile read_fleet(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    if (!json.is_object()) throw Malformed("it is no object");
    FleetFile fleet;
    for (const auto& [name, value] : json.items()) {
      if (name == "membership") read_membership(value, fleet.membership);
      else throw Malformed("unknown key " + name);
    }
    return fleet;
  } catch (const Json::exception& broken) {
    throw Malformed(broken.what());
  }
}

}  // namespace troutstage
