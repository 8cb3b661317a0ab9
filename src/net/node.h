// A node on TCP sockets: its listener, its client connections and threads with the state that they share, and
// its operations: reload of the configuration, drain, shutdown and the hand-over from a predecessor to a
// successor process.
#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <set>

#include "config/config.h"
#include "core/arrival_estimate.h"
#include "core/balancer.h"
#include "core/stage.h"
#include "core/stop_plan.h"
#include "net/counters.h"
#include "net/directory.h"
#include "net/file_reader.h"
#include "net/lobby.h"
#include "net/memory_budget.h"
#include "net/node_limits.h"
#include "net/peers.h"
#include "net/pool.h"
#include "net/sibling.h"
#include "net/terms.h"
#include "net/threads.h"
#include "net/transactions.h"
#include "net/vigil.h"
#include "net/watch.h"

namespace troutstage::net {

// Steady time in tenths of a millisecond. The clock starts at one day, so that the start of a backend can lie
// before the start of this node.
class SteadyClock : public core::Clock {
 public:
  SteadyClock();
  TenthsOfMs now() const override;
  TimePoint at(TenthsOfMs when) const override;
  TenthsOfMs to_ticks(TimePoint when) const;
  // What to add to a Unix time in tenths of a millisecond to get a time of this clock. Measured once, when
  // the node started.
  TenthsOfMs wall_offset() const { return wall_offset_; }

 private:
  const TimePoint start_;
  TenthsOfMs wall_offset_;
};

using core::ShutdownPlan;

// The public functions may be called from any thread: start() once, port() only before stop().
class Node {
 public:
  explicit Node(Config config);  // opens the listener, or throws
  ~Node();
  // Starts the node's threads, or throws std::runtime_error. The node accepts connections from here on; if
  // its listener was passed to this process, only once the node can serve.
  void start();
  // Shuts down gracefully: blocks until every open invocation is answered and every thread has ended. `plan`
  // says how long each phase lasts. Later calls have no effect and return at once.
  void stop(const ShutdownPlan& plan);
  // The same, with the plan that completes before the SIGKILL which follows SIGTERM by the longest time limit
  // of the settings. A reload that is applied meanwhile may shorten the plan.
  void stop_before_kill();
  // drain() makes the node report that it is not ready and close its client connections, without losing what
  // the node has learned. activate() reverses this. Both may be repeated, and return false once the node is
  // stopping.
  bool drain();
  bool activate();
  bool ready() const { return node_state_.is_ready(); }
  // Current counts for the metrics endpoint.
  NodeMetrics metrics();
  // JSON text about the other nodes; nothing if membership is off.
  std::optional<std::string> members() const;
  // All counters as text, a line each.
  std::string counters_text() const;
  // In force now. Includes workloads that a reload removed or changed, as long as their index is not reused.
  std::shared_ptr<const Settings> settings() const;
  // Reads the configuration file and applies its settings to invocations that arrive from then on. A
  // discovery address that differs from the one in the previous file replaces the address in use, wherever
  // that came from. If anything in the file is wrong, the node logs the reason and keeps its whole
  // configuration. Throws nothing.
  void reload(const std::string& path);
  // The same, but returns without waiting for the file.
  void reload_in_background(const std::string& path);
  // The port of the clients' listener.
  int port() const;
  const Counters& counters() const { return counters_; }

 private:
  friend class ClientConnection;
  // Registers a request that a thread is reading. If the request arrives slowly, the node may abort the read
  // to free capacity.
  class ActiveRead {
   public:
    ActiveRead(Node& node, int fd);
    ~ActiveRead();
    ActiveRead(const ActiveRead&) = delete;
    ActiveRead& operator=(const ActiveRead&) = delete;
    bool was_aborted() const;

   private:
    friend class Node;
    Node& node_;
    const int fd_;
    const TimePoint started_at_ = TimePoint::clock::now();
    bool is_aborted_ = false;
  };

