#include "net/node.h"

#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <fstream>
#include <thread>

#include "log/log.h"
#include "net/client.h"
#include "net/protocol.h"
#include "net/system_times.h"

namespace troutstage::net {
namespace {

// The node's clock starts at this value.
constexpr TenthsOfMs kDay = 24 * 3600 * TenthsOfMs{10000};
// Interval at which threads check the state of the node. Without a process pair the housekeeping thread does
// so at five times this interval.
constexpr std::chrono::milliseconds kPollInterval{50};
// While all connections beyond the budget are in use: between two tries to close one, and how long a client
// whose unfinished request was refused may take to read its answer.
constexpr std::chrono::milliseconds kFullReserveInterval{10}, kRefusedReadTime{100};
// How many connections are closed at the most for one that needs a place.
constexpr int kBudgetTries = 3;
constexpr int kRefusedAtOnce = 16;  // slow heads, when there is no place for another client
constexpr std::chrono::milliseconds kSlowReadTime{500};  // a request that takes longer to arrive is slow
// Stalls of the process from this length on are counted and logged.
constexpr std::chrono::milliseconds kMinReportedStall{50};
// Before a thread restarts its job, which threw an exception.
constexpr std::chrono::milliseconds kThreadRestartDelay{10};
// Before accepting again after a failure.
constexpr std::chrono::milliseconds kAcceptRetryDelay{1}, kAcceptShortageDelay{10};
// A shortage that lasts for this many accept calls in a row will not pass in a moment: idle connections are
// closed, and after the second number of calls also connections on which nothing has arrived yet.
constexpr int kShortagesBeforeClosingIdle = 3, kShortagesBeforeClosingNew = 12;
// For the other nodes to learn that this node leaves.
constexpr std::chrono::milliseconds kMaxLeaveWait{500};
// The load balancer in front of the nodes learns of a drain within some tenths of a second, and opens new
// connections until then. Idle connections are closed after that, and long before they would count as still
// in use.
constexpr std::chrono::milliseconds kDrainNoticeTime{1000};
// Time limit for the head of a request, the same as for a client connection. In a hand-over slow reads are
// aborted only after this time.
constexpr std::chrono::milliseconds kMaxHeadTime{2500};
// A node that stops keeps one in this many of its reused client connections idle.
constexpr std::size_t kIdleShareDivisor = 10;
// A successor that can't reach discovery within this time serves with the list of backends that the successor
// was started with.
constexpr std::chrono::milliseconds kSuccessorListWait{3000};

std::unique_ptr<ProcessPair> make_process_pair(Config& config) {
  if (config.passed_socket < 0) return nullptr;
  auto pair = std::make_unique<ProcessPair>(config.scratch, config.name);
  // Both processes of a node together send backends in slow start what one process may send.
  if (pair->is_successor()) config.settings.slow_start_budget_share = 0.5;
  return pair;
}

// How long after its end the id of a request that may have run stays known, beyond the time in which its
// client or a repeat of its idempotency key may still be on the way.
constexpr std::chrono::milliseconds kIdKeepMargin{5000};

std::chrono::milliseconds id_keep_time(const Workload& workload) {
  if (workload.semantics == Semantics::idempotent) return {};
  const TenthsOfMs longest = std::max(workload.time_limit, workload.deduplication_window);
  return std::chrono::milliseconds(longest / 10) + kIdKeepMargin;
}

// If the file that both processes of a node map can't be used, each knows its own ids only.
std::unique_ptr<TransactionMemory> make_transaction_memory(const Config& config, const NodeLimits& limits,
                                                           ProcessPair* pair) {
  if (pair != nullptr) {
    std::string file_name = "/troutstage-ids-" + config.name;
    std::replace(file_name.begin() + 1, file_name.end(), '/', '_');
    try {
      return std::make_unique<TransactionMemory>(config.scratch + file_name, limits.transaction_entries,
                                                 pair->slot(), !pair->is_successor());
    } catch (const std::system_error& error) {
      log::warning("transaction ids are not shared with the other process: {}", error.what());
    }
  }
  return std::make_unique<TransactionMemory>(limits.transaction_entries);
}

// Connections inherit the buffers of the listener that accepts them.
Fd open_listener(const Config& config, int socket_buffer) {
  const sockaddr_in address = parse_address(config.listen);
  Fd fd = config.passed_socket < 0 ? listen_on(address) : inherited_listener(config.passed_socket, address);
  set_socket_buffers(fd.get(), socket_buffer);
  return fd;
}

// How many client connections may wait without a thread, for each thing that they wait for. Connections that
// have served several requests may take half of the third of the descriptors that regular clients may hold.
// Connections that have served only one request get fewer: when the oldest connection of both kinds was
// closed, the regular clients' connections went first, and nearly every request came on a new connection.
IdleConnections::MaxWaiting max_waiting(const Config& config, std::size_t max_all) {
  const auto clamped = [&](std::size_t n) { return std::max<std::size_t>(2, std::min(max_all, n)); };
  return {max_all / 3, clamped(config.descriptors / 12), clamped(config.descriptors / 6), max_all / 3,
          SIZE_MAX};
}

// How long a connection to a backend may be idle. The node closes the connection before the backend does: a
// tenth of `keepalive` earlier, but at least 0.5 s, and no earlier than after half of `keepalive`.
std::chrono::microseconds idle_connection_limit(TenthsOfMs keepalive) {
  return std::chrono::microseconds(
      std::max<TenthsOfMs>(keepalive / 2, keepalive - std::max<TenthsOfMs>(5000, keepalive / 10)) * 100);
}

}  // namespace

SteadyClock::SteadyClock() : start_(TimePoint::clock::now()) {
  const auto unix_time = std::chrono::system_clock::now().time_since_epoch();
  wall_offset_ = kDay - std::chrono::duration_cast<std::chrono::microseconds>(unix_time).count() / 100;
}
TenthsOfMs SteadyClock::now() const { return to_ticks(TimePoint::clock::now()); }
TenthsOfMs SteadyClock::to_ticks(TimePoint when) const {
  return kDay + std::chrono::duration_cast<std::chrono::microseconds>(when - start_).count() / 100;
}
TimePoint SteadyClock::at(TenthsOfMs when) const {
  return start_ + std::chrono::microseconds((when - kDay) * 100);
}

namespace {

// The gauges of the memory budget, and the resident memory of the process as the system counts it.
std::string memory_text(const MemoryBudget& memory) {
  std::string text = fmt::format("memory_budget {}\nmemory_reserved {}\nmemory_reserved_highest {}\n",
                                 memory.limit(), memory.reserved(), memory.highest());
  for (std::size_t n = 0; n < kMemoryUses; ++n) {
    const auto use = static_cast<MemoryUse>(n);
    text += fmt::format("memory_{} {}\nmemory_refused_{} {}\n", kMemoryUseNames[n], memory.reserved(use),
                        kMemoryUseNames[n], memory.refused(use));
  }
  std::ifstream statm("/proc/self/statm");
  std::size_t all_pages = 0, resident_pages = 0;
  if (statm >> all_pages >> resident_pages)
    text += fmt::format("memory_resident {}\n",
                        resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)));
  return text;
}

