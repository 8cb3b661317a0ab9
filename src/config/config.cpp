#include "config/config.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>

namespace troutstage {
namespace {

using Json = nlohmann::json;

// A process may stand still for 0.15 s, and clients wait some 0.06 s longer than they say.
constexpr TenthsOfMs kPauseAllowance = 1000;

// Nested JSON as the pairs that the one reader of settings takes: objects by dotted paths, lists of objects
// by number beside their count, lists of plain values with commas.
void flatten(const std::string& path, const Json& value, SettingPairs& into) {
  const auto below = [&](const std::string& key) { return path.empty() ? key : path + "." + key; };
  if (value.is_object()) {
    for (const auto& [key, inner] : value.items()) flatten(below(key), inner, into);
  } else if (value.is_array() && !value.empty() && value[0].is_object()) {
    into[below("count")] = std::to_string(value.size());
    for (std::size_t i = 0; i < value.size(); ++i) flatten(below(std::to_string(i)), value[i], into);
  } else if (value.is_array()) {
    std::string all;
    for (const Json& one : value)
      all.append(all.empty() ? "" : ",").append(one.is_string() ? one.get<std::string>() : one.dump());
    into[path] = all;
    into[below("count")] = std::to_string(value.size());
  } else if (!value.is_null()) {
    into[path] = value.is_string() ? value.get<std::string>() : value.dump();
  }
}

std::uint64_t read_seed(const Json& value) {
  if (value.is_number_unsigned()) return value.get<std::uint64_t>();
  const auto text = value.get<std::string>();
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || end != text.data() + text.size())
    throw Malformed("seed is no hexadecimal number");
  return seed;
}

// Nodes that start with one seed draw alike and meet at the same backends.
std::uint64_t own_seed() {
  std::random_device chance;
  return (static_cast<std::uint64_t>(chance()) << 32) + chance();
}

}  // namespace

Config read_config(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    Config c;
    c.name = json.value("name", "");
    c.listen = json.value("listen", "");
    c.discovery = c.discovery_in_file = json.value("discovery", "");
    c.mgmt = json.value("mgmt", "");
    c.peer_listen = json.value("peer_listen", "");
    if (json.contains("peers") && json.at("peers").is_array())
      for (const Json& one : json.at("peers"))
        c.peers.push_back(one.is_string() ? one.get<std::string>() : one.dump());  // left out, the others' places would be wrong
    if (json.contains("known")) c.known = json.at("known").dump();
    if (json.contains("limits")) {
      c.descriptors = json.at("limits").value("sockets", c.descriptors);
      c.memory_mb = json.at("limits").value("memory_mb", c.memory_mb);
    }
    if (c.descriptors < 32 || c.descriptors > 1000000) throw Malformed("limits.sockets is out of range");
    if (c.memory_mb < 8 || c.memory_mb > 1000000) throw Malformed("limits.memory_mb is out of range");
    SettingPairs pairs;
    flatten("", json.at("settings"), pairs);
    for (const auto& [key, value] : json.items())
      if (key != "known") flatten(key, value, c.given);
    c.settings = read_settings(pairs, json.contains("seed") ? read_seed(json.at("seed")) : own_seed(), c.names);
    c.settings.pause_allowance = kPauseAllowance;
    if (const auto zone = pairs.find("zone"); zone != pairs.end()) c.zone = zone->second;
    if (c.settings.workloads.empty()) throw Malformed("settings name no workload");
    if (c.settings.may_probe)
      c.unused.push_back("settings.bounds.probes: the protocol on sockets has none; a node goes by its own answers");
    const auto streams = pairs.find("bounds.streams-per-conn");
    if (streams != pairs.end() && streams->second != "1")
      c.unused.push_back("settings.bounds.streams-per-conn: on sockets a connection carries one at a time");
    c.settings.may_probe = false;
    return c;
  } catch (const Json::exception& broken) {
    throw Malformed(broken.what());
  }
}

namespace {

// The keys of a list's items, for each kind of item: workloads of unlike semantics have unlike keys.
using Keys = std::set<std::string, std::less<>>;
std::map<std::string, std::vector<Keys>> items_by_kind(const SettingPairs& given, const std::string& list) {
  std::map<std::string, std::vector<Keys>> all;
  const std::string from = list + ".";
  for (int i = 0;; ++i) {
    const std::string at = from + std::to_string(i) + ".";
    Keys keys;
    for (auto p = given.lower_bound(at); p != given.end() && p->first.starts_with(at); ++p)
      keys.insert(p->first.substr(at.size()));
    if (keys.empty()) return all;
    const auto kind = given.find(at + "semantics");
    all[kind == given.end() ? "" : kind->second].push_back(std::move(keys));
  }
}

}  // namespace

void check_complete(const Config& running, const Config& fresh) {
  constexpr std::string_view kLists[] = {"settings.workloads", "settings.tenants"};
  const auto in_list = [&](const std::string& path) {
    return std::any_of(std::begin(kLists), std::end(kLists), [&](std::string_view list) {
      return path.starts_with(list) && path.size() > list.size() + 1 && path[list.size()] == '.' &&
             path[list.size() + 1] >= '0' && path[list.size() + 1] <= '9';
    });
  };
  for (const auto& [path, value] : running.given)
    if (path != "seed" && !in_list(path) && !fresh.given.count(path)) throw Malformed(path + " is missing");
  for (const std::string_view list : kLists) {
    const auto before = items_by_kind(running.given, std::string(list));
    for (const auto& [kind, items] : items_by_kind(fresh.given, std::string(list))) {
      const auto known = before.find(kind);
      if (known == before.end()) continue;
      for (const std::string& key : known->second.front()) {
        const auto has = [&](const Keys& keys) { return keys.count(key) > 0; };
        if (std::all_of(known->second.begin(), known->second.end(), has) &&
            !std::all_of(items.begin(), items.end(), has))
          throw Malformed(std::string(list) + ": " + key + " is missing");
      }
    }
  }
}

std::string read_file(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  if (in && in.peek() == std::ifstream::traits_type::eof()) throw Malformed("it is empty");
  if (!in || !(text << in.rdbuf())) throw Malformed("can't read '" + path + "': " + std::strerror(errno));
  return text.str();
}

}  // namespace troutstage