  std::shared_ptr<const RequestConfig> request_config() const;
  // Builds the request configuration of new settings: see node.cpp.
  std::shared_ptr<const RequestConfig> build_request_config(Settings new_settings,
                                                            const NameIndices& new_names,
                                                            std::shared_ptr<const Settings>& indexed_settings,
                                                            std::vector<Index>& inherits_from);
  bool closes_connections_after_answer() const {
    return is_closing_connections_ || is_handing_over_ ||
           node_state_.phase() == core::NodeState::Phase::draining;
  }
  void close_idle_when_draining();
  void update_process_pair();
  void set_node_count(int nodes);  // divides shared budgets by this number from now on
  void apply_fleet_settings(std::shared_ptr<Settings> updated);
  void run_reloads();  // applies each file that the file reader has read, until the reader stops
  void reload_from(const std::string& text, const std::string& path);
  void report_reload_failure(const std::string& path, std::string_view why);
  bool begin_shutdown(const ShutdownPlan& plan, TimePoint requested_at);  // false: it has begun before
  // Tells those that answer requests by when all have to be answered.
  void announce_shutdown_plan(const ShutdownPlan& plan, TimePoint requested_at);
  // Follows settings that were applied during a shutdown by time limits, if they shorten it. The caller holds
  // settings_lock_.
  void shorten_shutdown(const Settings& settings);
  // Waits until a phase of the shutdown is over by its plan, or `is_over()`. `lock` holds lock_.
  template <class Condition>
  void wait_for_phase_end(std::unique_lock<std::mutex>& lock, std::chrono::milliseconds ShutdownPlan::*phase,
                          Condition is_over);
  void run_shutdown();  // returns once every thread has ended
  void start_thread(std::string_view what, const std::function<void()>& job);
  // The system reported a receive time of a client connection. Starts the check of such times, once.
  void request_system_time_check();
  void check_system_times();
  void accept_all();
  void wait_for_connection();
  bool handle_accept(AcceptResult&& result, bool is_stopping);  // false: accepting is over
  void add_client(Fd fd);
  core::ArrivalEstimate initial_arrival_estimate(int fd) const;
  bool run_client(const std::shared_ptr<ClientConnection>& client);  // false: no thread is available
  bool acquire_budget();                                             // false: the budget is exhausted
  // Counts a connection that nobody serves among those beyond the budget. False: there is no room among
  // those.
  bool leave_budget(ClientConnection& client);
  // Counts a connection beyond the budget within it, in the place of an idle one if need be. False: there is
  // no place.
  bool enter_budget(ClientConnection& client);
  // Does so with the connection beyond the budget on which nothing has arrived for the longest time. False:
  // there is none, or no place that an answered client could give up.
  bool admit_silent_client();
  // Takes a place from the budget for a connection beyond it, in the place of an idle connection if need be.
  // `except_new`: not of one on which nothing has arrived yet. False: there is none.
  bool take_idle_place(bool except_new);
  // Counts a connection beyond the budget within it, in a place that was taken before.
  void move_into_budget(ClientConnection& client);
  // Aborts reads that have lasted for `min_age` or longer; false: there are none.
  bool abort_slow_reads(std::chrono::milliseconds min_age);
  // Whether too few client connections are idle during a shutdown without a successor.
  bool needs_idle_connections();
  void run_housekeeping();
  void connection_opened(bool is_within_budget);  // connection_closed() reverses this
  void connection_closed(bool was_within_budget);

  Config config_;  // as last accepted
  const NodeLimits limits_;
  core::WorkloadRegistry workload_registry_;
  core::NodeState node_state_;
  std::unique_ptr<ProcessPair> process_pair_;  // only if the listener was passed to this process
  SharedUsage unpaired_usage_;                 // used if there is no process_pair_
  const SteadyClock clock_;
  const TimePoint started_at_ = TimePoint::clock::now();
  core::Balancer balancer_;
  Counters counters_;
  std::shared_ptr<const RequestConfig> request_config_;  // guarded by lock_
  std::shared_ptr<const Settings> settings_;             // workloads by index; guarded by lock_
  BackendDirectory directory_;
  ConnectionBudget budget_;
  MemoryBudget memory_;
  const std::unique_ptr<TransactionMemory> transaction_memory_;
  TransactionTable transactions_;
  ConnectionPool pool_;
  DisconnectMonitor disconnect_monitor_;
  std::unique_ptr<DiscoveryWatch> watch_;
  FileReader file_reader_;
  std::unique_ptr<MembershipTransport> peers_;  // only if membership is on
  Fd listener_;

  mutable std::mutex lock_;
  std::condition_variable changed_;
  std::set<ActiveRead*> active_reads_;
  // Client connections, and those of them that are beyond the budget.
  std::size_t open_connections_ = 0, over_budget_ = 0;
  bool stopped_ = false, accept_loop_ended_ = true;
  // What shared budgets are divided by: 1 / (the share that the membership gives this node), rounded up, at
  // most 1000000. 0: the membership is off or has not reported a share yet, and the settings give the number.
  // Guarded by settings_lock_.
  int node_count_ = 0;
  std::mutex settings_lock_;  // serializes changes of config_ and of the balancer's settings
  // The shutdown goes by the time limits of the settings. Guarded by settings_lock_.
  bool is_shutdown_by_time_limits_ = false;
  // Set once by begin_shutdown().
  TimePoint stop_requested_at_;
  ShutdownPlan shutdown_plan_;          // guarded by lock_
  std::atomic<bool> is_paired_{false};  // another process of this node is running
  // The node stops, and a successor process accepts new connections.
  std::atomic<bool> is_handing_over_{false};
  // The node stops, and closes connections after their answers.
  std::atomic<bool> is_closing_connections_{false};
  // Set at shutdown if its plan has a time limit for answers: the last answers are due by then, and nothing
  // is accepted after that.
  std::atomic<TimePoint> answer_deadline_{TimePoint::max()};
  // Used by the accepting thread only, like the next two.
  int consecutive_accept_shortages_ = 0;
  // The last accept call succeeded, so the accept queue has not been found empty since.
  bool may_have_more_queued_ = false;
  core::ArrivalEstimate accept_queue_estimate_{started_at_};
  // Receive times of the system: their check was requested; the check has passed.
  std::atomic<bool> is_system_time_check_requested_{false}, trusts_system_times_{false};
  std::atomic<std::uint64_t> connections_{0};  // client connections so far; numbers them in the log
  TimePoint drained_since_;                    // guarded by lock_
  // Open client connections that have served more than one request.
  std::atomic<std::size_t> reused_connections_{0};
  IdleConnections idle_connections_;
  // The last members, because their threads use the others.
  ThreadPool hand_off_threads_, client_threads_, internal_threads_;
};

}  // namespace troutstage::net
