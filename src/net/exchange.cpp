#include "net/exchange.h"

#include <sys/socket.h>

#include <algorithm>

namespace troutstage::net {
namespace {

std::uint64_t number_of(const sockaddr_in& a) {
  return (static_cast<std::uint64_t>(a.sin_addr.s_addr) << 16) | a.sin_port;
}

}  // namespace

Ended Exchange::run(const Request& request, const Target& target, Moment until) {
  const Ended ended = over(request, target, until);
  if (!recalled() || ended == Ended::answered) return ended;
  // A shutdown looks like a broken connection. Whether the last byte had gone is known all the same.
  const bool unsent =
      ended == Ended::not_connected || ended == Ended::cut_before_sent || ended == Ended::recalled_unsent;
  return unsent ? Ended::recalled_unsent : ended == Ended::no_room ? ended : Ended::recalled;
}

Ended Exchange::over(const Request& request, const Target& target, Moment until) {
  const std::uint64_t address = number_of(target.address);
  std::optional<Pool::Connection> connection = pool_.idle(target.backend, address);
  if (!connection) {
    auto fresh = pool_.fresh();
    if (!fresh) return Ended::no_room;
    connection.emplace(std::move(*fresh));
    if (!hold(connection->fd())) return Ended::recalled_unsent;
    const Io io =
        connect_to(connection->fd(), target.address, std::min(until, Moment::clock::now() + connect_limit_));
    if (io != Io::done) return hold(-1), Ended::not_connected;
    ++counters_.connections_opened;
  } else if (!hold(connection->fd())) {
    return Ended::recalled_unsent;
  }
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(until - Moment::clock::now()).count();
  // Before the last byte is written it has never run, after that it may have: nothing here sends it again.
  if (left <= 0 || recalled() || write_all(connection->fd(), request_bytes(request, left), until) != Io::done)
    return hold(-1), Ended::cut_before_sent;
  Reader in(connection->fd());
  const Got got = read_response(in, until, answer_);
  hold(-1);
  switch (got) {
    case Got::whole: break;
    case Got::nothing: return Ended::cut_after_sent;
    case Got::cut: return Ended::answer_cut;
    case Got::late: return Ended::timed_out;
    case Got::malformed:
    case Got::too_large: return Ended::answer_malformed;
  }
  // Bytes beyond the answer belong to nothing that was asked for: such a connection is not used again.
  if (answer_.keep_alive && !in.holds_bytes() && !recalled())
    pool_.give_back(target.backend, address, std::move(*connection));
  if (answer_.turned_away) return Ended::turned_away;
  return answer_.status == 200 ? Ended::answered : Ended::answered_error;
}

void Exchange::recall() {
  std::lock_guard held(lock_);
  recalled_ = true;
  if (fd_ >= 0) ::shutdown(fd_, SHUT_RDWR);
}

bool Exchange::hold(int fd) {
  std::lock_guard held(lock_);
  fd_ = fd;
  return !recalled_;
}

bool Exchange::recalled() {
  std::lock_guard held(lock_);
  return recalled_;
}

}  // namespace troutstage::net
