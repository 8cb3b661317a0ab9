#include "net/exchange.h"

#include <algorithm>

#include "core/answer_hold.h"

namespace troutstage::net {
namespace {

constexpr std::chrono::milliseconds kStall{250};  // a short answer that has begun goes on sooner than this
constexpr std::size_t kMostHeld = 1 << 20;        // of a long answer before it goes on
constexpr std::chrono::milliseconds kTellEvery{20};
constexpr std::size_t kLargestPiece = 8 * 1024;   // that one read brings

// A thread that stood still for longer than this looks at its connection again before it writes.
constexpr std::chrono::milliseconds kLookHolds{1};

}  // namespace

Ended Exchange::run(const Request& request, const Target& target, Moment until, Flow* flow, const Begins& begins) {
  const Ended ended = over(request, target, until, flow, begins);
  if (ended != Ended::answered || rest_.whole()) finish();
  if (!shutter_.is_shut() || ended == Ended::answered) return ended;
  // A shutdown looks like a broken connection. Whether the last byte had gone is known all the same.
  const bool unsent = ended == Ended::not_connected || ended == Ended::cut_before_sent ||
                      ended == Ended::recalled_unsent || ended == Ended::source_broke || ended == Ended::withdrawn;
  return unsent ? Ended::recalled_unsent : ended == Ended::no_room ? ended : Ended::recalled;
}

Ended Exchange::over(const Request& request, const Target& target, Moment until, Flow* flow, const Begins& begins) {
  target_ = target;
  for (;;) {
    connection_ = pool_.idle(target.life, number_of(target.address));
    const bool open = connection_.has_value();
    const Moment looked_at = Moment::clock::now();
    if (!open) {
      auto fresh = pool_.fresh();
      if (!fresh) return Ended::no_room;
      connection_.emplace(std::move(*fresh));
    }
    if (const auto ended = talk(open, looked_at, request, target, until, flow, begins)) return *ended;
  }
}

// Bytes beyond the answer belong to nothing that was asked for: such a connection is not used again.
void Exchange::finish() {
  if (connection_ && in_ && read_ && rest_.whole() && answer_.keep_alive && !shutter_.is_shut()) {
    const std::uint64_t address = number_of(target_.address);
    if (in_->holds_bytes()) pool_.spoke_unasked(target_.life, address, {});
    else pool_.give_back(target_.life, address, std::move(*connection_));
  }
  connection_.reset();
  in_.reset();
}

// Whether an open connection still has nothing to read, right before a request goes out on it.
bool Exchange::is_still_quiet(int fd, Moment looked_at) {
  if (Moment::clock::now() - looked_at < kLookHolds) return true;
  const Unread unread = look_at(fd);
  if (unread == Unread::bytes) pool_.spoke_unasked(target_.life, number_of(target_.address), {});
  return unread == Unread::none;
}

std::optional<Ended> Exchange::talk(bool open, Moment looked_at, const Request& request, const Target& target, Moment until, Flow* flow, const Begins& begins) {
  const int fd = connection_->fd();
  const Shutter::Hold hold(shutter_, fd);
  if (shutter_.is_shut()) return Ended::recalled_unsent;
  if (!open) {
    const Moment limit = std::min({until, begins.by, Moment::clock::now() + connect_limit_});
    const Io io = connect_to(fd, target.address, limit);
    if (io == Io::short_of) return Ended::no_room;
    if (io != Io::done) return limit == begins.by ? Ended::withdrawn : Ended::not_connected;
    ++counters_.connections_opened;
  }
  // Decided on, it may have waited for a thread and a connection for longer than a drain or a window allows.
  if (!begins.holds()) return Ended::withdrawn;
  const auto left =
      flow != nullptr
          ? flow->remaining_ms
          : std::chrono::duration_cast<std::chrono::milliseconds>(until - Moment::clock::now()).count();
  // Before the last byte is written it has never run, after that it may have: nothing here sends it again.
  const std::string_view kept = request.body;
  const bool chunks = flow != nullptr && flow->rest->framing() == Framing::chunked;
  if (left <= 0 || shutter_.is_shut()) return Ended::cut_before_sent;
  if (open && !is_still_quiet(fd, looked_at)) return std::nullopt;
  first_byte_ = Moment::clock::now();
  const Moment written_by = std::min(until, begins.by);
  if ((chunks ? write_all(fd, request_head(request, left) + body_piece(*flow->rest, kept), written_by)
              : write_both(fd, request_head(request, left), kept, written_by)) != Io::done)
    return begins.holds() ? Ended::cut_before_sent : Ended::withdrawn;
  in_.emplace(fd, kStall);
  if (flow != nullptr) {
    Ended ended = Ended::cut_before_sent;
    if (!send_rest(fd, *flow, until, begins, ended)) return ended;
    until = std::min(until, flow->answer_by());
  }
  ++counters_.written;
  return read_answer(until, begins);
}

// False: it did not go out whole.
bool Exchange::send_rest(int fd, Flow& flow, Moment until, const Begins& begins, Ended& ended) {
  for (std::string piece; !flow.rest->whole(); piece.clear()) {
    flow.begun = true;
    if (flow.next(piece) != Got::whole) return ended = Ended::source_broke, false;
    if (flow.rest->whole()) until = std::min(until, flow.answer_by());
    // Its client's time is over before the backend has all of it, and so begins it.
    if (Moment::clock::now() >= until) return ended = Ended::withdrawn, false;
    if (shutter_.is_shut() || write_all(fd, body_piece(*flow.rest, piece), until) != Io::done) return false;
    // An answer before all was sent: the backend wants no more of it, and has not begun.
    if (!flow.rest->whole() && look_at(fd) == Unread::bytes) {
      if (read_answer(until, begins) == Ended::turned_away) ended = Ended::turned_away;
      answer_.keep_alive = false;
      return false;
    }
  }
  flow.sent = Moment::clock::now();
  return true;
}

// Kept until it is whole, or for as long as is allowed: what has begun to go on to the client can't be taken back. Whole:
// it may go on from here.
Got Exchange::read_long(Moment until, const Begins& begins) {
  // Cut at the first pause of a quarter of a second, a slow backend's long answer was lost.
  in_->be_patient();
  const Moment begun = Moment::clock::now();
  core::AnswerHold hold(begun, until, answer_.body.size());
  std::size_t room = kMostBody;
  Moment told;
  while (!rest_.whole()) {
    if (answer_.body.size() + kLargestPiece > room) {
      if (room >= kMostHeld || !bytes_.take_spare(kMostBody)) return Got::whole;
      room += kMostBody;
    }
    const std::size_t before = answer_.body.size();
    const Got got = rest_.next(*in_, hold.next_look(Moment::clock::now()), answer_.body);
    const Moment now = Moment::clock::now();
    if (got != Got::whole && got != Got::late) return got;
    if (got == Got::whole) hold.note(answer_.body.size() - before);
    if (got == Got::whole && begins.answer_comes && now - told >= kTellEvery) {
      told = now;
      begins.answer_comes();
    }
    if (rest_.whole()) break;
    const auto verdict = hold.at(now);
    if (verdict == core::AnswerHold::Verdict::pass_on) return Got::whole;
    if (verdict == core::AnswerHold::Verdict::give_up) return Got::late;
  }
  return Got::whole;
}

Ended Exchange::read_answer(Moment until, const Begins& begins) {
  const auto how = [](Got got) {
    switch (got) {
      case Got::whole: return Ended::answered;
      case Got::nothing: return Ended::cut_after_sent;
      case Got::cut: return Ended::answer_cut;
      case Got::late: return Ended::timed_out;
      case Got::stalled: return Ended::answer_stalled;
      case Got::malformed:
      case Got::too_large: break;
    }
    return Ended::answer_malformed;
  };
  Got got = read_answer_head(*in_, until, answer_, rest_, kLongestBody);
  const bool is_long = answer_.status == 200 && rest_.framing() == Framing::length && rest_.left() > kMostBody;
  while (got == Got::whole && !rest_.whole() && !is_long && answer_.body.size() <= kMostBody)
    got = rest_.next(*in_, until, answer_.body);
  if (got == Got::whole && !rest_.whole() && answer_.status == 200) got = read_long(until, begins);
  if (got != Got::whole) return how(got);
  read_ = true;
  if (answer_.turned_away) return Ended::turned_away;
  return answer_.status == 200 ? Ended::answered : Ended::answered_error;
}

}  // namespace troutstage::net
