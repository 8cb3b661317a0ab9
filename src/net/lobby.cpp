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

// How long a connection may stay. A client that says nothing has to be let go within three seconds of its
// connecting; after a request it has come to stay for a while.
constexpr std::chrono::milliseconds kMaxIdle[] = {std::chrono::milliseconds(2000), std::chrono::seconds(2),
                                               std::chrono::seconds(8), std::chrono::milliseconds(1000)};
constexpr std::chrono::milliseconds kExpiryCheckInterval{100};      // how exactly that is kept
constexpr std::size_t kMaxEvents = 64;              // that one look brings
constexpr std::chrono::milliseconds kRetryInterval{2};    // to have a socket monitored, or a request served
constexpr std::chrono::milliseconds kThreadWaitLimit{200};  // with a shortage of threads

}  // namespace

IdleConnections::IdleConnections(StartServing ready, const MaxWaiting& most, OnStall gap)
    : start_serving_(std::move(ready)), max_waiting_(most), on_stall_(std::move(gap)), poll_(new_epoll_fd()), wake_(new_event_fd()) {
  if (!retry_on_shortage("epoll_ctl", [this] { return set_epoll_events(poll_.get(), wake_.get(), EPOLLIN, 0); }))
    throw std::system_error(errno, std::generic_category(), "can't watch idle clients");
}

void IdleConnections::run() {
  TimePoint next_look;
  for (TimePoint last_round = TimePoint::clock::now(); !stopped_;) {
    std::array<epoll_event, kMaxEvents> events{};
    const auto wait = has_unmonitored_ || has_unserved_ ? kRetryInterval : core::ArrivalEstimate::kCheckInterval;
    const int n = ::epoll_wait(poll_.get(), events.data(), static_cast<int>(events.size()),
                               static_cast<int>(wait.count()));
    const int error = errno;
    if (n < 0 && classify_errno(error) == ErrorClass::other)
      return log::error("idle clients are watched no more: error {}", error);
    if (n < 0 && classify_errno(error) == ErrorClass::shortage) std::this_thread::sleep_for(kRetryInterval);
    const TimePoint now = TimePoint::clock::now();
    report_stall(now - std::exchange(last_round, now));
    for (int i = 0; i < n; ++i) {
      const std::uint64_t id = events[static_cast<std::size_t>(i)].data.u64;
      if (id != 0) on_event(id, now);
      else clear_event(wake_);
    }
    // One that failed, or had no room for all, says nothing of those that it does not name; nor does one that found nothing
    // where a second call does.
    if (n >= 0 && n < static_cast<int>(kMaxEvents) && !(n == 0 && polls_readable(poll_.get()))) note_poll(now);
    if (has_unmonitored_) retry_monitoring();
    if (has_unserved_) retry_serving();
    if (now >= next_look) {
      next_look = now + kExpiryCheckInterval;
      close_expired();
    }
  }
}

void IdleConnections::report_stall(TimePoint::duration gap) const {
  if (on_stall_ && gap > core::ArrivalEstimate::kMaxCheckGap) on_stall_(std::chrono::duration_cast<std::chrono::milliseconds>(gap));
}

void IdleConnections::note_poll(TimePoint now) {
  std::lock_guard held(lock_);
  monitor_checks_.found_no_bytes(now);
  ++checks_done_;
}

void IdleConnections::stop() {
  stopped_ = true;
  signal_event(wake_);
}

// What the monitor still can't take is looked at here: what has come on it would wait for as long as that lasts.
void IdleConnections::retry_monitoring() {
  std::lock_guard held(lock_);
  for (const std::uint64_t id : std::set(unmonitored_)) {
    const auto at = connections_.find(id);
    if (at != connections_.end() && !start_monitoring(id, at->second)) check_unmonitored(at);
    else unmonitored_.erase(id);
  }
  has_unmonitored_ = !unmonitored_.empty();
}

// With the lock held.
void IdleConnections::check_unmonitored(ConnectionMap::iterator at) {
  const PeekResult unread = peek_socket(at->second.client->fd());
  const TimePoint now = TimePoint::clock::now();
  if (unread == PeekResult::none && polls_unreadable(at->second.client->fd())) at->second.client->arrival().found_no_bytes(now);
  else if (unread != PeekResult::none && unread != PeekResult::unknown) on_readable(at, now);
}

void IdleConnections::retry_serving() {
  std::lock_guard held(lock_);
  for (const std::uint64_t id : std::set(unserved_))
    if (const auto at = connections_.find(id); at != connections_.end()) serve_or_close(at, CloseReason::by_client);
  has_unserved_ = !unserved_.empty();
}

void IdleConnections::add(std::shared_ptr<ClientConnection> client, WaitsFor wait) {
  std::lock_guard held(lock_);
  add_locked(std::move(client), wait);
}

// With the lock held.
void IdleConnections::add_locked(std::shared_ptr<ClientConnection> client, WaitsFor wait) {
  // Hundreds that connect and say nothing, or ask once and stay, must not take the places of those that ask:
  // a client that may have only so many connections could open no other for as long as all of them were kept.
  if (++waiting_[static_cast<std::size_t>(wait)] > max_waiting_[static_cast<std::size_t>(wait)]) {
    const auto oldest = std::find_if(connections_.begin(), connections_.end(),
                                     [wait](const auto& waiting) { return waiting.second.wait == wait; });
    if (oldest != connections_.end()) serve_or_close(oldest, CloseReason::room);
  }
  const TimePoint now = TimePoint::clock::now();
  const std::uint64_t id = next_id_++;
  const auto at =
      connections_.emplace(id, WaitingConnection{std::move(client), wait, now, now + kMaxIdle[static_cast<std::size_t>(wait)], {}}).first;
  if (start_monitoring(id, at->second)) return;
  // Never looked at, a request on it would be found at the connection's end only.
  unmonitored_.insert(id);
  has_unmonitored_ = true;
  signal_event(wake_);
}

