#include "net/node.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <thread>

#include "log/log.h"
#include "net/client.h"
#include "net/protocol.h"
#include "net/system_times.h"

namespace troutstage::net {
namespace {

constexpr TenthsOfMs kDay = 24 * 3600 * TenthsOfMs{10000};
constexpr std::chrono::milliseconds kPollInterval{50};    // how often the listener looks whether it is still wanted
constexpr std::chrono::milliseconds kSlowReadTime{500};   // a request is slow to come after this
constexpr std::chrono::milliseconds kMinReportedStall{50};  // pauses of the process that are counted and logged
constexpr std::chrono::milliseconds kThreadRestartDelay{10};  // before a thread that broke goes on
constexpr std::chrono::milliseconds kAcceptRetryDelay{1}, kAcceptShortageDelay{10};  // before accepting again after a failure
// A shortage that lasts for so many tries is not over in a moment: room is made, at last also by what has said nothing yet.
constexpr int kShortagesBeforeClosingIdle = 3, kShortagesBeforeClosingNew = 12;
constexpr std::chrono::milliseconds kMaxLeaveWait{500};  // for the other nodes to hear that this one leaves
// The front hears of a drain within some tenths of a second and sends new connections until then: what is
// idle is let go after that, and long before it would count as held.
constexpr std::chrono::milliseconds kDrainNoticeTime{1000};
constexpr std::chrono::milliseconds kMaxHeadTime{2500};  // a client's that is served all the same
constexpr std::size_t kIdleShareDivisor = 10;            // connections of a node that stops
// Listener, watch, log, vigil and a few to spare.
constexpr std::size_t kBaseDescriptors = 10, kPairDescriptors = 4;

// So many are kept for clients whose request can only be turned away, so that none is left waiting unread.
std::size_t rejection_reserve(const Config& config) { return 8 + config.descriptors / 64; }

// Where another process may run beside this one, what each needs for itself is set aside for both at all times.
std::size_t connection_budget(const Config& config) {
  const std::size_t own = kBaseDescriptors + config.own_descriptors + rejection_reserve(config);
  const std::size_t set_aside = config.passed_socket < 0 ? own : 2 * (own + kPairDescriptors);
  return std::max<std::size_t>(8, config.descriptors - std::min(config.descriptors, set_aside));
}

// Where a successor can't reach discovery it serves with the list that it was started with.
constexpr std::chrono::milliseconds kSuccessorListWait{3000};

std::unique_ptr<ProcessPair> make_process_pair(Config& config) {
  if (config.passed_socket < 0) return nullptr;
  auto sibling = std::make_unique<ProcessPair>(config.scratch, config.name);
  // All processes of this node together send cold backends what one may.
  if (sibling->is_successor()) config.settings.slow_start_budget_share = 0.5;
  return sibling;
}

Fd open_listener(const Config& config) {
  const sockaddr_in address = parse_address(config.listen);
  return config.passed_socket < 0 ? listen_on(address) : inherited_listener(config.passed_socket, address);
}


// Neither side gets more than two thirds. One that is worked for takes the touched part of two stacks and its
// buffers beside its bodies: so many must fit into half of the memory, and all bodies of requests into a
// quarter.
std::size_t max_clients(const Config& config) {
  constexpr std::size_t kEach = 64 * 1024;
  return std::max<std::size_t>(
      2, std::min(connection_budget(config) / 3 * 2, config.memory_mb * 1024 * 1024 / 2 / kEach));
}

// Of those that nobody works for. Idle ones are kept for what usual clients need: half of the third of the
// descriptors that they may hold. Of those that asked only once fewer are kept: closed as the oldest among
// all, the usual clients' connections went first, and nearly every request came on a new one.
IdleConnections::MaxWaiting max_waiting(const Config& config) {
  const std::size_t all = max_clients(config);
  const auto some = [&](std::size_t n) { return std::max<std::size_t>(2, std::min(all, n)); };
  return {all / 3, some(config.descriptors / 12), some(config.descriptors / 6), all / 3};
}

// A connection is retired before the backend closes it: a tenth earlier, half a second at the least.
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
TimePoint SteadyClock::at(TenthsOfMs when) const { return start_ + std::chrono::microseconds((when - kDay) * 100); }

Node::Node(Config config)
    : config_(std::move(config)), process_pair_(make_process_pair(config_)), balancer_(config_.settings, clock_), directory_(config_.names, clock_.wall_offset()),
      budget_(connection_budget(config_), max_clients(config_), connection_budget(config_) / 3 * 2,
              process_pair_ ? process_pair_->shared_usage() : unpaired_usage_),
      bytes_(config_.memory_mb * 1024 * 1024 / 4, process_pair_ ? process_pair_->shared_usage() : unpaired_usage_),
      pool_(budget_, idle_connection_limit(config_.settings.keepalive), policy::ReuseRules{}), disconnect_monitor_(balancer_),
      listener_(open_listener(config_)), rejection_reserve_(rejection_reserve(config_)),
      idle_connections_([this](const std::shared_ptr<ClientConnection>& client) { return run_client(client); }, max_waiting(config_),
             [this](std::chrono::milliseconds gap) {
               if (gap >= kMinReportedStall) counters_.record_stall(gap);
             }),
      hand_off_threads_(2 * connection_budget(config_)), client_threads_(2 * connection_budget(config_)), internal_threads_(9) {
  DiscoveryList known;
  if (!config_.known.empty()) known = directory_.read(config_.known);
  watch_ = std::make_unique<DiscoveryWatch>(balancer_, directory_, counters_, parse_address(config_.discovery),
                                   known.version, config_.settings.seed, [this] { node_state_.mark_started(); });
  is_paired_ = process_pair_ && process_pair_->is_successor();
  if (!known.entries.empty() && !(process_pair_ && process_pair_->is_successor())) node_state_.mark_started();
  balancer_.update_backends(ListForm::cached, std::move(known.entries));
  std::vector<Index> inherits_from;
  request_config_ = apply_settings(config_.settings, config_.names, settings_, inherits_from);
  if (!config_.fleet.membership.enabled) return;
  const std::string left = process_pair_ ? config_.scratch + "/troutstage-members-" + std::to_string(std::hash<std::string>()(config_.name)) : "";
  peers_ = std::make_unique<MembershipTransport>(MembershipTransport::Options{config_.name, config_.zone, config_.peer_listen, config_.peers, config_.fleet.membership,
                                                config_.settings.slow_start_window, left, process_pair_ && process_pair_->is_successor()},
                                   [this](int nodes) { set_node_count(nodes); });
}

Node::~Node() { stop({}); }

void Node::start() {
  // On sockets every list comes by a watch; where the decisions needn't ask for it, the node does.
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
  } catch (...) {  // nobody waits for a thread that is not there
    accept_loop_ended_ = true;
    throw;
  }
  log::info("{} listens on {}, discovery {}", config_.name, config_.listen, config_.discovery);
}

void Node::start_thread(std::string_view what, const std::function<void()>& job) {
  // Without one of these threads the node would go on taking requests and answer none: what breaks in it is begun again.
  const auto goes_on = [this, job, name = std::string(what)] {
    for (bool over = false; !over;) {
      try {
        job();
        over = true;
      } catch (const std::exception& broke) {
        ++counters_.broke_inside_threads;
        log::error("thread for {}: {}", name, broke.what());
        std::this_thread::sleep_for(kThreadRestartDelay);
      }
    }
  };
  // No thread to be had for a moment is no reason not to start.
  const auto run = [&] { return internal_threads_.run(goes_on) || (errno = ENOMEM, false); };
  if (!retry_on_shortage("pthread_create", run)) throw std::runtime_error("can't start the thread for " + std::string(what));
}

// Without a thread for it the looks at each connection alone tell, until the next request.
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
      // The reserve is in use: accept must not be the call that finds no descriptor.
      std::unique_lock held(lock_);
      changed_.wait_for(held, kPollInterval, [this] { return over_budget_ < rejection_reserve_; });
      if (over_budget_ >= rejection_reserve_) {
        held.unlock();
        if (is_closing_connections_ && TimePoint::clock::now() >= answer_deadline_.load()) break;
        if (is_paired_) idle_connections_.close_least_useful(true);
        continue;
      }
    }
    // A successor takes what is queued, and a process that takes over accepts nothing before it can serve.
    if (is_handing_over_) break;
    if (process_pair_ && node_state_.phase() == core::NodeState::Phase::starting) {
      std::unique_lock held(lock_);
      changed_.wait_for(held, std::chrono::milliseconds(10));
      continue;
    }
    // Once this node accepts no more, those that the system has taken for it already are still served.
    const bool last = is_closing_connections_;
    if (last && TimePoint::clock::now() >= answer_deadline_.load()) break;
    if (!last && !may_have_more_queued_) wait_for_connection();
    const TimePoint begun = TimePoint::clock::now();
    AcceptResult one = accept_connection(listener_.get());
    if (one.what == AcceptOutcome::none && polls_unreadable(listener_.get())) accept_queue_estimate_.no_bytes_until(begun);
    if (!handle_accept(std::move(one), last)) break;
  }
  std::lock_guard held(lock_);
  listener_.reset();
  accept_loop_ended_ = true;
  changed_.notify_all();
}