std::int64_t milliseconds_since(TimePoint when) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(TimePoint::clock::now() - when).count();
}

// `settings` as the file names them: what only requests under way still use has no say in when the platform
// kills the process.
ShutdownPlan plan_by_time_limits(const Settings& settings) {
  std::chrono::milliseconds longest{0};
  for (const Workload& workload : settings.workloads)
    longest = std::max(longest, std::chrono::milliseconds(workload.time_limit / 10));
  return core::plan_shutdown(longest);
}

}  // namespace

Node::Node(Config config)
    : config_(std::move(config)), limits_(divide_limits(config_)), process_pair_(make_process_pair(config_)),
      balancer_(config_.settings, clock_), directory_(config_.names, clock_.wall_offset()),
      budget_(limits_.max_connections, limits_.max_clients, limits_.max_backends,
              process_pair_ ? process_pair_->shared_usage() : unpaired_usage_),
      memory_(limits_.memory_budget, process_pair_ ? process_pair_->shared_usage() : unpaired_usage_,
              limits_.all_connections_bytes()),
      transaction_memory_(make_transaction_memory(config_, limits_, process_pair_.get())),
      transactions_(*transaction_memory_), pool_(budget_, idle_connection_limit(config_.settings.keepalive),
                                                 policy::ReuseRules{}, limits_.socket_buffer),
      disconnect_monitor_(balancer_), listener_(open_listener(config_, limits_.socket_buffer)),
      idle_connections_(
          [this](const std::shared_ptr<ClientConnection>& client) { return run_client(client); },
          max_waiting(config_, limits_.max_clients),
          [this](ClientConnection& client) { return leave_budget(client); },
          [this](std::chrono::milliseconds duration) {
            if (duration >= kMinReportedStall) counters_.record_stall(duration);
          }),
      hand_off_threads_(2 * limits_.max_connections, &memory_),
      client_threads_(2 * limits_.max_connections, &memory_),
      // Eight threads of start(), and one that checks the system's receive times.
      internal_threads_(9) {
  DiscoveryList cached_list;
  if (!config_.known.empty()) cached_list = directory_.read(config_.known);
  watch_ = std::make_unique<DiscoveryWatch>(balancer_, directory_, counters_,
                                            parse_address(config_.discovery), cached_list.version,
                                            config_.settings.seed, [this] { node_state_.mark_started(); });
  is_paired_ = process_pair_ && process_pair_->is_successor();
  if (!cached_list.entries.empty() && !(process_pair_ && process_pair_->is_successor()))
    node_state_.mark_started();
  balancer_.update_backends(ListForm::cached, std::move(cached_list.entries));
  std::vector<Index> inherits_from;
  request_config_ = build_request_config(config_.settings, config_.names, settings_, inherits_from);
  if (!config_.fleet.membership.enabled) return;
  const std::string members_file = process_pair_ ? config_.scratch + "/troutstage-members-" +
                                                       std::to_string(std::hash<std::string>()(config_.name))
                                                 : "";
  peers_ = std::make_unique<MembershipTransport>(
      MembershipTransport::Options{config_.name, config_.zone, config_.peer_listen, config_.peers,
                                   config_.fleet.membership, config_.settings.slow_start_window, members_file,
                                   process_pair_ && process_pair_->is_successor()},
      [this](int nodes) { set_node_count(nodes); });
}

