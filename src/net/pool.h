// The connections to backends: counts them against the node's budget and keeps the idle connections for
// reuse.
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

// Any thread may call any member.
class ConnectionPool {
 public:
  // Owns one connection, which counts against the budget until the object is destroyed.
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

  // `idle_limit`: idle connections are closed after this time, before backends close them. `socket_buffer`:
  // the value of SO_RCVBUF and SO_SNDBUF of new connections; 0: the system sizes them.
  ConnectionPool(ConnectionBudget& budget, std::chrono::steady_clock::duration idle_limit,
                 const policy::ReuseRules& rules, int socket_buffer = 0);

  // Replaces the idle limit, also for connections that are idle now.
  void set_idle_limit(std::chrono::steady_clock::duration idle_limit);

  // Memory that the system may use for what one connection buffers.
  std::size_t socket_bytes() const {
    return static_cast<std::size_t>(socket_buffer_) * kSocketBytesPerOptionUnit;
  }

  // Connections are found by the instance id of a backend, so those of a removed backend are never used for
  // another one that has its address or index now.

  // An open connection without unread bytes that has been idle for its cooldown; empty: none.
  std::optional<Connection> take_idle(std::uint64_t instance_id, std::uint64_t address);
  // A socket that is not connected yet; empty: the budget or the system allows no more, even after closing
  // idle connections.
  std::optional<Connection> open_new();
  // Keeps the connection for reuse, or closes it if the backend has sent unsolicited bytes recently.
  void give_back(std::uint64_t instance_id, std::uint64_t address, Connection connection);
  // The backend sent bytes that belong to no request, on a connection that had been idle for `idle_time`:
  // closes all idle connections to the backend.
  void record_unsolicited_bytes(std::uint64_t instance_id, std::uint64_t address,
                                std::chrono::steady_clock::duration idle_time);
  bool close_oldest_idle();  // closes the connection that has been idle the longest; false: none is idle
  // Closes connections that have been idle for the idle limit, and checks each other connection once
  // after the proving time of its backend.
  void close_expired();
  void close_expired(std::chrono::steady_clock::duration max_idle);  // closes connections idle for `max_idle`
  // How often unsolicited bytes were found.
  std::uint64_t unsolicited_count() const { return unsolicited_count_; }

 private:
  // An idle connection.
  struct PooledConnection {
    std::uint64_t address;
    TimePoint idle_since;
    Connection connection;
    bool was_checked = false;  // by check_idle_connections()
  };
  // By instance id; the connection used last is at the end of its queue.
  using ByInstance = std::map<std::uint64_t, std::deque<PooledConnection>>;
  // Whether the connection is open and nothing is unread. Reports what it finds to reuse_.
  bool is_quiet(std::uint64_t instance_id, const PooledConnection& pooled);
  // Checks each connection once that has been idle for the proving time of its backend.
  void check_idle_connections();

  std::mutex lock_;  // never held while a connection is checked or closed
  ConnectionBudget& budget_;
  const int socket_buffer_;
  const policy::ReuseRules rules_;                  // without the limit by idle_limit_
  std::chrono::steady_clock::duration idle_limit_;  // guarded by lock_
  policy::ConnectionReuse reuse_;                   // guarded by lock_
  ByInstance idle_;                                 // guarded by lock_
  std::atomic<std::uint64_t> unsolicited_count_{0};
};

}  // namespace troutstage::net
