// Blocking TCP sockets on which every wait has a limit.
#pragma once

#include <netinet/in.h>
#include <pthread.h>

#include <chrono>
#include <string>
#include <string_view>
#include <utility>

namespace troutstage::net {

using Moment = std::chrono::steady_clock::time_point;

// Owns a descriptor. Only the owner closes it; others may at most shut its connection down.
class Fd {
 public:
  Fd() = default;
  explicit Fd(int fd) : fd_(fd) {}
  Fd(Fd&& o) noexcept : fd_(std::exchange(o.fd_, -1)) {}
  Fd& operator=(Fd&& o) noexcept {
    if (this != &o) reset(), fd_ = std::exchange(o.fd_, -1);
    return *this;
  }
  ~Fd() { reset(); }
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  void reset();

 private:
  int fd_ = -1;
};

sockaddr_in parse_address(std::string_view text);  // ADDRESS:PORT; throws Malformed
std::string address_text(const sockaddr_in& address);

Fd listen_on(const sockaddr_in& address);  // throws std::system_error
// A listener that this process was started with. Throws Malformed where it is none, or listens elsewhere.
Fd inherited_listener(int fd, const sockaddr_in& address);
Fd accept_from(int listener);  // with no delay of small writes, whoever opened the listener; empty: errno tells why
Fd new_socket();  // with no delay of small writes; empty where there is none to be had

enum class Io { done, ended, broken, late };  // ended: the other side closes

Io connect_to(int fd, const sockaddr_in& address, Moment limit);
Io wait_readable(int fd, Moment limit);
Io read_some(int fd, std::string& into, Moment limit);  // appends what there is, once there is something
Io write_all(int fd, std::string_view bytes, Moment limit);
// A large body is not copied behind its head: a full node would hold all of them twice.
Io write_both(int fd, std::string head, std::string_view body, Moment limit);
bool holds_bytes(int fd);        // something has come that nobody has read yet
std::size_t throw_away(int fd);  // some of that, without looking at it; 0: there was none
bool still_quiet(int fd);        // open, and nothing has come: a connection that may be used again
bool peer_has_closed(int fd);    // or reset it; also where what it sent before is unread still
int port_of(int fd);

}  // namespace troutstage::net