Node::~Node() { stop({}); }

void Node::start() {
  // Every list of backends comes from the discovery watch. If the balancer need not ask for the list, the
  // node asks.
  if (!config_.settings.is_discovery_on_request) balancer_.request_discovery();
  start_thread("timers", [this] { balancer_.run_ticks(); });
  start_thread("discovery", [this] { watch_->run(); });
  start_thread("clients' ends", [this] { disconnect_monitor_.run(); });
  start_thread("idle clients", [this] { idle_connections_.run(); });
  start_thread("housekeeping", [this] { run_housekeeping(); });
  start_thread("configuration", [this] { run_reloads(); });
  if (peers_) start_thread("membership", [this] { peers_->run(); });
  accept_loop_ended_ = false;
  try {
    start_thread("accepting", [this] { accept_all(); });
  } catch (...) {  // stop() must not wait for a thread that does not run
    accept_loop_ended_ = true;
    throw;
  }
  log::info("{} listens on {}, discovery {}", config_.name, config_.listen, config_.discovery);
}

void Node::start_thread(std::string_view what, const std::function<void()>& job) {
  // Without one of these threads the node would accept requests and answer none, so a job that throws is
  // restarted.
  const auto run_until_done = [this, job, name = std::string(what)] {
    for (bool is_done = false; !is_done;) {
      try {
        job();
        is_done = true;
      } catch (const std::exception& error) {
        ++counters_.broke_inside_threads;
        log::error("thread for {}: {}", name, error.what());
        std::this_thread::sleep_for(kThreadRestartDelay);
      }
    }
  };
  // A brief shortage of threads does not prevent the start.
  const auto run = [&] { return internal_threads_.run(run_until_done) || (errno = ENOMEM, false); };
  if (!retry_on_shortage("pthread_create", run))
    throw std::runtime_error("can't start the thread for " + std::string(what));
}

// If no thread is available, arrival times come only from the checks of each socket, until the next request
// requests this check again.
void Node::request_system_time_check() {
  if (is_system_time_check_requested_.exchange(true)) return;
  ++counters_.system_times_checks;
  if (!internal_threads_.run([this] { check_system_times(); })) is_system_time_check_requested_ = false;
}

void Node::check_system_times() {
  trusts_system_times_ = system_times_are_true();
  log::event("system_times", {{"trusted", std::string_view(trusts_system_times_ ? "yes" : "no")}});
}

int Node::port() const { return port_of(listener_.get()); }

