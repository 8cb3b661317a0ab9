#include "core/settings.h"

#include <charconv>

namespace troutstage {
namespace {

constexpr std::int64_t kMicrosPerTenthOfMs = 100;

constexpr std::pair<std::string_view, Semantics> kSemantics[] = {{"repeatable", Semantics::idempotent},
                                                                 {"by_key", Semantics::idempotency_keyed},
                                                                 {"once", Semantics::non_idempotent}};
constexpr std::pair<std::string_view, DeduplicationScope> kGroups[] = {
    {"all", DeduplicationScope::all}, {"zone", DeduplicationScope::zone}, {"cell", DeduplicationScope::cell}};
// Whether the answer to a probe carries a load report.
constexpr std::pair<std::string_view, bool> kReportModes[] = {
    {"pull", true}, {"piggyback", true}, {"silent", false}};
// Whether the node has to request the backend list.
constexpr std::pair<std::string_view, bool> kDiscoveryModes[] = {{"on_request", true}, {"pushed", false}};
constexpr std::pair<std::string_view, bool> kBools[] = {
    {"1", true}, {"0", false}, {"true", true}, {"false", false}};

// Typed access to settings by path. Throws Malformed if a value is malformed, or missing without a default.
class Lookup {
 public:
  explicit Lookup(const SettingPairs& pairs) : values_(pairs) {}
  std::string_view text(const std::string& path) const {
    auto found = values_.find(path);
    if (found == values_.end()) throw Malformed("setting " + path + " is missing");
    return found->second;
  }
  std::string_view text_or(const std::string& path, std::string_view fallback) const {
    auto found = values_.find(path);
    return found == values_.end() ? fallback : found->second;
  }
  double number(const std::string& path) const { return parse_number(text(path), path.c_str()); }
  TenthsOfMs duration(const std::string& path) const { return parse_microseconds(text(path), path.c_str()); }
  bool flag(const std::string& path) const { return parse_enum(text(path), kBools, path.c_str()); }
  // Optional, 0 by default.
  double cost(const std::string& path) const {
    const double value = parse_number(text_or(path, "0"), path.c_str());
    if (value < 0) throw Malformed(path + " is below 0");
    return value;
  }
  // At most 1000000. Required if `fallback` is empty.
  int count(const std::string& path, std::string_view fallback = "") const {
    std::string_view value = fallback.empty() ? text(path) : text_or(path, fallback);
    std::int64_t n = parse_integer(value, path.c_str());
    if (n < 0 || n > 1000000) throw Malformed(path + " is out of range");
    return static_cast<int>(n);
  }

 private:
  const SettingPairs& values_;
};

}  // namespace

std::int64_t parse_integer(std::string_view text, const char* what) {
  std::int64_t value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size())
    throw Malformed(std::string(what) + " is no whole number: '" + std::string(text) + "'");
  return value;
}

double parse_number(std::string_view text, const char* what) {
  double value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !(value > -1e15 && value < 1e15))
    throw Malformed(std::string(what) + " is no number: '" + std::string(text) + "'");
  return value;
}

TenthsOfMs parse_microseconds(std::string_view micros, const char* what) {
  return micros == "-" ? 0 : parse_integer(micros, what) / kMicrosPerTenthOfMs;
}

Index find_or_add(IndexByName& indices, std::string_view name) {
  auto found = indices.find(name);
  if (found != indices.end()) return found->second;
  return indices.emplace(std::string(name), static_cast<Index>(indices.size())).first->second;
}

Settings read_settings(const SettingPairs& pairs, std::uint64_t seed, NameIndices& names) {
  const Lookup lookup(pairs);
  Settings settings;
  settings.seed = seed;
  settings.zone = find_or_add(names.zones, lookup.text("zone"));
  settings.nodes = lookup.count("instances");
  settings.max_hand_offs = lookup.count("bounds.max-hand-offs");
  if (settings.max_hand_offs < 1) throw Malformed("bounds.max-hand-offs is not over 0");
  settings.is_discovery_on_request = parse_enum(lookup.text("discovery"), kDiscoveryModes, "discovery");
  settings.may_cancel = lookup.flag("bounds.cancel");
  const bool has_load_reports =
      parse_enum(lookup.text_or("report.how", "silent"), kReportModes, "report.how");
  settings.may_probe = lookup.flag("bounds.probes") && has_load_reports;
  if (lookup.count("bounds.streams-per-conn", "1") < 1)
    throw Malformed("bounds.streams-per-conn is not over 0");
  settings.may_hedge = lookup.flag("bounds.second-copies");
  settings.client_honors_retry_after = lookup.flag("bounds.retry-after");
  settings.max_retry_after = lookup.duration("bounds.max-retry-after");
  settings.is_billed_by_work = lookup.text_or("billing-value-basis", "request") == "work";
  settings.beyond_share_value =
      parse_number(lookup.text_or("beyond-share-billing-value", "1"), "beyond-share-billing-value");
  settings.cross_zone_cost = lookup.cost("costs.cross-zone");
  settings.connect_cost = lookup.cost("costs.handshake");
  settings.tick = lookup.duration("tick");
  settings.connect_timeout = lookup.duration("bounds.connect-timeout");
  settings.keepalive = parse_microseconds(lookup.text_or("bounds.keepalive", "0"), "bounds.keepalive");
  settings.drain_grace = lookup.duration("rules.drain-grace");
  settings.discovery_retry_within =
      settings.is_discovery_on_request
          ? lookup.duration("rules.ask-within")
          : parse_microseconds(lookup.text_or("rules.ask-within", "10000000"), "rules.ask-within");
  settings.slow_start_window = lookup.duration("rules.fall");
  settings.slow_start_duration = lookup.duration("rules.warm-within");
  settings.slow_start_multiple = lookup.number("rules.fall-multiple");
  settings.initial_capacity_share = lookup.number("rules.cold-from");
  for (int i = 0, n = lookup.count("workloads.count"); i < n; ++i) {
    std::string prefix = "workloads." + std::to_string(i) + ".";
    Workload workload;
    workload.semantics = parse_enum(lookup.text(prefix + "semantics"), kSemantics, "semantics");
    workload.deduplication_scope = parse_enum(lookup.text_or(prefix + "group", "all"), kGroups, "group");
    workload.deduplication_window = parse_microseconds(lookup.text_or(prefix + "window", "0"), "window");
    workload.latency_objective = lookup.duration(prefix + "due-time");
    workload.time_limit = lookup.duration(prefix + "time-limit");
    workload.billing_value = lookup.number(prefix + "billing-value");
    workload.late_value_share =
        parse_number(lookup.text_or(prefix + "overdue-billing-value", "0"), "overdue-billing-value");
    const auto [entry, is_new] =
        names.workloads.emplace(std::string(lookup.text(prefix + "name")), static_cast<Index>(i));
    if (!is_new && entry->second != static_cast<Index>(i))
      throw Malformed("two workloads are called '" + entry->first + "'");
    if (workload.time_limit <= 0 || workload.latency_objective <= 0)
      throw Malformed("workload '" + entry->first + "' has a time-limit or due-time that is not over 0");
    settings.workloads.push_back(workload);
  }
  for (int i = 0, n = lookup.count("tenants.count", "0"); i < n; ++i) {
    std::string prefix = "tenants." + std::to_string(i) + ".";
    names.tenants.emplace(std::string(lookup.text(prefix + "name")), static_cast<Index>(i));
    settings.tenants.push_back({lookup.number(prefix + "share"), lookup.number(prefix + "quota-per-s")});
  }
  return settings;
}

}  // namespace troutstage