// Until one is there to accept, or the queue is to be looked at all the same: the wait may have failed.
void Node::wait_for_connection() {
  const IoResult io = wait_readable(listener_.get(), TimePoint::clock::now() + core::ArrivalEstimate::kCheckInterval);
  // A monitor that can't be asked must not be asked without end.
  if (io == IoResult::broken) std::this_thread::sleep_for(kAcceptShortageDelay);
}

// What became of one call of accept(). Only the system's word that nothing is there means that there is nothing more.
bool Node::handle_accept(AcceptResult&& one, bool last) {
  if (one.what == AcceptOutcome::accepted) {
    consecutive_accept_shortages_ = 0;
    may_have_more_queued_ = true;
    ++counters_.connections_taken;
    take(std::move(one.fd));
    return true;
  }
  may_have_more_queued_ = false;
  if (one.what == AcceptOutcome::none) return !last;
  ++counters_.accepts_failed;
  log::event("accept_failed", {{"error", std::int64_t{one.error}}}, log::Level::debug);
  if (one.what == AcceptOutcome::again) {
    std::this_thread::sleep_for(kAcceptRetryDelay);
    return true;
  }
  record_shortage("accept", one.error);
  if (one.what == AcceptOutcome::shortage && ++consecutive_accept_shortages_ >= kShortagesBeforeClosingIdle) {
    // A descriptor is wanted: what holds one without need goes first, and what may have a request on its way last.
    if (!idle_connections_.close_least_useful(consecutive_accept_shortages_ < kShortagesBeforeClosingNew)) abort_slow_reads(kSlowReadTime);
  }
  std::unique_lock held(lock_);
  changed_.wait_for(held, kAcceptShortageDelay);
  return true;
}