void Node::accept_all() {
  for (;;) {
    {
      // Nothing is accepted while the whole reserve is in use: accept must not be the call that finds no
      // descriptor.
      std::unique_lock lock(lock_);
      changed_.wait_for(lock, kFullReserveInterval,
                        [this] { return over_budget_ < limits_.rejection_reserve; });
      if (over_budget_ >= limits_.rejection_reserve) {
        lock.unlock();
        if (is_closing_connections_ && TimePoint::clock::now() >= answer_deadline_.load()) break;
        if (is_paired_) idle_connections_.close_least_useful(true);
        if (!admit_silent_client()) idle_connections_.close_refused(kRefusedReadTime);
        continue;
      }
    }
    // From the hand-over on, the successor accepts the queued connections. A process that was passed its
    // listener accepts nothing before it can serve.
    if (is_handing_over_) break;
    if (process_pair_ && node_state_.phase() == core::NodeState::Phase::starting) {
      std::unique_lock lock(lock_);
      changed_.wait_for(lock, std::chrono::milliseconds(10));
      continue;
    }
    // A node that stops still serves the connections that wait in its accept queue.
    const bool is_stopping = is_closing_connections_;
    if (is_stopping && TimePoint::clock::now() >= answer_deadline_.load()) break;
    if (!is_stopping && !may_have_more_queued_) wait_for_connection();
    const TimePoint checked_at = TimePoint::clock::now();
    AcceptResult result = accept_connection(listener_.get());
    if (result.what == AcceptOutcome::none && polls_unreadable(listener_.get()))
      accept_queue_estimate_.no_bytes_until(checked_at);
    if (!handle_accept(std::move(result), is_stopping)) break;
  }
  std::lock_guard lock(lock_);
  listener_.reset();
  accept_loop_ended_ = true;
  changed_.notify_all();
}

// Waits until there is a connection to accept, or until the next check of the accept queue is due. The queue
// is checked in either case, because the wait may miss a connection.
void Node::wait_for_connection() {
  const IoResult io =
      wait_readable(listener_.get(), TimePoint::clock::now() + core::ArrivalEstimate::kCheckInterval);
  // If poll() fails, the pause keeps the accepting thread from spinning.
  if (io == IoResult::broken) std::this_thread::sleep_for(kAcceptShortageDelay);
}

// Acts on the result of one accept call. Only an empty queue means that there is nothing more to accept; an
// error does not.
bool Node::handle_accept(AcceptResult&& result, bool is_stopping) {
  if (result.what == AcceptOutcome::accepted) {
    consecutive_accept_shortages_ = 0;
    may_have_more_queued_ = true;
    ++counters_.connections_taken;
    add_client(std::move(result.fd));
    return true;
  }
  may_have_more_queued_ = false;
  if (result.what == AcceptOutcome::none) return !is_stopping;
  ++counters_.accepts_failed;
  log::event("accept_failed", {{"error", std::int64_t{result.error}}}, log::Level::debug);
  if (result.what == AcceptOutcome::again) {
    std::this_thread::sleep_for(kAcceptRetryDelay);
    return true;
  }
  record_shortage("accept", result.error);
  if (result.what == AcceptOutcome::shortage &&
      ++consecutive_accept_shortages_ >= kShortagesBeforeClosingIdle) {
    // A descriptor is needed: idle connections are closed first, and connections that may have a request on
    // its way last.
    if (!idle_connections_.close_least_useful(consecutive_accept_shortages_ < kShortagesBeforeClosingNew))
      abort_slow_reads(kSlowReadTime);
  }
  std::unique_lock lock(lock_);
  changed_.wait_for(lock, kAcceptShortageDelay);
  return true;
}

void Node::add_client(Fd fd) {
  try {
    const core::ArrivalEstimate arrival = initial_arrival_estimate(fd.get());
    idle_connections_.add(std::make_shared<ClientConnection>(*this, std::move(fd), acquire_budget(), arrival),
                          IdleConnections::WaitsFor::first_request);
  } catch (const std::exception& error) {
    log::error("client: {}", error.what());
  }
}

// The first request of a connection may have arrived while the connection waited in the accept queue.
core::ArrivalEstimate Node::initial_arrival_estimate(int fd) const {
  core::ArrivalEstimate arrival(accept_queue_estimate_.earliest());
  const TimePoint now = TimePoint::clock::now();
  if (is_open_and_empty(fd)) arrival.no_bytes_until(now);
  return arrival;
}

// Called by IdleConnections while it holds its lock: must not block.
bool Node::run_client(const std::shared_ptr<ClientConnection>& client) {
  const bool is_running = client_threads_.run([this, client]() mutable {
    if (const auto waits_for = client->serve()) idle_connections_.add(std::move(client), *waits_for);
  });
  // Threads that wait for slow senders have to give way if there is no memory for another one.
  if (!is_running && memory_.is_scarce()) abort_slow_reads(kSlowReadTime);
  return is_running;
}

