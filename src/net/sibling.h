// The predecessor and the successor process of one node during an upgrade: how each detects the other, and
// the connection and memory counts that both share. Each process holds a lock on its slot of a shared file,
// which the system releases however the process ends.
#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "net/budget.h"
#include "net/socket.h"

namespace troutstage::net {

// Thread-safe.
class ProcessPair {
 public:
  // `folder` is accessible to both processes; `node` is the name of the node. Throws std::runtime_error if
  // two processes of the node are running already, and std::system_error if the shared file can't be used.
  ProcessPair(const std::string& folder, const std::string& node);
  ~ProcessPair();
  ProcessPair(const ProcessPair&) = delete;
  ProcessPair& operator=(const ProcessPair&) = delete;
  int slot() const { return slot_; }  // 0 or 1
  bool is_successor() const { return is_successor_; }  // another process was running when this one started
  // Checks the other process's lock. If the check fails, returns the last known state. Sets whether the
  // shared counts include the other process.
  bool is_other_running();
  // What each of the two processes uses. Lives as long as this object.
  SharedUsage& shared_usage() { return *shared_usage_; }

 private:
  enum class LockState { free, locked, unknown };
  // Returns false if another process holds the slot; throws std::system_error if that can't be determined.
  bool try_lock_slot(int slot);
  // Unknown if the check fails, which says nothing about the other process.
  LockState slot_lock_state(int slot) const;
  Fd lock_file_;
  void* shared_page_ = nullptr;
  int slot_ = 0;
  bool is_successor_ = false;
  std::atomic<bool> is_other_running_{false};  // last known state
  std::unique_ptr<SharedUsage> shared_usage_;
};

}  // namespace troutstage::net
