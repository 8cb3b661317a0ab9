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

constexpr Tenths kDay = 24 * 3600 * Tenths{10000};
constexpr std::chrono::milliseconds kLook{50};    // how often the listener looks whether it is still wanted
constexpr std::chrono::milliseconds kSlow{500};   // a request is slow to come after this
constexpr std::chrono::milliseconds kHeldUp{50};  // pauses of the process that are counted and logged
constexpr std::chrono::milliseconds kBreakPause{10};  // before a thread that broke goes on
constexpr std::chrono::milliseconds kAcceptAgain{1}, kAcceptShortage{10};  // before accepting again after a failure
// A shortage that lasts for so many tries is not over in a moment: room is made, at last also by what has said nothing yet.
constexpr int kShortagesBorne = 3, kShortagesBorneForNew = 12;
constexpr std::chrono::milliseconds kFarewell{500};  // for the other nodes to hear that this one leaves
// The front hears of a drain within some tenths of a second and sends new connections until then: what is
// idle is let go after that, and long before it would count as held.
constexpr std::chrono::milliseconds kFrontHears{1000};
constexpr std::chrono::milliseconds kSlowestHead{2500};  // a client's that is served all the same
constexpr std::size_t kOneIdleIn = 10;            // connections of a node that stops
// Listener, watch, log, vigil and a few to spare.
constexpr std::size_t kOwnDescriptors = 10, kForTwo = 4;

// So many are kept for clients whose request can only be turned away, so that none is left waiting unread.
std::size_t reserve(const Config& config) { return 8 + config.descriptors / 64; }

// Where another process may run beside this one, what each needs for itself is set aside for both at all times.
std::size_t budgeted(const Config& config) {
  const std::size_t own = kOwnDescriptors + config.own_descriptors + reserve(config);
  const std::size_t set_aside = config.passed_socket < 0 ? own : 2 * (own + kForTwo);
  return std::max<std::size_t>(8, config.descriptors - std::min(config.descriptors, set_aside));
}

// Where a successor can't reach discovery it serves with the list that it was started with.
constexpr std::chrono::milliseconds kListWithin{3000};

std::unique_ptr<Sibling> sibling_of(Config& config) {
  if (config.passed_socket < 0) return nullptr;
  auto sibling = std::make_unique<Sibling>(config.scratch, config.name);
  // All processes of this node together send cold backends what one may.
  if (sibling->is_successor()) config.settings.cold_share = 0.5;
  return sibling;
}

Fd listener_of(const Config& config) {
  const sockaddr_in address = parse_address(config.listen);
  return config.passed_socket < 0 ? listen_on(address) : inherited_listener(config.passed_socket, address);
}


// Neither side gets more than two thirds. One that is worked for takes the touched part of two stacks and its
// buffers beside its bodies: so many must fit into half of the memory, and all bodies of requests into a
// quarter.
std::size_t most_clients(const Config& config) {
  constexpr std::size_t kEach = 64 * 1024;
  return std::max<std::size_t>(
      2, std::min(budgeted(config) / 3 * 2, config.memory_mb * 1024 * 1024 / 2 / kEach));
}

// Of those that nobody works for. Idle ones are kept for what usual clients need: half of the third of the
// descriptors that they may hold. Of those that asked only once fewer are kept: closed as the oldest among
// all, the usual clients' connections went first, and nearly every request came on a new one.
Lobby::Most most_waiting(const Config& config) {
  const std::size_t all = most_clients(config);
  const auto some = [&](std::size_t n) { return std::max<std::size_t>(2, std::min(all, n)); };
  return {all / 3, some(config.descriptors / 12), some(config.descriptors / 6), all / 3};
}

// A connection is retired before the backend closes it: a tenth earlier, half a second at the least.
std::chrono::microseconds idle_limit(Tenths keepalive) {
  return std::chrono::microseconds(
      std::max<Tenths>(keepalive / 2, keepalive - std::max<Tenths>(5000, keepalive / 10)) * 100);
}

}  // namespace