// Takes a connection from the budget for a client. A request that waits unread in the accept queue is not
// answered in time, and its head no longer says how long the client still waits. So every connection is
// accepted at once, and the request of a connection beyond the budget is rejected.
bool Node::acquire_budget() {
  for (int tries = 0; tries < kBudgetTries; ++tries) {
    const ConnectionBudget::TakeResult outcome = budget_.take(Side::clients);
    if (outcome == ConnectionBudget::TakeResult::granted) return true;
    if (outcome == ConnectionBudget::TakeResult::all_full && pool_.close_oldest_idle()) continue;
    // While two processes share the budget, connections on which nothing has arrived yet are kept: each new
    // connection would close the connection before it, whose request is still unread.
    if (idle_connections_.close_least_useful(is_paired_)) continue;
    const bool has_refused = idle_connections_.refuse_slow_heads(kSlowReadTime, kRefusedAtOnce);
    if (!abort_slow_reads(kSlowReadTime) && !has_refused) return false;
    std::unique_lock lock(lock_);
    changed_.wait_for(lock, std::chrono::milliseconds(5));
  }
  return false;
}

bool Node::leave_budget(ClientConnection& client) {
  std::lock_guard lock(lock_);
  // The other half of the reserve is for connections that come.
  if (over_budget_ >= limits_.rejection_reserve / 2) return false;
  ++over_budget_;
  client.leave_budget();
  budget_.give_back(Side::clients);
  memory_.give_back(MemoryUse::connections, limits_.connection_bytes(true));
  memory_.take_for_connection(limits_.connection_bytes(false));
  return true;
}

bool Node::take_idle_place(bool except_new) {
  auto outcome = budget_.take(Side::clients);
  for (int tries = 0; outcome != ConnectionBudget::TakeResult::granted; ++tries) {
    if (tries == kBudgetTries) return false;
    const bool has_closed = outcome == ConnectionBudget::TakeResult::all_full && pool_.close_oldest_idle();
    if (!has_closed && !idle_connections_.close_least_useful(except_new)) return false;
    outcome = budget_.take(Side::clients);
  }
  return true;
}

void Node::move_into_budget(ClientConnection& client) {
  client.enter_budget();
  memory_.give_back(MemoryUse::connections, limits_.connection_bytes(false));
  memory_.take_for_connection(limits_.connection_bytes(true));
  std::lock_guard lock(lock_);
  --over_budget_;
  changed_.notify_all();
}

bool Node::enter_budget(ClientConnection& client) {
  if (!take_idle_place(is_paired_)) return false;
  move_into_budget(client);
  return true;
}

// A client that has had its answers gives way to one that has not asked yet.
bool Node::admit_silent_client() {
  if (!take_idle_place(true)) return false;
  if (idle_connections_.admit_silent([this](ClientConnection& client) { move_into_budget(client); }))
    return true;
  budget_.give_back(Side::clients);
  return false;
}

// Slow senders must not use up the budget and keep out all other clients.
bool Node::abort_slow_reads(std::chrono::milliseconds min_age) {
  std::lock_guard lock(lock_);
  bool has_aborted = false;
  for (ActiveRead* read : active_reads_) {
    if (read->is_aborted_ || TimePoint::clock::now() - read->started_at_ < min_age) continue;
    has_aborted = read->is_aborted_ = true;
    ::shutdown(read->fd_, SHUT_RD);
  }
  return has_aborted;
}

Node::ActiveRead::ActiveRead(Node& node, int fd) : node_(node), fd_(fd) {
  std::lock_guard lock(node_.lock_);
  node_.active_reads_.insert(this);
}
Node::ActiveRead::~ActiveRead() {
  std::lock_guard lock(node_.lock_);
  node_.active_reads_.erase(this);
}
// A request that arrived whole in spite of the abort is answered all the same, as the last on its connection.
bool Node::ActiveRead::was_aborted() const {
  std::lock_guard lock(node_.lock_);
  return is_aborted_;
}

// No client can open another connection to a node that stops. A client that found all of its connections to
// the node busy no longer used any of them, and all of its requests were without a node; so a few connections
// are kept idle.
bool Node::needs_idle_connections() {
  return node_state_.phase() == core::NodeState::Phase::stopping && !is_handing_over_ &&
         idle_connections_.waiting(IdleConnections::WaitsFor::next_request) <
             reused_connections_ / kIdleShareDivisor;
}

void Node::run_housekeeping() {
  std::unique_lock lock(lock_);
  while (!stopped_) {
    changed_.wait_for(lock, process_pair_ ? kPollInterval : 5 * kPollInterval, [this] { return stopped_; });
    lock.unlock();
    pool_.close_expired();
    close_idle_when_draining();
    if (process_pair_) update_process_pair();
    lock.lock();
  }
}

