// One node on sockets: its listener, its clients' connections and what they share.
#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <set>

#include "config/config.h"
#include "core/balancer.h"
#include "core/arrival_estimate.h"
#include "core/stage.h"
#include "core/stop_plan.h"
#include "net/counters.h"
#include "net/directory.h"
#include "net/file_reader.h"
#include "net/lobby.h"
#include "net/peers.h"
#include "net/pool.h"
#include "net/sibling.h"
#include "net/terms.h"
#include "net/threads.h"
#include "net/transactions.h"
#include "net/vigil.h"
#include "net/watch.h"

namespace troutstage::net {

// Steady time, begun far enough from zero that a backend's start can lie before it.
class SteadyClock : public core::Clock {
 public:
  SteadyClock();
  TenthsOfMs now() const override;
  TimePoint at(TenthsOfMs when) const override;
  TenthsOfMs to_ticks(TimePoint when) const;
  TenthsOfMs wall_offset() const { return wall_offset_; }  // from Unix time, as it was when the node started

 private:
  const TimePoint start_;
  TenthsOfMs wall_offset_;
};

using core::ShutdownPlan;

class Node {
 public:
  explicit Node(Config config);  // listens from here on; throws where it can't
  ~Node();
  void start();
  void stop(const ShutdownPlan& how);  // ends gracefully: all held is answered
  // Lets its clients go and takes no new ones, but runs on with all that it knows; and takes them again. False:
  // it is stopping.
  bool drain();
  bool activate();
  bool ready() const { return node_state_.is_ready(); }
  NodeMetrics metrics();
  std::optional<std::string> members() const;  // what is known of the other nodes; nothing where membership is off
  std::string counters_text() const;
  std::shared_ptr<const Settings> settings() const;  // as they hold now
  // Reads a configuration anew: its settings hold for what comes from then on, and a discovery that is another
  // than the file named before wins over where that was known from. Where anything is wrong with the file,
  // nothing of it is taken.
  void reload(const std::string& path);
  // The same without waiting for the file.
  void reload_in_background(const std::string& path);
  int port() const;
  const Counters& counters() const { return counters_; }

 private:
  friend class ClientConnection;
  // Stands for a request that a thread reads: one that is slow to come may be ended to make room.
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
  std::shared_ptr<const RequestConfig> apply_settings(Settings fresh, const NameIndices& names, std::shared_ptr<const Settings>& all,
                                      std::vector<Index>& inherits_from);
  bool closes_connections_after_answer() const {
    return is_closing_connections_ || is_handing_over_ || node_state_.phase() == core::NodeState::Phase::draining;
  }
  void close_idle_when_draining();
  void update_process_pair();
  void set_node_count(int nodes);  // counts itself as one of so many from now on
  void apply_fleet_settings(std::shared_ptr<Settings> now);
  void run_reloads();
  void reload_from(const std::string& text, const std::string& path);
  void report_reload_failure(const std::string& path, std::string_view why);
  void start_thread(std::string_view what, const std::function<void()>& job);
  void request_system_time_check();  // of a client's connection: they are checked, once
  void check_system_times();
  void accept_all();
  void wait_for_connection();
  bool handle_accept(AcceptResult&& one, bool last);  // false: there is nothing more to accept
  void take(Fd fd);
  core::ArrivalEstimate initial_arrival_estimate(int fd) const;
  bool run_client(const std::shared_ptr<ClientConnection>& client);  // false: no thread is to be had
  bool acquire_budget();            // false: there is none
  bool abort_slow_reads(std::chrono::milliseconds slow);  // that have taken so long already; false: there is none
  bool needs_idle_connections();  // while it stops
  void run_housekeeping();
  void connection_opened(bool has_place);  // a client's connection, and its end
  void connection_closed(bool had_place);

  Config config_;  // as it was last accepted
  core::WorkloadRegistry workload_registry_;
  core::NodeState node_state_;
  std::unique_ptr<ProcessPair> process_pair_;  // where its listener was passed to it
  SharedUsage unpaired_usage_;
  const SteadyClock clock_;
  const TimePoint started_ = TimePoint::clock::now();
  core::Balancer balancer_;
  Counters counters_;
  std::shared_ptr<const RequestConfig> request_config_;  // guarded by lock_
  std::shared_ptr<const Settings> settings_;  // with the workloads by number; guarded by lock_
  BackendDirectory directory_;
  ConnectionBudget budget_;
  BodyBytesBudget bytes_;
  OpenTransactions open_transactions_;
  ConnectionPool pool_;
  DisconnectMonitor disconnect_monitor_;
  std::unique_ptr<DiscoveryWatch> watch_;
  FileReader file_reader_;
  std::unique_ptr<MembershipTransport> peers_;  // where membership is on
  Fd listener_;

  mutable std::mutex lock_;
  std::condition_variable changed_;
  std::set<ActiveRead*> active_reads_;
  std::size_t open_connections_ = 0, over_budget_ = 0;  // clients' connections, and those of them that have no place
  bool stopped_ = false, accept_loop_ended_ = true;
  int node_count_ = 0;         // by the membership; 0: it is off, and the settings tell. Guarded by settling_
  std::mutex settings_lock_;  // over the settings of the module and how they come about
  std::atomic<bool> is_paired_{false};      // another process of this node is there
  std::atomic<bool> is_handing_over_{false};  // it stops, and a successor takes what comes
  std::atomic<bool> is_closing_connections_{false};  // it stops, and closes what has been answered
  std::atomic<TimePoint> answer_deadline_{TimePoint::max()};  // once it stops: its last answers are due then, and what has not been accepted is not any more
  int consecutive_accept_shortages_ = 0;          // in a row; the accepting thread's own, as the next two
  bool may_have_more_queued_ = false;          // to accept: one was, and the queue has not been found empty since
  core::ArrivalEstimate accept_queue_estimate_{started_};
  std::atomic<bool> is_system_time_check_requested_{false}, trusts_system_times_{false};  // to be checked; they were seen to be true
  std::atomic<std::uint64_t> connections_{0};  // clients', numbered for the log
  TimePoint drained_since_;              // guarded by lock_
  std::atomic<std::size_t> reused_connections_{0};  // clients' connections that were used more than once
  const std::size_t rejection_reserve_;
  IdleConnections idle_connections_;
  ThreadPool hand_off_threads_, client_threads_, internal_threads_;  // the last members: their threads use the others
};

}  // namespace troutstage::net
