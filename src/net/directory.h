// The backends as discovery names them: small indices for their ids, and where they are.
#pragma once

#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/settings.h"
#include "net/exchange.h"

namespace troutstage::net {

struct Listing {
  std::int64_t version = 0;
  bool full = false;
  std::vector<ListEntry> entries;
};

class Directory {
 public:
  // `wall_offset` turns Unix time in tenths into the node's time.
  Directory(Names& names, Tenths wall_offset) : names_(names), wall_offset_(wall_offset) {}
  Listing read(std::string_view json);  // throws Malformed
  std::optional<Target> find(Index backend);

 private:
  ListEntry read_entry(const nlohmann::json& one);
  std::mutex lock_;
  Names& names_;
  const Tenths wall_offset_;
  Indices indices_;
  std::vector<sockaddr_in> addresses_;
};

}  // namespace troutstage::net
