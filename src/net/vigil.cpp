#include "net/vigil.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <cerrno>

#include "log/log.h"

namespace troutstage::net {

DisconnectMonitor::DisconnectMonitor(core::Balancer& balancer)
    : balancer_(balancer), epoll_(new_epoll_fd()), wake_event_(new_event_fd()) {
  if (!retry_on_shortage("epoll_ctl",
                         [this] { return set_epoll_events(epoll_.get(), wake_event_.get(), EPOLLIN, 0); }))
    throw std::system_error(errno, std::generic_category(), "cannot monitor clients for disconnects");
}

void DisconnectMonitor::run() {
  for (;;) {
    std::array<epoll_event, 32> events{};
    const int event_count = ::epoll_wait(epoll_.get(), events.data(), static_cast<int>(events.size()), -1);
    if (event_count < 0 && classify_errno(errno) == ErrorClass::other)
      return log::error("monitoring of clients for disconnects ended: epoll_wait failed with error {}",
                        errno);
    for (int i = 0; i < event_count; ++i) {
      const std::uint64_t id = events[static_cast<std::size_t>(i)].data.u64;
      if (id == 0) return;
      core::InvocationHandle handle;
      {
        std::lock_guard lock(lock_);
        const auto entry = monitored_.find(id);
        if (entry != monitored_.end()) handle = entry->second;
      }
      if (handle) balancer_.client_gone(handle);
    }
  }
}

void DisconnectMonitor::stop() { signal_event(wake_event_); }

DisconnectMonitor::ScopedMonitor::ScopedMonitor(DisconnectMonitor& monitor, int fd,
                                                core::InvocationHandle handle)
    : monitor_(monitor), fd_(fd) {
  {
    std::lock_guard lock(monitor_.lock_);
    id_ = monitor_.next_id_++;
    monitor_.monitored_.emplace(id_, std::move(handle));
  }
  // If epoll can't add the socket, a disconnect is found by the check right before the first byte of each
  // hand-off.
  set_epoll_events(monitor_.epoll_.get(), fd_, EPOLLRDHUP | EPOLLONESHOT, id_);
}

DisconnectMonitor::ScopedMonitor::~ScopedMonitor() {
  remove_from_epoll(monitor_.epoll_.get(), fd_);
  std::lock_guard lock(monitor_.lock_);
  monitor_.monitored_.erase(id_);
}

}  // namespace troutstage::net