SteadyClock::SteadyClock() : start_(Moment::clock::now()) {
  const auto unix_time = std::chrono::system_clock::now().time_since_epoch();
  wall_offset_ = kDay - std::chrono::duration_cast<std::chrono::microseconds>(unix_time).count() / 100;
}
Tenths SteadyClock::now() const { return of(Moment::clock::now()); }
Tenths SteadyClock::of(Moment when) const {
  return kDay + std::chrono::duration_cast<std::chrono::microseconds>(when - start_).count() / 100;
}
Moment SteadyClock::at(Tenths when) const { return start_ + std::chrono::microseconds((when - kDay) * 100); }

Node::Node(Config config)
    : config_(std::move(config)), sibling_(sibling_of(config_)), balancer_(config_.settings, clock_), directory_(config_.names, clock_.wall_offset()),
      budget_(budgeted(config_), most_clients(config_), budgeted(config_) / 3 * 2,
              sibling_ ? sibling_->ledger() : alone_),
      bytes_(config_.memory_mb * 1024 * 1024 / 4, sibling_ ? sibling_->ledger() : alone_),
      pool_(budget_, idle_limit(config_.settings.keepalive), policy::ReuseRules{}), vigil_(balancer_),
      listener_(listener_of(config_)), reserve_(reserve(config_)),
      lobby_([this](const std::shared_ptr<Client>& client) { return work_for(client); }, most_waiting(config_),
             [this](std::chrono::milliseconds gap) {
               if (gap >= kHeldUp) counters_.was_held_up(gap);
             }),
      workers_(2 * budgeted(config_)), clients_(2 * budgeted(config_)), inner_(9) {
  Listing known;
  if (!config_.known.empty()) known = directory_.read(config_.known);
  watch_ = std::make_unique<Watch>(balancer_, directory_, counters_, parse_address(config_.discovery),
                                   known.version, config_.settings.seed, [this] { stage_.came_up(); });
  paired_ = sibling_ && sibling_->is_successor();
  if (!known.entries.empty() && !(sibling_ && sibling_->is_successor())) stage_.came_up();
  balancer_.told(ListForm::cached, std::move(known.entries));
  std::vector<Index> like;
  terms_ = settle(config_.settings, config_.names, settings_, like);
  if (!config_.fleet.membership.enabled) return;
  const std::string left = sibling_ ? config_.scratch + "/troutstage-members-" + std::to_string(std::hash<std::string>()(config_.name)) : "";
  peers_ = std::make_unique<Peers>(Peers::Start{config_.name, config_.zone, config_.peer_listen, config_.peers, config_.fleet.membership,
                                                config_.settings.fall_window, left, sibling_ && sibling_->is_successor()},
                                   [this](int nodes) { share_with(nodes); });
}

Node::~Node() { stop({}); }

void Node::start() {
  // On sockets every list comes by a watch; where the decisions needn't ask for it, the node does.
  if (!config_.settings.must_ask) balancer_.watch_now();
  start_thread("timers", [this] { balancer_.run_ticks(); });
  start_thread("discovery", [this] { watch_->run(); });
  start_thread("clients' ends", [this] { vigil_.run(); });
  start_thread("idle clients", [this] { lobby_.run(); });
  start_thread("housekeeping", [this] { housekeep(); });
  start_thread("configuration", [this] { reload_as_read(); });
  if (peers_) start_thread("membership", [this] { peers_->run(); });
  accept_over_ = false;
  try {
    start_thread("accepting", [this] { accept_all(); });
  } catch (...) {  // nobody waits for a thread that is not there
    accept_over_ = true;
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
        std::this_thread::sleep_for(kBreakPause);
      }
    }
  };
  // No thread to be had for a moment is no reason not to start.
  const auto run = [&] { return inner_.run(goes_on) || (errno = ENOMEM, false); };
  if (!persist("pthread_create", run)) throw std::runtime_error("can't start the thread for " + std::string(what));
}

