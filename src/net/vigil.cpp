#include "net/vigil.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <cerrno>

#include "log/log.h"

namespace troutstage::net {

DisconnectMonitor::DisconnectMonitor(core::Balancer& balancer) : balancer_(balancer), poll_(new_epoll_fd()), wake_(new_event_fd()) {
  if (!retry_on_shortage("epoll_ctl", [this] { return set_epoll_events(poll_.get(), wake_.get(), EPOLLIN, 0); }))
    throw std::system_error(errno, std::generic_category(), "can't watch clients");
}

void DisconnectMonitor::run() {
  for (;;) {
    std::array<epoll_event, 32> events{};
    const int n = ::epoll_wait(poll_.get(), events.data(), static_cast<int>(events.size()), -1);
    if (n < 0 && classify_errno(errno) == ErrorClass::other)
      return log::error("clients are watched no more: error {}", errno);
    for (int i = 0; i < n; ++i) {
      const std::uint64_t id = events[static_cast<std::size_t>(i)].data.u64;
      if (id == 0) return;
      core::InvocationHandle ticket;
      {
        std::lock_guard held(lock_);
        const auto at = watched_.find(id);
        if (at != watched_.end()) ticket = at->second;
      }
      if (ticket) balancer_.client_gone(ticket);
    }
  }
}

void DisconnectMonitor::stop() { signal_event(wake_); }

DisconnectMonitor::ScopedMonitor::ScopedMonitor(DisconnectMonitor& vigil, int fd, core::InvocationHandle ticket) : disconnect_monitor_(vigil), fd_(fd) {
  {
    std::lock_guard held(disconnect_monitor_.lock_);
    id_ = disconnect_monitor_.next_id_++;
    disconnect_monitor_.watched_.emplace(id_, std::move(ticket));
  }
  // Where it can't be watched, its end is found out right before each attempt.
  set_epoll_events(disconnect_monitor_.poll_.get(), fd_, EPOLLRDHUP | EPOLLONESHOT, id_);
}

DisconnectMonitor::ScopedMonitor::~ScopedMonitor() {
  remove_from_epoll(disconnect_monitor_.poll_.get(), fd_);
  std::lock_guard held(disconnect_monitor_.lock_);
  disconnect_monitor_.watched_.erase(id_);
}

}  // namespace troutstage::net
