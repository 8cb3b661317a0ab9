// Two processes of one node, while one takes over from the other: how each learns of the other, and what they
// count together. Locks tell it, which go with their process however it ends.
#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "net/budget.h"
#include "net/socket.h"

namespace troutstage::net {

class ProcessPair {
 public:
  // In a folder that both see. Throws where two are running already.
  ProcessPair(const std::string& folder, const std::string& node);
  ~ProcessPair();
  ProcessPair(const ProcessPair&) = delete;
  ProcessPair& operator=(const ProcessPair&) = delete;
  bool is_successor() const { return is_successor_; }  // another was running when it came
  bool is_other_running();
  SharedUsage& shared_usage() { return *shared_usage_; }

 private:
  enum class LockState { free, locked, unknown };
  bool try_lock_slot(int place);         // false: another process has it; throws where that can't be told
  LockState slot_lock_state(int place) const;  // a look that fails says nothing of the other process
  Fd lock_file_;
  void* shared_page_ = nullptr;
  int slot_ = 0;
  bool is_successor_ = false;
  std::atomic<bool> is_other_running_{false};  // as it was last known
  std::unique_ptr<SharedUsage> shared_usage_;
};

}  // namespace troutstage::net
