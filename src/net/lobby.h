// The clients' connections that no thread works for: they wait here for their next request or their end, so
// that one that is silent costs a descriptor and no more.
#pragma once

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>

#include "core/arrival_estimate.h"
#include "net/closing.h"
#include "net/socket.h"

namespace troutstage::net {

class ClientConnection;

class IdleConnections {
 public:
  enum class WaitsFor {
    first_request,  // nothing has come on it yet
    second_request,   // for a second request, which may never come
    next_request,   // for the next one
    peer_close     // it was told its last answer; what still comes is thrown away until it closes
  };
  using StartServing = std::function<bool(std::shared_ptr<ClientConnection>)>;  // false: nobody can work for it
  using MaxWaiting = std::array<std::size_t, 4>;
  // `ready` is called for each connection on which something has come, on the lobby's thread; one that it has
  // nobody for, also after a while, is turned away here. So many may wait for each thing; beyond that the one that has waited for
  // it the longest goes.
  // `gap` is told, on the lobby's thread, how long each round of looks took that was not short.
  using OnStall = std::function<void(std::chrono::milliseconds)>;
  IdleConnections(StartServing ready, const MaxWaiting& most, OnStall gap = {});

  void run();  // until stop()
  void stop();
  void add(std::shared_ptr<ClientConnection> client, WaitsFor wait);
  // Closes the one that is the least loss; false: there is none. `but_new`: not one that has said nothing
  // yet.
  bool close_least_useful(bool but_new = false);
  std::size_t waiting(WaitsFor wait);
  void close_idle(bool all);  // else not those that are being told their last answer

 private:
  struct WaitingConnection {
    std::shared_ptr<ClientConnection> client;
    WaitsFor wait;
    TimePoint since, limit;
    std::optional<TimePoint> no_thread_since;  // its request has come, and no thread was to be had for it
    std::uint64_t checks_before = UINT64_MAX;  // taken before it was monitored; not monitored yet: the largest number
  };
  using ConnectionMap = std::map<std::uint64_t, WaitingConnection>;  // the oldest first
  // Takes one out, and gives it to whom it goes: what has come on it is still looked at. Where that look
  // fails, it stays, unless something is known to have come (`by_client`).
  void serve_or_close(ConnectionMap::iterator at, CloseReason why);
  void add_locked(std::shared_ptr<ClientConnection> client, WaitsFor wait);
  void report_stall(TimePoint::duration gap) const;
  void note_poll(TimePoint now);
  void on_event(std::uint64_t id, TimePoint now);
  void check_unmonitored(ConnectionMap::iterator at);
  void on_readable(ConnectionMap::iterator at, TimePoint now);
  bool start_monitoring(std::uint64_t id, WaitingConnection& waiting);
  void note_bytes(const WaitingConnection& waiting, TimePoint now) const;
  void close_expired();
  void retry_monitoring();
  void retry_serving();

  const StartServing start_serving_;
  const MaxWaiting max_waiting_;
  const OnStall on_stall_;
  Fd poll_, wake_;
  std::mutex lock_;  // held while `ready` is called and clients are closed: these take other locks, never the
                     // reverse
  ConnectionMap connections_;
  std::uint64_t next_id_ = 1;
  core::ArrivalEstimate monitor_checks_{TimePoint::clock::now()};  // the monitor's, at all that it watches
  std::uint64_t checks_done_ = 0;
  MaxWaiting waiting_{};                     // how many wait for each thing
  std::set<std::uint64_t> unmonitored_;  // those that the monitor could not take yet
  std::set<std::uint64_t> unserved_;   // those for whose request no thread was to be had yet
  std::atomic<bool> has_unmonitored_{false}, has_unserved_{false}, stopped_{false};
};

}  // namespace troutstage::net
