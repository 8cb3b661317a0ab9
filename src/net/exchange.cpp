#include "net/exchange.h"

#include <algorithm>

#include "core/answer_hold.h"

namespace troutstage::net {
namespace {

constexpr std::chrono::milliseconds kStallLimit{250};  // a short answer that has begun goes on sooner than this
constexpr std::size_t kMaxBufferedAnswer = 1 << 20;        // of a long answer before it goes on
constexpr std::chrono::milliseconds kProgressInterval{20};
constexpr std::size_t kMaxReadSize = 8 * 1024;   // that one read brings

// A thread that stood still for longer than this looks at its connection again before it writes.
constexpr std::chrono::milliseconds kCheckValidFor{1};

}  // namespace

ExchangeResult Exchange::run(const Request& request, const Target& target, TimePoint until, StreamedBody* flow, const SendConditions& begins) {
  const ExchangeResult ended = run_on_connection(request, target, until, flow, begins);
  if (ended != ExchangeResult::answered || remaining_body_.whole()) release_connection();
  if (!interrupter_.is_interrupted() || ended == ExchangeResult::answered) return ended;
  // A shutdown looks like a broken connection. Whether the last byte had gone is known all the same.
  const bool unsent = ended == ExchangeResult::not_connected || ended == ExchangeResult::cut_before_sent ||
                      ended == ExchangeResult::recalled_unsent || ended == ExchangeResult::source_broke || ended == ExchangeResult::withdrawn;
  return unsent ? ExchangeResult::recalled_unsent : ended == ExchangeResult::no_room ? ended : ExchangeResult::recalled;
}

ExchangeResult Exchange::run_on_connection(const Request& request, const Target& target, TimePoint until, StreamedBody* flow, const SendConditions& begins) {
  target_ = target;
  for (;;) {
    connection_ = pool_.take_idle(target.instance_id, pack_address(target.address));
    const bool open = connection_.has_value();
    const TimePoint checked_at = TimePoint::clock::now();
    if (!open) {
      auto fresh = pool_.open_new();
      if (!fresh) return ExchangeResult::no_room;
      connection_.emplace(std::move(*fresh));
    }
    if (const auto ended = send_and_receive(open, checked_at, request, target, until, flow, begins)) return *ended;
  }
}

// Bytes beyond the answer belong to nothing that was asked for: such a connection is not used again.
void Exchange::release_connection() {
  if (connection_ && reader_ && has_answer_ && remaining_body_.whole() && answer_.keep_alive && !interrupter_.is_interrupted()) {
    const std::uint64_t address = pack_address(target_.address);
    if (reader_->has_buffered_bytes()) pool_.record_unsolicited_bytes(target_.instance_id, address, {});
    else pool_.give_back(target_.instance_id, address, std::move(*connection_));
  }
  connection_.reset();
  reader_.reset();
}

// Whether an open connection still has nothing to read, right before a request goes out on it.
bool Exchange::is_still_reusable(int fd, TimePoint checked_at) {
  if (TimePoint::clock::now() - checked_at < kCheckValidFor) return true;
  const PeekResult unread = peek_socket(fd);
  if (unread == PeekResult::bytes) pool_.record_unsolicited_bytes(target_.instance_id, pack_address(target_.address), {});
  return unread == PeekResult::none;
}

std::optional<ExchangeResult> Exchange::send_and_receive(bool open, TimePoint checked_at, const Request& request, const Target& target, TimePoint until, StreamedBody* flow, const SendConditions& begins) {
  const int fd = connection_->fd();
  const SocketInterrupter::Attachment hold(interrupter_, fd);
  if (interrupter_.is_interrupted()) return ExchangeResult::recalled_unsent;
  if (!open) {
    const TimePoint limit = std::min({until, begins.send_by, TimePoint::clock::now() + connect_timeout_});
    const IoResult io = connect_to(fd, target.address, limit);
    if (io == IoResult::resource_shortage) return ExchangeResult::no_room;
    if (io != IoResult::done) return limit == begins.send_by ? ExchangeResult::withdrawn : ExchangeResult::not_connected;
    ++counters_.connections_opened;
  }
  // Decided on, it may have waited for a thread and a connection for longer than a drain or a window allows.
  if (!begins.is_met()) return ExchangeResult::withdrawn;
  const auto left =
      flow != nullptr
          ? flow->remaining_ms
          : std::chrono::duration_cast<std::chrono::milliseconds>(until - TimePoint::clock::now()).count();
  // Before the last byte is written it has never run, after that it may have: nothing here sends it again.
  const std::string_view kept = request.body;
  const bool chunks = flow != nullptr && flow->remaining_body->framing() == Framing::chunked;
  if (left <= 0 || interrupter_.is_interrupted()) return ExchangeResult::cut_before_sent;
  if (open && !is_still_reusable(fd, checked_at)) return std::nullopt;
  first_byte_at_ = TimePoint::clock::now();
  const TimePoint written_by = std::min(until, begins.send_by);
  if ((chunks ? write_all(fd, format_request_head(request, left) + frame_body_piece(*flow->remaining_body, kept), written_by)
              : write_head_and_body(fd, format_request_head(request, left), kept, written_by)) != IoResult::done)
    return begins.is_met() ? ExchangeResult::cut_before_sent : ExchangeResult::withdrawn;
  reader_.emplace(fd, kStallLimit);
  if (flow != nullptr) {
    ExchangeResult ended = ExchangeResult::cut_before_sent;
    if (!send_streamed_body(fd, *flow, until, begins, ended)) return ended;
    until = std::min(until, flow->answer_deadline());
  }
  ++counters_.written;
  return read_answer(until, begins);
}

// False: it did not go out whole.
bool Exchange::send_streamed_body(int fd, StreamedBody& flow, TimePoint until, const SendConditions& begins, ExchangeResult& ended) {
  for (std::string piece; !flow.remaining_body->whole(); piece.clear()) {
    flow.is_partly_consumed = true;
    if (flow.next(piece) != ReadResult::whole) return ended = ExchangeResult::source_broke, false;
    if (flow.remaining_body->whole()) until = std::min(until, flow.answer_deadline());
    // Its client's time is over before the backend has all of it, and so begins it.
    if (TimePoint::clock::now() >= until) return ended = ExchangeResult::withdrawn, false;
    if (interrupter_.is_interrupted() || write_all(fd, frame_body_piece(*flow.remaining_body, piece), until) != IoResult::done) return false;
    // An answer before all was sent: the backend wants no more of it, and has not begun.
    if (!flow.remaining_body->whole() && peek_socket(fd) == PeekResult::bytes) {
      if (read_answer(until, begins) == ExchangeResult::turned_away) ended = ExchangeResult::turned_away;
      answer_.keep_alive = false;
      return false;
    }
  }
  flow.sent_at = TimePoint::clock::now();
  return true;
}

// Kept until it is whole, or for as long as is allowed: what has begun to go on to the client can't be taken back. Whole:
// it may go on from here.
ReadResult Exchange::read_long_answer(TimePoint until, const SendConditions& begins) {
  // Cut at the first pause of a quarter of a second, a slow backend's long answer was lost.
  reader_->disable_stall_limit();
  const TimePoint begun = TimePoint::clock::now();
  core::AnswerBuffering hold(begun, until, answer_.body.size());
  std::size_t room = kMaxShortAnswerBytes;
  TimePoint told;
  while (!remaining_body_.whole()) {
    if (answer_.body.size() + kMaxReadSize > room) {
      if (room >= kMaxBufferedAnswer || !bytes_.take_optional(kMaxShortAnswerBytes)) return ReadResult::whole;
      room += kMaxShortAnswerBytes;
    }
    const std::size_t before = answer_.body.size();
    const ReadResult got = remaining_body_.next(*reader_, hold.next_decision_at(TimePoint::clock::now()), answer_.body);
    const TimePoint now = TimePoint::clock::now();
    if (got != ReadResult::whole && got != ReadResult::late) return got;
    if (got == ReadResult::whole) hold.add_received(answer_.body.size() - before);
    if (got == ReadResult::whole && begins.answer_progressed && now - told >= kProgressInterval) {
      told = now;
      begins.answer_progressed();
    }
    if (remaining_body_.whole()) break;
    const auto verdict = hold.at(now);
    if (verdict == core::AnswerBuffering::Decision::forward) return ReadResult::whole;
    if (verdict == core::AnswerBuffering::Decision::give_up) return ReadResult::late;
  }
  return ReadResult::whole;
}

ExchangeResult Exchange::read_answer(TimePoint until, const SendConditions& begins) {
  const auto how = [](ReadResult got) {
    switch (got) {
      case ReadResult::whole: return ExchangeResult::answered;
      case ReadResult::nothing: return ExchangeResult::cut_after_sent;
      case ReadResult::cut: return ExchangeResult::answer_cut;
      case ReadResult::late: return ExchangeResult::timed_out;
      case ReadResult::stalled: return ExchangeResult::answer_stalled;
      case ReadResult::malformed:
      case ReadResult::too_large: break;
    }
    return ExchangeResult::answer_malformed;
  };
  ReadResult got = read_response_head(*reader_, until, answer_, remaining_body_, kMaxBodyBytes);
  const bool is_long = answer_.status == 200 && remaining_body_.framing() == Framing::length && remaining_body_.left() > kMaxShortAnswerBytes;
  while (got == ReadResult::whole && !remaining_body_.whole() && !is_long && answer_.body.size() <= kMaxShortAnswerBytes)
    got = remaining_body_.next(*reader_, until, answer_.body);
  if (got == ReadResult::whole && !remaining_body_.whole() && answer_.status == 200) got = read_long_answer(until, begins);
  if (got != ReadResult::whole) return how(got);
  has_answer_ = true;
  if (answer_.turned_away) return ExchangeResult::turned_away;
  return answer_.status == 200 ? ExchangeResult::answered : ExchangeResult::answered_error;
}

}  // namespace troutstage::net
