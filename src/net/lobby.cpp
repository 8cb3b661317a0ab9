#include "net/lobby.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

#include "net/client.h"

namespace troutstage::net {
namespace {

// How long a connection may stay. A client that says nothing has to be let go within three seconds of its
// connecting; after a request it has come to stay for a while.
constexpr std::chrono::milliseconds kStay[] = {std::chrono::milliseconds(2000), std::chrono::seconds(2),
                                               std::chrono::seconds(8), std::chrono::milliseconds(1000)};
constexpr std::chrono::milliseconds kLook{100};  // how exactly that is kept

}  // namespace

Lobby::Lobby(Ready ready, const Most& most)
    : ready_(std::move(ready)), most_(most), poll_(::epoll_create1(EPOLL_CLOEXEC)),
      wake_(::eventfd(0, EFD_CLOEXEC)) {
  epoll_event event{};
  event.events = EPOLLIN;
  if (!poll_ || !wake_ || ::epoll_ctl(poll_.get(), EPOLL_CTL_ADD, wake_.get(), &event) != 0)
    throw std::system_error(errno, std::generic_category(), "can't watch idle clients");
}

void Lobby::run() {
  for (Moment next_look;;) {
    std::array<epoll_event, 64> events{};
    const int n = ::epoll_wait(poll_.get(), events.data(), static_cast<int>(events.size()),
                               static_cast<int>(kLook.count()));
    if (n < 0 && errno != EINTR) return;
    for (int i = 0; i < n; ++i) {
      if (events[static_cast<std::size_t>(i)].data.u64 == 0) return;
      look(events[static_cast<std::size_t>(i)].data.u64);
    }
    if (const Moment now = Moment::clock::now(); now >= next_look) {
      next_look = now + kLook;
      close_old();
    }
  }
}

void Lobby::stop() {
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto written = ::write(wake_.get(), &one, sizeof one);
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
    if (oldest != all_.end()) leave(oldest);
  }
  const Moment now = Moment::clock::now();
  const int fd = client->fd();
  all_.emplace(next_, Waiting{std::move(client), wait, now, now + kStay[static_cast<std::size_t>(wait)]});
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = next_++;
  ::epoll_ctl(poll_.get(), EPOLL_CTL_ADD, fd, &event);
}

// With the lock held.
void Lobby::leave(All::iterator at) {
  Waiting gone = std::move(at->second);
  all_.erase(at);
  ::epoll_ctl(poll_.get(), EPOLL_CTL_DEL, gone.client->fd(), nullptr);
  --waiting_[static_cast<std::size_t>(gone.wait)];
  // A request that has come is answered, whatever the connection was to leave for.
  if (gone.wait == Wait::end || !holds_bytes(gone.client->fd()) || ready_(gone.client)) return;
  // Closed now, over a request that nobody has read, the connection would be reset and its answer lost.
  gone.client->turn_away();
  admit(std::move(gone.client), Wait::end);
}

void Lobby::look(std::uint64_t id) {
  std::lock_guard held(lock_);
  const auto at = all_.find(id);
  if (at == all_.end()) return;
  if (at->second.wait == Wait::end && at->second.client->throw_away()) return;
  leave(at);
}

void Lobby::close_old() {
  std::lock_guard held(lock_);
  const Moment now = Moment::clock::now();
  for (auto at = all_.begin(); at != all_.end();) {
    const auto next = std::next(at);
    if (at->second.limit <= now) leave(at);
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
      if (at->second.wait != wait || (wait != Wait::end && holds_bytes(at->second.client->fd()))) continue;
      leave(at);
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
    if (all || at->second.wait != Wait::end) leave(at);
    at = next;
  }
}

}  // namespace troutstage::net