void Node::take(Fd fd) {
  try {
    const core::ArrivalEstimate arrival = initial_arrival_estimate(fd.get());
    idle_connections_.add(std::make_shared<ClientConnection>(*this, std::move(fd), acquire_budget(), arrival), IdleConnections::WaitsFor::first_request);
  } catch (const std::exception& broke) {
    log::error("client: {}", broke.what());
  }
}

// A connection's first request may have come with it, while it waited to be accepted.
core::ArrivalEstimate Node::initial_arrival_estimate(int fd) const {
  core::ArrivalEstimate arrival(accept_queue_estimate_.earliest());
  const TimePoint now = TimePoint::clock::now();
  if (is_open_and_empty(fd)) arrival.no_bytes_until(now);
  return arrival;
}

// Called by the lobby: it must wait for nothing.
bool Node::run_client(const std::shared_ptr<ClientConnection>& client) {
  return client_threads_.run([this, client]() mutable {
    if (const auto wait = client->serve()) idle_connections_.add(std::move(client), *wait);
  });
}

// A request that waits unread in the accept queue gets no answer in its time, and its client's patience can't
// be told from its head any more: so every connection is taken at once, and what there is no place for is
// turned away.
bool Node::acquire_budget() {
  for (int tries = 0; tries < 3; ++tries) {
    const ConnectionBudget::TakeResult took = budget_.take(Side::clients);
    if (took == ConnectionBudget::TakeResult::granted) return true;
    if (took == ConnectionBudget::TakeResult::all_full && pool_.close_oldest_idle()) continue;
    // While two processes share the places each new connection would end the one before it unheard.
    if (idle_connections_.close_least_useful(is_paired_)) continue;
    if (!abort_slow_reads(kSlowReadTime)) return false;
    std::unique_lock held(lock_);
    changed_.wait_for(held, std::chrono::milliseconds(5));
  }
  return false;
}

