#include "net/socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

#include "core/settings.h"

namespace troutstage::net {
namespace {

// How often a call that a signal interrupts is repeated at once, at most.
constexpr int kMaxInterruptedCalls = 1000;
constexpr std::size_t kMaxPeekedBytes = 4096;  // bytes that are peeked at to verify FIONREAD's count
constexpr std::chrono::milliseconds kSocketRetryTime{15};     // during a shortage of sockets
constexpr std::chrono::milliseconds kAddressRetryTime{1000};  // while the address is in use
constexpr std::chrono::milliseconds kRouteRetryTime{20};      // while the network is unreachable
constexpr std::chrono::milliseconds kWriteLimitInterval{20};  // between two calls of a WriteLimit
constexpr std::chrono::milliseconds kMinWaitPart{20};         // of a wait for events

// How long the next ppoll() of a wait may last. When the process is stopped (SIGSTOP) and continued, the
// kernel repeats ppoll() with the time that was left when the stop began, so that each stop makes the call
// longer. The limit is looked at again after half of the time.
std::chrono::nanoseconds next_wait_part(TimePoint::duration remaining) {
  return std::min<TimePoint::duration>(remaining, std::max<TimePoint::duration>(remaining / 2, kMinWaitPart));
}

// Waits until one of `events` is ready. The limit is a point in time, so that an interrupted wait keeps its
// limit.
IoResult wait_for_events(int fd, short events, TimePoint limit) {
  for (Backoff backoff(limit);;) {
    const TimePoint::duration remaining = limit - TimePoint::clock::now();
    if (remaining <= TimePoint::duration::zero()) return IoResult::late;
    const std::chrono::nanoseconds part = next_wait_part(remaining);
    timespec wait{static_cast<time_t>(part.count() / 1000000000),
                  static_cast<long>(part.count() % 1000000000)};
    pollfd polled{fd, events, 0};
    const int n = ::ppoll(&polled, 1, &wait, nullptr);
    if (n > 0) return IoResult::done;
    if (n == 0) continue;
    switch (classify_errno(errno)) {
      case ErrorClass::interrupted: break;
      case ErrorClass::not_ready:
      case ErrorClass::shortage:
        record_shortage("poll", errno);
        backoff.pause();
        break;
      case ErrorClass::other: return IoResult::broken;
    }
  }
}

// Waits as the error of a failed read or write requires. done: the caller repeats the call.
IoResult wait_before_retry(std::string_view call, int error, int fd, short events, TimePoint limit,
                           Backoff& backoff) {
  switch (classify_errno(error)) {
    case ErrorClass::interrupted: return IoResult::done;
    case ErrorClass::not_ready: return wait_for_events(fd, events, limit);
    case ErrorClass::shortage:
      record_shortage(call, error);
      return backoff.pause() ? IoResult::done : IoResult::late;
    case ErrorClass::other: break;
  }
  return IoResult::broken;
}

// Records a check that found nothing. Returns the time until which to wait before the next check.
TimePoint record_empty_check(core::ArrivalEstimate& arrival, TimePoint limit) {
  const TimePoint now = TimePoint::clock::now();
  arrival.found_no_bytes(now);
  return std::min(limit, now + core::ArrivalEstimate::kCheckInterval);
}

// Whether more than `reported` bytes are unread, where `reported` is less than kMaxPeekedBytes. True also if
// the peek fails.
bool has_more_than(int fd, std::size_t reported) {
  char bytes[kMaxPeekedBytes];
  const ssize_t n = ::recv(fd, bytes, reported + 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 ? classify_errno(errno) != ErrorClass::not_ready : static_cast<std::size_t>(n) > reported;
}

const sockaddr* as_sockaddr(const sockaddr_in& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

}  // namespace

void Fd::reset() {
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

sockaddr_in parse_address(std::string_view text) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) throw Malformed("no port in address '" + std::string(text) + "'");
  const std::string host(text.substr(0, colon));
  const std::int64_t port = parse_integer(text.substr(colon + 1), "port");
  if (::inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1 || port < 0 || port > 65535)
    throw Malformed("not an IPv4 address with a port: '" + std::string(text) + "'");
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

std::string address_text(const sockaddr_in& address) {
  char host[INET_ADDRSTRLEN] = "";
  ::inet_ntop(AF_INET, &address.sin_addr, host, sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(address.sin_port));
}

std::uint64_t pack_address(const sockaddr_in& address) {
  return (static_cast<std::uint64_t>(address.sin_addr.s_addr) << 16) | address.sin_port;
}

sockaddr_in unpack_address(std::uint64_t number) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = static_cast<in_addr_t>(number >> 16);
  address.sin_port = static_cast<in_port_t>(number);
  return address;
}

namespace {

// Without TCP_NODELAY the system may hold back the end of an answer, which is lost if the connection is reset
// right after that.
void disable_send_delay(const Fd& fd) {
  const int on = 1;
  const auto set_option = [&] {
    return ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on) == 0;
  };
  if (fd) retry_on_shortage("setsockopt", set_option, kSocketRetryTime);
}

}  // namespace

Fd new_socket() {
  Fd fd;
  retry_on_shortage(
      "socket", [&] { return static_cast<bool>(fd = Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))); },
      kSocketRetryTime);
  disable_send_delay(fd);
  return fd;
}

