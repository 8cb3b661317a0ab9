// Blocking TCP sockets on which every wait has a limit.
#pragma once

#include <netinet/in.h>
#include <pthread.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "core/arrival_estimate.h"
#include "net/failures.h"

namespace troutstage::net {

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
std::uint64_t pack_address(const sockaddr_in& address);  // of an address and its port, and back
sockaddr_in unpack_address(std::uint64_t number);

// Throws std::system_error. A shortage, and an address that a process which has just ended still holds, are
// waited for.
Fd listen_on(const sockaddr_in& address);
// A listener that this process was started with. Throws Malformed where it is none, or listens elsewhere.
Fd inherited_listener(int fd, const sockaddr_in& address);
Fd new_socket();  // with no delay of small writes; empty where there is none to be had, also after some
                  // milliseconds
Fd new_event_fd();   // an event descriptor for waking a thread; throws std::system_error
void signal_event(const Fd& event);  // until it is taken note of, it reads as ready
void clear_event(const Fd& event);
Fd new_epoll_fd();  // an epoll descriptor; throws std::system_error

enum class AcceptOutcome {
  accepted,
  none,      // nothing is there to accept
  again,     // the call was interrupted, or one connection broke before it could be accepted: there may be
             // others
  shortage,  // of descriptors or memory: the connections stay in the queue
  broken     // the listener can't be used
};
struct AcceptResult {
  AcceptOutcome what = AcceptOutcome::none;
  Fd fd;          // where it was taken, with no delay of small writes, whoever opened the listener
  int error = 0;  // where it was not
};
AcceptResult accept_connection(int listener);

// ended: the other side closes; short_of: this machine had no port, buffer or memory for it until the limit.
enum class IoResult { done, ended, broken, late, resource_shortage };

IoResult connect_to(int fd, const sockaddr_in& address, TimePoint limit);
IoResult wait_readable(int fd, TimePoint limit);
// Appends what there is, once there is something. Each look at the connection is noted in `arrival`, where it is given.
IoResult read_some(int fd, std::string& into, TimePoint limit, core::ArrivalEstimate* arrival = nullptr);
IoResult write_all(int fd, std::string_view bytes, TimePoint limit);
// A large body is not copied behind its head: a full node would hold all of them twice.
IoResult write_head_and_body(int fd, std::string head, std::string_view body, TimePoint limit);
// What stands at the head of what nobody has read. A look that fails is no answer.
enum class PeekResult { none, bytes, ended, broken, unknown };
PeekResult peek_socket(int fd);
// Whether nothing was there to read, or to accept, when this was called: what one call that found nothing says may be wrong,
// so a second one is asked. Does not block; false also where that fails.
bool polls_unreadable(int fd);
bool polls_readable(int fd);   // the opposite, with the same caution: false where the call fails
bool is_open_and_empty(int fd);  // look_at() and polls_as_empty() agree: nothing has come, and it is open
// Reads some of that without looking at it; `late`: there was none, and the connection is open.
IoResult discard_unread(int fd, std::size_t& thrown);
// How long ago the last bytes came, read or not, as the system says; nothing where it does not. What it says may be
// wrong: see net/system_times.h.
std::optional<std::chrono::milliseconds> time_since_last_receive(int fd);
// How many bytes have come on a connection and are unread; nothing where the system does not tell, or tells of fewer than
// are seen to be there.
std::optional<std::size_t> unread_byte_count(int fd);
bool is_reusable(int fd);      // surely open, and nothing has come: a connection that may be used again
bool peer_has_closed(int fd);  // or reset it; also where what it sent before is unread still
// Adds a socket to an epoll descriptor, or changes what is waited for on it. False: it is not watched.
bool set_epoll_events(int monitor_fd, int fd, std::uint32_t events, std::uint64_t data);
void remove_from_epoll(int monitor_fd, int fd);
int port_of(int fd);

}  // namespace troutstage::net
