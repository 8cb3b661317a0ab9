// The backends as discovery names them: small indices for their ids, and where they are.
#pragma once

#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/numbers.h"
#include "core/settings.h"
#include "net/exchange.h"

namespace troutstage::net {

struct Listing {
  std::int64_t version = 0;
  bool full = false;
  bool hides = false;  // of an entry not even the id could be read: only a whole list tells whether that one leaves
  std::vector<ListEntry> entries;
};

class Directory {
 public:
  // `wall_offset` turns Unix time in tenths into the node's time.
  Directory(Names& names, Tenths wall_offset) : names_(names), wall_offset_(wall_offset) {}
  // `released` are numbers that nothing refers to any more since the last call. Throws Malformed.
  Listing read(std::string_view json, const std::vector<Index>& released = {});
  std::optional<Target> find(Index backend);
  // Whether it is that backend still, and is not leaving by the newest list.
  bool stays(Index backend, std::uint64_t life);
  std::size_t size() const { return places_.size(); }  // how many backends there were at once, at the most

 private:
  ListEntry read_entry(const nlohmann::json& one);
  std::optional<ListEntry> unreadable(const nlohmann::json& one);
  std::mutex lock_;
  Names& names_;
  const Tenths wall_offset_;
  struct Place {
    Target target;
    bool listed = false;
    ListEntry last;  // as it was told
  };
  Numbers numbers_;
  std::vector<Place> places_;  // by number
  std::uint64_t lives_ = 0;
};

}  // namespace troutstage::net
