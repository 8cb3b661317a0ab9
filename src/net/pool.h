// The connections to backends: how many there may be, and those that nothing uses.
#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>

#include "net/budget.h"
#include "net/socket.h"
#include "policy/connection_reuse.h"

namespace troutstage::net {

class ConnectionPool {
 public:
  // A connection that counts against the limit for as long as it is there.
  class Connection {
   public:
    Connection(Connection&& o) noexcept : pool_(std::exchange(o.pool_, nullptr)), fd_(std::move(o.fd_)) {}
    Connection& operator=(Connection&& o) noexcept {
      std::swap(pool_, o.pool_), std::swap(fd_, o.fd_);
      return *this;
    }
    ~Connection();
    int fd() const { return fd_.get(); }

   private:
    friend class ConnectionPool;
    Connection(ConnectionPool* pool, Fd fd) : pool_(pool), fd_(std::move(fd)) {}
    ConnectionPool* pool_;
    Fd fd_;
  };

  ConnectionPool(ConnectionBudget& budget, std::chrono::steady_clock::duration idle_limit, const policy::ReuseRules& rules);

  // By the life of a backend: what is gone can be found no more, whoever has its address or number now.
  std::optional<Connection> take_idle(std::uint64_t instance_id, std::uint64_t address);  // one that is open and quiet
  std::optional<Connection> open_new();  // a socket not yet connected; nothing where no more may be had
  void give_back(std::uint64_t instance_id, std::uint64_t address, Connection connection);
  // Bytes came from this backend that belong to no request: what else rests there is closed.
  void record_unsolicited_bytes(std::uint64_t instance_id, std::uint64_t address, std::chrono::steady_clock::duration rested);
  bool close_oldest_idle();  // closes the one that has been idle the longest; false: none is
  // Closes what has been idle for too long, and looks once at what has rested for as long as it has to.
  void close_expired();
  void close_expired(std::chrono::steady_clock::duration idle);  // for longer than that
  std::uint64_t unsolicited_count() const { return unsolicited_count_; }  // how often a backend was seen to send what nobody asked for

 private:
  struct PooledConnection {
    std::uint64_t address;
    TimePoint idle_since;
    Connection connection;
    bool was_checked = false;
  };
  using ByInstance = std::map<std::uint64_t, std::deque<PooledConnection>>;  // the newest last
  bool is_quiet(std::uint64_t instance_id, const PooledConnection& one);
  void check_rested();

  std::mutex lock_;  // never held while a connection is looked at or closed
  ConnectionBudget& budget_;
  const std::chrono::steady_clock::duration idle_limit_;
  policy::ConnectionReuse reuse_;  // guarded by lock_
  ByInstance idle_;                    // the same
  std::atomic<std::uint64_t> unsolicited_count_{0};
};

}  // namespace troutstage::net
