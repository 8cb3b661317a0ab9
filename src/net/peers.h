// Transport of the membership: runs the membership engine on one UDP socket and one thread.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/fleet.h"
#include "members/engine.h"
#include "net/socket.h"
#include "net/threads.h"

namespace troutstage::net {

// Counts of datagrams and events, by their kinds. Any thread may read them.
struct MembershipCounters {
  using Count = std::atomic<std::uint64_t>;
  std::array<Count, members::kKindNames.size()> sent{}, received{};
  std::array<Count, members::kDroppedNames.size()> dropped{};
  std::array<Count, members::kNoteNames.size()> notes{};
  std::string text() const;  // a line for each count: its name and value
};

// One thread calls run(); any thread may call the other members.
class MembershipTransport {
 public:
  static constexpr std::size_t kDescriptors = 1;  // descriptors that it holds open
  struct Options {
    std::string name, zone, listen;
    std::vector<std::string> peers;
    FleetFile::Membership membership;
    TenthsOfMs slow_start_window = 0;  // how long a send to a backend in slow start counts
    std::string snapshot_path;         // file in which the predecessor process may leave a snapshot for the
                                       // successor; empty: none
    bool is_successor = false;         // the predecessor holds the address until it has written that file
  };
  // `on_share_changed` is called, outside the lock, whenever the number of nodes changes that this node
  // divides shared limits by: by the constructor and by run(). Throws Malformed if the settings can't be
  // used, and std::system_error if the address can't be bound.
  MembershipTransport(const Options& options, std::function<void(int)> on_share_changed);
  ~MembershipTransport();
  void run();  // blocks until stop() or the hand-over to the successor
  // check() throws Malformed if the list of peers can't be used. move() replaces the list by one that passed
  // check(); if it can't read the new list, it throws Malformed and keeps the old one.
  void check(const std::vector<std::string>& peers) const;
  void move(const std::vector<std::string>& peers);
  void leave();  // informs the members that decide on views that this node stops
  // After leave(): a member that decides on views acknowledged the leave, or this node is not a member, or
  // the engine does not run.
  bool has_left() const;
  // Makes run() write a snapshot for the successor process, release the address and return.
  void hand_over_to_successor() { is_handing_over_ = true; }
  void stop();               // makes run() return
  std::string json() const;  // the state of the members, for the admin endpoint
  const MembershipCounters& counters() const { return counters_; }

 private:
  using Addresses = std::vector<sockaddr_in>;
  Addresses parse_peers(const std::vector<std::string>& peers) const;
  void set_addresses(Addresses addresses);
  // Passes an event to the engine, sends what the engine returns, and counts and logs its notes. The lock is
  // held.
  void run_engine(const members::MemberEvent& event);
  // Binds the address and starts the engine, from the predecessor's snapshot if there is one; false: the
  // address can't be bound, for instance because the predecessor still holds it.
  bool try_bind();
  void write_snapshot_and_close();
  void receive();
  void report_share();     // calls on_share_changed_ if the share has changed
  TenthsOfMs now() const;  // the time of the engine

  const Options options_;
  const std::function<void(int)> on_share_changed_;
  MembershipCounters counters_;
  mutable std::mutex lock_;  // guards the data members below, except for setup_ and the atomics
  Fd socket_;
  Addresses addresses_;
  std::unordered_map<std::uint64_t, Index> node_of_address_;  // index of a peer, by its address and port
  std::unique_ptr<members::Engine> engine_;
  members::Setup setup_;  // changed only by the constructor and try_bind()
  std::atomic<bool> stopped_{false}, is_handing_over_{false};
  int reported_share_ = 0;  // the number of nodes that was last reported
};

}  // namespace troutstage::net
