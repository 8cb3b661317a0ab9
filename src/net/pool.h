// The connections to backends: how many there may be, and those that nothing uses.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>

#include "net/budget.h"
#include "net/socket.h"

namespace troutstage::net {

class Pool {
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
    friend class Pool;
    Connection(Pool* pool, Fd fd) : pool_(pool), fd_(std::move(fd)) {}
    Pool* pool_;
    Fd fd_;
  };

  // A connection rests for `settle` after an answer before its next use.
  Pool(Budget& budget, std::chrono::steady_clock::duration idle_limit,
       std::chrono::steady_clock::duration settle)
      : budget_(budget), idle_limit_(idle_limit), settle_(settle) {}

  // By the life of a backend: what is gone can be found no more, whoever has its address or number now.
  std::optional<Connection> idle(std::uint64_t life, std::uint64_t address);  // one that is open and quiet
  std::optional<Connection> fresh();  // a socket not yet connected; nothing where no more may be had
  void give_back(std::uint64_t life, std::uint64_t address, Connection connection);
  bool shed();    // closes the one that has been idle the longest; false: none is
  void retire();  // closes what has been idle for too long
  void retire(std::chrono::steady_clock::duration idle);  // for longer than that

 private:
  struct Idle {
    std::uint64_t address;
    Moment since;
    Connection connection;
  };
  std::mutex lock_;
  Budget& budget_;
  const std::chrono::steady_clock::duration idle_limit_, settle_;
  std::map<std::uint64_t, std::deque<Idle>> idle_;  // the newest last
};

}  // namespace troutstage::net
