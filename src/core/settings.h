// The one reader of a node's settings: from path=value pairs, wherever these came from.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#include "decide.h"

namespace troutstage {

// Input that breaks its grammar; the text says how.
struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

std::int64_t parse_integer(std::string_view text, const char* what);
double parse_number(std::string_view text, const char* what);
TenthsOfMs parse_microseconds(std::string_view micros, const char* what);  // "-" is 0

template <class Value, std::size_t N>
Value parse_enum(std::string_view text, const std::pair<std::string_view, Value> (&known)[N], const char* what) {
  for (const auto& [name, value] : known)
    if (name == text) return value;
  throw Malformed("unknown " + std::string(what) + " '" + std::string(text) + "'");
}

using IndexByName = std::map<std::string, Index, std::less<>>;
Index find_or_add(IndexByName& names, std::string_view name);  // a new name gets the next index

// The names that later messages use.
struct NameIndices {
  IndexByName workloads, tenants, zones, kinds;
};

using SettingPairs = std::map<std::string, std::string, std::less<>>;
Settings read_settings(const SettingPairs& pairs, std::uint64_t seed, NameIndices& names);

}  // namespace troutstage