void set_socket_buffers(int fd, int size) {
  for (const int option : {SO_RCVBUF, SO_SNDBUF}) ::setsockopt(fd, SOL_SOCKET, option, &size, sizeof size);
}

Fd new_event_fd() {
  Fd fd;
  if (!retry_on_shortage(
          "eventfd", [&] { return static_cast<bool>(fd = Fd(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))); }))
    throw std::system_error(errno, std::generic_category(), "can't create an eventfd");
  return fd;
}

void signal_event(const Fd& event) {
  const std::uint64_t increment = 1;
  while (::write(event.get(), &increment, sizeof increment) < 0 && errno == EINTR) {
  }
}

void clear_event(const Fd& event) {
  std::uint64_t count = 0;
  while (::read(event.get(), &count, sizeof count) < 0 && errno == EINTR) {
  }
}

Fd new_epoll_fd() {
  Fd fd;
  if (!retry_on_shortage("epoll_create1",
                         [&] { return static_cast<bool>(fd = Fd(::epoll_create1(EPOLL_CLOEXEC))); }))
    throw std::system_error(errno, std::generic_category(), "can't create an epoll descriptor");
  return fd;
}

AcceptResult accept_connection(int listener) {
  Fd fd(::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC));
  if (fd) {
    disable_send_delay(fd);
    return {AcceptOutcome::accepted, std::move(fd), 0};
  }
  const int error = errno;
  switch (classify_errno(error)) {
    case ErrorClass::interrupted: return {AcceptOutcome::again, Fd(), error};
    case ErrorClass::not_ready: return {AcceptOutcome::none, Fd(), error};
    case ErrorClass::shortage: return {AcceptOutcome::shortage, Fd(), error};
    case ErrorClass::other: break;
  }
  // accept4() also reports network errors of the queued connection. They say nothing about the next
  // connection.
  const bool unusable = error == EBADF || error == EINVAL || error == ENOTSOCK || error == EFAULT;
  return {unusable ? AcceptOutcome::broken : AcceptOutcome::again, Fd(), error};
}

Fd listen_on(const sockaddr_in& address) {
  const auto try_once = [&address]() -> Fd {
    Fd fd = new_socket();
    const int on = 1;
    const bool listens = fd && ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0 &&
                         ::bind(fd.get(), as_sockaddr(address), sizeof address) == 0 &&
                         ::listen(fd.get(), 1024) == 0 &&
                         // Non-blocking: another process may accept a connection first.
                         ::fcntl(fd.get(), F_SETFL, O_NONBLOCK) == 0;
    return listens ? std::move(fd) : Fd();
  };
  Fd fd;
  // A process that was killed a moment ago may still hold the address.
  Backoff address_backoff(TimePoint::clock::now() + kAddressRetryTime);
  const auto listens = [&] {
    return retry_on_shortage("listen", [&] { return static_cast<bool>(fd = try_once()); });
  };
  while (!listens()) {
    const int error = errno;
    if (error != EADDRINUSE || !address_backoff.pause())
      throw std::system_error(error, std::generic_category(), "can't listen on " + address_text(address));
  }
  return fd;
}

