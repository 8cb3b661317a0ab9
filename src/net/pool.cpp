#include "net/pool.h"

#include <algorithm>
#include <vector>

namespace troutstage::net {

// Closed before it stops counting: the limit is on descriptors.
Pool::Connection::~Connection() {
  fd_.reset();
  if (pool_ != nullptr) pool_->budget_.give_back(Side::backends);
}

std::optional<Pool::Connection> Pool::idle(std::uint64_t life, std::uint64_t address) {
  // The last one used is taken first, so that those that are too many grow old and go.
  for (;;) {
    std::optional<Idle> found;
    {
      std::lock_guard held(lock_);
      const auto at = idle_.find(life);
      if (at == idle_.end()) return std::nullopt;
      // A backend may send more than its answer, and that may still be on the way: read as the next answer it
      // would reach a client whose request it was not made for.
      const Moment settled = Moment::clock::now() - settle_;
      const auto one = std::find_if(at->second.rbegin(), at->second.rend(),
                                    [&](const Idle& idle) { return idle.since <= settled; });
      if (one == at->second.rend()) return std::nullopt;
      found.emplace(std::move(*one));
      at->second.erase(std::next(one).base());
    }
    // A backend closes it at the stated idle time: what is written to it then is lost, and may count as run.
    if (found->address == address && Moment::clock::now() - found->since < idle_limit_ &&
        still_quiet(found->connection.fd()))
      return std::move(found->connection);
  }
}

std::optional<Pool::Connection> Pool::fresh() {
  while (budget_.take(Side::backends) != Budget::Took::yes)
    if (!shed()) return std::nullopt;
  Connection connection(this, new_socket());
  if (connection.fd() < 0) return std::nullopt;
  return connection;
}

bool Pool::shed() {
  std::optional<Idle> oldest;  // closed after the lock is free
  std::lock_guard held(lock_);
  auto from = idle_.end();
  for (auto at = idle_.begin(); at != idle_.end(); ++at)
    if (!at->second.empty() && (from == idle_.end() || at->second.front().since < from->second.front().since))
      from = at;
  if (from == idle_.end()) return false;
  oldest.emplace(std::move(from->second.front()));
  from->second.pop_front();
  return true;
}

void Pool::give_back(std::uint64_t life, std::uint64_t address, Connection connection) {
  std::lock_guard held(lock_);
  idle_[life].push_back({address, Moment::clock::now(), std::move(connection)});
}

void Pool::retire() { retire(idle_limit_); }

void Pool::retire(std::chrono::steady_clock::duration idle) {
  std::deque<Idle> old;  // closed after the lock is free
  std::lock_guard held(lock_);
  const Moment before = Moment::clock::now() - idle;
  for (auto at = idle_.begin(); at != idle_.end();) {
    std::deque<Idle>& all = at->second;
    while (!all.empty() && all.front().since <= before) {
      old.push_back(std::move(all.front()));
      all.pop_front();
    }
    at = all.empty() ? idle_.erase(at) : std::next(at);  // no entry stays for a backend that is gone
  }
}

}  // namespace troutstage::net
