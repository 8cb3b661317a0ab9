// The membership on sockets: one UDP socket and one thread round the engine.
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

struct PeerCounters {
  using Count = std::atomic<std::uint64_t>;
  std::array<Count, members::kKindNames.size()> sent{}, came{};
  std::array<Count, members::kDroppedNames.size()> dropped{};
  std::array<Count, members::kNoteNames.size()> notes{};
  std::string text() const;  // a line for each: its name and figure
};

class Peers {
 public:
  static constexpr std::size_t kDescriptors = 1;
  struct Start {
    std::string name, zone, listen;
    std::vector<std::string> peers;
    FleetFile::Membership membership;
    Tenths window = 0;      // in which sends to cold backends count
    std::string hand_over;  // a file that another process of this node may leave for this one; empty: none
    bool successor = false;  // the other one holds the address until it has left that file
  };
  // `share` is told of how many nodes this one is to count itself as one, whenever that changes. Throws Malformed
  // where the settings can't be used, and std::system_error where the address can't.
  Peers(const Start& start, std::function<void(int)> share);
  ~Peers();
  void run();
  // Reads peers anew; throws Malformed, and keeps what it has, where they can't be used.
  void check(const std::vector<std::string>& peers) const;
  void move(const std::vector<std::string>& peers);
  void leave();           // tells those who decide that it stops
  bool has_left() const;  // they heard it, or there is nobody to hear it
  void hand_over() { hands_over_ = true; }  // writes what it is to the file for the other process of this node, and lets go of the address
  void stop();
  std::string json() const;  // what is known of the members
  const PeerCounters& counters() const { return counters_; }

 private:
  using Addresses = std::vector<sockaddr_in>;
  Addresses read(const std::vector<std::string>& peers) const;
  void take(Addresses addresses);
  void decide(const members::MemberEvent& event);
  bool bind_when_free();
  void hand_it_over();
  void receive();
  void tell_share();
  Tenths now() const;

  const Start start_;
  const std::function<void(int)> share_;
  PeerCounters counters_;
  mutable std::mutex lock_;  // over all below
  Fd socket_;
  Addresses addresses_;
  std::unordered_map<std::uint64_t, Index> places_;  // by address and port
  std::unique_ptr<members::Engine> engine_;
  members::Setup setup_;
  std::atomic<bool> stopped_{false}, hands_over_{false};
  int shared_ = 0;
};

}  // namespace troutstage::net