Fd inherited_listener(int fd, const sockaddr_in& address) {
  int is_listening = 0;
  socklen_t size = sizeof is_listening;
  if (::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &is_listening, &size) != 0 || is_listening == 0)
    throw Malformed("descriptor " + std::to_string(fd) + " is no listening socket");
  sockaddr_in actual{};
  size = sizeof actual;
  if (::getsockname(fd, reinterpret_cast<sockaddr*>(&actual), &size) != 0 || actual.sin_family != AF_INET ||
      actual.sin_port != address.sin_port || actual.sin_addr.s_addr != address.sin_addr.s_addr)
    throw Malformed("descriptor " + std::to_string(fd) + " listens on " + address_text(actual) + ", not on " +
                    address_text(address));
  // Two processes accept on this socket. When the other one is quicker, this one must not block.
  if (::fcntl(fd, F_SETFD, FD_CLOEXEC) != 0 || ::fcntl(fd, F_SETFL, O_NONBLOCK) != 0)
    throw std::system_error(errno, std::generic_category(), "can't use descriptor " + std::to_string(fd));
  return Fd(fd);
}

namespace {

enum class ConnectState { connected, in_progress, resource_shortage, no_route, unreachable };

// One call of connect(). A shortage on this machine says nothing about the peer.
ConnectState try_connect(int fd, const sockaddr_in& address) {
  if (::connect(fd, as_sockaddr(address), sizeof address) == 0) return ConnectState::connected;
  const int error = errno;
  if (error == EISCONN) return ConnectState::connected;
  // An interrupted connect() continues in the background, like one that is in progress.
  if (error == EINPROGRESS || error == EALREADY || error == EINTR) return ConnectState::in_progress;
  if (error == EAGAIN || error == EADDRNOTAVAIL || classify_errno(error) == ErrorClass::shortage) {
    record_shortage("connect", error);
    return ConnectState::resource_shortage;
  }
  return error == ENETUNREACH ? ConnectState::no_route : ConnectState::unreachable;
}

// Waits until a connection that is in progress is established or has failed.
IoResult wait_until_connected(int fd, TimePoint limit) {
  if (const IoResult io = wait_for_events(fd, POLLOUT, limit); io != IoResult::done) return io;
  int error = 0;
  socklen_t size = sizeof error;
  if (::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) return IoResult::broken;
  sockaddr_in peer{};
  size = sizeof peer;
  // The shutdown of a cancelled hand-off ends the wait with no error set: the socket is connected only if it
  // has a peer.
  return ::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) == 0 ? IoResult::done
                                                                           : IoResult::broken;
}

IoResult connect_until(int fd, const sockaddr_in& address, TimePoint limit) {
  Backoff backoff(limit), route_backoff(std::min(limit, TimePoint::clock::now() + kRouteRetryTime));
  for (;;) {
    switch (try_connect(fd, address)) {
      case ConnectState::connected: return IoResult::done;
      case ConnectState::in_progress: return wait_until_connected(fd, limit);
      case ConnectState::unreachable: return IoResult::broken;
      case ConnectState::resource_shortage:
        if (!backoff.pause()) return IoResult::resource_shortage;
        break;
      case ConnectState::no_route:
        if (!route_backoff.pause()) return IoResult::broken;
        break;
    }
  }
}

}  // namespace

IoResult connect_to(int fd, const sockaddr_in& address, TimePoint limit) {
  // The socket is non-blocking for this call only: a blocking connect() may last for minutes.
  const int flags = ::fcntl(fd, F_GETFL);
  ::fcntl(fd, F_SETFL, flags | O_NONBLOCK);
  const IoResult io = connect_until(fd, address, limit);
  ::fcntl(fd, F_SETFL, flags);
  return io;
}

