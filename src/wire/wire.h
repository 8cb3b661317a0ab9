// Between the lines of the wire and the module's types. No decisions are made here.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/numbers.h"
#include "core/settings.h"

namespace troutstage::wire {

using Fields = std::vector<std::string_view>;
Fields split(std::string_view line);

// The settings of a CONFIGURE line, and the names that later lines use.
Settings read_configure(const Fields& fields, NameIndices& names);

// Small indices for one instance's ids, both ways.
class Ids {
 public:
  Index backend(std::string_view id, bool may_be_new);
  Index new_invocation(std::string_view handle);
  std::optional<Index> invocation(std::string_view handle) const { return handles_.find(handle); }
  void forget(const Action& action);  // frees what the decisions say is free
  const std::string& backend_id(Index i) const { return backends_.id(i); }
  const std::string& handle(Index i) const { return handles_.id(i); }

 private:
  IndexPool backends_, handles_;
};

// Reads one event of an instance. Nothing comes back for an id that is no longer held or a message that asks
// for no decision. `rows` are the ROW lines below a MEMBERSHIP line.
std::optional<Event> read_event(const Fields& fields, const std::vector<std::string>& rows, Ids& ids,
                                NameIndices& names);
int rows_below(const Fields& fields);

void write_action(std::string& out, std::string_view node, const Action& action, const Ids& ids);

}  // namespace troutstage::wire
