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
constexpr std::size_t kOwnDescriptors = 24;  // listener, watch, logs and what the libraries open

constexpr std::chrono::milliseconds kLook{50};  // how often the listener looks whether it is still wanted

constexpr std::chrono::milliseconds kSlow{500};  // a request is slow to come after this

// Clients get half of the descriptors that are left; a hand-off needs one as well. With the largest bodies
// each takes six times that size, on the way in and out: that many must fit into two thirds of the memory.
std::size_t most_clients(const Config& config) {
  constexpr std::size_t kDearest = 6 * kMostBody + 64 * 1024;
  return std::max<std::size_t>(2, std::min((config.descriptors - kOwnDescriptors) / 2,
                                           config.memory_mb * 1024 * 1024 / 3 * 2 / kDearest));
}

// A connection is retired before the backend closes it: a tenth earlier, and half a second where that is
// less.
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
    : config_(std::move(config)), balancer_(config_.settings, clock_),
      directory_(config_.names, clock_.wall_offset()),
      pool_(most_clients(config_), idle_limit(config_.settings.keepalive)), vigil_(balancer_),
      listener_(listen_on(parse_address(config_.listen))), most_clients_(most_clients(config_)),
      workers_(2 * most_clients_), clients_(2 * most_clients_), inner_(5) {
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
      // A descriptor is free before one is taken: accept must not be the call that finds none.
      std::unique_lock held(lock_);
      if (open_.size() >= most_clients_ && accepting_) {
        held.unlock();
        make_room();
        held.lock();
        changed_.wait_for(held, std::chrono::milliseconds(20),
                          [this] { return open_.size() < most_clients_ || !accepting_; });
        if (open_.size() >= most_clients_ && accepting_) continue;
      }
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
      const auto client = std::make_shared<Client>(*this, Fd(fd));
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

// The one that has been idle the longest, else one whose request has been coming for long: slow senders must
// not keep out all others. Only reading ends: what has come whole meanwhile is still read and answered.
bool Node::make_room() {
  std::lock_guard held(lock_);
  Open* least = nullptr;
  for (auto& [id, open] : open_) {
    const bool slow = open.doing == Doing::reading && Moment::clock::now() - open.since > kSlow;
    if (open.doing != Doing::idle && !slow) continue;
    if (least == nullptr || std::pair(open.doing, open.since) < std::pair(least->doing, least->since))
      least = &open;
  }
  if (least == nullptr) return false;
  end_reading(*least);
  return true;
}

void Node::close_idle() {
  std::lock_guard held(lock_);
  for (auto& [id, open] : open_)
    if (open.doing == Doing::idle) end_reading(open);
}

void Node::end_reading(Open& open) {
  open.doing = Doing::working;
  open.to_end = true;
  ::shutdown(open.fd, SHUT_RD);
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

std::uint64_t Node::enter(int fd) {
  std::lock_guard held(lock_);
  open_[next_id_] = {fd, Doing::working, Moment::clock::now()};
  return next_id_++;
}
bool Node::set(std::uint64_t id, Doing doing) {
  std::lock_guard held(lock_);
  Open& open = open_.at(id);
  open.doing = doing;
  open.since = Moment::clock::now();
  return !open.to_end;
}
void Node::leave(std::uint64_t id) {
  std::lock_guard held(lock_);
  open_.erase(id);
  changed_.notify_all();
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
