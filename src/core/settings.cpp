#include "core/settings.h"

#include <charconv>

namespace troutstage {
namespace {

constexpr std::int64_t kMicrosPerTenthOfMs = 100;

constexpr std::pair<std::string_view, Semantics> kSemantics[] = {
    {"repeatable", Semantics::idempotent}, {"by_key", Semantics::idempotency_keyed}, {"once", Semantics::non_idempotent}};
constexpr std::pair<std::string_view, DeduplicationScope> kGroups[] = {
    {"all", DeduplicationScope::all}, {"zone", DeduplicationScope::zone}, {"cell", DeduplicationScope::cell}};
// Whether a probe's answer brings a report.
constexpr std::pair<std::string_view, bool> kReportModes[] = {
    {"pull", true}, {"piggyback", true}, {"silent", false}};
constexpr std::pair<std::string_view, bool> kDiscoveryModes[] = {{"on_request", true}, {"pushed", false}};
constexpr std::pair<std::string_view, bool> kBools[] = {
    {"1", true}, {"0", false}, {"true", true}, {"false", false}};

// Typed look-ups by path.
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
  double cost(const std::string& path) const {
    const double value = parse_number(text_or(path, "0"), path.c_str());
    if (value < 0) throw Malformed(path + " is below 0");
    return value;
  }
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

Index find_or_add(IndexByName& names, std::string_view name) {
  auto found = names.find(name);
  if (found != names.end()) return found->second;
  return names.emplace(std::string(name), static_cast<Index>(names.size())).first->second;
}

Settings read_settings(const SettingPairs& from, std::uint64_t seed, NameIndices& names) {
  const Lookup pairs(from);
  Settings s;
  s.seed = seed;
  s.zone = find_or_add(names.zones, pairs.text("zone"));
  s.nodes = pairs.count("instances");
  s.max_hand_offs = pairs.count("bounds.max-hand-offs");
  if (s.max_hand_offs < 1) throw Malformed("bounds.max-hand-offs is not over 0");
  s.is_discovery_on_request = parse_enum(pairs.text("discovery"), kDiscoveryModes, "discovery");
  s.may_cancel = pairs.flag("bounds.cancel");
  const bool reports = parse_enum(pairs.text_or("report.how", "silent"), kReportModes, "report.how");
  s.may_probe = pairs.flag("bounds.probes") && reports;
  if (pairs.count("bounds.streams-per-conn", "1") < 1)
    throw Malformed("bounds.streams-per-conn is not over 0");
  s.may_hedge = pairs.flag("bounds.second-copies");
  s.client_honors_retry_after = pairs.flag("bounds.retry-after");
  s.max_retry_after = pairs.duration("bounds.max-retry-after");
  s.is_billed_by_work = pairs.text_or("billing-value-basis", "request") == "work";
  s.beyond_share_value =
      parse_number(pairs.text_or("beyond-share-billing-value", "1"), "beyond-share-billing-value");
  s.cross_zone_cost = pairs.cost("costs.cross-zone");
  s.connect_cost = pairs.cost("costs.handshake");
  s.tick = pairs.duration("tick");
  s.connect_timeout = pairs.duration("bounds.connect-timeout");
  s.keepalive = parse_microseconds(pairs.text_or("bounds.keepalive", "0"), "bounds.keepalive");
  s.drain_grace = pairs.duration("rules.drain-grace");
  s.discovery_retry_within = s.is_discovery_on_request ? pairs.duration("rules.ask-within")
                            : parse_microseconds(pairs.text_or("rules.ask-within", "10000000"), "rules.ask-within");
  s.slow_start_window = pairs.duration("rules.fall");
  s.slow_start_duration = pairs.duration("rules.warm-within");
  s.slow_start_multiple = pairs.number("rules.fall-multiple");
  s.initial_capacity_share = pairs.number("rules.cold-from");
  for (int i = 0, n = pairs.count("workloads.count"); i < n; ++i) {
    std::string at = "workloads." + std::to_string(i) + ".";
    Workload w;
    w.semantics = parse_enum(pairs.text(at + "semantics"), kSemantics, "semantics");
    w.deduplication_scope = parse_enum(pairs.text_or(at + "group", "all"), kGroups, "group");
    w.deduplication_window = parse_microseconds(pairs.text_or(at + "window", "0"), "window");
    w.latency_objective = pairs.duration(at + "due-time");
    w.time_limit = pairs.duration(at + "time-limit");
    w.billing_value = pairs.number(at + "billing-value");
    w.late_value_share = parse_number(pairs.text_or(at + "overdue-billing-value", "0"), "overdue-billing-value");
    const auto [named_one, fresh] =
        names.workloads.emplace(std::string(pairs.text(at + "name")), static_cast<Index>(i));
    if (!fresh && named_one->second != static_cast<Index>(i))
      throw Malformed("two workloads are called '" + named_one->first + "'");
    if (w.time_limit <= 0 || w.latency_objective <= 0)
      throw Malformed("workload '" + named_one->first + "' has a time not over 0");
    s.workloads.push_back(w);
  }
  for (int i = 0, n = pairs.count("tenants.count", "0"); i < n; ++i) {
    std::string at = "tenants." + std::to_string(i) + ".";
    names.tenants.emplace(std::string(pairs.text(at + "name")), static_cast<Index>(i));
    s.tenants.push_back({pairs.number(at + "share"), pairs.number(at + "quota-per-s")});
  }
  return s;
}

}  // namespace troutstage
