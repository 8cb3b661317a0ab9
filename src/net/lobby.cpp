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
constexpr std::chrono::milliseconds kStay[] = {std::chrono::milliseconds(2000), std::chrono::seconds(2),
                                               std::chrono::seconds(8), std::chrono::milliseconds(1000)};
constexpr std::chrono::milliseconds kLook{100};      // how exactly that is kept
constexpr std::size_t kMostEvents = 64;              // that one look brings
constexpr std::chrono::milliseconds kTryAgain{2};    // to have a socket monitored, or a request served
constexpr std::chrono::milliseconds kThreadPatience{200};  // with a shortage of threads

}  // namespace

Lobby::Lobby(Ready ready, const Most& most, Gap gap)
    : ready_(std::move(ready)), most_(most), gap_(std::move(gap)), poll_(new_monitor()), wake_(new_event()) {
  if (!persist("epoll_ctl", [this] { return monitor(poll_.get(), wake_.get(), EPOLLIN, 0); }))
    throw std::system_error(errno, std::generic_category(), "can't watch idle clients");
}

void Lobby::run() {
  Moment next_look;
  for (Moment last_round = Moment::clock::now(); !stopped_;) {
    std::array<epoll_event, kMostEvents> events{};
    const auto wait = any_unwatched_ || any_unserved_ ? kTryAgain : core::ArrivalEstimate::kLookEvery;
    const int n = ::epoll_wait(poll_.get(), events.data(), static_cast<int>(events.size()),
                               static_cast<int>(wait.count()));
    const int error = errno;
    if (n < 0 && classify(error) == Failure::other)
      return log::error("idle clients are watched no more: error {}", error);
    if (n < 0 && classify(error) == Failure::shortage) std::this_thread::sleep_for(kTryAgain);
    const Moment now = Moment::clock::now();
    note_gap(now - std::exchange(last_round, now));
    for (int i = 0; i < n; ++i) {
      const std::uint64_t id = events[static_cast<std::size_t>(i)].data.u64;
      if (id != 0) look(id, now);
      else take_note(wake_);
    }
    // One that failed, or had no room for all, says nothing of those that it does not name; nor does one that found nothing
    // where a second call does.
    if (n >= 0 && n < static_cast<int>(kMostEvents) && !(n == 0 && polls_as_ready(poll_.get()))) note_look(now);
    if (any_unwatched_) watch_unwatched();
    if (any_unserved_) serve_unserved();
    if (now >= next_look) {
      next_look = now + kLook;
      close_old();
    }
  }
}

void Lobby::note_gap(Moment::duration gap) const {
  if (gap_ && gap > core::ArrivalEstimate::kLongestGap) gap_(std::chrono::duration_cast<std::chrono::milliseconds>(gap));
}

void Lobby::note_look(Moment now) {
  std::lock_guard held(lock_);
  looks_.found_nothing(now);
  ++looks_taken_;
}

void Lobby::stop() {
  stopped_ = true;
  wake(wake_);
}

// What the monitor still can't take is looked at here: what has come on it would wait for as long as that lasts.
void Lobby::watch_unwatched() {
  std::lock_guard held(lock_);
  for (const std::uint64_t id : std::set(unwatched_)) {
    const auto at = all_.find(id);
    if (at != all_.end() && !start_monitoring(id, at->second)) look_unwatched(at);
    else unwatched_.erase(id);
  }
  any_unwatched_ = !unwatched_.empty();
}

// With the lock held.
void Lobby::look_unwatched(All::iterator at) {
  const Unread unread = look_at(at->second.client->fd());
  const Moment now = Moment::clock::now();
  if (unread == Unread::none && polls_as_empty(at->second.client->fd())) at->second.client->arrival().found_nothing(now);
  else if (unread != Unread::none && unread != Unread::unknown) take_up(at, now);
}

void Lobby::serve_unserved() {
  std::lock_guard held(lock_);
  for (const std::uint64_t id : std::set(unserved_))
    if (const auto at = all_.find(id); at != all_.end()) leave(at, Closing::by_client);
  any_unserved_ = !unserved_.empty();
}

void Lobby::enter(std::shared_ptr<Client> client, Wait wait) {
  std::lock_guard held(lock_);
  admit(std::move(client), wait);
}

// With the lock held.
void Lobby::admit(std::shared_ptr<Client> client, Wait wait) {
  // Hundreds that connect and say nothing, or ask once and stay, must not take the places of those that ask:
  // a client that may have only so many connections could open no other for as long as all of them were kept.
  if (++waiting_[static_cast<std::size_t>(wait)] > most_[static_cast<std::size_t>(wait)]) {
    const auto oldest = std::find_if(all_.begin(), all_.end(),
                                     [wait](const auto& waiting) { return waiting.second.wait == wait; });
    if (oldest != all_.end()) leave(oldest, Closing::room);
  }
  const Moment now = Moment::clock::now();
  const std::uint64_t id = next_++;
  const auto at =
      all_.emplace(id, Waiting{std::move(client), wait, now, now + kStay[static_cast<std::size_t>(wait)], {}}).first;
  if (start_monitoring(id, at->second)) return;
  // Never looked at, a request on it would be found at the connection's end only.
  unwatched_.insert(id);
  any_unwatched_ = true;
  wake(wake_);
}