// Slow senders must not keep out all others.
bool Node::abort_slow_reads(std::chrono::milliseconds slow) {
  std::lock_guard held(lock_);
  bool any = false;
  for (ActiveRead* reading : active_reads_) {
    if (reading->is_aborted_ || TimePoint::clock::now() - reading->started_at_ < slow) continue;
    any = reading->is_aborted_ = true;
    ::shutdown(reading->fd_, SHUT_RD);
  }
  return any;
}

Node::ActiveRead::ActiveRead(Node& node, int fd) : node_(node), fd_(fd) {
  std::lock_guard held(node_.lock_);
  node_.active_reads_.insert(this);
}
Node::ActiveRead::~ActiveRead() {
  std::lock_guard held(node_.lock_);
  node_.active_reads_.erase(this);
}
// A request that crossed the end is answered all the same, as the last one.
bool Node::ActiveRead::was_aborted() const {
  std::lock_guard held(node_.lock_);
  return is_aborted_;
}

// Nobody can open another connection to a node that stops. Once a client found all of them busy, none was
// used any more, and all requests were without a node; so a few are kept idle.
bool Node::needs_idle_connections() {
  return node_state_.phase() == core::NodeState::Phase::stopping && !is_handing_over_ && idle_connections_.waiting(IdleConnections::WaitsFor::next_request) < reused_connections_ / kIdleShareDivisor;
}

void Node::run_housekeeping() {
  std::unique_lock held(lock_);
  while (!stopped_) {
    changed_.wait_for(held, process_pair_ ? kPollInterval : 5 * kPollInterval, [this] { return stopped_; });
    held.unlock();
    pool_.close_expired();
    close_idle_when_draining();
    if (process_pair_) update_process_pair();
    held.lock();
  }
}

void Node::connection_opened(bool has_place) {
  std::lock_guard held(lock_);
  ++open_connections_;
  if (!has_place) ++over_budget_;
}
void Node::connection_closed(bool had_place) {
  if (had_place) budget_.give_back(Side::clients);
  std::lock_guard held(lock_);
  --open_connections_;
  if (!had_place) --over_budget_;
  changed_.notify_all();
}

// What is offered under settings, and these with the numbers that it goes by. Reads no file and takes no lock.
std::shared_ptr<const RequestConfig> Node::apply_settings(Settings fresh, const NameIndices& names,
                                          std::shared_ptr<const Settings>& all, std::vector<Index>& inherits_from) {
  std::vector<std::string> called(fresh.workloads.size());
  for (const auto& [name, index] : names.workloads) called[index] = name;
  core::WorkloadRegistry::Assignment plan = workload_registry_.apply_settings(called, fresh.workloads);
  auto request_config = std::make_shared<RequestConfig>();
  for (std::size_t i = 0; i < called.size(); ++i)
    request_config->workloads[called[i]] = {plan.workload_handles[i], fresh.workloads[i].semantics, counters_.answers.of(called[i])};
  request_config->tenants = names.tenants;
  request_config->may_cancel = fresh.may_cancel;
  request_config->connect_timeout = std::chrono::microseconds(fresh.connect_timeout * 100);
  fresh.workloads = std::move(plan.workloads);
  all = std::make_shared<const Settings>(std::move(fresh));
  inherits_from = std::move(plan.inherits_from);
  return request_config;
}

void Node::reload_in_background(const std::string& path) { file_reader_.start_read(path); }

void Node::run_reloads() {
  while (const auto read = file_reader_.next()) {
    if (read->error.empty()) reload_from(read->text, read->path);
    else report_reload_failure(read->path, read->error);
  }
}

