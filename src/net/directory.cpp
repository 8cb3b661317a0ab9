#include "net/directory.h"

#include <algorithm>

#include "log/log.h"

namespace troutstage::net {
namespace {

constexpr std::pair<std::string_view, Availability> kStates[] = {
    {"ready", Availability::running}, {"draining", Availability::stopping}, {"gone", Availability::deleted}};

bool has_id(const nlohmann::json& one) { return one.is_object() && one.contains("id") && one.at("id").is_string() && one.at("id") != ""; }

}  // namespace

Listing Directory::read(std::string_view text, const std::vector<Index>& released) {
  try {
    const auto json = nlohmann::json::parse(text);
    Listing list;
    list.version = json.at("version").get<std::int64_t>();
    list.full = json.at("full").get<bool>();
    // Checked before anything is changed: a list that can't be read leaves the one in force whole.
    const nlohmann::json& servers = json.at("servers");
    if (!servers.is_array()) throw Malformed("list: servers is no list");
    std::lock_guard held(lock_);
    // One that was listed again after its release keeps its number: it has been told under that.
    for (const Index n : released)
      if (numbers_.in_use(n) && !places_[n].listed) numbers_.release(n);
    if (list.full)
      for (Place& place : places_) place.listed = false, place.last.availability = Availability::deleted;
    for (const auto& one : servers) {
      // One entry that can't be read must not hide the others, nor that its own backend may be leaving: it is an entry
      // since something changed there, and a list of changes says it once.
      try {
        list.entries.push_back(read_entry(one));
      } catch (const std::exception& broken) {
        const auto known = unreadable(one);
        log::warning("list: entry {}: {}", known ? "taken for a drain" : "left out", broken.what());
        if (known) list.entries.push_back(*known);
        else if (!list.full && !has_id(one)) list.hides = true;
      }
    }
    return list;
  } catch (const nlohmann::json::exception& broken) {
    throw Malformed(std::string("list: ") + broken.what());
  }
}

ListEntry Directory::read_entry(const nlohmann::json& one) {
  ListEntry e;
  e.availability = word(one.at("state").get<std::string>(), kStates, "state");
  const sockaddr_in address = parse_address(one.at("addr").get<std::string>());
  e.kind = named(names_.kinds, one.value("kind", ""));
  e.zone = named(names_.zones, one.value("zone", ""));
  e.cell = one.value("cell", std::int64_t{-1});
  e.weight = one.value("weight", 1.0);
  const auto started_ms = one.value("started_ms", std::int64_t{0});
  // What started before this node's time began is as good as long ago.
  if (started_ms > 0) e.started_at = std::max<Tenths>(0, started_ms * 10 + wall_offset_);
  const auto id = one.at("id").get<std::string>();
  if (id.empty()) throw Malformed("a backend without an id");
  const auto [number, is_new] = numbers_.give(id);
  e.backend = number;
  places_.resize(numbers_.size());
  Place& place = places_[number];
  // A new id is a new backend, also at an address that another had.
  if (is_new) place.target.life = ++lives_;
  place.target.address = address;
  place.listed = e.availability != Availability::deleted;
  place.last = e;
  return e;
}

// Of one that is known: as it was, but leaving. Who is not known gets nothing anyway.
std::optional<ListEntry> Directory::unreadable(const nlohmann::json& one) {
  const auto number = has_id(one) ? numbers_.find(one.at("id").get<std::string>()) : std::nullopt;
  if (!number) return std::nullopt;
  Place& place = places_[*number];
  place.listed = true;
  place.last.availability = Availability::stopping;
  return place.last;
}

bool Directory::stays(Index backend, std::uint64_t life) {
  std::lock_guard held(lock_);
  return numbers_.in_use(backend) && places_[backend].target.life == life && places_[backend].last.availability == Availability::running;
}

std::optional<Target> Directory::find(Index backend) {
  std::lock_guard held(lock_);
  if (!numbers_.in_use(backend)) return std::nullopt;
  return places_[backend].target;
}

}  // namespace troutstage::net
