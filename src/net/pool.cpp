#include "net/pool.h"

#include <algorithm>
#include <vector>

#include "log/log.h"

namespace troutstage::net {
namespace {

// What is known of a backend is dropped this long after its last record.
constexpr std::chrono::minutes kForgetAfter{5};

std::int64_t milliseconds_of(std::chrono::steady_clock::duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

// Limits the cooldowns to half of the idle limit, so that at least the other half remains for reuse.
policy::ReuseRules limited_by_idle_limit(policy::ReuseRules rules,
                                         std::chrono::steady_clock::duration idle_limit) {
  rules.distrusted_cooldown = std::min(rules.distrusted_cooldown, idle_limit / 2);
  rules.unproven_cooldown = std::min(rules.unproven_cooldown, rules.distrusted_cooldown);
  rules.cooldown = std::min(rules.cooldown, rules.unproven_cooldown);
  return rules;
}

}  // namespace

ConnectionPool::ConnectionPool(ConnectionBudget& budget, std::chrono::steady_clock::duration idle_limit,
                               const policy::ReuseRules& rules, int socket_buffer)
    : budget_(budget), socket_buffer_(socket_buffer), rules_(rules), idle_limit_(idle_limit),
      reuse_(limited_by_idle_limit(rules, idle_limit)) {}

void ConnectionPool::set_idle_limit(std::chrono::steady_clock::duration idle_limit) {
  std::lock_guard lock(lock_);
  idle_limit_ = idle_limit;
  reuse_.set_rules(limited_by_idle_limit(rules_, idle_limit));
}

// The descriptor is closed before it is given back to the budget, which limits open descriptors.
ConnectionPool::Connection::~Connection() {
  fd_.reset();
  if (pool_ != nullptr) pool_->budget_.give_back(Side::backends);
}

// Bytes on an idle connection are unsolicited: its backend becomes distrusted.
bool ConnectionPool::is_quiet(std::uint64_t instance_id, const PooledConnection& pooled) {
  const PeekResult peeked = peek_socket(pooled.connection.fd());
  const TimePoint now = TimePoint::clock::now();
  if (peeked == PeekResult::bytes)
    record_unsolicited_bytes(instance_id, pooled.address, now - pooled.idle_since);
  if (peeked != PeekResult::none) return false;
  std::lock_guard lock(lock_);
  reuse_.record_quiet(instance_id, now - pooled.idle_since, now);
  return true;
}

void ConnectionPool::record_unsolicited_bytes(std::uint64_t instance_id, std::uint64_t address,
                                              std::chrono::steady_clock::duration idle_time) {
  std::deque<PooledConnection> to_close;  // closed after the lock is released
  {
    std::lock_guard lock(lock_);
    reuse_.record_unsolicited_bytes(instance_id, TimePoint::clock::now());
    if (const auto entry = idle_.find(instance_id); entry != idle_.end()) {
      to_close.swap(entry->second);
      idle_.erase(entry);
    }
  }
  ++unsolicited_count_;
  log::event("backend_spoke_unasked", {{"backend", std::string_view(address_text(unpack_address(address)))},
                                       {"rested_ms", milliseconds_of(idle_time)},
                                       {"closed", std::uint64_t{to_close.size()}}});
}

std::optional<ConnectionPool::Connection> ConnectionPool::take_idle(std::uint64_t instance_id,
                                                                    std::uint64_t address) {
  // The connection used last is taken first, so that surplus connections expire.
  for (;;) {
    std::optional<PooledConnection> found;
    std::chrono::steady_clock::duration idle_limit;
    {
      std::lock_guard lock(lock_);
      idle_limit = idle_limit_;
      const auto entry = idle_.find(instance_id);
      if (entry == idle_.end()) return std::nullopt;
      const TimePoint idle_before = TimePoint::clock::now() - reuse_.cooldown(instance_id);
      const auto match = std::find_if(
          entry->second.rbegin(), entry->second.rend(),
          [&](const PooledConnection& candidate) { return candidate.idle_since <= idle_before; });
      if (match == entry->second.rend()) return std::nullopt;
      found.emplace(std::move(*match));
      entry->second.erase(std::next(match).base());
    }
    // The backend closes the connection at its stated idle time: a request written then is lost, and may
    // count as executed.
    if (found->address == address && TimePoint::clock::now() - found->idle_since < idle_limit &&
        is_quiet(instance_id, *found))
      return std::move(found->connection);
  }
}

std::optional<ConnectionPool::Connection> ConnectionPool::open_new() {
  while (budget_.take(Side::backends) != ConnectionBudget::TakeResult::granted)
    if (!close_oldest_idle()) return std::nullopt;
  Connection connection(this, new_socket());
  if (connection.fd() < 0) return std::nullopt;
  if (socket_buffer_ > 0) set_socket_buffers(connection.fd(), socket_buffer_);
  return connection;
}

bool ConnectionPool::close_oldest_idle() {
  std::optional<PooledConnection> oldest;  // closed after the lock is released
  std::lock_guard lock(lock_);
  auto oldest_entry = idle_.end();
  for (auto entry = idle_.begin(); entry != idle_.end(); ++entry)
    if (!entry->second.empty() &&
        (oldest_entry == idle_.end() ||
         entry->second.front().idle_since < oldest_entry->second.front().idle_since))
      oldest_entry = entry;
  if (oldest_entry == idle_.end()) return false;
  oldest.emplace(std::move(oldest_entry->second.front()));
  oldest_entry->second.pop_front();
  return true;
}

void ConnectionPool::give_back(std::uint64_t instance_id, std::uint64_t address, Connection connection) {
  // Bytes behind the answer that wait for its acknowledgement have to come while the connection rests, not
  // with the next request.
  acknowledge_now(connection.fd());
  const TimePoint now = TimePoint::clock::now();
  // Declared before the lock, so that a connection that is not kept is closed after the lock is released.
  PooledConnection pooled{address, now, std::move(connection)};
  std::lock_guard lock(lock_);
  if (reuse_.may_keep_connections(instance_id, now)) idle_[instance_id].push_back(std::move(pooled));
}

void ConnectionPool::close_expired() {
  check_idle_connections();
  std::unique_lock lock(lock_);
  const auto idle_limit = idle_limit_;
  lock.unlock();
  close_expired(idle_limit);
  lock.lock();
  reuse_.forget_before(TimePoint::clock::now() - kForgetAfter);
}

// Detects a backend that answers twice before its second answer is taken for the answer to another request.
void ConnectionPool::check_idle_connections() {
  std::vector<std::pair<std::uint64_t, PooledConnection>> to_check;
  {
    std::lock_guard lock(lock_);
    const TimePoint now = TimePoint::clock::now();
    for (auto& [instance_id, connections] : idle_) {
      const TimePoint idle_before = now - reuse_.proving_cooldown(instance_id);
      for (auto pooled = connections.begin();
           pooled != connections.end() && pooled->idle_since <= idle_before;) {
        if (pooled->was_checked) {
          ++pooled;
          continue;
        }
        to_check.emplace_back(instance_id, std::move(*pooled));
        pooled = connections.erase(pooled);
      }
    }
  }
  for (auto& [instance_id, pooled] : to_check) {
    if (!is_quiet(instance_id, pooled)) continue;
    pooled.was_checked = true;
    std::lock_guard lock(lock_);
    if (!reuse_.may_keep_connections(instance_id, TimePoint::clock::now())) continue;
    std::deque<PooledConnection>& connections = idle_[instance_id];
    const auto position = std::upper_bound(
        connections.begin(), connections.end(), pooled.idle_since,
        [](TimePoint idle_since, const PooledConnection& other) { return idle_since < other.idle_since; });
    connections.insert(position, std::move(pooled));
  }
}

void ConnectionPool::close_expired(std::chrono::steady_clock::duration max_idle) {
  std::vector<std::pair<std::uint64_t, PooledConnection>> expired;  // closed after the lock is released
  {
    std::lock_guard lock(lock_);
    const TimePoint idle_before = TimePoint::clock::now() - max_idle;
    for (auto entry = idle_.begin(); entry != idle_.end();) {
      std::deque<PooledConnection>& connections = entry->second;
      while (!connections.empty() && connections.front().idle_since <= idle_before) {
        expired.emplace_back(entry->first, std::move(connections.front()));
        connections.pop_front();
      }
      // Removed backends leave no entry behind.
      entry = connections.empty() ? idle_.erase(entry) : std::next(entry);
    }
  }
  // An expired connection still shows whether its backend was quiet: the check records this.
  for (const auto& [instance_id, pooled] : expired) is_quiet(instance_id, pooled);
}

}  // namespace troutstage::net