// With the lock held.
void IdleConnections::serve_or_close(ConnectionMap::iterator at, CloseReason why) {
  const int fd = at->second.client->fd();
  const bool was_told_last = at->second.wait == WaitsFor::peer_close;
  const PeekResult unread = was_told_last ? PeekResult::none : peek_socket(fd);
  const bool seems_to_have_come = why == CloseReason::by_client && !was_told_last;
  if (seems_to_have_come && unread == PeekResult::none && polls_unreadable(fd)) at->second.client->arrival().found_no_bytes(TimePoint::clock::now());
  if (seems_to_have_come ? unread == PeekResult::none : unread == PeekResult::unknown) return;
  if (unread == PeekResult::bytes) note_bytes(at->second, TimePoint::clock::now());
  const std::uint64_t id = at->first;
  WaitingConnection gone = std::move(at->second);
  unmonitored_.erase(id);
  unserved_.erase(id);
  connections_.erase(at);
  remove_from_epoll(poll_.get(), fd);
  --waiting_[static_cast<std::size_t>(gone.wait)];
  const bool is_over = unread == PeekResult::ended || unread == PeekResult::broken;
  gone.client->set_close_reason(is_over ? CloseReason::by_client : was_told_last ? CloseReason::last_answer : why);
  // A request that has come is answered, whatever the connection was to leave for.
  if (is_over || unread == PeekResult::none || start_serving_(gone.client)) return;
  const TimePoint now = TimePoint::clock::now();
  const bool is_tried_again = gone.no_thread_since.has_value();
  if (!is_tried_again) gone.no_thread_since = now;
  if (now - *gone.no_thread_since < kThreadWaitLimit) {
    // Not monitored: what has come would wake this thread without end.
    ++waiting_[static_cast<std::size_t>(gone.wait)];
    connections_.emplace(id, std::move(gone));
    unserved_.insert(id);
    has_unserved_ = true;
    if (!is_tried_again) signal_event(wake_);  // else its thread tries again soon in any case
    return;
  }
  // Closed now, over a request that nobody has read, the connection would be reset and its answer lost.
  gone.client->reject_unread();
  add_locked(std::move(gone.client), WaitsFor::peer_close);
}

bool IdleConnections::start_monitoring(std::uint64_t id, WaitingConnection& waiting) {
  if (!set_epoll_events(poll_.get(), waiting.client->fd(), EPOLLIN, id)) return false;
  waiting.checks_before = checks_done_;
  return true;
}

// A look that ended at `now` found something on a connection; the monitor's, of which it was part, had not. With the
// lock held.
void IdleConnections::note_bytes(const WaitingConnection& waiting, TimePoint now) const {
  core::ArrivalEstimate& arrival = waiting.client->arrival();
  // The one that was under way as its monitoring began may not have seen it.
  const bool was_part_of_last = waiting.checks_before < UINT64_MAX && waiting.checks_before + 2 <= checks_done_;
  if (was_part_of_last && !arrival.has_bytes()) arrival.no_bytes_until(monitor_checks_.earliest());
  arrival.found_bytes(now);
}

void IdleConnections::on_event(std::uint64_t id, TimePoint now) {
  std::lock_guard held(lock_);
  if (const auto at = connections_.find(id); at != connections_.end()) on_readable(at, now);
}

// Something was found on it by a look that ended at `now`. With the lock held.
void IdleConnections::on_readable(ConnectionMap::iterator at, TimePoint now) {
  note_bytes(at->second, now);
  if (at->second.wait == WaitsFor::peer_close && at->second.client->discard_unread()) return;
  serve_or_close(at, CloseReason::by_client);
}

void IdleConnections::close_expired() {
  std::lock_guard held(lock_);
  const TimePoint now = TimePoint::clock::now();
  for (auto at = connections_.begin(); at != connections_.end();) {
    const auto next = std::next(at);
    if (at->second.limit <= now) serve_or_close(at, CloseReason::idle);
    at = next;
  }
}

// One that was told its last answer, else one that asked only once, else the one that has been idle the
// longest, else one that has said nothing yet: its request may be on the way.
bool IdleConnections::close_least_useful(bool but_new) {
  std::lock_guard held(lock_);
  for (const WaitsFor wait : {WaitsFor::peer_close, WaitsFor::second_request, WaitsFor::next_request, WaitsFor::first_request}) {
    if (but_new && wait == WaitsFor::first_request) continue;
    for (auto at = connections_.begin(); at != connections_.end(); ++at) {
      if (at->second.wait != wait) continue;
      const PeekResult unread = wait == WaitsFor::peer_close ? PeekResult::none : peek_socket(at->second.client->fd());
      if (unread == PeekResult::bytes || unread == PeekResult::unknown) continue;
      serve_or_close(at, CloseReason::room);
      return true;
    }
  }
  return false;
}

std::size_t IdleConnections::waiting(WaitsFor wait) {
  std::lock_guard held(lock_);
  return waiting_[static_cast<std::size_t>(wait)];
}

void IdleConnections::close_idle(bool all) {
  std::lock_guard held(lock_);
  for (auto at = connections_.begin(); at != connections_.end();) {
    const auto next = std::next(at);
    if (all || at->second.wait != WaitsFor::peer_close) serve_or_close(at, CloseReason::stopping);
    at = next;
  }
}

}  // namespace troutstage::net
