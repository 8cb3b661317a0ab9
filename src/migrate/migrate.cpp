#include "migrate/migrate.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "config/config.h"

namespace troutstage::migrate {
namespace {

using Json = nlohmann::ordered_json;  // the new file keeps the old one's order

// What belongs to one node of the pool or to its fleet, and is wrong for every other.
constexpr std::pair<const char*, const char*> kOwn[] = {
    {"name", "each process has its own: give it in its file or as RELAY_NAME"},
    {"seed", "nodes with one seed draw alike; without it each draws its own at its start"},
    {"mgmt", "each process needs its own address: --mgmt or RELAY_MGMT"},
    {"known", "it lists the old fleet; a new node waits for its first list"},
    {"peer_listen", "there is no pool of peers any more"},
    {"peers", "there is no pool of peers any more"},
    {"peers_all", "there is no pool of peers any more"}};

class Rewriting {
 public:
  Rewriting(Json& json, Migrated& to) : json_(json), to_(to) {}

  void drop(const char* key, const char* why) {
    if (json_.erase(key) > 0) to_.left.push_back(std::string(key) + ": " + why);
  }
  // Sets settings.GROUP.KEY, or settings.KEY where there is no group.
  void set(const char* group, const char* key, const Json& value) {
    Json& settings = json_.at("settings");
    Json& place = (*group == 0 ? settings : settings[group])[key];
    if (place == value) return;
    to_.changed.push_back(path(group, key) + ": " + (place.is_null() ? "not set" : place.dump()) + " -> " +
                          value.dump());
    place = value;
  }
  void take_out(const char* group, const char* key, const char* why) {
    Json& settings = json_.at("settings");
    Json& place = *group == 0 ? settings : settings[group];
    if (place.is_object() && place.erase(key) > 0) to_.left.push_back(path(group, key) + ": " + why);
  }

 private:
  static std::string path(const char* group, const char* key) {
    return std::string("settings.") + group + (*group == 0 ? "" : ".") + key;
  }
  Json& json_;
  Migrated& to_;
};

bool is_loopback(const std::string& address) { return address.starts_with("127."); }

}  // namespace

Migrated migrate(const std::string& old_file, const Target& target) {
  if (target.nodes < 0 || target.nodes > 1000000) throw Malformed("nodes is out of range");
  if (target.streams < 0 || target.streams > 1000000) throw Malformed("streams is out of range");
  const Config old = read_config(old_file);
  if (!old.settings.is_discovery_on_request && !old.settings.may_hedge)
    throw Malformed("it is of the new shape already: its list comes unasked and second copies are barred");
  Json json = Json::parse(old_file);
  Migrated to;
  Rewriting file(json, to);
  for (const auto& [key, why] : kOwn) file.drop(key, why);
  constexpr std::string_view kKnown[] = {"listen", "discovery", "limits", "settings"};
  for (const auto& [key, value] : json.items())
    if (std::find(std::begin(kKnown), std::end(kKnown), key) == std::end(kKnown))
      to.left.push_back(key + ": not known here, and carried over as it stands");
  const std::string was = json.value("listen", "");
  if (!target.listen.empty() && target.listen != was) {
    to.changed.push_back("listen: " + (was.empty() ? "not set" : was) + " -> " + target.listen);
    json["listen"] = target.listen;
  } else if (!was.empty() && !is_loopback(was)) {
    file.drop("listen", "other machines reach it; the node beside a process listens on 127.0.0.1: give --listen");
  }
  // A count of the pool's few nodes would let hundreds send a cold backend as much as those few did.
  if (target.nodes > 0) file.set("", "instances", target.nodes);
  else file.take_out("", "instances", "it counted the pool's nodes; say with --nodes how many processes there are");
  file.set("", "discovery", "pushed");
  file.take_out("rules", "ask-within", "the list comes unasked");
  file.set("bounds", "second-copies", false);
  file.set("bounds", "probes", true);
  file.set("report", "how", "pull");
  if (target.streams > 0) file.set("bounds", "streams-per-conn", target.streams);
  else if (!json["settings"]["bounds"].contains("streams-per-conn"))
    to.left.push_back("settings.bounds.streams-per-conn: no old file says it; 1 unless --streams does");
  to.text = json.dump(2) + "\n";
  return to;
}

}  // namespace troutstage::migrate
