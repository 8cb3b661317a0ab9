#include "net/exchange.h"

#include <algorithm>

#include "net/node_limits.h"

namespace troutstage::net {
namespace {

// A pause of this length within an answer is reported.
constexpr std::chrono::milliseconds kPauseNotice{250};
constexpr std::chrono::milliseconds kProgressInterval{20};
// How often an answer that pauses is found silent. Of the time until it goes on only that counts as its
// pause: the rest may be a pause of this node, during which bytes waited unread.
constexpr std::chrono::milliseconds kSilenceCheckInterval{20};

// A reused connection that was checked longer ago than this, because the thread did not run, is checked again
// before the request is written.
constexpr std::chrono::milliseconds kCheckValidFor{1};

// A backend that accepts no byte of a streamed body for this long, and for longer than the client waits for
// its answer, is given up.
constexpr std::chrono::milliseconds kMaxBackendPause{2000};

// When a backend that accepts nothing more of a request is given up.
class AcceptedProgress {
 public:
  explicit AcceptedProgress(std::chrono::milliseconds max_pause) : max_pause_(max_pause) {}
  // `accepted_bytes`: how many bytes of the present write the system has accepted.
  TimePoint give_up_at(std::size_t accepted_bytes) {
    if (accepted_bytes != std::exchange(accepted_bytes_, accepted_bytes))
      accepted_at_ = TimePoint::clock::now();
    return accepted_at_ + max_pause_;
  }