void Node::connection_opened(bool is_within_budget) {
  memory_.take_for_connection(limits_.connection_bytes(is_within_budget));
  std::lock_guard lock(lock_);
  ++open_connections_;
  if (!is_within_budget) ++over_budget_;
}
void Node::connection_closed(bool was_within_budget) {
  memory_.give_back(MemoryUse::connections, limits_.connection_bytes(was_within_budget));
  if (was_within_budget) budget_.give_back(Side::clients);
  std::lock_guard lock(lock_);
  --open_connections_;
  if (!was_within_budget) --over_budget_;
  changed_.notify_all();
}

// Builds the request configuration for `new_settings`. Returns in `indexed_settings` the same settings with
// their workloads by registry index, and in `inherits_from` the index of the workload whose learned state
// each workload inherits. Reads no file and takes no lock.
std::shared_ptr<const RequestConfig> Node::build_request_config(
    Settings new_settings, const NameIndices& new_names, std::shared_ptr<const Settings>& indexed_settings,
    std::vector<Index>& inherits_from) {
  std::vector<std::string> names_by_index(new_settings.workloads.size());
  for (const auto& [name, index] : new_names.workloads) names_by_index[index] = name;
  core::WorkloadRegistry::Assignment assignment =
      workload_registry_.apply_settings(names_by_index, new_settings.workloads);
  auto request_config = std::make_shared<RequestConfig>();
  for (std::size_t i = 0; i < names_by_index.size(); ++i)
    request_config->workloads[names_by_index[i]] = {
        assignment.workload_handles[i], new_settings.workloads[i].semantics,
        counters_.answers.of(names_by_index[i]), id_keep_time(new_settings.workloads[i])};
  request_config->tenants = new_names.tenants;
  request_config->may_cancel = new_settings.may_cancel;
  request_config->connect_timeout = std::chrono::microseconds(new_settings.connect_timeout * 100);
  new_settings.workloads = std::move(assignment.workloads);
  indexed_settings = std::make_shared<const Settings>(std::move(new_settings));
  inherits_from = std::move(assignment.inherits_from);
  return request_config;
}

void Node::reload_in_background(const std::string& path) { file_reader_.start_read(path); }

void Node::run_reloads() {
  while (const auto read = file_reader_.wait_for_result()) {
    if (read->error.empty()) reload_from(read->text, read->path);
    else report_reload_failure(read->path, read->error);
  }
}

void Node::reload(const std::string& path) {
  try {
    reload_from(read_file(path), path);
  } catch (const std::exception& error) {
    report_reload_failure(path, error.what());
  }
}

void Node::report_reload_failure(const std::string& path, std::string_view why) {
  ++counters_.reloads_failed;
  log::error("configuration kept, '{}' can't be used: {}", path, why);
}

// Checks the whole text before anything changes. Open invocations and everything that was learned about
// backends stay.
void Node::reload_from(const std::string& text, const std::string& path) {
  try {
    std::lock_guard settings_guard(settings_lock_);
    Config new_config = read_config(text);
    check_complete(config_, new_config);
    const bool moves_discovery = new_config.discovery_in_file != config_.discovery_in_file;
    if (peers_) peers_->check(new_config.peers);
    const sockaddr_in discovery = parse_address(moves_discovery ? new_config.discovery_in_file : "0.0.0.0:0");
    // These change only with a new process: what was measured under the old values would be interpreted under
    // the new ones.
    new_config.settings.zone = config_.settings.zone;
    new_config.settings.tick = config_.settings.tick;
    new_config.settings.slow_start_window = config_.settings.slow_start_window;
    new_config.settings.slow_start_budget_share = config_.settings.slow_start_budget_share;
    if (node_count_ > 0) new_config.settings.nodes = node_count_;
    std::shared_ptr<const Settings> indexed_settings;
    std::vector<Index> inherits_from;
    auto request_config =
        build_request_config(new_config.settings, new_config.names, indexed_settings, inherits_from);
    balancer_.apply_settings(indexed_settings, std::move(inherits_from));
    pool_.set_idle_limit(idle_connection_limit(new_config.settings.keepalive));
    {
      std::lock_guard lock(lock_);
      request_config_.swap(request_config);
      settings_ = indexed_settings;
    }
    if (moves_discovery) watch_->move(discovery);
    if (peers_ && new_config.peers != config_.peers) peers_->move(new_config.peers);
    config_.peers = new_config.peers;
    config_.settings = new_config.settings;
    shorten_shutdown(config_.settings);
    config_.given = new_config.given;
    config_.discovery_in_file = new_config.discovery_in_file;
    ++counters_.reloads;
    log::info("configuration reloaded: {} workloads, {}", new_config.settings.workloads.size(),
              moves_discovery ? "discovery is now " + new_config.discovery : "no other discovery");
  } catch (const std::exception& error) {
    report_reload_failure(path, error.what());
  }
}

