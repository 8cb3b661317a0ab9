#include "net/socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

#include "core/settings.h"

namespace troutstage::net {
namespace {

// Waits till `events` are there. The limit is a point in time, so a wait that is interrupted goes on to it.
Io wait_for(int fd, short events, Moment limit) {
  for (;;) {
    const auto left = std::chrono::duration_cast<std::chrono::nanoseconds>(limit - Moment::clock::now());
    if (left.count() <= 0) return Io::late;
    timespec wait{static_cast<time_t>(left.count() / 1000000000),
                  static_cast<long>(left.count() % 1000000000)};
    pollfd p{fd, events, 0};
    const int n = ::ppoll(&p, 1, &wait, nullptr);
    if (n > 0) return Io::done;
    if (n == 0) return Io::late;
    if (errno != EINTR) return Io::broken;
  }
}

const sockaddr* plain(const sockaddr_in& address) { return reinterpret_cast<const sockaddr*>(&address); }

}  // namespace

void Fd::reset() {
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

sockaddr_in parse_address(std::string_view text) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) throw Malformed("no port in address '" + std::string(text) + "'");
  const std::string host(text.substr(0, colon));
  const std::int64_t port = whole_number(text.substr(colon + 1), "port");
  if (::inet_pton(AF_INET, host.c_str(), &a.sin_addr) != 1 || port < 0 || port > 65535)
    throw Malformed("no address: '" + std::string(text) + "'");
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  return a;
}

std::string address_text(const sockaddr_in& address) {
  char host[INET_ADDRSTRLEN] = "";
  ::inet_ntop(AF_INET, &address.sin_addr, host, sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(address.sin_port));
}

namespace {

// What the system held back of an answer is lost where the connection is reset right after it.
void send_at_once(const Fd& fd) {
  const int on = 1;
  if (fd) ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

Fd new_socket() {
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  send_at_once(fd);
  return fd;
}

Fd accept_from(int listener) {
  Fd fd(::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC));
  send_at_once(fd);
  return fd;
}

Fd listen_on(const sockaddr_in& address) {
  Fd fd = new_socket();
  const int on = 1;
  if (!fd || ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
      ::bind(fd.get(), plain(address), sizeof address) != 0 || ::listen(fd.get(), 1024) != 0 ||
      ::fcntl(fd.get(), F_SETFL, O_NONBLOCK) != 0)  // another may take what was there to accept
    throw std::system_error(errno, std::generic_category(), "can't listen on " + address_text(address));
  return fd;
}

Fd inherited_listener(int fd, const sockaddr_in& address) {
  int listens = 0;
  socklen_t size = sizeof listens;
  if (::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0 || listens == 0)
    throw Malformed("descriptor " + std::to_string(fd) + " is no listening socket");
  sockaddr_in there{};
  size = sizeof there;
  if (::getsockname(fd, reinterpret_cast<sockaddr*>(&there), &size) != 0 || there.sin_family != AF_INET ||
      there.sin_port != address.sin_port || there.sin_addr.s_addr != address.sin_addr.s_addr)
    throw Malformed("descriptor " + std::to_string(fd) + " listens on " + address_text(there) + ", not on " +
                    address_text(address));
  // Two accept on it: one may find that the other was quicker, and must not wait then.
  if (::fcntl(fd, F_SETFD, FD_CLOEXEC) != 0 || ::fcntl(fd, F_SETFL, O_NONBLOCK) != 0)
    throw std::system_error(errno, std::generic_category(), "can't use descriptor " + std::to_string(fd));
  return Fd(fd);
}

Io connect_to(int fd, const sockaddr_in& address, Moment limit) {
  // The socket blocks but for this one call, which the system would let last for minutes.
  const int flags = ::fcntl(fd, F_GETFL);
  ::fcntl(fd, F_SETFL, flags | O_NONBLOCK);
  Io io = Io::done;
  if (::connect(fd, plain(address), sizeof address) != 0) {
    io = errno == EINPROGRESS ? wait_for(fd, POLLOUT, limit) : Io::broken;
    int error = 0;
    socklen_t size = sizeof error;
    if (io == Io::done && (::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0))
      io = Io::broken;
    sockaddr_in peer{};
    size = sizeof peer;
    // A recall's shutdown ends the wait with no error set: it is connected only if there is another side.
    if (io == Io::done && ::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) != 0) io = Io::broken;
  }
  ::fcntl(fd, F_SETFL, flags);
  return io;
}

Io wait_readable(int fd, Moment limit) { return wait_for(fd, POLLIN, limit); }

Io read_some(int fd, std::string& into, Moment limit) {
  char bytes[8192];
  for (;;) {
    // Looked at first: what is waited for is often there already, and a storm is made of such requests.
    const ssize_t n = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
    if (n > 0) return into.append(bytes, static_cast<std::size_t>(n)), Io::done;
    if (n == 0) return Io::ended;
    if (errno == EAGAIN || errno == EWOULDBLOCK) {
      if (const Io io = wait_readable(fd, limit); io != Io::done) return io;
    } else if (errno != EINTR) {
      return Io::broken;
    }
  }
}

Io write_all(int fd, std::string_view bytes, Moment limit) {
  while (!bytes.empty()) {
    // Never blocks in the call itself: the other side may have stopped reading.
    const ssize_t n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n >= 0) {
      bytes.remove_prefix(static_cast<std::size_t>(n));
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      if (const Io io = wait_for(fd, POLLOUT, limit); io != Io::done) return io;
    } else if (errno != EINTR) {
      return Io::broken;
    }
  }
  return Io::done;
}

Io write_both(int fd, std::string head, std::string_view body, Moment limit) {
  constexpr std::size_t kOnePiece = 4096;
  if (body.size() <= kOnePiece) head += std::exchange(body, {});
  const Io io = write_all(fd, head, limit);
  return io == Io::done ? write_all(fd, body, limit) : io;
}

bool holds_bytes(int fd) {
  char byte = 0;
  return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

std::size_t throw_away(int fd) {
  // Truncated, the bytes are not even copied: what is sent in bulk costs little.
  const ssize_t n = ::recv(fd, nullptr, 1 << 20, MSG_TRUNC | MSG_DONTWAIT);
  return n > 0 ? static_cast<std::size_t>(n) : 0;
}

bool still_quiet(int fd) {
  char byte = 0;
  return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool peer_has_closed(int fd) {
  pollfd p{fd, POLLRDHUP, 0};
  return ::poll(&p, 1, 0) > 0 && (p.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

int port_of(int fd) {
  sockaddr_in a{};
  socklen_t size = sizeof a;
  return ::getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size) == 0 ? ntohs(a.sin_port) : -1;
}

}  // namespace troutstage::net