 private:
  std::chrono::milliseconds max_pause_;
  std::size_t accepted_bytes_ = 0;
  TimePoint accepted_at_ = TimePoint::clock::now();
};

std::optional<std::size_t> known_length(const Body& body) {
  return body.framing() == Framing::length ? std::optional(body.left()) : std::nullopt;
}

AcceptedProgress progress_of(const StreamedBody& streamed) {
  return AcceptedProgress(std::max(kMaxBackendPause, streamed.answer_time()));
}

}  // namespace

ExchangeResult Exchange::run(const Request& request, const Target& target, TimePoint deadline,
                             StreamedBody* streamed, const SendConditions& conditions) {
  if (!memory_.take(kExchangeBytes + pool_.socket_bytes())) return ExchangeResult::no_room;
  const ExchangeResult result = run_on_connection(request, target, deadline, streamed, conditions);
  if (result != ExchangeResult::answered || remaining_body_.whole()) release_connection();
  if (result != ExchangeResult::answered) kept_body_.clear();
  if (!interrupter_.is_interrupted() || result == ExchangeResult::answered) return result;
  // A cancelled exchange looks like a broken connection. Whether the last byte was written is known in any
  // case.
  const bool is_unsent = result == ExchangeResult::not_connected ||
                         result == ExchangeResult::cut_before_sent ||
                         result == ExchangeResult::recalled_unsent ||
                         result == ExchangeResult::source_broke || result == ExchangeResult::withdrawn;
  return is_unsent                           ? ExchangeResult::recalled_unsent
         : result == ExchangeResult::no_room ? result
                                             : ExchangeResult::recalled;
}

ExchangeResult Exchange::run_on_connection(const Request& request, const Target& target, TimePoint deadline,
                                           StreamedBody* streamed, const SendConditions& conditions) {
  target_ = target;
  for (;;) {
    connection_ = pool_.take_idle(target.instance_id, pack_address(target.address));
    const bool is_reused = connection_.has_value();
    const TimePoint checked_at = TimePoint::clock::now();
    if (!is_reused) {
      auto new_connection = pool_.open_new();
      if (!new_connection) return ExchangeResult::no_room;
      connection_.emplace(std::move(*new_connection));
    }
    if (const auto result =
            send_and_receive(is_reused, checked_at, request, target, deadline, streamed, conditions))
      return *result;
  }
}

// Bytes behind the end of the answer belong to no request: such a connection is closed.
void Exchange::release_connection() {
  if (connection_ && reader_ && has_answer_ && remaining_body_.whole() && answer_.keep_alive &&
      !interrupter_.is_interrupted()) {
    const std::uint64_t address = pack_address(target_.address);
    if (reader_->has_buffered_bytes()) pool_.record_unsolicited_bytes(target_.instance_id, address, {});
    else pool_.give_back(target_.instance_id, address, std::move(*connection_));
  }
  connection_.reset();
  reader_.reset();
  memory_.give_back_all();
}

// Whether a reused connection still has no unread bytes, right before the request is written.
bool Exchange::is_still_reusable(int fd, TimePoint checked_at) {
  if (TimePoint::clock::now() - checked_at < kCheckValidFor) return true;
  const PeekResult peeked = peek_socket(fd);
  if (peeked == PeekResult::bytes)
    pool_.record_unsolicited_bytes(target_.instance_id, pack_address(target_.address), {});
  return peeked == PeekResult::none;
}

std::optional<ExchangeResult> Exchange::send_and_receive(bool is_reused, TimePoint checked_at,
                                                         const Request& request, const Target& target,
                                                         TimePoint deadline, StreamedBody* streamed,
                                                         const SendConditions& conditions) {
  const int fd = connection_->fd();
  const SocketInterrupter::Attachment attachment(interrupter_, fd);
  if (interrupter_.is_interrupted()) return ExchangeResult::recalled_unsent;
  if (!is_reused) {
    const TimePoint answer_by = streamed != nullptr ? streamed->answer_deadline() : deadline;
    const TimePoint connect_by =
        std::min({deadline, answer_by, conditions.send_by, TimePoint::clock::now() + connect_timeout_});
    const IoResult connect_result = connect_to(fd, target.address, connect_by);
    if (connect_result == IoResult::resource_shortage) return ExchangeResult::no_room;
    const bool is_too_late =
        connect_by == conditions.send_by || (streamed != nullptr && connect_by == answer_by);
    if (connect_result != IoResult::done)
      return is_too_late ? ExchangeResult::withdrawn : ExchangeResult::not_connected;
    ++counters_.connections_opened;
  }
  // Since the balancer chose the backend, waiting for a thread and a connection may have taken longer than a
  // drain of the backend or the deduplication window allows.
  if (!conditions.is_met()) return ExchangeResult::withdrawn;
  const auto remaining_ms =
      streamed != nullptr
          ? streamed->answer_time().count()
          : std::chrono::duration_cast<std::chrono::milliseconds>(deadline - TimePoint::clock::now()).count();
  // Before its last byte is written a request has not been executed; after that it may have been. This class
  // never sends a request twice.
  const std::string_view buffered_body = request.body;
  const bool is_chunked = streamed != nullptr && streamed->remaining_body().framing() == Framing::chunked;
  if (remaining_ms <= 0 || interrupter_.is_interrupted()) return ExchangeResult::cut_before_sent;
  if (is_reused && !is_still_reusable(fd, checked_at)) return std::nullopt;
  first_byte_at_ = TimePoint::clock::now();
  std::optional<AcceptedProgress> progress;
  if (streamed != nullptr) progress = progress_of(*streamed);
  const WriteLimit written_by = [&](std::size_t accepted_bytes) {
    const TimePoint limit = std::min(deadline, conditions.send_by);
    return streamed == nullptr
               ? limit
               : std::min({limit, streamed->answer_deadline(), progress->give_up_at(accepted_bytes)});
  };
  if ((is_chunked ? write_all(fd,
                              format_request_head(request, remaining_ms) +
                                  frame_body_piece(streamed->remaining_body(), buffered_body),
                              written_by)
                  : write_head_and_body(fd, format_request_head(request, remaining_ms), buffered_body,
                                        written_by)) != IoResult::done)
    return conditions.is_met() ? ExchangeResult::cut_before_sent : ExchangeResult::withdrawn;
  reader_.emplace(fd, kPauseNotice);
  reader_->set_memory(budget_);
  if (streamed != nullptr) {
    ExchangeResult result = ExchangeResult::cut_before_sent;
    if (!send_streamed_body(fd, *streamed, deadline, conditions, result)) return result;
    deadline = std::min(deadline, streamed->answer_deadline());
  }
  ++counters_.written;
  return read_answer(deadline, conditions);
}

// Streams the rest of the body to the backend. False: the body was not written whole, for the reason in
// `result`.
bool Exchange::send_streamed_body(int fd, StreamedBody& streamed, TimePoint deadline,
                                  const SendConditions& conditions, ExchangeResult& result) {
  const auto is_cancelled = [this] { return interrupter_.is_interrupted(); };
  for (std::string piece; !streamed.remaining_body().whole(); piece.clear()) {
    if (streamed.next(piece, is_cancelled) != ReadResult::whole)
      return result = ExchangeResult::source_broke, false;
    // The client's time is over before the backend has the whole request, so the backend has not started on
    // it.
    if (TimePoint::clock::now() >= std::min(deadline, streamed.answer_deadline()))
      return result = ExchangeResult::withdrawn, false;
    // The end of a client that closed behind its last byte is only seen once all before it has been read.
    if (streamed.remaining_body().whole() && conditions.is_client_waiting && !conditions.is_client_waiting())
      return result = ExchangeResult::withdrawn, false;
    if (interrupter_.is_interrupted() || write_piece(fd, streamed, piece, deadline) != IoResult::done)
      return false;
    // The backend answers before it has the whole body: it wants no more of the body and has not executed the
    // request.
    if (!streamed.remaining_body().whole() && peek_socket(fd) == PeekResult::bytes) {
      if (read_answer(std::min(deadline, streamed.answer_deadline()), conditions) ==
          ExchangeResult::turned_away)
        result = ExchangeResult::turned_away;
      answer_.keep_alive = false;
      return false;
    }
  }
  streamed.set_sent();
  if (conditions.body_sent) conditions.body_sent();
  return true;
}

// Writes a piece of a streamed body. While the backend accepts nothing, the end of the body may wait in
// buffers on its way to this node and the client may wait for its answer, so the client's connection is
// looked at.
IoResult Exchange::write_piece(int fd, StreamedBody& streamed, std::string_view piece, TimePoint deadline) {
  AcceptedProgress progress = progress_of(streamed);
  return write_all(fd, frame_body_piece(streamed.remaining_body(), piece), [&](std::size_t accepted_bytes) {
    return std::min({deadline, streamed.answer_deadline(), progress.give_up_at(accepted_bytes)});
  });
}

// A pause says nothing about the rest of an answer, so reading goes on after it.
ReadResult Exchange::read_answer_head(TimePoint deadline, const SendConditions& conditions) {
  for (;;) {
    const ReadResult result = read_response_head(*reader_, deadline, answer_, remaining_body_, kMaxBodyBytes);
    if (result != ReadResult::stalled) return result;
    if (conditions.answer_paused) conditions.answer_paused();
  }
}

// Buffers an answer until it is complete, or until it is forwarded: an answer that is partly forwarded to the
// client can't be replaced by another one. Returns `whole` when forwarding may begin.
ReadResult Exchange::read_answer_body(TimePoint deadline, const SendConditions& conditions) {
  using Decision = policy::AnswerDelivery::Decision;
  const auto ends_by = [&conditions] { return conditions.ends_by ? conditions.ends_by() : TimePoint::max(); };
  TimePoint now = TimePoint::clock::now();
  answer_record_.head_at = now;
  delivery_.emplace(now, deadline, known_length(remaining_body_));
  TimePoint last_progress_at = now, silent_until = now, next_pause_notice = now + kPauseNotice;
  if (conditions.answer_progressed) conditions.answer_progressed(delivery_->expected_within(now));
  while (!remaining_body_.whole()) {
    std::string* const into = kept_body_.room();
    if (into == nullptr && delivery_->may_forward_full(now, ends_by())) break;
    if (into == nullptr) return ReadResult::late;
    const std::size_t size_before = into->size();
    const TimePoint read_by = std::min(delivery_->next_decision_at(now), now + kSilenceCheckInterval);
    const ReadResult result = remaining_body_.next(*reader_, read_by, *into);
    now = TimePoint::clock::now();
    if (result == ReadResult::late) {
      silent_until = std::max(silent_until, read_by);
      if (silent_until >= next_pause_notice) {
        next_pause_notice += kPauseNotice;
        if (conditions.answer_paused) conditions.answer_paused();
      }
    } else if (result == ReadResult::whole) {
      delivery_->add_received(now, into->size() - size_before, silent_until);
      answer_record_.last_piece_at = now;
      answer_record_.received_bytes = delivery_->received_bytes();
      silent_until = now;
      next_pause_notice = now + kPauseNotice;
      if (conditions.answer_progressed && now - last_progress_at >= kProgressInterval) {
        last_progress_at = now;
        conditions.answer_progressed(delivery_->expected_within(now));
      }
    } else {
      return result;
    }
    if (remaining_body_.whole()) break;
    const Decision decision = delivery_->at(now, ends_by());
    if (decision == Decision::forward) break;
    if (decision == Decision::give_up) return ReadResult::late;
  }
  reader_->disable_stall_limit();
  return ReadResult::whole;
}

// The body of an error is read only so that the connection can be used again: the head says all.
ReadResult Exchange::read_error_body(TimePoint deadline) {
  while (!remaining_body_.whole() && kept_body_.size() <= kMaxShortAnswerBytes) {
    std::string* const into = kept_body_.room();
    if (into == nullptr) break;
    const ReadResult result = remaining_body_.next(*reader_, deadline, *into);
    if (result == ReadResult::stalled) break;
    if (result != ReadResult::whole) return result;
  }
  return ReadResult::whole;
}

ExchangeResult Exchange::read_answer(TimePoint deadline, const SendConditions& conditions) {
  const auto to_exchange_result = [](ReadResult read_result) {
    switch (read_result) {
      case ReadResult::whole: return ExchangeResult::answered;
      case ReadResult::nothing: return ExchangeResult::cut_after_sent;
      case ReadResult::cut: return ExchangeResult::answer_cut;
      case ReadResult::stalled:
      case ReadResult::late: return ExchangeResult::timed_out;
      // The backend may have run the request.
      case ReadResult::no_memory: return ExchangeResult::answer_cut;
      case ReadResult::malformed:
      case ReadResult::too_large: break;
    }
    return ExchangeResult::answer_malformed;
  };
  ReadResult read_result = read_answer_head(deadline, conditions);
  reader_->release_head();
  if (read_result == ReadResult::whole)
    read_result = answer_.status == 200 ? read_answer_body(deadline, conditions) : read_error_body(deadline);
  if (read_result != ReadResult::whole) return to_exchange_result(read_result);
  has_answer_ = true;
  if (answer_.turned_away) return ExchangeResult::turned_away;
  return answer_.status == 200 ? ExchangeResult::answered : ExchangeResult::answered_error;
}

}  // namespace troutstage::net