IoResult wait_readable(int fd, TimePoint limit) { return wait_for_events(fd, POLLIN, limit); }

IoResult read_some(int fd, std::string& into, TimePoint limit, core::ArrivalEstimate* arrival) {
  char bytes[8192];
  for (Backoff backoff(limit);;) {
    // Reads before it waits: the bytes have often arrived already, as they have for most requests of a burst.
    const ssize_t n = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
    if (n > 0) {
      if (arrival != nullptr) arrival->found_bytes(TimePoint::clock::now());
      into.append(bytes, static_cast<std::size_t>(n));
      return IoResult::done;
    }
    if (n == 0) return IoResult::ended;
    const int error = errno;
    const bool is_empty = classify_errno(error) == ErrorClass::not_ready;
    if (is_empty && arrival != nullptr && !polls_unreadable(fd)) {
      // Bytes have arrived meanwhile, or one of the two calls is wrong: this does not count as a check.
      if (!backoff.pause()) return IoResult::late;
      continue;
    }
    const bool is_empty_check = is_empty && arrival != nullptr;
    const TimePoint wait_until = is_empty_check ? record_empty_check(*arrival, limit) : limit;
    const IoResult io = wait_before_retry("recv", error, fd, POLLIN, wait_until, backoff);
    if (io == IoResult::late && wait_until < limit) continue;
    if (io != IoResult::done) return io;
  }
}

IoResult write_all(int fd, std::string_view bytes, TimePoint limit) {
  Backoff backoff(limit);
  while (!bytes.empty()) {
    // send() itself must not block: the peer may have stopped reading.
    const ssize_t n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n >= 0) bytes.remove_prefix(static_cast<std::size_t>(n));
    else if (const IoResult io = wait_before_retry("send", errno, fd, POLLOUT, limit, backoff);
             io != IoResult::done)
      return io;
  }
  return IoResult::done;
}

// Repeats the call after each interval, whatever poll() says: POLLOUT is reported only once a large part of
// the send buffer is free again.
IoResult write_all(int fd, std::string_view bytes, const WriteLimit& limit) {
  int interrupted_calls = 0;
  for (std::size_t accepted_bytes = 0; accepted_bytes < bytes.size();) {
    const std::string_view rest = bytes.substr(accepted_bytes);
    const ssize_t n = ::send(fd, rest.data(), rest.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    const int error = errno;
    if (n >= 0) {
      accepted_bytes += static_cast<std::size_t>(n);
      continue;
    }
    // Says nothing about the peer: it may accept the bytes though the limit has passed.
    if (classify_errno(error) == ErrorClass::interrupted && ++interrupted_calls < kMaxInterruptedCalls)
      continue;
    const TimePoint now = TimePoint::clock::now();
    const TimePoint write_by = limit(accepted_bytes);
    if (now >= write_by) return IoResult::late;
    Backoff backoff(write_by);
    const IoResult io =
        wait_before_retry("send", error, fd, POLLOUT, std::min(write_by, now + kWriteLimitInterval), backoff);
    if (io != IoResult::done && io != IoResult::late) return io;
  }
  return IoResult::done;
}

IoResult write_head_and_body(int fd, std::string head, std::string_view body, const WriteLimit& limit) {
  constexpr std::size_t kMaxCopiedBody = 4096;
  if (body.size() <= kMaxCopiedBody) head += std::exchange(body, {});
  const IoResult io = write_all(fd, head, limit);
  return io == IoResult::done ? write_all(fd, body, limit) : io;
}

void acknowledge_now(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_QUICKACK, &on, sizeof on);
}

