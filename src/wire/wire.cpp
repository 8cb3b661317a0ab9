#include "wire/wire.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace troutstage::wire {
namespace {

constexpr std::int64_t kMicrosPerTenthOfMs = 100;

constexpr std::pair<std::string_view, Ending> kEndings[] = {{"OK", Ending::succeeded},
                                                            {"INTERNAL", Ending::error},
                                                            {"RESOURCE_EXHAUSTED", Ending::turned_away},
                                                            {"DEADLINE_EXCEEDED", Ending::timed_out},
                                                            {"UNAVAILABLE", Ending::unreachable},
                                                            {"ABORTED", Ending::broken},
                                                            {"CANCELLED", Ending::recalled},
                                                            {"TOO_LATE", Ending::never_sent}};
constexpr std::pair<std::string_view, Availability> kAvailabilities[] = {{"Running", Availability::running},
                                                                         {"Stopping", Availability::stopping},
                                                                         {"Deleted", Availability::deleted}};
constexpr std::pair<std::string_view, ListForm> kForms[] = {{"delta", ListForm::delta},
                                                            {"full", ListForm::full},
                                                            {"cached", ListForm::cached},
                                                            {"failed", ListForm::failed}};
constexpr std::pair<std::string_view, double LoadReport::*> kReported[] = {{"outstanding", &LoadReport::outstanding},
                                                                      {"backlog", &LoadReport::backlog},
                                                                      {"utilization", &LoadReport::utilization},
                                                                      {"throughput", &LoadReport::throughput}};
constexpr std::pair<std::string_view, bool> kBools[] = {
    {"1", true}, {"0", false}, {"true", true}, {"false", false}};

void expect_fields(const Fields& fields, std::size_t least, std::size_t most) {
  if (fields.size() < least || fields.size() > most)
    throw Malformed(std::string(fields[0]) + " has " + std::to_string(fields.size() - 1) + " fields, not " +
                    std::to_string(least - 1));
}

}  // namespace

Fields split(std::string_view line) {
  Fields fields;
  for (std::size_t from = 0;;) {
    std::size_t tab = line.find('\t', from);
    fields.push_back(line.substr(from, tab - from));
    if (tab == std::string_view::npos) return fields;
    from = tab + 1;
  }
}

Settings read_configure(const Fields& fields, NameIndices& names) {
  std::uint64_t seed = 0;
  auto [end, error] = std::from_chars(fields[2].data(), fields[2].data() + fields[2].size(), seed);
  if (error != std::errc() || end != fields[2].data() + fields[2].size())
    throw Malformed("prng is no whole number: '" + std::string(fields[2]) + "'");
  SettingPairs pairs;
  for (std::size_t i = 3; i < fields.size(); ++i) {
    const auto equals = fields[i].find('=');
    if (equals == std::string_view::npos)
      throw Malformed("setting without '=': '" + std::string(fields[i]) + "'");
    pairs.insert_or_assign(std::string(fields[i].substr(0, equals)),
                           std::string(fields[i].substr(equals + 1)));
  }
  return read_settings(pairs, seed, names);
}

Index Ids::backend(std::string_view id, bool may_be_new) {
  if (may_be_new) return backends_.acquire(id).first;
  const auto found = backends_.find(id);
  if (!found) throw Malformed("backend '" + std::string(id) + "' was never listed");
  return *found;
}

Index Ids::new_invocation(std::string_view handle) {
  const auto [number, is_new] = handles_.acquire(handle);
  if (!is_new) throw Malformed("handle '" + std::string(handle) + "' is held already");
  return number;
}

void Ids::forget(const Action& action) {
  if (action.what == ActionKind::forget) handles_.release(action.invocation);
  if (action.what == ActionKind::release) backends_.release(action.backend);
}

int rows_below(const Fields& fields) {
  if (fields[0] != "MEMBERSHIP") return 0;
  expect_fields(fields, 5, 5);
  if (fields[4] == "-") return 0;
  std::int64_t n = parse_integer(fields[4], "elements");
  if (n < 0 || n > 10000000) throw Malformed("elements is out of range");
  return static_cast<int>(n);
}

static FleetList read_list(const Fields& fields, const std::vector<std::string>& rows, Ids& ids,
                           NameIndices& names) {
  FleetList list{parse_enum(fields[2], kForms, "form"), {}};
  parse_integer(fields[3] == "-" ? "0" : fields[3], "stamp");
  for (const std::string& row : rows) {
    Fields f = split(row);
    if (f[0] != "ROW") throw Malformed("ROW expected, not '" + std::string(f[0]) + "'");
    expect_fields(f, 8, 8);
    ListEntry e;
    e.machine_kind = find_or_add(names.kinds, f[1]);
    e.started_at = parse_microseconds(f[3], "started-at");
    e.availability = parse_enum(f[4], kAvailabilities, "availability");
    e.cell = f[5] == "-" ? -1 : parse_integer(f[5], "bay");
    e.weight = f[6] == "-" ? 1 : parse_number(f[6], "share");
    e.zone = find_or_add(names.zones, f[7]);
    e.backend = ids.backend(f[2], true);
    list.entries.push_back(e);
  }
  return list;
}

