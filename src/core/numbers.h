// Assigns dense indices to string ids. Indices of released ids are reused, so the indices don't grow with the
// number of ids ever seen.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "decide.h"

namespace troutstage {

// Not thread-safe. An id must not be empty.
class IndexPool {
 public:
  // Returns the index of an id, and whether this call assigned the index.
  std::pair<Index, bool> acquire(std::string_view id) {
    const auto [entry, is_new] = indices_.try_emplace(std::string(id), kNone);
    if (!is_new) return {entry->second, false};
    if (free_indices_.empty()) {
      entry->second = static_cast<Index>(ids_.size());
      ids_.emplace_back(id);
    } else {
      entry->second = free_indices_.back();
      free_indices_.pop_back();
      ids_[entry->second] = id;
    }
    return {entry->second, true};
  }
  std::optional<Index> find(std::string_view id) const {
    const auto found = indices_.find(std::string(id));
    return found == indices_.end() ? std::nullopt : std::optional(found->second);
  }
  bool is_in_use(Index n) const { return n < ids_.size() && !ids_[n].empty(); }
  const std::string& id(Index n) const { return ids_[n]; }
  // Makes an index free that is in use.
  void release(Index n) {
    indices_.erase(ids_[n]);
    ids_[n].clear();
    free_indices_.push_back(n);
  }
  std::size_t size() const { return ids_.size(); }  // all indices ever assigned are smaller

 private:
  std::unordered_map<std::string, Index> indices_;
  std::vector<std::string> ids_;  // by index; empty: the index is free
  std::vector<Index> free_indices_;
};

}  // namespace troutstage