PeekResult peek_socket(int fd) {
  for (int tries = 0; tries < kMaxInterruptedCalls; ++tries) {
    char byte = 0;
    const ssize_t n = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0) return PeekResult::bytes;
    if (n == 0) return PeekResult::ended;
    const int error = errno;
    switch (classify_errno(error)) {
      case ErrorClass::interrupted: break;
      case ErrorClass::not_ready: return PeekResult::none;
      case ErrorClass::shortage: record_shortage("recv", error); return PeekResult::unknown;
      case ErrorClass::other: return PeekResult::broken;
    }
  }
  return PeekResult::unknown;
}

bool polls_unreadable(int fd) {
  pollfd polled{fd, POLLIN, 0};
  return ::poll(&polled, 1, 0) == 0;
}

bool polls_readable(int fd) {
  pollfd polled{fd, POLLIN, 0};
  return ::poll(&polled, 1, 0) > 0 && (polled.revents & POLLIN) != 0;
}

bool is_open_and_empty(int fd) { return peek_socket(fd) == PeekResult::none && polls_unreadable(fd); }

IoResult discard_unread(int fd, std::size_t& discarded) {
  for (int tries = 0; tries < kMaxInterruptedCalls; ++tries) {
    // With MSG_TRUNC the system does not copy the bytes, so that discarding many of them costs little.
    const ssize_t n = ::recv(fd, nullptr, 1 << 20, MSG_TRUNC | MSG_DONTWAIT);
    if (n > 0) {
      discarded += static_cast<std::size_t>(n);
      return IoResult::done;
    }
    if (n == 0) return IoResult::ended;
    const ErrorClass failure = classify_errno(errno);
    if (failure == ErrorClass::other) return IoResult::broken;
    if (failure != ErrorClass::interrupted) break;
  }
  return IoResult::late;
}

std::optional<std::chrono::milliseconds> time_since_last_receive(int fd) {
  tcp_info info{};
  socklen_t size = sizeof info;
  // A round-trip time of 0 means that the system measures nothing for this connection.
  if (::getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || info.tcpi_rtt == 0) return std::nullopt;
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

std::optional<std::size_t> unread_byte_count(int fd) {
  int reported = 0;
  if (::ioctl(fd, FIONREAD, &reported) != 0 || reported < 0) return std::nullopt;
  const auto unread = static_cast<std::size_t>(reported);
  return unread < kMaxPeekedBytes && has_more_than(fd, unread) ? std::nullopt : std::optional(unread);
}

bool is_reusable(int fd) { return peek_socket(fd) == PeekResult::none; }

bool peer_has_closed(int fd) {
  for (int tries = 0; tries < kMaxInterruptedCalls; ++tries) {
    pollfd polled{fd, POLLIN | POLLRDHUP, 0};
    const int n = ::poll(&polled, 1, 0);
    if (n == 0) return false;
    if (n > 0 && (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) return true;
    if (n > 0 || classify_errno(errno) != ErrorClass::interrupted) break;
  }
  // What is readable may be the close itself, if the system reports no half closes or poll() failed.
  const PeekResult unread = peek_socket(fd);
  return unread == PeekResult::ended || unread == PeekResult::broken;
}

bool set_epoll_events(int epoll_fd, int fd, std::uint32_t events, std::uint64_t data) {
  epoll_event event{};
  event.events = events;
  event.data.u64 = data;
  for (int tries = 0; tries < 10; ++tries) {
    if (::epoll_ctl(epoll_fd, EPOLL_CTL_ADD, fd, &event) == 0) return true;
    if (errno == EEXIST && ::epoll_ctl(epoll_fd, EPOLL_CTL_MOD, fd, &event) == 0) return true;
    record_shortage("epoll_ctl", errno);
  }
  return false;
}

void remove_from_epoll(int epoll_fd, int fd) {
  for (int tries = 0; tries < 10; ++tries)
    if (::epoll_ctl(epoll_fd, EPOLL_CTL_DEL, fd, nullptr) == 0 || errno == ENOENT) return;
}

int port_of(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  return ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0 ? ntohs(address.sin_port) : -1;
}

int peer_port_of(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  return ::getpeername(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0 ? ntohs(address.sin_port) : -1;
}

}  // namespace troutstage::net
