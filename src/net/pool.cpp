#include "net/pool.h"

#include <algorithm>
#include <vector>

#include "log/log.h"

namespace troutstage::net {
namespace {

constexpr std::chrono::minutes kForgetAfter{5};  // how a backend that is heard of no more behaved

std::int64_t milliseconds_of(std::chrono::steady_clock::duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

// Half of what a connection may be idle is left for its use.
policy::ReuseRules limited_by_idle_limit(policy::ReuseRules rules, std::chrono::steady_clock::duration idle_limit) {
  rules.distrusted_cooldown = std::min(rules.distrusted_cooldown, idle_limit / 2);
  rules.unproven_cooldown = std::min(rules.unproven_cooldown, rules.distrusted_cooldown);
  rules.cooldown = std::min(rules.cooldown, rules.unproven_cooldown);
  return rules;
}

}  // namespace

ConnectionPool::ConnectionPool(ConnectionBudget& budget, std::chrono::steady_clock::duration idle_limit, const policy::ReuseRules& rules)
    : budget_(budget), idle_limit_(idle_limit), reuse_(limited_by_idle_limit(rules, idle_limit)) {}

// Closed before it stops counting: the limit is on descriptors.
ConnectionPool::Connection::~Connection() {
  fd_.reset();
  if (pool_ != nullptr) pool_->budget_.give_back(Side::backends);
}

// Whether nothing has come on one that nothing uses, and it is open. What has come makes its backend a suspect.
bool ConnectionPool::is_quiet(std::uint64_t instance_id, const PooledConnection& one) {
  const PeekResult unread = peek_socket(one.connection.fd());
  const TimePoint now = TimePoint::clock::now();
  if (unread == PeekResult::bytes) record_unsolicited_bytes(instance_id, one.address, now - one.idle_since);
  if (unread != PeekResult::none) return false;
  std::lock_guard held(lock_);
  reuse_.record_quiet(instance_id, now - one.idle_since, now);
  return true;
}

void ConnectionPool::record_unsolicited_bytes(std::uint64_t instance_id, std::uint64_t address, std::chrono::steady_clock::duration rested) {
  std::deque<PooledConnection> suspect;  // closed after the lock is free
  {
    std::lock_guard held(lock_);
    reuse_.record_unsolicited_bytes(instance_id, TimePoint::clock::now());
    if (const auto at = idle_.find(instance_id); at != idle_.end()) {
      suspect.swap(at->second);
      idle_.erase(at);
    }
  }
  ++unsolicited_count_;
  log::event("backend_spoke_unasked", {{"backend", std::string_view(address_text(unpack_address(address)))},
                                       {"rested_ms", milliseconds_of(rested)}, {"closed", std::uint64_t{suspect.size()}}});
}

std::optional<ConnectionPool::Connection> ConnectionPool::take_idle(std::uint64_t instance_id, std::uint64_t address) {
  // The last one used is taken first, so that those that are too many grow old and go.
  for (;;) {
    std::optional<PooledConnection> found;
    {
      std::lock_guard held(lock_);
      const auto at = idle_.find(instance_id);
      if (at == idle_.end()) return std::nullopt;
      const TimePoint rested = TimePoint::clock::now() - reuse_.cooldown(instance_id);
      const auto one = std::find_if(at->second.rbegin(), at->second.rend(),
                                    [&](const PooledConnection& idle) { return idle.idle_since <= rested; });
      if (one == at->second.rend()) return std::nullopt;
      found.emplace(std::move(*one));
      at->second.erase(std::next(one).base());
    }
    // A backend closes it at the stated idle time: what is written to it then is lost, and may count as run.
    if (found->address == address && TimePoint::clock::now() - found->idle_since < idle_limit_ && is_quiet(instance_id, *found))
      return std::move(found->connection);
  }
}

std::optional<ConnectionPool::Connection> ConnectionPool::open_new() {
  while (budget_.take(Side::backends) != ConnectionBudget::TakeResult::granted)
    if (!close_oldest_idle()) return std::nullopt;
  Connection connection(this, new_socket());
  if (connection.fd() < 0) return std::nullopt;
  return connection;
}

bool ConnectionPool::close_oldest_idle() {
  std::optional<PooledConnection> oldest;  // closed after the lock is free
  std::lock_guard held(lock_);
  auto from = idle_.end();
  for (auto at = idle_.begin(); at != idle_.end(); ++at)
    if (!at->second.empty() && (from == idle_.end() || at->second.front().idle_since < from->second.front().idle_since))
      from = at;
  if (from == idle_.end()) return false;
  oldest.emplace(std::move(from->second.front()));
  from->second.pop_front();
  return true;
}

void ConnectionPool::give_back(std::uint64_t instance_id, std::uint64_t address, Connection connection) {
  const TimePoint now = TimePoint::clock::now();
  PooledConnection one{address, now, std::move(connection)};  // closed after the lock is free, where it is not kept
  std::lock_guard held(lock_);
  if (reuse_.may_keep_connections(instance_id, now)) idle_[instance_id].push_back(std::move(one));
}

void ConnectionPool::close_expired() {
  check_rested();
  close_expired(idle_limit_);
  std::lock_guard held(lock_);
  reuse_.forget_before(TimePoint::clock::now() - kForgetAfter);
}

// A backend that answers twice is found out here, before its second copy meets another request.
void ConnectionPool::check_rested() {
  std::vector<std::pair<std::uint64_t, PooledConnection>> rested;
  {
    std::lock_guard held(lock_);
    const TimePoint now = TimePoint::clock::now();
    for (auto& [instance_id, all] : idle_) {
      const TimePoint before = now - reuse_.proving_cooldown(instance_id);
      for (auto one = all.begin(); one != all.end() && one->idle_since <= before;) {
        if (one->was_checked) {
          ++one;
          continue;
        }
        rested.emplace_back(instance_id, std::move(*one));
        one = all.erase(one);
      }
    }
  }
  for (auto& [instance_id, one] : rested) {
    if (!is_quiet(instance_id, one)) continue;
    one.was_checked = true;
    std::lock_guard held(lock_);
    if (!reuse_.may_keep_connections(instance_id, TimePoint::clock::now())) continue;
    std::deque<PooledConnection>& all = idle_[instance_id];
    const auto later = std::upper_bound(all.begin(), all.end(), one.idle_since,
                                        [](TimePoint idle_since, const PooledConnection& other) { return idle_since < other.idle_since; });
    all.insert(later, std::move(one));
  }
}

void ConnectionPool::close_expired(std::chrono::steady_clock::duration idle) {
  std::vector<std::pair<std::uint64_t, PooledConnection>> old;  // closed after the lock is free
  {
    std::lock_guard held(lock_);
    const TimePoint before = TimePoint::clock::now() - idle;
    for (auto at = idle_.begin(); at != idle_.end();) {
      std::deque<PooledConnection>& all = at->second;
      while (!all.empty() && all.front().idle_since <= before) {
        old.emplace_back(at->first, std::move(all.front()));
        all.pop_front();
      }
      at = all.empty() ? idle_.erase(at) : std::next(at);  // no entry stays for a backend that is gone
    }
  }
  for (const auto& [instance_id, one] : old) is_quiet(instance_id, one);
}

}  // namespace troutstage::net
