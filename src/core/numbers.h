// Small numbers for ids: a new id gets one that is free, so they don't grow with all ids ever seen.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "decide.h"

namespace troutstage {

class Numbers {
 public:
  // The number of an id, and whether it was given just now.
  std::pair<Index, bool> give(std::string_view id) {
    const auto [at, is_new] = numbers_.try_emplace(std::string(id), kNone);
    if (!is_new) return {at->second, false};
    if (free_.empty()) {
      at->second = static_cast<Index>(ids_.size());
      ids_.emplace_back(id);
    } else {
      at->second = free_.back();
      free_.pop_back();
      ids_[at->second] = id;
    }
    return {at->second, true};
  }
  std::optional<Index> find(std::string_view id) const {
    const auto found = numbers_.find(std::string(id));
    return found == numbers_.end() ? std::nullopt : std::optional(found->second);
  }
  bool in_use(Index n) const { return n < ids_.size() && !ids_[n].empty(); }
  const std::string& id(Index n) const { return ids_[n]; }
  void release(Index n) {  // one in use
    numbers_.erase(ids_[n]);
    ids_[n].clear();
    free_.push_back(n);
  }
  std::size_t size() const { return ids_.size(); }  // the numbers given are below it

 private:
  std::unordered_map<std::string, Index> numbers_;
  std::vector<std::string> ids_;  // by number; empty: free
  std::vector<Index> free_;
};

}  // namespace troutstage