static Arrival read_arrival(const Fields& f, Ids& ids, const NameIndices& names) {
  expect_fields(f, 9, 9);
  Arrival a;
  auto workload = names.workloads.find(f[3]);
  if (workload == names.workloads.end()) throw Malformed("unknown service '" + std::string(f[3]) + "'");
  a.workload = workload->second;
  auto tenant = names.tenants.find(f[4]);
  if (tenant != names.tenants.end()) a.tenant = tenant->second;
  a.valid_until = parse_microseconds(f[6], "valid-until");
  std::int64_t bits = f[8] == "-" ? 0 : parse_integer(f[8], "state-bits");
  if (f[7] != "-") {
    double hint = parse_number(f[7], "hint") / kMicrosPerTenthOfMs;
    if ((bits & 1) != 0) a.hint = hint;
  }
  a.is_client_retry = (bits & 2) != 0;
  a.invocation = ids.new_invocation(f[2]);
  return a;
}

static LoadReport read_report(const Fields& f, std::size_t at) {
  LoadReport r;
  std::string_view report = f.size() > at && f[at] != "-" ? f[at] : std::string_view();
  while (!report.empty()) {
    std::string_view value = report.substr(0, report.find(','));
    report.remove_prefix(std::min(report.size(), value.size() + 1));
    const std::size_t colon = value.find(':');
    if (colon == std::string_view::npos) throw Malformed("report value without ':'");
    for (const auto& [name, into] : kReported)
      if (name == value.substr(0, colon)) r.*into = parse_number(value.substr(colon + 1), name.data());
  }
  return r;
}

static std::optional<Event> read_ended(const Fields& f, const Ids& ids) {
  expect_fields(f, 8, 9);
  HandOffEnded e;
  e.is_final = parse_enum(f[4], kBools, "final");
  e.ending = parse_enum(f[5], kEndings, "result");
  e.number = static_cast<int>(parse_integer(f[6], "n"));
  e.elapsed = parse_microseconds(f[7], "delay-seen");
  read_report(f, 8);
  auto held = ids.invocation(f[2]);
  if (!held) return std::nullopt;
  e.invocation = *held;
  return e;
}

std::optional<Event> read_event(const Fields& f, const std::vector<std::string>& rows, Ids& ids,
                                NameIndices& names) {
  const std::string_view name = f[0];
  if (name == "MEMBERSHIP") return read_list(f, rows, ids, names);
  if (name == "INCOMING") return read_arrival(f, ids, names);
  if (name == "RETURNED") return read_ended(f, ids);
  if (name == "TICK_DUE") {
    expect_fields(f, 3, 3);
    parse_integer(f[2], "ref");
    return TimerDue{};
  }
  if (name == "GONE") {
    expect_fields(f, 3, 3);
    auto held = ids.invocation(f[2]);
    return held ? std::optional<Event>(ClientGone{*held}) : std::nullopt;
  }
  if (name == "STREAMING") {
    expect_fields(f, 6, 6);
    auto held = ids.invocation(f[2]);
    int number = static_cast<int>(parse_integer(f[3], "n"));
    return held ? std::optional<Event>(AnswerStarted{*held, number}) : std::nullopt;
  }
  if (name == "PONG") {
    expect_fields(f, 5, 6);
    return ProbeEnded{ids.backend(f[2], false), f[3] == "OK", parse_microseconds(f[4], "delay-seen"), read_report(f, 5)};
  }
  if (name == "NEIGHBOUR_SAYS") {
    expect_fields(f, 4, 4);
    parse_integer(f[2], "origin-peer");
    return std::nullopt;  // nothing is said between nodes
  }
  throw Malformed("unknown message '" + std::string(name) + "'");
}

void write_action(std::string& out, std::string_view node, const Action& action, const Ids& ids) {
  auto line = [&](const char* name, auto&&... values) {
    out.append(name).append("\t").append(node);
    (out.append("\t").append(values), ...);
    out += '\n';
  };
  const std::string time = std::to_string(action.at * kMicrosPerTenthOfMs);
  switch (action.what) {
    case ActionKind::hand_off:
      return line("PLACE", ids.handle(action.invocation), ids.backend_id(action.backend), time);
    case ActionKind::reject: return line("BUSY", ids.handle(action.invocation), time);
    case ActionKind::give_up: return line("END_FAILED", ids.handle(action.invocation));
    case ActionKind::cancel: return line("RECALL", ids.handle(action.invocation), std::to_string(action.number));
    case ActionKind::set_timer: return line("ARM", time, "0");
    case ActionKind::watch_discovery: return line("TAIL", "1");
    case ActionKind::probe: return line("SOUND_OUT", ids.backend_id(action.backend));
    case ActionKind::backend_counts:  // nobody asks for it there
    case ActionKind::release:
    case ActionKind::forget: return;
  }
}

}  // namespace troutstage::wire