// With the lock held.
void Lobby::leave(All::iterator at, Closing why) {
  const int fd = at->second.client->fd();
  const bool was_told_last = at->second.wait == Wait::end;
  const Unread unread = was_told_last ? Unread::none : look_at(fd);
  const bool seems_to_have_come = why == Closing::by_client && !was_told_last;
  if (seems_to_have_come && unread == Unread::none && polls_as_empty(fd)) at->second.client->arrival().found_nothing(Moment::clock::now());
  if (seems_to_have_come ? unread == Unread::none : unread == Unread::unknown) return;
  if (unread == Unread::bytes) note_bytes(at->second, Moment::clock::now());
  const std::uint64_t id = at->first;
  Waiting gone = std::move(at->second);
  unwatched_.erase(id);
  unserved_.erase(id);
  all_.erase(at);
  stop_monitoring(poll_.get(), fd);
  --waiting_[static_cast<std::size_t>(gone.wait)];
  const bool is_over = unread == Unread::ended || unread == Unread::broken;
  gone.client->closes_for(is_over ? Closing::by_client : was_told_last ? Closing::last_answer : why);
  // A request that has come is answered, whatever the connection was to leave for.
  if (is_over || unread == Unread::none || ready_(gone.client)) return;
  const Moment now = Moment::clock::now();
  const bool is_tried_again = gone.no_thread_since.has_value();
  if (!is_tried_again) gone.no_thread_since = now;
  if (now - *gone.no_thread_since < kThreadPatience) {
    // Not monitored: what has come would wake this thread without end.
    ++waiting_[static_cast<std::size_t>(gone.wait)];
    all_.emplace(id, std::move(gone));
    unserved_.insert(id);
    any_unserved_ = true;
    if (!is_tried_again) wake(wake_);  // else its thread tries again soon in any case
    return;
  }
  // Closed now, over a request that nobody has read, the connection would be reset and its answer lost.
  gone.client->turn_away();
  admit(std::move(gone.client), Wait::end);
}

bool Lobby::start_monitoring(std::uint64_t id, Waiting& waiting) {
  if (!monitor(poll_.get(), waiting.client->fd(), EPOLLIN, id)) return false;
  waiting.looks_before = looks_taken_;
  return true;
}

// A look that ended at `now` found something on a connection; the monitor's, of which it was part, had not. With the
// lock held.
void Lobby::note_bytes(const Waiting& waiting, Moment now) const {
  core::ArrivalEstimate& arrival = waiting.client->arrival();
  // The one that was under way as its monitoring began may not have seen it.
  const bool was_part_of_last = waiting.looks_before < UINT64_MAX && waiting.looks_before + 2 <= looks_taken_;
  if (was_part_of_last && !arrival.has_bytes()) arrival.nothing_until(looks_.earliest());
  arrival.found_bytes(now);
}

void Lobby::look(std::uint64_t id, Moment now) {
  std::lock_guard held(lock_);
  if (const auto at = all_.find(id); at != all_.end()) take_up(at, now);
}

// Something was found on it by a look that ended at `now`. With the lock held.
void Lobby::take_up(All::iterator at, Moment now) {
  note_bytes(at->second, now);
  if (at->second.wait == Wait::end && at->second.client->throw_away()) return;
  leave(at, Closing::by_client);
}

void Lobby::close_old() {
  std::lock_guard held(lock_);
  const Moment now = Moment::clock::now();
  for (auto at = all_.begin(); at != all_.end();) {
    const auto next = std::next(at);
    if (at->second.limit <= now) leave(at, Closing::idle);
    at = next;
  }
}

// One that was told its last answer, else one that asked only once, else the one that has been idle the
// longest, else one that has said nothing yet: its request may be on the way.
bool Lobby::make_room(bool but_new) {
  std::lock_guard held(lock_);
  for (const Wait wait : {Wait::end, Wait::once, Wait::next, Wait::first}) {
    if (but_new && wait == Wait::first) continue;
    for (auto at = all_.begin(); at != all_.end(); ++at) {
      if (at->second.wait != wait) continue;
      const Unread unread = wait == Wait::end ? Unread::none : look_at(at->second.client->fd());
      if (unread == Unread::bytes || unread == Unread::unknown) continue;
      leave(at, Closing::room);
      return true;
    }
  }
  return false;
}

std::size_t Lobby::waiting(Wait wait) {
  std::lock_guard held(lock_);
  return waiting_[static_cast<std::size_t>(wait)];
}

void Lobby::close_idle(bool all) {
  std::lock_guard held(lock_);
  for (auto at = all_.begin(); at != all_.end();) {
    const auto next = std::next(at);
    if (all || at->second.wait != Wait::end) leave(at, Closing::stopping);
    at = next;
  }
}

}  // namespace troutstage::net