void Node::reload(const std::string& path) {
  try {
    reload_from(read_file(path), path);
  } catch (const std::exception& unreadable) {
    report_reload_failure(path, unreadable.what());
  }
}

void Node::report_reload_failure(const std::string& path, std::string_view why) {
  ++counters_.reloads_failed;
  log::error("configuration kept, '{}' can't be used: {}", path, why);
}

// The text is checked whole before anything is touched. Work that is held and all that was learned stay.
void Node::reload_from(const std::string& text, const std::string& path) {
  try {
    std::lock_guard settles(settings_lock_);
    Config fresh = read_config(text);
    check_complete(config_, fresh);
    const bool moves = fresh.discovery_in_file != config_.discovery_in_file;
    if (peers_) peers_->check(fresh.peers);
    const sockaddr_in discovery = parse_address(moves ? fresh.discovery_in_file : "0.0.0.0:0");
    // A new process is needed for these: measures taken by the old ones would be read by the new.
    fresh.settings.zone = config_.settings.zone;
    fresh.settings.tick = config_.settings.tick;
    fresh.settings.slow_start_window = config_.settings.slow_start_window;
    fresh.settings.slow_start_budget_share = config_.settings.slow_start_budget_share;
    if (node_count_ > 0) fresh.settings.nodes = node_count_;
    std::shared_ptr<const Settings> all;
    std::vector<Index> inherits_from;
    auto request_config = apply_settings(fresh.settings, fresh.names, all, inherits_from);
    balancer_.apply_settings(all, std::move(inherits_from));
    {
      std::lock_guard held(lock_);
      request_config_.swap(request_config);
      settings_ = all;
    }
    if (moves) watch_->move(discovery);
    if (peers_ && fresh.peers != config_.peers) peers_->move(fresh.peers);
    config_.peers = fresh.peers;
    config_.settings = fresh.settings;
    config_.given = fresh.given;
    config_.discovery_in_file = fresh.discovery_in_file;
    ++counters_.reloads;
    log::info("configuration reloaded: {} workloads, {}", fresh.settings.workloads.size(),
              moves ? "discovery is now " + fresh.discovery : "no other discovery");
  } catch (const std::exception& unusable) {
    report_reload_failure(path, unusable.what());
  }
}

std::shared_ptr<const Settings> Node::settings() const {
  std::lock_guard held(lock_);
  return settings_;
}

std::shared_ptr<const RequestConfig> Node::request_config() const {
  std::lock_guard held(lock_);
  return request_config_;
}

bool Node::drain() {
  if (node_state_.phase() != core::NodeState::Phase::draining) {
    std::lock_guard held(lock_);
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
    std::lock_guard held(lock_);
    if (TimePoint::clock::now() - drained_since_ < kDrainNoticeTime) return;
  }
  idle_connections_.close_idle(false);
}

// What is shared while there are two processes, and theirs alone once there is one.
void Node::update_process_pair() {
  const bool paired = process_pair_->is_other_running();
  if (process_pair_->is_successor() && TimePoint::clock::now() - started_ > kSuccessorListWait && node_state_.phase() == core::NodeState::Phase::starting)
    node_state_.mark_started();
  // The successor may lack what idle connections of this process hold.
  is_paired_ = paired;
  if (is_handing_over_) pool_.close_expired(kPollInterval);
  std::lock_guard settles(settings_lock_);
  const double share = paired ? 0.5 : 1;
  if (config_.settings.slow_start_budget_share == share) return;
  log::info("the other process of this node has {}", paired ? "come" : "gone");
  config_.settings.slow_start_budget_share = share;
  auto now = std::make_shared<Settings>(*settings());
  now->slow_start_budget_share = share;
  apply_fleet_settings(std::move(now));
}

// Shared budgets follow the agreed view in place of the settings' number of nodes.
void Node::set_node_count(int nodes) {
  std::lock_guard settles(settings_lock_);
  if (node_count_ == nodes) return;
  node_count_ = config_.settings.nodes = nodes;
  auto now = std::make_shared<Settings>(*settings());
  now->nodes = nodes;
  log::event("members_share", {{"nodes", std::int64_t{nodes}}});
  apply_fleet_settings(std::move(now));
}

