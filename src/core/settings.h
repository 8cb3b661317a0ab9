// Parses the settings of a node from path=value pairs, whatever their source is.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#include "decide.h"

namespace troutstage {

// Input that violates its grammar or a limit; what() describes the error.
struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The parse functions require that the whole text is valid, and throw Malformed otherwise. `what` names the
// value in the error message.
std::int64_t parse_integer(std::string_view text, const char* what);
double parse_number(std::string_view text, const char* what);  // absolute value below 1e15
// Parses a count of microseconds and rounds it towards 0 to tenths of a millisecond. "-" is 0.
TenthsOfMs parse_microseconds(std::string_view micros, const char* what);

// Returns the value of the entry of `known` whose name is `text`.
template <class Value, std::size_t N>
Value parse_enum(std::string_view text, const std::pair<std::string_view, Value> (&known)[N],
                 const char* what) {
  for (const auto& [name, value] : known)
    if (name == text) return value;
  throw Malformed("unknown " + std::string(what) + " '" + std::string(text) + "'");
}

using IndexByName = std::map<std::string, Index, std::less<>>;
// Returns the index of a name. A new name gets the next index.
Index find_or_add(IndexByName& indices, std::string_view name);

// The dense indices of the names in the settings, for messages that refer to these names later.
struct NameIndices {
  IndexByName workloads, tenants, zones, kinds;  // kinds: machine kinds
};

using SettingPairs = std::map<std::string, std::string, std::less<>>;  // by path, such as "workloads.0.name"
// Reads all settings and adds their names to `names`. Throws Malformed if a value is missing or not valid.
Settings read_settings(const SettingPairs& pairs, std::uint64_t seed, NameIndices& names);

}  // namespace troutstage
