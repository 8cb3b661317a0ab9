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

std::int64_t whole_number(std::string_view text, const char* what);
double real_number(std::string_view text, const char* what);
Tenths tenths(std::string_view micros, const char* what);  // "-" is 0

template <class Value, std::size_t N>
Value word(std::string_view text, const std::pair<std::string_view, Value> (&known)[N], const char* what) {
  for (const auto& [name, value] : known)
    if (name == text) return value;
  throw Malformed("unknown " + std::string(what) + " '" + std::string(text) + "'");
}

using Indices = std::map<std::string, Index, std::less<>>;
Index named(Indices& names, std::string_view name);  // a new name gets the next index

// The names that later messages use.
struct Names {
  Indices workloads, tenants, zones, kinds;
};

using Pairs = std::map<std::string, std::string, std::less<>>;
Settings read_settings(const Pairs& pairs, std::uint64_t seed, Names& names);

}  // namespace troutstage