// Without a thread for it the looks at each connection alone tell, until the next request.
void Node::system_offers_times() {
  if (system_times_asked_.exchange(true)) return;
  ++counters_.system_times_checks;
  if (!inner_.run([this] { check_system_times(); })) system_times_asked_ = false;
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
      changed_.wait_for(held, kLook, [this] { return over_budget_ < reserve_; });
      if (over_budget_ >= reserve_) {
        held.unlock();
        if (leaving_ && Moment::clock::now() >= answer_by_.load()) break;
        if (paired_) lobby_.make_room(true);
        continue;
      }
    }
    // A successor takes what is queued, and a process that takes over accepts nothing before it can serve.
    if (hands_over_) break;
    if (sibling_ && stage_.is() == core::Stage::Is::starting) {
      std::unique_lock held(lock_);
      changed_.wait_for(held, std::chrono::milliseconds(10));
      continue;
    }
    // Once this node accepts no more, those that the system has taken for it already are still served.
    const bool last = leaving_;
    if (last && Moment::clock::now() >= answer_by_.load()) break;
    if (!last && !may_be_more_) await_client();
    const Moment begun = Moment::clock::now();
    Accepted one = accept_from(listener_.get());
    if (one.what == Accept::none && polls_as_empty(listener_.get())) queue_looks_.nothing_until(begun);
    if (!accepted(std::move(one), last)) break;
  }
  std::lock_guard held(lock_);
  listener_.reset();
  accept_over_ = true;
  changed_.notify_all();
}

// Until one is there to accept, or the queue is to be looked at all the same: the wait may have failed.
void Node::await_client() {
  const Io io = wait_readable(listener_.get(), Moment::clock::now() + core::ArrivalEstimate::kLookEvery);
  // A monitor that can't be asked must not be asked without end.
  if (io == Io::broken) std::this_thread::sleep_for(kAcceptShortage);
}

// What became of one call of accept(). Only the system's word that nothing is there means that there is nothing more.
bool Node::accepted(Accepted&& one, bool last) {
  if (one.what == Accept::taken) {
    accept_shortages_ = 0;
    may_be_more_ = true;
    ++counters_.connections_taken;
    take(std::move(one.fd));
    return true;
  }
  may_be_more_ = false;
  if (one.what == Accept::none) return !last;
  ++counters_.accepts_failed;
  log::event("accept_failed", {{"error", std::int64_t{one.error}}}, log::Level::debug);
  if (one.what == Accept::again) {
    std::this_thread::sleep_for(kAcceptAgain);
    return true;
  }
  note_shortage("accept", one.error);
  if (one.what == Accept::shortage && ++accept_shortages_ >= kShortagesBorne) {
    // A descriptor is wanted: what holds one without need goes first, and what may have a request on its way last.
    if (!lobby_.make_room(accept_shortages_ < kShortagesBorneForNew)) end_slow_ones(kSlow);
  }
  std::unique_lock held(lock_);
  changed_.wait_for(held, kAcceptShortage);
  return true;
}

void Node::take(Fd fd) {
  try {
    const core::ArrivalEstimate arrival = first_arrival(fd.get());
    lobby_.enter(std::make_shared<Client>(*this, std::move(fd), find_place(), arrival), Lobby::Wait::first);
  } catch (const std::exception& broke) {
    log::error("client: {}", broke.what());
  }
}

// A connection's first request may have come with it, while it waited to be accepted.
core::ArrivalEstimate Node::first_arrival(int fd) const {
  core::ArrivalEstimate arrival(queue_looks_.earliest());
  const Moment now = Moment::clock::now();
  if (is_surely_empty(fd)) arrival.nothing_until(now);
  return arrival;
}

