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

class IndexPool {
 public:
  // The number of an id, and whether it was given just now.
  std::pair<Index, bool> acquire(std::string_view id) {
    const auto [at, is_new] = indices_.try_emplace(std::string(id), kNone);
    if (!is_new) return {at->second, false};
    if (free_indices_.empty()) {
      at->second = static_cast<Index>(ids_.size());
      ids_.emplace_back(id);
    } else {
      at->second = free_indices_.back();
      free_indices_.pop_back();
      ids_[at->second] = id;
    }
    return {at->second, true};
  }
  std::optional<Index> find(std::string_view id) const {
    const auto found = indices_.find(std::string(id));
    return found == indices_.end() ? std::nullopt : std::optional(found->second);
  }
  bool is_in_use(Index n) const { return n < ids_.size() && !ids_[n].empty(); }
  const std::string& id(Index n) const { return ids_[n]; }
  void release(Index n) {  // one in use
    indices_.erase(ids_[n]);
    ids_[n].clear();
    free_indices_.push_back(n);
  }
  std::size_t size() const { return ids_.size(); }  // the numbers given are below it

 private:
  std::unordered_map<std::string, Index> indices_;
  std::vector<std::string> ids_;  // by number; empty: free
  std::vector<Index> free_indices_;
};

}  // namespace troutstage
