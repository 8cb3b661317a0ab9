#include "core/settings.h"

#include <charconv>

namespace troutstage {
namespace {

constexpr std::int64_t kMicrosInTenth = 100;

constexpr std::pair<std::string_view, Semantics> kSemantics[] = {
    {"repeatable", Semantics::redoable}, {"by_key", Semantics::labelled}, {"once", Semantics::irreversible}};
constexpr std::pair<std::string_view, Group> kGroups[] = {
    {"all", Group::all}, {"zone", Group::zone}, {"cell", Group::cell}};
// Whether a probe's answer brings a report.
constexpr std::pair<std::string_view, bool> kReports[] = {
    {"pull", true}, {"piggyback", true}, {"silent", false}};
constexpr std::pair<std::string_view, bool> kListed[] = {{"on_request", true}, {"pushed", false}};
constexpr std::pair<std::string_view, bool> kBools[] = {
    {"1", true}, {"0", false}, {"true", true}, {"false", false}};

// Typed look-ups by path.
class Lookup {
 public:
  explicit Lookup(const Pairs& pairs) : values_(pairs) {}
  std::string_view text(const std::string& path) const {
    auto found = values_.find(path);
    if (found == values_.end()) throw Malformed("setting " + path + " is missing");
    return found->second;
  }
  std::string_view text_or(const std::string& path, std::string_view fallback) const {
    auto found = values_.find(path);
    return found == values_.end() ? fallback : found->second;
  }
  double real(const std::string& path) const { return real_number(text(path), path.c_str()); }
  Tenths span(const std::string& path) const { return tenths(text(path), path.c_str()); }
  bool flag(const std::string& path) const { return word(text(path), kBools, path.c_str()); }
  double price(const std::string& path) const {
    const double value = real_number(text_or(path, "0"), path.c_str());
    if (value < 0) throw Malformed(path + " is below 0");
    return value;
  }
  int count(const std::string& path, std::string_view fallback = "") const {
    std::string_view value = fallback.empty() ? text(path) : text_or(path, fallback);
    std::int64_t n = whole_number(value, path.c_str());
    if (n < 0 || n > 1000000) throw Malformed(path + " is out of range");
    return static_cast<int>(n);
  }

 private:
  const Pairs& values_;
};

}  // namespace

std::int64_t whole_number(std::string_view text, const char* what) {
  std::int64_t value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size())
    throw Malformed(std::string(what) + " is no whole number: '" + std::string(text) + "'");
  return value;
}

double real_number(std::string_view text, const char* what) {
  double value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !(value > -1e15 && value < 1e15))
    throw Malformed(std::string(what) + " is no number: '" + std::string(text) + "'");
  return value;
}

Tenths tenths(std::string_view micros, const char* what) {
  return micros == "-" ? 0 : whole_number(micros, what) / kMicrosInTenth;
}

Index named(Indices& names, std::string_view name) {
  auto found = names.find(name);
  if (found != names.end()) return found->second;
  return names.emplace(std::string(name), static_cast<Index>(names.size())).first->second;
}

Settings read_settings(const Pairs& from, std::uint64_t seed, Names& names) {
  const Lookup pairs(from);
  Settings s;
  s.seed = seed;
  s.zone = named(names.zones, pairs.text("zone"));
  s.nodes = pairs.count("instances");
  s.max_hand_offs = pairs.count("bounds.max-hand-offs");
  if (s.max_hand_offs < 1) throw Malformed("bounds.max-hand-offs is not over 0");
  s.must_ask = word(pairs.text("discovery"), kListed, "discovery");
  s.may_recall = pairs.flag("bounds.cancel");
  const bool reports = word(pairs.text_or("report.how", "silent"), kReports, "report.how");
  s.may_probe = pairs.flag("bounds.probes") && reports;
  if (pairs.count("bounds.streams-per-conn", "1") < 1)
    throw Malformed("bounds.streams-per-conn is not over 0");
  s.second_copies = pairs.flag("bounds.second-copies");
  s.client_heeds_retry_in = pairs.flag("bounds.retry-after");
  s.max_retry_in = pairs.span("bounds.max-retry-after");
  s.value_by_work = pairs.text_or("billing-value-basis", "request") == "work";
  s.beyond_share_value =
      real_number(pairs.text_or("beyond-share-billing-value", "1"), "beyond-share-billing-value");
  s.cross_zone_price = pairs.price("costs.cross-zone");
  s.connect_price = pairs.price("costs.handshake");
  s.tick = pairs.span("tick");
  s.connect_timeout = pairs.span("bounds.connect-timeout");
  s.keepalive = tenths(pairs.text_or("bounds.keepalive", "0"), "bounds.keepalive");
  s.drain_grace = pairs.span("rules.drain-grace");
  s.ask_within = s.must_ask ? pairs.span("rules.ask-within")
                            : tenths(pairs.text_or("rules.ask-within", "10000000"), "rules.ask-within");
  s.fall_window = pairs.span("rules.fall");
  s.warm_within = pairs.span("rules.warm-within");
  s.fall_multiple = pairs.real("rules.fall-multiple");
  s.cold_from = pairs.real("rules.cold-from");
  for (int i = 0, n = pairs.count("workloads.count"); i < n; ++i) {
    std::string at = "workloads." + std::to_string(i) + ".";
    Workload w;
    w.semantics = word(pairs.text(at + "semantics"), kSemantics, "semantics");
    w.group = word(pairs.text_or(at + "group", "all"), kGroups, "group");
    w.window = tenths(pairs.text_or(at + "window", "0"), "window");
    w.due_time = pairs.span(at + "due-time");
    w.time_limit = pairs.span(at + "time-limit");
    w.billing_value = pairs.real(at + "billing-value");
    w.overdue_share = real_number(pairs.text_or(at + "overdue-billing-value", "0"), "overdue-billing-value");
    const auto [named_one, fresh] =
        names.workloads.emplace(std::string(pairs.text(at + "name")), static_cast<Index>(i));
    if (!fresh && named_one->second != static_cast<Index>(i))
      throw Malformed("two workloads are called '" + named_one->first + "'");
    if (w.time_limit <= 0 || w.due_time <= 0)
      throw Malformed("workload '" + named_one->first + "' has a time not over 0");
    s.workloads.push_back(w);
  }
  for (int i = 0, n = pairs.count("tenants.count", "0"); i < n; ++i) {
    std::string at = "tenants." + std::to_string(i) + ".";
    names.tenants.emplace(std::string(pairs.text(at + "name")), static_cast<Index>(i));
    s.tenants.push_back({pairs.real(at + "share"), pairs.real(at + "quota-per-s")});
  }
  return s;
}

}  // namespace troutstage
