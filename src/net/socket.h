// TCP sockets with a time limit on every wait, and the eventfd and epoll descriptors that wake threads.
//
// The functions may be called from any thread. The caller makes sure that the descriptor stays open during
// the call.
#pragma once

#include <netinet/in.h>
#include <pthread.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "core/arrival_estimate.h"
#include "net/failures.h"

namespace troutstage::net {

// Owns a descriptor and closes it. Code that only knows its number may shut the connection down, but not
// close it.
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

sockaddr_in parse_address(std::string_view text);  // IPv4 ADDRESS:PORT; throws Malformed
std::string address_text(const sockaddr_in& address);
// Packs an address and its port into 64 bits; unpack_address() reverses this.
std::uint64_t pack_address(const sockaddr_in& address);
sockaddr_in unpack_address(std::uint64_t number);

// Opens a non-blocking listener. Waits up to 3 s through a shortage, and up to 1 s for an address that a
// process which has just ended still holds. Throws std::system_error.
Fd listen_on(const sockaddr_in& address);
// Takes over a listener that this process was started with, and makes it non-blocking. Throws Malformed if
// `fd` is no listening socket or listens on another address, and std::system_error if its flags can't be set.
Fd inherited_listener(int fd, const sockaddr_in& address);
// A socket with TCP_NODELAY. Retries through a shortage for up to 15 ms; empty if the system creates no
// socket.
Fd new_socket();
// The system uses up to this many bytes for both buffers of a connection, for each unit of the option's
// value.
inline constexpr std::size_t kSocketBytesPerOptionUnit = 4;
// Limits the receive and the send buffer of a connection that is not established yet, or of all connections
// that a listener accepts. Without such a limit the system lets each grow to several megabytes. A failure is
// ignored: the system's own limits hold then.
void set_socket_buffers(int fd, int size);
// A non-blocking eventfd for waking a thread. Throws std::system_error.
Fd new_event_fd();
void signal_event(const Fd& event);  // makes `event` readable until clear_event()
void clear_event(const Fd& event);
Fd new_epoll_fd();  // an epoll descriptor; throws std::system_error

// What one accept call came to.
enum class AcceptOutcome {
  accepted,
  none,      // the accept queue is empty
  again,     // the call was interrupted, or a connection failed before it was accepted: others may be queued
  shortage,  // no descriptor or memory: the connections stay in the queue
  broken     // the listener can't be used
};
// The result of one accept call.
struct AcceptResult {
  AcceptOutcome what = AcceptOutcome::none;
  Fd fd;          // if accepted, with TCP_NODELAY, whichever process opened the listener
  int error = 0;  // errno, if not accepted
};
// Makes one accept call on a listener.
AcceptResult accept_connection(int listener);

// ended: the peer has closed; broken: the connection failed; late: the limit was reached; resource_shortage:
// this machine had no port, buffer or memory until the limit.
enum class IoResult { done, ended, broken, late, resource_shortage };

// Connects `fd`. Repeats the call through shortages until `limit`, and for up to 20 ms if the network is
// unreachable.
IoResult connect_to(int fd, const sockaddr_in& address, TimePoint limit);
// Waits until there is something to read or accept; done also if the peer has closed.
IoResult wait_readable(int fd, TimePoint limit);
// Appends the bytes that have arrived to `into`; waits if there are none. Each check of the socket is
// recorded in `arrival`, if given.
IoResult read_some(int fd, std::string& into, TimePoint limit, core::ArrivalEstimate* arrival = nullptr);
// Writes all bytes, or fails.
IoResult write_all(int fd, std::string_view bytes, TimePoint limit);
// A time limit that may change while a write waits for the peer. Gets how many bytes of this write the system
// has accepted.
using WriteLimit = std::function<TimePoint(std::size_t accepted_bytes)>;
// The same with a changing limit: `limit` is called before each wait, and during a wait at short intervals.
IoResult write_all(int fd, std::string_view bytes, const WriteLimit& limit);
// Writes head and body. A body over 4096 bytes is not copied behind its head, because a node with many
// clients would hold every such body twice.
IoResult write_head_and_body(int fd, std::string head, std::string_view body, const WriteLimit& limit);
// Acknowledges at once what has arrived, where the system would wait for more. A peer that leaves TCP_NODELAY
// off holds its next small write back until then. A failure is ignored.
void acknowledge_now(int fd);
// What a peek at the unread bytes found. unknown: the peek failed and says nothing about the connection.
enum class PeekResult { none, bytes, ended, broken, unknown };
PeekResult peek_socket(int fd);  // does not block
// Whether poll() says that there is nothing to read or to accept. A single call that finds nothing may be
// wrong, so callers ask this after a read, peek or accept that found nothing. Does not block; false also if
// poll() fails.
bool polls_unreadable(int fd);
// Whether poll() says that there is something to read or to accept. Does not block; false also if poll()
// fails.
bool polls_readable(int fd);
// Whether peek_socket() and polls_unreadable() agree that the connection is open and nothing is unread.
bool is_open_and_empty(int fd);
// Discards up to 1 MiB of unread bytes without blocking, and adds their number to `discarded`. late: nothing
// was unread, and the connection is not known to be closed.
IoResult discard_unread(int fd, std::size_t& discarded);
// Time since the last bytes arrived, read or unread, as TCP_INFO reports it; nothing if it reports none. Some
// systems report wrong times: see net/system_times.h.
std::optional<std::chrono::milliseconds> time_since_last_receive(int fd);
// Number of bytes that have arrived and are unread; nothing if the system does not report the number, or if
// a peek finds more bytes or fails. Numbers from 4096 on are not verified by a peek.
std::optional<std::size_t> unread_byte_count(int fd);
// Whether a peek finds the connection open and nothing unread, so that the connection may be used again.
bool is_reusable(int fd);
// Whether the peer has closed or reset the connection, even if bytes that the peer sent before are still
// unread.
bool peer_has_closed(int fd);
// Adds a socket to an epoll descriptor, or changes its events and data. False: the socket is not monitored.
bool set_epoll_events(int epoll_fd, int fd, std::uint32_t events, std::uint64_t data);
void remove_from_epoll(int epoll_fd, int fd);
// The local port; -1 on an error.
int port_of(int fd);
// The port of the peer; -1 on an error.
int peer_port_of(int fd);

}  // namespace troutstage::net