std::shared_ptr<const Settings> Node::settings() const {
  std::lock_guard lock(lock_);
  return settings_;
}

std::shared_ptr<const RequestConfig> Node::request_config() const {
  std::lock_guard lock(lock_);
  return request_config_;
}

bool Node::drain() {
  if (node_state_.phase() != core::NodeState::Phase::draining) {
    std::lock_guard lock(lock_);
    drained_since_ = TimePoint::clock::now();
  }
  if (!node_state_.drain()) return false;
  log::info("draining until it is activated");
  return true;
}

bool Node::activate() {
  if (!node_state_.activate()) return false;
  log::info("active");
  return true;
}

void Node::close_idle_when_draining() {
  if (node_state_.phase() != core::NodeState::Phase::draining) return;
  {
    std::lock_guard lock(lock_);
    if (TimePoint::clock::now() - drained_since_ < kDrainNoticeTime) return;
  }
  idle_connections_.close_idle(false);
}

// Follows the other process of this node: while two processes run, they share the connection budget and what
// may be sent to backends in slow start; a single process has all of it.
void Node::update_process_pair() {
  const bool is_paired = process_pair_->is_other_running();
  if (process_pair_->is_successor() && TimePoint::clock::now() - started_at_ > kSuccessorListWait &&
      node_state_.phase() == core::NodeState::Phase::starting)
    node_state_.mark_started();
  is_paired_ = is_paired;
  // The successor may lack the descriptors that idle connections of this process hold.
  if (is_handing_over_) pool_.close_expired(kPollInterval);
  std::lock_guard settings_guard(settings_lock_);
  const double share = is_paired ? 0.5 : 1;
  if (config_.settings.slow_start_budget_share == share) return;
  log::info("the other process of this node has {}", is_paired ? "come" : "gone");
  config_.settings.slow_start_budget_share = share;
  auto updated = std::make_shared<Settings>(*settings());
  updated->slow_start_budget_share = share;
  apply_fleet_settings(std::move(updated));
}

// Shared budgets follow the share that the membership gives this node, not the number of nodes in the
// settings.
void Node::set_node_count(int nodes) {
  std::lock_guard settings_guard(settings_lock_);
  if (node_count_ == nodes) return;
  node_count_ = config_.settings.nodes = nodes;
  auto updated = std::make_shared<Settings>(*settings());
  updated->nodes = nodes;
  log::event("members_share", {{"nodes", std::int64_t{nodes}}});
  apply_fleet_settings(std::move(updated));
}

// Applies settings whose workloads are unchanged and whose fleet-wide numbers differ. The caller holds
// settings_lock_.
void Node::apply_fleet_settings(std::shared_ptr<Settings> updated) {
  std::vector<Index> inherits_from;
  for (Index n = 0; n < updated->workloads.size(); ++n) inherits_from.push_back(n);
  balancer_.apply_settings(updated, std::move(inherits_from));
  std::lock_guard lock(lock_);
  settings_ = updated;
}

std::optional<std::string> Node::members() const {
  if (!peers_) return std::nullopt;
  return peers_->json();
}

std::string Node::counters_text() const {
  return counters_.text() + fmt::format("backends_spoke_unasked {}\n", pool_.unsolicited_count()) +
         memory_text(memory_) + fmt::format("transaction_ids_refused {}\n", transactions_.refused()) +
         (peers_ ? peers_->counters().text() : "");
}

NodeMetrics Node::metrics() {
  NodeMetrics current;
  for (const auto& [name, answers] : counters_.answers.all())
    current.by_workload[name] = {answers->succeeded, answers->rejected, answers->given_up};
  current.written = counters_.written;
  current.open = counters_.open;
  const auto backend_counts = balancer_.backend_counts();
  current.listed = backend_counts.listed;
  current.avoided = backend_counts.avoided;
  current.reloads = counters_.reloads;
  current.reloads_failed = counters_.reloads_failed;
  return current;
}

void Node::stop(const ShutdownPlan& plan) {
  if (begin_shutdown(plan, TimePoint::clock::now())) run_shutdown();
}

void Node::stop_before_kill() {
  const TimePoint requested_at = TimePoint::clock::now();
  {
    std::lock_guard settings_guard(settings_lock_);
    if (!begin_shutdown(plan_by_time_limits(config_.settings), requested_at)) return;
    is_shutdown_by_time_limits_ = true;
  }
  run_shutdown();
}