// Called by the lobby: it must wait for nothing.
bool Node::work_for(const std::shared_ptr<Client>& client) {
  return clients_.run([this, client]() mutable {
    if (const auto wait = client->serve()) lobby_.enter(std::move(client), *wait);
  });
}

// A request that waits unread in the accept queue gets no answer in its time, and its client's patience can't
// be told from its head any more: so every connection is taken at once, and what there is no place for is
// turned away.
bool Node::find_place() {
  for (int tries = 0; tries < 3; ++tries) {
    const Budget::Took took = budget_.take(Side::clients);
    if (took == Budget::Took::yes) return true;
    if (took == Budget::Took::all_full && pool_.shed()) continue;
    // While two processes share the places each new connection would end the one before it unheard.
    if (lobby_.make_room(paired_)) continue;
    if (!end_slow_ones(kSlow)) return false;
    std::unique_lock held(lock_);
    changed_.wait_for(held, std::chrono::milliseconds(5));
  }
  return false;
}

// Slow senders must not keep out all others.
bool Node::end_slow_ones(std::chrono::milliseconds slow) {
  std::lock_guard held(lock_);
  bool any = false;
  for (Reading* reading : reading_) {
    if (reading->ended_ || Moment::clock::now() - reading->since_ < slow) continue;
    any = reading->ended_ = true;
    ::shutdown(reading->fd_, SHUT_RD);
  }
  return any;
}

Node::Reading::Reading(Node& node, int fd) : node_(node), fd_(fd) {
  std::lock_guard held(node_.lock_);
  node_.reading_.insert(this);
}
Node::Reading::~Reading() {
  std::lock_guard held(node_.lock_);
  node_.reading_.erase(this);
}
// A request that crossed the end is answered all the same, as the last one.
bool Node::Reading::was_ended() const {
  std::lock_guard held(node_.lock_);
  return ended_;
}

// Nobody can open another connection to a node that stops. Once a client found all of them busy, none was
// used any more, and all requests were without a node; so a few are kept idle.
bool Node::short_of_connections() {
  return stage_.is() == core::Stage::Is::stopping && !hands_over_ && lobby_.waiting(Lobby::Wait::next) < came_back_ / kOneIdleIn;
}

void Node::housekeep() {
  std::unique_lock held(lock_);
  while (!stopped_) {
    changed_.wait_for(held, sibling_ ? kLook : 5 * kLook, [this] { return stopped_; });
    held.unlock();
    pool_.retire();
    let_idle_go();
    if (sibling_) heed_sibling();
    held.lock();
  }
}

void Node::opened(bool has_place) {
  std::lock_guard held(lock_);
  ++open_;
  if (!has_place) ++over_budget_;
}
void Node::closed(bool had_place) {
  if (had_place) budget_.give_back(Side::clients);
  std::lock_guard held(lock_);
  --open_;
  if (!had_place) --over_budget_;
  changed_.notify_all();
}

// What is offered under settings, and these with the numbers that it goes by. Reads no file and takes no lock.
std::shared_ptr<const Terms> Node::settle(Settings fresh, const Names& names,
                                          std::shared_ptr<const Settings>& all, std::vector<Index>& like) {
  std::vector<std::string> called(fresh.workloads.size());
  for (const auto& [name, index] : names.workloads) called[index] = name;
  core::Lanes::Plan plan = lanes_.settle(called, fresh.workloads);
  auto terms = std::make_shared<Terms>();
  for (std::size_t i = 0; i < called.size(); ++i)
    terms->workloads[called[i]] = {plan.offers[i], fresh.workloads[i].semantics, counters_.answers.of(called[i])};
  terms->tenants = names.tenants;
  terms->may_recall = fresh.may_recall;
  terms->connect_limit = std::chrono::microseconds(fresh.connect_timeout * 100);
  fresh.workloads = std::move(plan.workloads);
  all = std::make_shared<const Settings>(std::move(fresh));
  like = std::move(plan.like);
  return terms;
}