// The same workloads under other numbers of the fleet. `settling_` is held.
void Node::apply_fleet_settings(std::shared_ptr<Settings> now) {
  std::vector<Index> inherits_from;
  for (Index n = 0; n < now->workloads.size(); ++n) inherits_from.push_back(n);
  balancer_.apply_settings(now, std::move(inherits_from));
  std::lock_guard held(lock_);
  settings_ = now;
}

std::optional<std::string> Node::members() const {
  if (!peers_) return std::nullopt;
  return peers_->json();
}

std::string Node::counters_text() const {
  return counters_.text() + fmt::format("backends_spoke_unasked {}\n", pool_.unsolicited_count()) + (peers_ ? peers_->counters().text() : "");
}

NodeMetrics Node::metrics() {
  NodeMetrics f;
  for (const auto& [name, answers] : counters_.answers.all())
    f.by_workload[name] = {answers->succeeded, answers->rejected, answers->given_up};
  f.written = counters_.written;
  f.open = counters_.open;
  const auto backend_counts = balancer_.backend_counts();
  f.listed = backend_counts.listed;
  f.avoided = backend_counts.avoided;
  f.reloads = counters_.reloads;
  f.reloads_failed = counters_.reloads_failed;
  return f;
}

void Node::stop(const ShutdownPlan& how) {
  if (!node_state_.stop()) return;
  log::info("stopping");
  const TimePoint told = TimePoint::clock::now();
  const bool has_end = how.answer_within.count() >= 0;
  if (has_end) balancer_.answer_all_by(clock_.now() + how.answer_within.count() * 10), answer_deadline_ = told + how.answer_within;
  const auto stage = [&](std::string_view name, std::size_t open) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(TimePoint::clock::now() - told).count();
    log::event("stop", {{"stage", name}, {"ms", std::int64_t{ms}}, {"clients", std::uint64_t{open}}, {"held", counters_.open.load()}});
  };
  is_handing_over_ = process_pair_ && process_pair_->is_other_running();
  if (is_handing_over_) log::info("a successor takes what comes");
  // A successor is the same member; else the others are told at once, and not left to find out.
  if (peers_ && is_handing_over_) peers_->hand_over_to_successor();
  else if (peers_) peers_->leave();
  std::unique_lock held(lock_);
  // A successor has its clients' next connections, so each is let go at its next answer, and an idle one after
  // a while in which most have asked.
  if (is_handing_over_) changed_.wait_until(held, told + kDrainNoticeTime, [this] { return open_connections_ == 0; });
  else changed_.wait_until(held, told + how.accept_for, [] { return false; });
  // Clients use the connections that they have for as long as these stay open, and may know no other node:
  // closed at once, two nodes that were stopped one after the other left all requests without one.
  if (!is_handing_over_) changed_.wait_until(held, told + how.keep_connections_for, [this] { return open_connections_ == 0; });
  is_closing_connections_ = true;
  stage("leaving", open_connections_);
  while (open_connections_ > 0 || !accept_loop_ended_) {
    held.unlock();
    const bool at_end = has_end && TimePoint::clock::now() > told + how.answer_within;
    idle_connections_.close_idle(at_end);
    if (at_end) abort_slow_reads({});
    else if (!is_handing_over_ || TimePoint::clock::now() > told + kMaxHeadTime) abort_slow_reads(kSlowReadTime);
    held.lock();
    changed_.wait_for(held, std::chrono::milliseconds(20), [this] { return open_connections_ == 0 && accept_loop_ended_; });
  }
  stopped_ = true;
  stage("clients gone", open_connections_);
  changed_.notify_all();
  held.unlock();
  client_threads_.finish();
  hand_off_threads_.finish();
  balancer_.stop();
  watch_->stop();
  for (const TimePoint limit = TimePoint::clock::now() + kMaxLeaveWait; peers_ && !is_handing_over_ && !peers_->has_left() && TimePoint::clock::now() < limit;)
    std::this_thread::sleep_for(kPollInterval);
  if (peers_) peers_->stop();
  disconnect_monitor_.stop();
  idle_connections_.stop();
  file_reader_.stop();
  internal_threads_.finish();
  log::info("stopped");
}

}  // namespace troutstage::net
