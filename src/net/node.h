// One node on sockets: its listener, its clients' connections and what they share.
#pragma once

#include <atomic>
#include <map>
#include <memory>

#include "config/config.h"
#include "core/balancer.h"
#include "net/counters.h"
#include "net/directory.h"
#include "net/pool.h"
#include "net/threads.h"
#include "net/vigil.h"
#include "net/watch.h"

namespace troutstage::net {

// Steady time, begun far enough from zero that a backend's start can lie before it.
class SteadyClock : public core::Clock {
 public:
  SteadyClock();
  Tenths now() const override;
  Moment at(Tenths when) const override;
  Tenths wall_offset() const { return wall_offset_; }  // from Unix time, as it was when the node started

 private:
  const Moment start_;
  Tenths wall_offset_;
};

class Node {
 public:
  explicit Node(Config config);  // listens from here on; throws where it can't
  ~Node();
  void start();
  // Ends gracefully: connections that still come are served for `grace`, all held is answered.
  void drain(std::chrono::milliseconds grace);
  // Reads a configuration anew: a file that now names another discovery wins over where that was known from.
  // Whatever is wrong with the file, the node goes on as it is.
  void reload(const std::string& path);
  int port() const;
  const Counters& counters() const { return counters_; }

 private:
  friend class Client;
  enum class Doing { idle, reading, working };  // of a client's connection
  struct Open {
    int fd = -1;
    Doing doing = Doing::working;
    Moment since;
    pthread_t thread{};
    bool to_end = false;  // this request is its last
  };

  void accept_all();
  bool make_room();  // ends the connection that is the least loss; false: all are worked for
  void housekeep();
  bool find_place();             // false: there is none
  bool lasts(std::uint64_t id);  // false: this request is its last, or there is none any more
  std::uint64_t enter(int fd, bool has_place);
  bool set(std::uint64_t id, Doing doing);  // false: the connection is to end
  void leave(std::uint64_t id);             // before its descriptor is closed
  void closed(bool had_place);              // after that
  void close_idle();
  bool may_end(const Open& open) const;
  static void end(Open& open);

  Config config_;
  std::string discovery_in_file_;  // as it was last read
  const SteadyClock clock_;
  core::Balancer balancer_;
  Counters counters_;
  Directory directory_;
  Budget budget_;
  Pool pool_;
  Vigil vigil_;
  std::unique_ptr<Watch> watch_;
  Fd listener_;

  std::mutex lock_;
  std::condition_variable changed_;
  std::map<std::uint64_t, Open> open_;
  std::uint64_t next_id_ = 1;
  std::size_t over_budget_ = 0;
  bool stopped_ = false, accept_over_ = true;
  std::atomic<bool> draining_{false}, accepting_{true};
  const std::size_t reserve_;
  Threads workers_, clients_, inner_;  // the last members: their threads use the others
};

}  // namespace troutstage::net
