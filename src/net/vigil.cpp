#include "net/vigil.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <cerrno>

#include "log/log.h"

namespace troutstage::net {

Vigil::Vigil(core::Balancer& balancer) : balancer_(balancer), poll_(new_monitor()), wake_(new_event()) {
  if (!persist("epoll_ctl", [this] { return monitor(poll_.get(), wake_.get(), EPOLLIN, 0); }))
    throw std::system_error(errno, std::generic_category(), "can't watch clients");
}

void Vigil::run() {
  for (;;) {
    std::array<epoll_event, 32> events{};
    const int n = ::epoll_wait(poll_.get(), events.data(), static_cast<int>(events.size()), -1);
    if (n < 0 && classify(errno) == Failure::other)
      return log::error("clients are watched no more: error {}", errno);
    for (int i = 0; i < n; ++i) {
      const std::uint64_t id = events[static_cast<std::size_t>(i)].data.u64;
      if (id == 0) return;
      core::Ticket ticket;
      {
        std::lock_guard held(lock_);
        const auto at = watched_.find(id);
        if (at != watched_.end()) ticket = at->second;
      }
      if (ticket) balancer_.client_gone(ticket);
    }
  }
}

void Vigil::stop() { wake(wake_); }

Vigil::Over::Over(Vigil& vigil, int fd, core::Ticket ticket) : vigil_(vigil), fd_(fd) {
  {
    std::lock_guard held(vigil_.lock_);
    id_ = vigil_.next_++;
    vigil_.watched_.emplace(id_, std::move(ticket));
  }
  // Where it can't be watched, its end is found out right before each attempt.
  monitor(vigil_.poll_.get(), fd_, EPOLLRDHUP | EPOLLONESHOT, id_);
}

Vigil::Over::~Over() {
  stop_monitoring(vigil_.poll_.get(), fd_);
  std::lock_guard held(vigil_.lock_);
  vigil_.watched_.erase(id_);
}

}  // namespace troutstage::net
