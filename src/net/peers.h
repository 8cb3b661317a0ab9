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

struct MembershipCounters {
  using Count = std::atomic<std::uint64_t>;
  std::array<Count, members::kKindNames.size()> sent{}, came{};
  std::array<Count, members::kDroppedNames.size()> dropped{};
  std::array<Count, members::kNoteNames.size()> notes{};
  std::string text() const;  // a line for each: its name and figure
};

class MembershipTransport {
 public:
  static constexpr std::size_t kDescriptors = 1;
  struct Options {
    std::string name, zone, listen;
    std::vector<std::string> peers;
    FleetFile::Membership membership;
    TenthsOfMs slow_start_window = 0;      // in which sends to cold backends count
    std::string hand_over_to_successor;  // a file that another process of this node may leave for this one; empty: none
    bool is_successor = false;  // the other one holds the address until it has left that file
  };
  // `share` is told of how many nodes this one is to count itself as one, whenever that changes. Throws Malformed
  // where the settings can't be used, and std::system_error where the address can't.
  MembershipTransport(const Options& start, std::function<void(int)> share);
  ~MembershipTransport();
  void run();
  // Reads peers anew; throws Malformed, and keeps what it has, where they can't be used.
  void check(const std::vector<std::string>& peers) const;
  void move(const std::vector<std::string>& peers);
  void leave();           // tells those who decide that it stops
  bool has_left() const;  // they heard it, or there is nobody to hear it
  void hand_over_to_successor() { is_handing_over_ = true; }  // writes what it is to the file for the other process of this node, and lets go of the address
  void stop();
  std::string json() const;  // what is known of the members
  const MembershipCounters& counters() const { return counters_; }

 private:
  using Addresses = std::vector<sockaddr_in>;
  Addresses parse_peers(const std::vector<std::string>& peers) const;
  void set_addresses(Addresses addresses);
  void decide(const members::MemberEvent& event);
  bool try_bind();
  void write_snapshot_and_close();
  void receive();
  void report_share();
  TenthsOfMs now() const;

  const Options start_;
  const std::function<void(int)> on_share_changed_;
  MembershipCounters counters_;
  mutable std::mutex lock_;  // over all below
  Fd socket_;
  Addresses addresses_;
  std::unordered_map<std::uint64_t, Index> node_of_address_;  // by address and port
  std::unique_ptr<members::Engine> engine_;
  members::Setup setup_;
  std::atomic<bool> stopped_{false}, is_handing_over_{false};
  int reported_share_ = 0;
};

}  // namespace troutstage::net
