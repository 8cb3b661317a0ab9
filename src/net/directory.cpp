#include "net/directory.h"

#include <algorithm>

#include "log/log.h"

namespace troutstage::net {
namespace {

constexpr std::pair<std::string_view, Availability> kStates[] = {
    {"ready", Availability::running}, {"draining", Availability::stopping}, {"gone", Availability::deleted}};

bool has_id(const nlohmann::json& one) { return one.is_object() && one.contains("id") && one.at("id").is_string() && one.at("id") != ""; }

}  // namespace

DiscoveryList BackendDirectory::read(std::string_view text, const std::vector<Index>& released) {
  try {
    const auto json = nlohmann::json::parse(text);
    DiscoveryList list;
    list.version = json.at("version").get<std::int64_t>();
    list.full = json.at("full").get<bool>();
    // Checked before anything is changed: a list that can't be read leaves the one in force whole.
    const nlohmann::json& servers = json.at("servers");
    if (!servers.is_array()) throw Malformed("list: servers is no list");
    std::lock_guard held(lock_);
    // One that was listed again after its release keeps its number: it has been told under that.
    for (const Index n : released)
      if (indices_.is_in_use(n) && !records_[n].is_listed) indices_.release(n);
    if (list.full)
      for (Record& place : records_) place.is_listed = false, place.last_entry.availability = Availability::deleted;
    for (const auto& one : servers) {
      // One entry that can't be read must not hide the others, nor that its own backend may be leaving: it is an entry
      // since something changed there, and a list of changes says it once.
      try {
        list.entries.push_back(read_entry(one));
      } catch (const std::exception& broken) {
        const auto known = draining_entry_of(one);
        log::warning("list: entry {}: {}", known ? "taken for a drain" : "left out", broken.what());
        if (known) list.entries.push_back(*known);
        else if (!list.full && !has_id(one)) list.has_unidentified_entry = true;
      }
    }
    return list;
  } catch (const nlohmann::json::exception& broken) {
    throw Malformed(std::string("list: ") + broken.what());
  }
}

ListEntry BackendDirectory::read_entry(const nlohmann::json& one) {
  ListEntry e;
  e.availability = parse_enum(one.at("state").get<std::string>(), kStates, "state");
  const sockaddr_in address = parse_address(one.at("addr").get<std::string>());
  e.machine_kind = find_or_add(names_.kinds, one.value("kind", ""));
  e.zone = find_or_add(names_.zones, one.value("zone", ""));
  e.cell = one.value("cell", std::int64_t{-1});
  e.weight = one.value("weight", 1.0);
  const auto started_ms = one.value("started_ms", std::int64_t{0});
  // What started before this node's time began is as good as long ago.
  if (started_ms > 0) e.started_at = std::max<TenthsOfMs>(0, started_ms * 10 + wall_offset_);
  const auto id = one.at("id").get<std::string>();
  if (id.empty()) throw Malformed("a backend without an id");
  const auto [number, is_new] = indices_.acquire(id);
  e.backend = number;
  records_.resize(indices_.size());
  Record& place = records_[number];
  // A new id is a new backend, also at an address that another had.
  if (is_new) place.target.instance_id = ++last_instance_id_;
  place.target.address = address;
  place.is_listed = e.availability != Availability::deleted;
  place.last_entry = e;
  return e;
}

// Of one that is known: as it was, but leaving. Who is not known gets nothing anyway.
std::optional<ListEntry> BackendDirectory::draining_entry_of(const nlohmann::json& one) {
  const auto number = has_id(one) ? indices_.find(one.at("id").get<std::string>()) : std::nullopt;
  if (!number) return std::nullopt;
  Record& place = records_[*number];
  place.is_listed = true;
  place.last_entry.availability = Availability::stopping;
  return place.last_entry;
}

bool BackendDirectory::is_still_running(Index backend, std::uint64_t instance_id) {
  std::lock_guard held(lock_);
  return indices_.is_in_use(backend) && records_[backend].target.instance_id == instance_id && records_[backend].last_entry.availability == Availability::running;
}

std::optional<Target> BackendDirectory::find(Index backend) {
  std::lock_guard held(lock_);
  if (!indices_.is_in_use(backend)) return std::nullopt;
  return records_[backend].target;
}

}  // namespace troutstage::net
