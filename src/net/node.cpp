#include "net/node.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

#include "log/log.h"
#include "net/client.h"
#include "net/protocol.h"

namespace troutstage::net {
namespace {

constexpr Tenths kDay = 24 * 3600 * Tenths{10000};
constexpr std::chrono::milliseconds kLook{50};   // how often the listener looks whether it is still wanted
constexpr std::chrono::milliseconds kSlow{500};  // a request is slow to come after this
constexpr std::size_t kOwnDescriptors = 10;      // listener, watch, log, vigil and a few to spare

// So many are kept for clients whose request can only be turned away, so that none is left waiting unread.
std::size_t reserve(const Config& config) { return 8 + config.descriptors / 64; }

std::size_t budgeted(const Config& config) { return config.descriptors - kOwnDescriptors - reserve(config); }

// Neither side gets more than two thirds. A client with the largest bodies takes three times that size, and
// stacks: so many must fit into two thirds of the memory.
std::size_t most_clients(const Config& config) {
  constexpr std::size_t kDearest = 3 * kMostBody + 64 * 1024;
  return std::max<std::size_t>(
      2, std::min(budgeted(config) / 3 * 2, config.memory_mb * 1024 * 1024 / 3 * 2 / kDearest));
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
Tenths SteadyClock::now() const {
  return kDay +
         std::chrono::duration_cast<std::chrono::microseconds>(Moment::clock::now() - start_).count() / 100;
}
Moment SteadyClock::at(Tenths when) const { return start_ + std::chrono::microseconds((when - kDay) * 100); }

Node::Node(Config config)
    : config_(std::move(config)), discovery_in_file_(config_.discovery_in_file), balancer_(config_.settings, clock_),
      directory_(config_.names, clock_.wall_offset()),
      budget_(budgeted(config_), most_clients(config_), budgeted(config_) / 3 * 2),
      pool_(budget_, idle_limit(config_.settings.keepalive)), vigil_(balancer_),
      listener_(listen_on(parse_address(config_.listen))), reserve_(reserve(config_)),
      workers_(2 * budgeted(config_)), clients_(2 * budgeted(config_)), inner_(5) {
  Listing known;
  if (!config_.known.empty()) known = directory_.read(config_.known);
  watch_ = std::make_unique<Watch>(balancer_, directory_, counters_, parse_address(config_.discovery),
                                   known.version);
  balancer_.told(ListForm::cached, std::move(known.entries));
}

Node::~Node() { drain(std::chrono::milliseconds(0)); }

void Node::start() {
  accept_over_ = false;
  if (!inner_.run([this] { balancer_.run_ticks(); }) || !inner_.run([this] { watch_->run(); }) ||
      !inner_.run([this] { vigil_.run(); }) || !inner_.run([this] { housekeep(); }) ||
      !inner_.run([this] { accept_all(); }))
    throw std::runtime_error("can't start the node's threads");
  log::info("{} listens on {}, discovery {}", config_.name, config_.listen, config_.discovery);
}

int Node::port() const { return port_of(listener_.get()); }

void Node::accept_all() {
  for (;;) {
    {
      // The reserve is in use: accept must not be the call that finds no descriptor.
      std::unique_lock held(lock_);
      changed_.wait_for(held, kLook, [this] { return over_budget_ < reserve_; });
      if (over_budget_ >= reserve_) continue;
    }
    // Once this node accepts no more, those that the system has taken for it already are still served.
    const bool last = !accepting_;
    if (!last && wait_readable(listener_.get(), Moment::clock::now() + kLook) != Io::done) continue;
    const int fd = ::accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      if (last) break;
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
        ++counters_.accepts_failed;
        make_room();
        std::unique_lock held(lock_);
        changed_.wait_for(held, std::chrono::milliseconds(10));
      }
      continue;
    }
    ++counters_.connections_taken;
    bool started = false;
    try {
      const auto client = std::make_shared<Client>(*this, Fd(fd), find_place());
      started = clients_.run([client] { client->serve(); });
    } catch (const std::exception& broke) {
      log::error("client: {}", broke.what());
    }
    if (!started) ++counters_.turned_off_full;
  }
  std::lock_guard held(lock_);
  listener_.reset();
  accept_over_ = true;
  changed_.notify_all();
}

// A request that waits unread in the accept queue gets no answer in its time, and its client's patience can't
// be told from its head any more: so every connection is taken at once, and what there is no place for is
// turned away.
bool Node::find_place() {
  for (int tries = 0; tries < 3; ++tries) {
    const Budget::Took took = budget_.take(Side::clients);
    if (took == Budget::Took::yes) return true;
    if (took == Budget::Took::all_full && pool_.shed()) continue;
    if (!make_room()) return false;
    std::unique_lock held(lock_);
    changed_.wait_for(held, std::chrono::milliseconds(5));
  }
  return false;
}

// The one that has been idle the longest, else one whose request has been coming for long: slow senders must
// not keep out all others.
bool Node::make_room() {
  std::lock_guard held(lock_);
  Open* least = nullptr;
  for (auto& [id, open] : open_) {
    if (!may_end(open)) continue;
    if (least == nullptr || std::pair(open.doing, open.since) < std::pair(least->doing, least->since))
      least = &open;
  }
  if (least == nullptr) return false;
  end(*least);
  return true;
}

bool Node::may_end(const Open& open) const {
  const bool slow = open.doing == Doing::reading && Moment::clock::now() - open.since > kSlow;
  return !open.to_end && (open.doing == Doing::idle || slow);
}

void Node::close_idle() {
  std::lock_guard held(lock_);
  for (auto& [id, open] : open_)
    if (may_end(open)) end(open);
}

// An idle connection's thread is called and looks itself whether a request has come: its reading must not be
// shut down, since a request of which only the first part had come would be cut then. A slow sender's is.
void Node::end(Open& open) {
  open.to_end = true;
  if (open.doing == Doing::idle) call(open.thread);
  else ::shutdown(open.fd, SHUT_RD);
}

void Node::housekeep() {
  std::unique_lock held(lock_);
  while (!stopped_) {
    changed_.wait_for(held, std::chrono::milliseconds(250), [this] { return stopped_; });
    held.unlock();
    pool_.retire();
    held.lock();
  }
}

std::uint64_t Node::enter(int fd, bool has_place) {
  std::lock_guard held(lock_);
  open_[next_id_] = {fd, Doing::working, Moment::clock::now(), {}, !has_place};
  if (!has_place) ++over_budget_;
  return next_id_++;
}
bool Node::lasts(std::uint64_t id) {
  std::lock_guard held(lock_);
  return !open_.at(id).to_end;
}
bool Node::set(std::uint64_t id, Doing doing) {
  std::lock_guard held(lock_);
  Open& open = open_.at(id);
  open.thread = ::pthread_self();
  open.doing = doing;
  open.since = Moment::clock::now();
  return !open.to_end;
}
void Node::leave(std::uint64_t id) {
  std::lock_guard held(lock_);
  open_.erase(id);
}
void Node::closed(bool had_place) {
  if (had_place) budget_.give_back(Side::clients);
  std::lock_guard held(lock_);
  if (!had_place) --over_budget_;
  changed_.notify_all();
}

// Work that is held and all that was learned stay: only the watch goes elsewhere.
void Node::reload(const std::string& path) {
  try {
    const Config fresh = read_config(read_file(path));
    const bool moves = !fresh.discovery.empty() && fresh.discovery != discovery_in_file_;
    if (moves) {
      watch_->move(parse_address(fresh.discovery));
      discovery_in_file_ = fresh.discovery;
    }
    ++counters_.reloads;
    log::info("configuration reloaded: {}", moves ? "discovery is now " + fresh.discovery : "no other discovery");
  } catch (const std::exception& unusable) {
    ++counters_.reloads_failed;
    log::error("configuration kept, '{}' can't be used: {}", path, unusable.what());
  }
}

void Node::drain(std::chrono::milliseconds grace) {
  if (draining_.exchange(true)) return;
  log::info("draining");
  std::unique_lock held(lock_);
  changed_.wait_for(held, grace, [] { return false; });
  accepting_ = false;
  while (!open_.empty() || !accept_over_) {
    held.unlock();
    close_idle();
    held.lock();
    changed_.wait_for(held, std::chrono::milliseconds(20), [this] { return open_.empty() && accept_over_; });
  }
  stopped_ = true;
  changed_.notify_all();
  held.unlock();
  clients_.finish();
  workers_.finish();
  balancer_.stop();
  watch_->stop();
  vigil_.stop();
  inner_.finish();
  log::info("drained");
}

}  // namespace troutstage::net
