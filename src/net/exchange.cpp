#include "net/exchange.h"

#include <algorithm>

namespace troutstage::net {
namespace {

constexpr std::chrono::milliseconds kStall{250};  // an answer that has begun goes on sooner than this

std::uint64_t number_of(const sockaddr_in& a) {
  return (static_cast<std::uint64_t>(a.sin_addr.s_addr) << 16) | a.sin_port;
}

}  // namespace

Ended Exchange::run(const Request& request, const Target& target, Moment until) {
  const Ended ended = over(request, target, until);
  if (!shutter_.is_shut() || ended == Ended::answered) return ended;
  // A shutdown looks like a broken connection. Whether the last byte had gone is known all the same.
  const bool unsent =
      ended == Ended::not_connected || ended == Ended::cut_before_sent || ended == Ended::recalled_unsent;
  return unsent ? Ended::recalled_unsent : ended == Ended::no_room ? ended : Ended::recalled;
}

Ended Exchange::over(const Request& request, const Target& target, Moment until) {
  const std::uint64_t address = number_of(target.address);
  std::optional<Pool::Connection> connection = pool_.idle(target.life, address);
  const bool open = connection.has_value();
  if (!open) {
    auto fresh = pool_.fresh();
    if (!fresh) return Ended::no_room;
    connection.emplace(std::move(*fresh));
  }
  bool use_again = false;
  const Ended ended = talk(connection->fd(), open, request, target, until, use_again);
  if (use_again) pool_.give_back(target.life, address, std::move(*connection));
  return ended;
}

Ended Exchange::talk(int fd, bool open, const Request& request, const Target& target, Moment until,
                     bool& use_again) {
  const Shutter::Hold hold(shutter_, fd);
  if (shutter_.is_shut()) return Ended::recalled_unsent;
  if (!open) {
    const Moment limit = std::min(until, Moment::clock::now() + connect_limit_);
    if (connect_to(fd, target.address, limit) != Io::done) return Ended::not_connected;
    ++counters_.connections_opened;
  }
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(until - Moment::clock::now()).count();
  // Before the last byte is written it has never run, after that it may have: nothing here sends it again.
  if (left <= 0 || shutter_.is_shut() ||
      write_both(fd, request_head(request, left), request.body, until) != Io::done)
    return Ended::cut_before_sent;
  ++counters_.written;
  Reader in(fd, kStall);
  switch (read_response(in, until, answer_)) {
    case Got::whole: break;
    case Got::nothing: return Ended::cut_after_sent;
    case Got::cut: return Ended::answer_cut;
    case Got::late: return Ended::timed_out;
    case Got::stalled: return Ended::answer_stalled;
    case Got::malformed:
    case Got::too_large: return Ended::answer_malformed;
  }
  // Bytes beyond the answer belong to nothing that was asked for: such a connection is not used again.
  use_again = answer_.keep_alive && !in.holds_bytes() && !shutter_.is_shut();
  if (answer_.turned_away) return Ended::turned_away;
  return answer_.status == 200 ? Ended::answered : Ended::answered_error;
}

}  // namespace troutstage::net
