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

struct DiscoveryList {
  std::int64_t version = 0;
  bool full = false;
  bool has_unidentified_entry = false;  // of an entry not even the id could be read: only a whole list tells whether that one leaves
  std::vector<ListEntry> entries;
};

class BackendDirectory {
 public:
  // `wall_offset` turns Unix time in tenths into the node's time.
  BackendDirectory(NameIndices& names, TenthsOfMs wall_offset) : names_(names), wall_offset_(wall_offset) {}
  // `released` are numbers that nothing refers to any more since the last call. Throws Malformed.
  DiscoveryList read(std::string_view json, const std::vector<Index>& released = {});
  std::optional<Target> find(Index backend);
  // Whether it is that backend still, and is not leaving by the newest list.
  bool is_still_running(Index backend, std::uint64_t instance_id);
  std::size_t size() const { return records_.size(); }  // how many backends there were at once, at the most

 private:
  ListEntry read_entry(const nlohmann::json& one);
  std::optional<ListEntry> draining_entry_of(const nlohmann::json& one);
  std::mutex lock_;
  NameIndices& names_;
  const TenthsOfMs wall_offset_;
  struct Record {
    Target target;
    bool is_listed = false;
    ListEntry last_entry;  // as it was told
  };
  IndexPool indices_;
  std::vector<Record> records_;  // by number
  std::uint64_t last_instance_id_ = 0;
};

}  // namespace troutstage::net
