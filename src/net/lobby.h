// The clients' connections that no thread serves at present. They wait here, monitored by one epoll thread,
// for their next request or their end, so that a silent connection costs a descriptor and no thread.
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

// All public functions may be called from any thread, run() from one thread only. The constructor throws
// std::system_error if no descriptor is available.
class IdleConnections {
 public:
  // What a connection waits for.
  enum class WaitsFor {
    // the first request of the connection
    first_request,
    // the second request, which may never come
    second_request,
    // a further request: the client has used the connection more than once
    next_request,
    // the client's close after its last answer; what still comes is discarded until then
    peer_close,
    // the rest of a request's head, so that a client that writes slowly keeps no thread waiting
    rest_of_head
  };
  static constexpr std::size_t kWaitsForCount = 5;
  // Gives a connection to a thread that serves its request. False: no thread is available. Must neither block
  // nor call IdleConnections.
  using StartServing = std::function<bool(std::shared_ptr<ClientConnection>)>;
  // The largest number of connections that may wait, by WaitsFor.
  using MaxWaiting = std::array<std::size_t, kWaitsForCount>;
  // Takes a connection on which nothing has arrived yet out of the budget of client connections, so that
  // another one gets its place and a request that is on its way is still answered. False: that is not
  // possible, and the connection has to be closed. Must neither block nor call IdleConnections.
  using LeaveBudget = std::function<bool(ClientConnection&)>;
  // Receives the length of a round of checks that took longer than ArrivalEstimate::kMaxCheckGap. Called on
  // the thread of run().
  using OnStall = std::function<void(std::chrono::milliseconds)>;
  // `start_serving` is called with lock_ held for each connection on which a request arrived: on the thread
  // of run(), or in a call below that adds or closes connections. If no thread is available, the call is
  // retried for a while; then the request is rejected here. `max_waiting` has a limit for each value of
  // WaitsFor; beyond the limit the connection that has waited for the same thing the longest is closed.
  IdleConnections(StartServing start_serving, const MaxWaiting& max_waiting, LeaveBudget leave_budget = {},
                  OnStall on_stall = {});

  // Blocks and monitors the connections until stop(). Returns earlier, and logs the error, if epoll_wait
  // fails for another reason than an interruption or a shortage.
  void run();
  void stop();
  // Takes over a connection that no thread serves.
  void add(std::shared_ptr<ClientConnection> client, WaitsFor waits_for);
  // Closes the connection whose loss costs least; see the definition for the order. False: there is none that
  // may be closed, or none that has been idle for long enough. `except_new`: keeps connections on which the
  // client has sent nothing yet.
  bool close_least_useful(bool except_new = false);
  // The number of connections that wait for `waits_for`.
  std::size_t waiting(WaitsFor waits_for);
  // Refuses up to `max_count` unfinished heads that have been arriving for `min_age` or longer. False: there
  // are none.
  bool refuse_slow_heads(std::chrono::milliseconds min_age, int max_count);
  // Calls `admit`, which must neither block nor call IdleConnections, for the connection beyond the budget on
  // which nothing has arrived for the longest time. False: there is none.
  bool admit_silent(const std::function<void(ClientConnection&)>& admit);
  // Closes a connection beyond the budget on which nothing has arrived for `min_age`, or whose unfinished
  // request was refused so long ago. False: there is none.
  bool close_refused(std::chrono::milliseconds min_age);
  // Closes all connections on which no request has arrived. `all` false: not those that wait for the client's
  // close.
  void close_idle(bool all);

 private:
  struct WaitingConnection {
    std::shared_ptr<ClientConnection> client;
    WaitsFor waits_for;
    // The start of the wait, and the time at which the connection is closed if nothing has arrived.
    TimePoint since, deadline;
    // A request has arrived, but no thread has been available for it since then.
    std::optional<TimePoint> no_thread_since;
    // The number of checks done before the connection was monitored; the largest number while it is not
    // monitored.
    std::uint64_t checks_before_monitoring = UINT64_MAX;
  };
  // By id, so the oldest connection is first.
  using ConnectionMap = std::map<std::uint64_t, WaitingConnection>;
  // Checks the socket once more, then removes the connection: serves it if a request has arrived, else closes
  // it for `reason`. A connection that waits for the client's close is not checked. `reason` by_client: an
  // earlier check found bytes or the client's close. The connection stays
  // - if the check fails, unless `reason` is by_client; the connection is then served all the same
  // - if `reason` is by_client and the check finds nothing after all
  // - if no thread is available to serve it: retry_serving() tries again, for up to kThreadWaitLimit; then
  // the
  //   request is rejected.
  void serve_or_close(ConnectionMap::iterator entry, CloseReason reason);
  // The functions below that take an iterator or a WaitingConnection, and add_locked(), are called with lock_
  // held.
  bool close_longest_idle(WaitsFor waits_for, std::chrono::milliseconds min_idle);
  static bool has_been_idle(const WaitingConnection& waiting, std::chrono::milliseconds min_idle);
  void add_locked(std::shared_ptr<ClientConnection> client, WaitsFor waits_for);
  void report_stall(TimePoint::duration duration) const;
  void note_poll(TimePoint now);
  void on_event(std::uint64_t id, TimePoint now);
  void check_unmonitored(ConnectionMap::iterator entry);
  void on_readable(ConnectionMap::iterator entry, TimePoint now);
  bool start_monitoring(std::uint64_t id, WaitingConnection& waiting);
  void note_bytes(const WaitingConnection& waiting, TimePoint now) const;
  void close_expired();
  void retry_monitoring();
  void retry_serving();

  const StartServing start_serving_;
  const MaxWaiting max_waiting_;
  const LeaveBudget leave_budget_;
  const OnStall on_stall_;
  Fd epoll_, wake_event_;
  // Held while start_serving_ is called and while connections are closed. Both take other locks; no thread
  // takes lock_ while it holds one of those.
  std::mutex lock_;
  ConnectionMap connections_;
  std::uint64_t next_id_ = 1;
  // The checks that epoll makes of all monitored connections together.
  core::ArrivalEstimate epoll_checks_{TimePoint::clock::now()};
  std::uint64_t checks_done_ = 0;
  // How many connections wait, by WaitsFor.
  MaxWaiting waiting_{};
  // Ids of connections that epoll_ctl could not add yet.
  std::set<std::uint64_t> unmonitored_;
  // Ids of connections with a request for which no thread has been available yet.
  std::set<std::uint64_t> unserved_;
  std::atomic<bool> has_unmonitored_{false}, has_unserved_{false}, is_stopped_{false};
};

}  // namespace troutstage::net
