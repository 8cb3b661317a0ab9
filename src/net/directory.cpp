#include "net/directory.h"

#include <algorithm>

#include "log/log.h"

namespace troutstage::net {
namespace {

constexpr std::pair<std::string_view, Availability> kStates[] = {
    {"ready", Availability::running}, {"draining", Availability::stopping}, {"gone", Availability::deleted}};

bool has_id(const nlohmann::json& entry) {
  return entry.is_object() && entry.contains("id") && entry.at("id").is_string() && entry.at("id") != "";
}

}  // namespace

DiscoveryList BackendDirectory::read(std::string_view text, const std::vector<Index>& released) {
  try {
    const auto json = nlohmann::json::parse(text);
    DiscoveryList list;
    list.version = json.at("version").get<std::int64_t>();
    list.full = json.at("full").get<bool>();
    // Checked before any change: a list that can't be read leaves the present state unchanged.
    const nlohmann::json& servers = json.at("servers");
    if (!servers.is_array()) throw Malformed("list: servers is not an array");
    std::lock_guard lock(lock_);
    // A backend that was listed again after its release keeps its index: its entry was reported under that
    // index.
    for (const Index index : released)
      if (indices_.is_in_use(index) && !records_[index].is_listed) indices_.release(index);
    if (list.full)
      for (Record& record : records_)
        record.is_listed = false, record.last_entry.availability = Availability::deleted;
    for (const auto& entry : servers) {
      // An unreadable entry must not hide the other entries, nor that its own backend may be leaving: an
      // entry in a list of changes means that the backend changed, and discovery sends each change once.
      try {
        list.entries.push_back(read_entry(entry));
      } catch (const std::exception& error) {
        const auto known = draining_entry_of(entry);
        log::warning("list: entry {}: {}", known ? "treated as draining" : "left out", error.what());
        if (known) list.entries.push_back(*known);
        else if (!list.full && !has_id(entry)) list.has_unidentified_entry = true;
      }
    }
    return list;
  } catch (const nlohmann::json::exception& error) {
    throw Malformed(std::string("list: ") + error.what());
  }
}

ListEntry BackendDirectory::read_entry(const nlohmann::json& entry) {
  ListEntry parsed;
  parsed.availability = parse_enum(entry.at("state").get<std::string>(), kStates, "state");
  const sockaddr_in address = parse_address(entry.at("addr").get<std::string>());
  parsed.machine_kind = find_or_add(names_.kinds, entry.value("kind", ""));
  parsed.zone = find_or_add(names_.zones, entry.value("zone", ""));
  parsed.cell = entry.value("cell", std::int64_t{-1});
  parsed.weight = entry.value("weight", 1.0);
  const auto started_ms = entry.value("started_ms", std::int64_t{0});
  // A start before the origin of the node's time counts as a start at the origin, long ago.
  if (started_ms > 0) parsed.started_at = std::max<TenthsOfMs>(0, started_ms * 10 + wall_offset_);
  const auto id = entry.at("id").get<std::string>();
  if (id.empty()) throw Malformed("backend entry has no id");
  const auto [index, is_new] = indices_.acquire(id);
  parsed.backend = index;
  records_.resize(indices_.size());
  Record& record = records_[index];
  // A new id is a new backend, also at an address that another backend had; and a known id at another
  // address, or with another start, is another process: nothing that was begun for the one before it may go
  // there.
  const bool has_restarted =
      started_ms != record.started_ms && started_ms > 0 && parsed.availability != Availability::deleted;
  if (is_new || has_restarted || pack_address(address) != pack_address(record.target.address))
    record.target.instance_id = ++last_instance_id_;
  if (started_ms > 0 || is_new) record.started_ms = started_ms;
  record.target.address = address;
  record.is_listed = parsed.availability != Availability::deleted;
  record.last_entry = parsed;
  return parsed;
}

// A backend that is not known gets no requests, so its entry can be left out.
std::optional<ListEntry> BackendDirectory::draining_entry_of(const nlohmann::json& entry) {
  const auto index = has_id(entry) ? indices_.find(entry.at("id").get<std::string>()) : std::nullopt;
  if (!index) return std::nullopt;
  Record& record = records_[*index];
  record.is_listed = true;
  record.last_entry.availability = Availability::stopping;
  return record.last_entry;
}

bool BackendDirectory::is_still_running(Index backend, std::uint64_t instance_id) {
  std::lock_guard lock(lock_);
  return indices_.is_in_use(backend) && records_[backend].target.instance_id == instance_id &&
         records_[backend].last_entry.availability == Availability::running;
}

std::optional<Target> BackendDirectory::find(Index backend) {
  std::lock_guard lock(lock_);
  if (!indices_.is_in_use(backend)) return std::nullopt;
  return records_[backend].target;
}

}  // namespace troutstage::net