void Node::reload_in_background(const std::string& path) { file_reader_.request(path); }

void Node::reload_as_read() {
  while (const auto read = file_reader_.next()) {
    if (read->error.empty()) reload_from(read->text, read->path);
    else keep_configuration(read->path, read->error);
  }
}

void Node::reload(const std::string& path) {
  try {
    reload_from(read_file(path), path);
  } catch (const std::exception& unreadable) {
    keep_configuration(path, unreadable.what());
  }
}

void Node::keep_configuration(const std::string& path, std::string_view why) {
  ++counters_.reloads_failed;
  log::error("configuration kept, '{}' can't be used: {}", path, why);
}

// The text is checked whole before anything is touched. Work that is held and all that was learned stay.
void Node::reload_from(const std::string& text, const std::string& path) {
  try {
    std::lock_guard settles(settling_);
    Config fresh = read_config(text);
    check_complete(config_, fresh);
    const bool moves = fresh.discovery_in_file != config_.discovery_in_file;
    if (peers_) peers_->check(fresh.peers);
    const sockaddr_in discovery = parse_address(moves ? fresh.discovery_in_file : "0.0.0.0:0");
    // A new process is needed for these: measures taken by the old ones would be read by the new.
    fresh.settings.zone = config_.settings.zone;
    fresh.settings.tick = config_.settings.tick;
    fresh.settings.fall_window = config_.settings.fall_window;
    fresh.settings.cold_share = config_.settings.cold_share;
    if (nodes_ > 0) fresh.settings.nodes = nodes_;
    std::shared_ptr<const Settings> all;
    std::vector<Index> like;
    auto terms = settle(fresh.settings, fresh.names, all, like);
    balancer_.settle(all, std::move(like));
    {
      std::lock_guard held(lock_);
      terms_.swap(terms);
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
    keep_configuration(path, unusable.what());
  }
}

std::shared_ptr<const Settings> Node::settings() const {
  std::lock_guard held(lock_);
  return settings_;
}

std::shared_ptr<const Terms> Node::terms() const {
  std::lock_guard held(lock_);
  return terms_;
}

bool Node::drain() {
  if (stage_.is() != core::Stage::Is::draining) {
    std::lock_guard held(lock_);
    drained_since_ = Moment::clock::now();
  }
  if (!stage_.drain()) return false;
  log::info("draining until it is activated");
  return true;
}

bool Node::activate() {
  if (!stage_.activate()) return false;
  log::info("active");
  return true;
}

void Node::let_idle_go() {
  if (stage_.is() != core::Stage::Is::draining) return;
  {
    std::lock_guard held(lock_);
    if (Moment::clock::now() - drained_since_ < kFrontHears) return;
  }
  lobby_.close_idle(false);
}

// What is shared while there are two processes, and theirs alone once there is one.
void Node::heed_sibling() {
  const bool paired = sibling_->other_lives();
  if (sibling_->is_successor() && Moment::clock::now() - begun_ > kListWithin && stage_.is() == core::Stage::Is::starting)
    stage_.came_up();
  // The successor may lack what idle connections of this process hold.
  paired_ = paired;
  if (hands_over_) pool_.retire(kLook);
  std::lock_guard settles(settling_);
  const double share = paired ? 0.5 : 1;
  if (config_.settings.cold_share == share) return;
  log::info("the other process of this node has {}", paired ? "come" : "gone");
  config_.settings.cold_share = share;
  auto now = std::make_shared<Settings>(*settings());
  now->cold_share = share;
  go_by(std::move(now));
}

// Shared budgets follow the agreed view in place of the settings' number of nodes.
void Node::share_with(int nodes) {
  std::lock_guard settles(settling_);
  if (nodes_ == nodes) return;
  nodes_ = config_.settings.nodes = nodes;
  auto now = std::make_shared<Settings>(*settings());
  now->nodes = nodes;
  log::event("members_share", {{"nodes", std::int64_t{nodes}}});
  go_by(std::move(now));
}

// The same workloads under other numbers of the fleet. `settling_` is held.
void Node::go_by(std::shared_ptr<Settings> now) {
  std::vector<Index> like;
  for (Index n = 0; n < now->workloads.size(); ++n) like.push_back(n);
  balancer_.settle(now, std::move(like));
  std::lock_guard held(lock_);
  settings_ = now;
}

std::optional<std::string> Node::members() const {
  if (!peers_) return std::nullopt;
  return peers_->json();
}

std::string Node::counters_text() const {
  return counters_.text() + fmt::format("backends_spoke_unasked {}\n", pool_.unasked()) + (peers_ ? peers_->counters().text() : "");
}

Figures Node::figures() {
  Figures f;
  for (const auto& [name, answers] : counters_.answers.all())
    f.by_workload[name] = {answers->succeeded, answers->rejected, answers->given_up};
  f.written = counters_.written;
  f.open = counters_.open;
  const auto census = balancer_.census();
  f.listed = census.listed;
  f.avoided = census.avoided;
  f.reloads = counters_.reloads;
  f.reloads_failed = counters_.reloads_failed;
  return f;
}

void Node::stop(const Stop& how) {
  if (!stage_.stop()) return;
  log::info("stopping");
  const Moment told = Moment::clock::now();
  const bool has_end = how.answering.count() >= 0;
  if (has_end) balancer_.answer_all_by(clock_.now() + how.answering.count() * 10), answer_by_ = told + how.answering;
  const auto stage = [&](std::string_view name, std::size_t open) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(Moment::clock::now() - told).count();
    log::event("stop", {{"stage", name}, {"ms", std::int64_t{ms}}, {"clients", std::uint64_t{open}}, {"held", counters_.open.load()}});
  };
  hands_over_ = sibling_ && sibling_->other_lives();
  if (hands_over_) log::info("a successor takes what comes");
  // A successor is the same member; else the others are told at once, and not left to find out.
  if (peers_ && hands_over_) peers_->hand_over();
  else if (peers_) peers_->leave();
  std::unique_lock held(lock_);
  // A successor has its clients' next connections, so each is let go at its next answer, and an idle one after
  // a while in which most have asked.
  if (hands_over_) changed_.wait_until(held, told + kFrontHears, [this] { return open_ == 0; });
  else changed_.wait_until(held, told + how.accepting, [] { return false; });
  // Clients use the connections that they have for as long as these stay open, and may know no other node:
  // closed at once, two nodes that were stopped one after the other left all requests without one.
  if (!hands_over_) changed_.wait_until(held, told + how.keeping, [this] { return open_ == 0; });
  leaving_ = true;
  stage("leaving", open_);
  while (open_ > 0 || !accept_over_) {
    held.unlock();
    const bool at_end = has_end && Moment::clock::now() > told + how.answering;
    lobby_.close_idle(at_end);
    if (at_end) end_slow_ones({});
    else if (!hands_over_ || Moment::clock::now() > told + kSlowestHead) end_slow_ones(kSlow);
    held.lock();
    changed_.wait_for(held, std::chrono::milliseconds(20), [this] { return open_ == 0 && accept_over_; });
  }
  stopped_ = true;
  stage("clients gone", open_);
  changed_.notify_all();
  held.unlock();
  clients_.finish();
  workers_.finish();
  balancer_.stop();
  watch_->stop();
  for (const Moment limit = Moment::clock::now() + kFarewell; peers_ && !hands_over_ && !peers_->has_left() && Moment::clock::now() < limit;)
    std::this_thread::sleep_for(kLook);
  if (peers_) peers_->stop();
  vigil_.stop();
  lobby_.stop();
  file_reader_.stop();
  inner_.finish();
  log::info("stopped");
}

}  // namespace troutstage::net
