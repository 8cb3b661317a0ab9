// Two processes of one node, while one takes over from the other: how each learns of the other, and what they
// count together. Locks tell it, which go with their process however it ends.
#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "net/budget.h"
#include "net/socket.h"

namespace troutstage::net {

class Sibling {
 public:
  // In a folder that both see. Throws where two are running already.
  Sibling(const std::string& folder, const std::string& node);
  ~Sibling();
  Sibling(const Sibling&) = delete;
  Sibling& operator=(const Sibling&) = delete;
  bool is_successor() const { return successor_; }  // another was running when it came
  bool other_lives();
  Ledger& ledger() { return *ledger_; }

 private:
  enum class Place { free, taken, unknown };
  bool take(int place);         // false: another process has it; throws where that can't be told
  Place look(int place) const;  // a look that fails says nothing of the other process
  Fd file_;
  void* page_ = nullptr;
  int place_ = 0;
  bool successor_ = false;
  std::atomic<bool> other_lives_{false};  // as it was last known
  std::unique_ptr<Ledger> ledger_;
};

}  // namespace troutstage::net
