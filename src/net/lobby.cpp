#include "net/lobby.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>
#include <thread>

#include "log/log.h"
#include "net/client.h"

namespace troutstage::net {
namespace {

// How long a connection may wait, by WaitsFor; the client connection itself limits the time for a head. A
// client that connects and sends nothing has to be closed within three seconds; a client that has sent a
// request is likely to send more.
constexpr std::chrono::milliseconds kMaxIdle[] = {std::chrono::milliseconds(2000), std::chrono::seconds(2),
                                                  std::chrono::seconds(8), std::chrono::milliseconds(1000)};
// A client that goes on sending after its last answer is waited for up to this time: it reads the answer once
// it has sent all.
constexpr std::chrono::milliseconds kMaxPeerCloseWait{2500};
// A head that has been arriving for less than this time is not refused by a stop.
constexpr std::chrono::milliseconds kSlowHeadTime{500};
// A connection on which the client may send a request at any moment is closed for lack of room only after it
// was idle for so long. By WaitsFor.
constexpr std::array<std::chrono::milliseconds, IdleConnections::kWaitsForCount> kMinIdle = {
    std::chrono::milliseconds(200), std::chrono::milliseconds(100), std::chrono::milliseconds(100),
    std::chrono::milliseconds(100), std::chrono::milliseconds(0)};
// How often the connections are checked for expiry.
constexpr std::chrono::milliseconds kExpiryCheckInterval{100};
// Events that one epoll_wait call can return.
constexpr std::size_t kMaxEvents = 64;
// Delay before the next try to monitor a socket, or to find a thread for a request.
constexpr std::chrono::milliseconds kRetryInterval{2};
// How long a request may wait for a thread before it is rejected.
constexpr std::chrono::milliseconds kThreadWaitLimit{200};

}  // namespace

IdleConnections::IdleConnections(StartServing start_serving, const MaxWaiting& max_waiting,
                                 LeaveBudget leave_budget, OnStall on_stall)
    : start_serving_(std::move(start_serving)), max_waiting_(max_waiting),
      leave_budget_(std::move(leave_budget)), on_stall_(std::move(on_stall)), epoll_(new_epoll_fd()),
      wake_event_(new_event_fd()) {
  if (!retry_on_shortage("epoll_ctl",
                         [this] { return set_epoll_events(epoll_.get(), wake_event_.get(), EPOLLIN, 0); }))
    throw std::system_error(errno, std::generic_category(), "cannot monitor idle clients");
}

void IdleConnections::run() {
  TimePoint next_expiry_check;
  for (TimePoint last_round = TimePoint::clock::now(); !is_stopped_;) {
    std::array<epoll_event, kMaxEvents> events{};
    const auto timeout =
        has_unmonitored_ || has_unserved_ ? kRetryInterval : core::ArrivalEstimate::kCheckInterval;
    const int event_count = ::epoll_wait(epoll_.get(), events.data(), static_cast<int>(events.size()),
                                         static_cast<int>(timeout.count()));
    const int error = errno;
    if (event_count < 0 && classify_errno(error) == ErrorClass::other)
      return log::error("monitoring of idle clients ended: epoll_wait failed with error {}", error);
    if (event_count < 0 && classify_errno(error) == ErrorClass::shortage)
      std::this_thread::sleep_for(kRetryInterval);
    const TimePoint now = TimePoint::clock::now();
    report_stall(now - std::exchange(last_round, now));
    for (int i = 0; i < event_count; ++i) {
      const std::uint64_t id = events[static_cast<std::size_t>(i)].data.u64;
      if (id != 0) on_event(id, now);
      else clear_event(wake_event_);
    }
    // Only a call of epoll_wait that succeeded and did not fill the array says that the other connections
    // have no bytes. A call that returned nothing counts only if a second call agrees.
    if (event_count >= 0 && event_count < static_cast<int>(kMaxEvents) &&
        !(event_count == 0 && polls_readable(epoll_.get())))
      note_poll(now);
    if (has_unmonitored_) retry_monitoring();
    if (has_unserved_) retry_serving();
    if (now >= next_expiry_check) {
      next_expiry_check = now + kExpiryCheckInterval;
      close_expired();
    }
  }
}

void IdleConnections::report_stall(TimePoint::duration duration) const {
  if (on_stall_ && duration > core::ArrivalEstimate::kMaxCheckGap)
    on_stall_(std::chrono::duration_cast<std::chrono::milliseconds>(duration));
}

void IdleConnections::note_poll(TimePoint now) {
  std::lock_guard lock(lock_);
  epoll_checks_.found_no_bytes(now);
  ++checks_done_;
}

void IdleConnections::stop() {
  is_stopped_ = true;
  signal_event(wake_event_);
}

// Checks the connections that epoll still can't monitor, and tries to add them again: without the check a
// request on such a connection would wait for as long as the shortage lasts.
void IdleConnections::retry_monitoring() {
  std::lock_guard lock(lock_);
  for (const std::uint64_t id : std::set(unmonitored_)) {
    const auto entry = connections_.find(id);
    if (entry != connections_.end() && !start_monitoring(id, entry->second)) check_unmonitored(entry);
    else unmonitored_.erase(id);
  }
  has_unmonitored_ = !unmonitored_.empty();
}

// Called with lock_ held.
void IdleConnections::check_unmonitored(ConnectionMap::iterator entry) {
  const PeekResult unread = peek_socket(entry->second.client->fd());
  const TimePoint now = TimePoint::clock::now();
  if (unread == PeekResult::none && polls_unreadable(entry->second.client->fd()))
    entry->second.client->arrival().found_no_bytes(now);
  else if (unread != PeekResult::none && unread != PeekResult::unknown) on_readable(entry, now);
}

// Tries again to find a thread for each connection that has a request.
void IdleConnections::retry_serving() {
  std::lock_guard lock(lock_);
  for (const std::uint64_t id : std::set(unserved_))
    if (const auto entry = connections_.find(id); entry != connections_.end())
      serve_or_close(entry, CloseReason::by_client);
  has_unserved_ = !unserved_.empty();
}

void IdleConnections::add(std::shared_ptr<ClientConnection> client, WaitsFor waits_for) {
  std::lock_guard lock(lock_);
  add_locked(std::move(client), waits_for);
}

// Called with lock_ held.
void IdleConnections::add_locked(std::shared_ptr<ClientConnection> client, WaitsFor waits_for) {
  // Hundreds of clients that connect and send nothing, or send one request and stay connected, must not use
  // up the connections of active clients: a client that may have only a limited number of connections could
  // open no other while all of the idle ones were kept.
  if (++waiting_[static_cast<std::size_t>(waits_for)] > max_waiting_[static_cast<std::size_t>(waits_for)]) {
    const auto oldest =
        std::find_if(connections_.begin(), connections_.end(),
                     [waits_for](const auto& waiting) { return waiting.second.waits_for == waits_for; });
    if (oldest != connections_.end() &&
        has_been_idle(oldest->second, kMinIdle[static_cast<std::size_t>(waits_for)]))
      serve_or_close(oldest, CloseReason::room);
  }
  const TimePoint now = TimePoint::clock::now();
  const TimePoint deadline = waits_for == WaitsFor::rest_of_head
                                 ? client->head_deadline()
                                 : now + kMaxIdle[static_cast<std::size_t>(waits_for)];
  const std::uint64_t id = next_id_++;
  const auto entry =
      connections_.emplace(id, WaitingConnection{std::move(client), waits_for, now, deadline, {}}).first;
  if (start_monitoring(id, entry->second)) return;
  // Without epoll, a request on this connection would only be found at the connection's end; so run() checks
  // the socket itself.
  unmonitored_.insert(id);
  has_unmonitored_ = true;
  signal_event(wake_event_);
}

bool IdleConnections::has_been_idle(const WaitingConnection& waiting, std::chrono::milliseconds min_idle) {
  return TimePoint::clock::now() - waiting.since >= min_idle;
}

// Called with lock_ held. May close other connections too, so that only the id of a connection says where a
// walk over them goes on.
void IdleConnections::serve_or_close(ConnectionMap::iterator entry, CloseReason reason) {
  const int fd = entry->second.client->fd();
  const bool has_last_answer = entry->second.waits_for == WaitsFor::peer_close;
  const bool has_partial_head = entry->second.waits_for == WaitsFor::rest_of_head;
  const PeekResult unread = has_last_answer ? PeekResult::none : peek_socket(fd);
  const bool is_assumed_readable = reason == CloseReason::by_client && !has_last_answer;
  if (is_assumed_readable && !has_partial_head && unread == PeekResult::none && polls_unreadable(fd))
    entry->second.client->arrival().found_no_bytes(TimePoint::clock::now());
  if (!has_partial_head && (is_assumed_readable ? unread == PeekResult::none : unread == PeekResult::unknown))
    return;
  if (unread == PeekResult::bytes) note_bytes(entry->second, TimePoint::clock::now());
  const std::uint64_t id = entry->first;
  WaitingConnection removed = std::move(entry->second);
  unmonitored_.erase(id);
  unserved_.erase(id);
  connections_.erase(entry);
  remove_from_epoll(epoll_.get(), fd);
  --waiting_[static_cast<std::size_t>(removed.waits_for)];
  const bool has_ended = unread == PeekResult::ended || unread == PeekResult::broken;
  removed.client->set_close_reason(has_ended         ? CloseReason::by_client
                                   : has_last_answer ? CloseReason::last_answer
                                                     : reason);
  const bool is_refused = has_partial_head && reason != CloseReason::by_client && unread != PeekResult::bytes;
  if (is_refused) {
    removed.client->refuse_partial_head(reason);
    return add_locked(std::move(removed.client), WaitsFor::peer_close);
  }
  // A request that has arrived is answered, whatever reason there was to close the connection. The end of a
  // partial head is read, so that it is counted.
  const bool has_nothing_to_serve = !has_partial_head && (has_ended || unread == PeekResult::none);
  if (has_nothing_to_serve || start_serving_(removed.client)) return;
  const TimePoint now = TimePoint::clock::now();
  const bool is_retry = removed.no_thread_since.has_value();
  if (!is_retry) removed.no_thread_since = now;
  if (now - *removed.no_thread_since < kThreadWaitLimit) {
    // The connection stays without monitoring: its unread bytes would wake the thread of run() again and
    // again.
    ++waiting_[static_cast<std::size_t>(removed.waits_for)];
    connections_.emplace(id, std::move(removed));
    unserved_.insert(id);
    has_unserved_ = true;
    if (!is_retry) signal_event(wake_event_);  // run() tries again soon in any case
    return;
  }
  // Closing a socket with an unread request sends a reset, and the answer would be lost; so the connection
  // waits for the client's close.
  removed.client->reject_unread();
  add_locked(std::move(removed.client), WaitsFor::peer_close);
}

// Adds the connection to epoll. False: the system is short of resources. Called with lock_ held.
bool IdleConnections::start_monitoring(std::uint64_t id, WaitingConnection& waiting) {
  if (!set_epoll_events(epoll_.get(), waiting.client->fd(), EPOLLIN, id)) return false;
  waiting.checks_before_monitoring = checks_done_;
  return true;
}

// Records that a check that ended at `now` found bytes on a connection. The previous round of epoll, if it
// covered the connection, had found none. Called with lock_ held.
void IdleConnections::note_bytes(const WaitingConnection& waiting, TimePoint now) const {
  core::ArrivalEstimate& arrival = waiting.client->arrival();
  // A round that was in progress when the monitoring began may not have covered the connection, so two rounds
  // have to be complete.
  const bool was_in_last_check =
      waiting.checks_before_monitoring < UINT64_MAX && waiting.checks_before_monitoring + 2 <= checks_done_;
  if (was_in_last_check && !arrival.has_bytes()) arrival.no_bytes_until(epoll_checks_.earliest());
  arrival.found_bytes(now);
}

void IdleConnections::on_event(std::uint64_t id, TimePoint now) {
  std::lock_guard lock(lock_);
  if (const auto entry = connections_.find(id); entry != connections_.end()) on_readable(entry, now);
}

// Handles bytes, or the end of the connection, found by a check that ended at `now`. Called with lock_ held.
void IdleConnections::on_readable(ConnectionMap::iterator entry, TimePoint now) {
  note_bytes(entry->second, now);
  if (entry->second.waits_for == WaitsFor::peer_close && entry->second.client->discard_unread()) {
    entry->second.deadline = std::min(now + kMaxIdle[static_cast<std::size_t>(WaitsFor::peer_close)],
                                      entry->second.since + kMaxPeerCloseWait);
    return;
  }
  if (entry->second.waits_for == WaitsFor::rest_of_head && !entry->second.client->read_partial_head()) return;
  serve_or_close(entry, CloseReason::by_client);
}

void IdleConnections::close_expired() {
  std::lock_guard lock(lock_);
  const TimePoint now = TimePoint::clock::now();
  for (auto entry = connections_.begin(); entry != connections_.end();) {
    const std::uint64_t id = entry->first;
    if (entry->second.deadline <= now) serve_or_close(entry, CloseReason::idle);
    entry = connections_.upper_bound(id);
  }
}

// Prefers a connection that waits for the client's close, then a connection with one request so far, then the
// connection that has been idle the longest, and last a connection on which the client has sent nothing yet:
// its request may be on the way. The first two may be closed at any time, the others after kMinIdle.
bool IdleConnections::close_least_useful(bool except_new) {
  std::lock_guard lock(lock_);
  for (const WaitsFor waits_for :
       {WaitsFor::peer_close, WaitsFor::second_request, WaitsFor::next_request, WaitsFor::first_request})
    if (!(except_new && waits_for == WaitsFor::first_request) &&
        close_longest_idle(waits_for, kMinIdle[static_cast<std::size_t>(waits_for)]))
      return true;
  return close_longest_idle(WaitsFor::peer_close, {}) || close_longest_idle(WaitsFor::second_request, {});
}

// Closes the connection that has waited for `waits_for` the longest, or takes it out of the budget. False:
// each one has a request, or has been idle for less than `min_idle`. Called with lock_ held.
bool IdleConnections::close_longest_idle(WaitsFor waits_for, std::chrono::milliseconds min_idle) {
  for (auto entry = connections_.begin(); entry != connections_.end(); ++entry) {
    if (entry->second.waits_for != waits_for) continue;
    const bool is_idle = has_been_idle(entry->second, min_idle);
    const bool is_silent = waits_for == WaitsFor::first_request;
    if (!is_idle && !is_silent) return false;  // those behind it wait for less long
    const PeekResult unread =
        waits_for == WaitsFor::peer_close ? PeekResult::none : peek_socket(entry->second.client->fd());
    if (unread == PeekResult::bytes || unread == PeekResult::unknown) continue;
    if (is_silent && unread == PeekResult::none) {
      if (!entry->second.client->is_within_budget()) continue;
      if (leave_budget_ && leave_budget_(*entry->second.client)) return true;
      if (!is_idle) return false;
    }
    serve_or_close(entry, CloseReason::room);
    return true;
  }
  return false;
}

bool IdleConnections::refuse_slow_heads(std::chrono::milliseconds min_age, int max_count) {
  std::lock_guard lock(lock_);
  const TimePoint begun_before = TimePoint::clock::now() - min_age;
  int refused_count = 0;
  for (auto entry = connections_.begin(); entry != connections_.end() && refused_count < max_count;) {
    const std::uint64_t id = entry->first;
    const WaitingConnection& waiting = entry->second;
    if (waiting.waits_for == WaitsFor::rest_of_head && waiting.client->head_begun_at() <= begun_before) {
      serve_or_close(entry, CloseReason::room);
      ++refused_count;
    }
    entry = connections_.upper_bound(id);
  }
  return refused_count > 0;
}

bool IdleConnections::admit_silent(const std::function<void(ClientConnection&)>& admit) {
  std::lock_guard lock(lock_);
  for (auto& [id, waiting] : connections_) {
    if (waiting.waits_for != WaitsFor::first_request || waiting.client->is_within_budget()) continue;
    admit(*waiting.client);
    return true;
  }
  return false;
}

bool IdleConnections::close_refused(std::chrono::milliseconds min_age) {
  std::lock_guard lock(lock_);
  const TimePoint refused_before = TimePoint::clock::now() - min_age;
  for (auto entry = connections_.begin(); entry != connections_.end(); ++entry) {
    const WaitingConnection& waiting = entry->second;
    const bool is_silent = waiting.waits_for == WaitsFor::first_request;
    const bool is_refused =
        waiting.waits_for == WaitsFor::peer_close && waiting.client->is_refused_unfinished();
    if (waiting.client->is_within_budget() || waiting.since > refused_before || !(is_silent || is_refused))
      continue;
    serve_or_close(entry, CloseReason::room);
    return true;
  }
  return false;
}

std::size_t IdleConnections::waiting(WaitsFor waits_for) {
  std::lock_guard lock(lock_);
  return waiting_[static_cast<std::size_t>(waits_for)];
}

void IdleConnections::close_idle(bool all) {
  std::lock_guard lock(lock_);
  for (auto entry = connections_.begin(); entry != connections_.end();) {
    const std::uint64_t id = entry->first;
    const WaitingConnection& waiting = entry->second;
    const bool is_young_head = waiting.waits_for == WaitsFor::rest_of_head &&
                               TimePoint::clock::now() - waiting.client->head_begun_at() < kSlowHeadTime;
    if (all || (waiting.waits_for != WaitsFor::peer_close && !is_young_head))
      serve_or_close(entry, CloseReason::stopping);
    entry = connections_.upper_bound(id);
  }
}

}  // namespace troutstage::net
