// Between the lines of the wire and the module's types. No decisions are made here.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/settings.h"

namespace troutstage::wire {

using Fields = std::vector<std::string_view>;
Fields split(std::string_view line);

// The settings of a CONFIGURE line, and the names that later lines use.
Settings read_configure(const Fields& fields, Names& names);

// Small indices for one instance's ids, both ways.
class Ids {
 public:
  Index backend(std::string_view id, bool may_be_new);
  Index new_invocation(std::string_view handle);
  std::optional<Index> invocation(std::string_view handle) const;
  void forget(Index invocation);
  const std::string& backend_id(Index i) const { return backends_[i]; }
  const std::string& handle(Index i) const { return handles_[i]; }

 private:
  std::vector<std::string> backends_, handles_;
  std::vector<Index> free_;
  std::unordered_map<std::string, Index> backend_index_, handle_index_;
};

// Reads one event of an instance. Nothing comes back for an id that is no longer held or a message that asks
// for no decision. `rows` are the ROW lines below a MEMBERSHIP line.
std::optional<Event> read_event(const Fields& fields, const std::vector<std::string>& rows, Ids& ids,
                                Names& names);
int rows_below(const Fields& fields);

void write_action(std::string& out, std::string_view node, const Action& action, const Ids& ids);

}  // namespace troutstage::wire