bool Node::begin_shutdown(const ShutdownPlan& plan, TimePoint requested_at) {
  if (!node_state_.stop()) return false;
  log::info("stopping");
  {
    std::lock_guard lock(lock_);
    stop_requested_at_ = requested_at;
    shutdown_plan_ = plan;
  }
  announce_shutdown_plan(plan, requested_at);
  return true;
}

void Node::announce_shutdown_plan(const ShutdownPlan& plan, TimePoint requested_at) {
  if (plan.answer_within.count() < 0) return;
  const TimePoint answer_by = requested_at + plan.answer_within;
  log::event("stop_planned", {{"answer_within_ms", std::int64_t{plan.answer_within.count()}}});
  balancer_.answer_all_by(clock_.to_ticks(answer_by));
  answer_deadline_ = answer_by;
  changed_.notify_all();
}

// The platform may have sent SIGHUP and SIGTERM one right after the other, and times the kill by the new
// file.
void Node::shorten_shutdown(const Settings& settings) {
  if (!is_shutdown_by_time_limits_) return;
  const ShutdownPlan plan = plan_by_time_limits(settings);
  TimePoint requested_at;
  {
    std::lock_guard lock(lock_);
    if (plan.answer_within >= shutdown_plan_.answer_within) return;
    shutdown_plan_ = plan;
    requested_at = stop_requested_at_;
  }
  announce_shutdown_plan(plan, requested_at);
}

template <class Condition>
void Node::wait_for_phase_end(std::unique_lock<std::mutex>& lock,
                              std::chrono::milliseconds ShutdownPlan::*phase, Condition is_over) {
  for (;;) {
    const TimePoint phase_end = stop_requested_at_ + shutdown_plan_.*phase;
    if (is_over() || TimePoint::clock::now() >= phase_end) return;
    changed_.wait_until(lock, phase_end);
  }
}

void Node::run_shutdown() {
  const auto log_phase = [&](std::string_view name, std::size_t open) {
    log::event("stop", {{"stage", name},
                        {"ms", milliseconds_since(stop_requested_at_)},
                        {"clients", std::uint64_t{open}},
                        {"held", counters_.open.load()}});
  };
  is_handing_over_ = process_pair_ && process_pair_->is_other_running();
  if (is_handing_over_) log::info("a successor takes what comes");
  // A successor is the same member of the fleet. Without a successor the other nodes are notified at once, so
  // that they need not detect the loss.
  if (peers_ && is_handing_over_) peers_->hand_over_to_successor();
  else if (peers_) peers_->leave();
  std::unique_lock lock(lock_);
  // A successor accepts the clients' next connections, so each connection is closed after its next answer,
  // and an idle connection after a time in which most clients have sent a request.
  if (is_handing_over_)
    changed_.wait_until(lock, stop_requested_at_ + kDrainNoticeTime,
                        [this] { return open_connections_ == 0; });
  else wait_for_phase_end(lock, &ShutdownPlan::accept_for, [] { return false; });
  // Clients use their connections for as long as these stay open, and may know no other node. When
  // connections were closed at once, stopping two nodes one after the other left all requests without a node.
  if (!is_handing_over_)
    wait_for_phase_end(lock, &ShutdownPlan::keep_connections_for, [this] { return open_connections_ == 0; });
  is_closing_connections_ = true;
  log_phase("leaving", open_connections_);
  while (open_connections_ > 0 || !accept_loop_ended_) {
    lock.unlock();
    const bool is_past_deadline = TimePoint::clock::now() > answer_deadline_.load();
    idle_connections_.close_idle(is_past_deadline);
    if (is_past_deadline) abort_slow_reads({});
    else if (!is_handing_over_ || TimePoint::clock::now() > stop_requested_at_ + kMaxHeadTime)
      abort_slow_reads(kSlowReadTime);
    lock.lock();
    changed_.wait_for(lock, std::chrono::milliseconds(20),
                      [this] { return open_connections_ == 0 && accept_loop_ended_; });
  }
  stopped_ = true;
  log_phase("clients gone", open_connections_);
  changed_.notify_all();
  lock.unlock();
  client_threads_.finish();
  hand_off_threads_.finish();
  balancer_.stop();
  watch_->stop();
  for (const TimePoint limit = TimePoint::clock::now() + kMaxLeaveWait;
       peers_ && !is_handing_over_ && !peers_->has_left() && TimePoint::clock::now() < limit;)
    std::this_thread::sleep_for(kPollInterval);
  if (peers_) peers_->stop();
  disconnect_monitor_.stop();
  idle_connections_.stop();
  file_reader_.stop();
  internal_threads_.finish();
  log::info("stopped");
}

}  // namespace troutstage::net
