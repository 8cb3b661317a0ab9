// One HTTP exchange of a hand-off: sends a request to one backend, reads the answer and reports one
// ExchangeResult.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "net/answer_body.h"
#include "net/counters.h"
#include "net/http.h"
#include "net/pool.h"
#include "net/shutter.h"
#include "net/streamed_body.h"
#include "policy/answer_delivery.h"

namespace troutstage::net {

// The backend that a hand-off goes to.
struct Target {
  std::uint64_t instance_id = 0;  // identifies one lifetime of a backend; never reused
  sockaddr_in address{};
};

// How far an answer has come, for the log.
struct AnswerRecord {
  TimePoint head_at, last_piece_at;  // the epoch of the clock: no such part has arrived
  std::size_t received_bytes = 0;    // of its body
};

// Conditions that are checked again before the first byte of a hand-off is written, since establishing the
// connection may take long; and callbacks for an answer that does not arrive at once.
struct SendConditions {
  // The buffered part of the request has to be written before this time.
  TimePoint send_by = TimePoint::max();
  std::function<bool()> may_send;  // empty: no further condition
  // Asked again before the last byte of a streamed body, which is when the backend begins the request:
  // whether its client still waits. May be empty.
  std::function<bool()> is_client_waiting = {};
  // When this node ends, as far as is known. May be empty.
  std::function<TimePoint()> ends_by = {};
  // Called once a streamed body was written whole; may be empty.
  std::function<void()> body_sent = {};
  // Called once an answer has begun and while it arrives, at most once per kProgressInterval, with the time
  // within which its next piece is expected (see policy::AnswerDelivery); may be empty.
  std::function<void(std::optional<std::chrono::steady_clock::duration>)> answer_progressed = {};
  // Called once the answer has begun and nothing has arrived for kPauseNotice, and for each further such
  // time; may be empty.
  std::function<void()> answer_paused = {};
  bool is_met() const { return TimePoint::clock::now() < send_by && (!may_send || may_send()); }
};

// Runs one exchange. run(), answer(), next() and release_connection() belong to one thread; cancel() may be
// called from any thread.
class Exchange {
 public:
  Exchange(ConnectionPool& pool, Counters& counters, MemoryBudget& memory,
           std::chrono::steady_clock::duration connect_timeout)
      : pool_(pool), counters_(counters), budget_(memory), memory_(memory, MemoryUse::hand_offs),
        kept_body_(memory), connect_timeout_(connect_timeout) {}
  // Blocks until the exchange is over, at `deadline` at the latest. After `answered` the body may be
  // incomplete: kept_body() holds the part read so far, and next() reads what follows.
  ExchangeResult run(const Request& request, const Target& target, TimePoint deadline,
                     StreamedBody* streamed = nullptr, const SendConditions& conditions = {});
  // Valid after run(); the epoch of the clock if no byte was written.
  TimePoint first_byte_at() const { return first_byte_at_; }
  // Makes run() return early. Shuts the connection down; callable from any thread.
  void cancel() { interrupter_.interrupt(); }
  const Target& target() const { return target_; }    // valid after run()
  const Response& answer() const { return answer_; }  // its head; valid after run()
  AnswerBody& kept_body() { return kept_body_; }
  const AnswerRecord& answer_record() const { return answer_record_; }  // valid after run()
  // The unread part of the answer's body; next() appends its next piece to `piece`.
  const Body& remaining_body() const { return remaining_body_; }
  ReadResult next(TimePoint deadline, std::string& piece) {
    return remaining_body_.next_buffered(*reader_, deadline, piece);
  }
  policy::AnswerDelivery& delivery() { return *delivery_; }  // of the answer; valid after `answered`
  void release_connection();  // returns the connection to the pool if it is reusable, else closes it

 private:
  ExchangeResult run_on_connection(const Request& request, const Target& target, TimePoint deadline,
                                   StreamedBody* streamed, const SendConditions& conditions);
  // Empty: the reused connection, checked at `checked_at`, is no longer usable and no byte of the request was
  // written, so another connection may be tried.
  std::optional<ExchangeResult> send_and_receive(bool is_reused, TimePoint checked_at, const Request& request,
                                                 const Target& target, TimePoint deadline,
                                                 StreamedBody* streamed, const SendConditions& conditions);
  bool is_still_reusable(int fd, TimePoint checked_at);
  bool send_streamed_body(int fd, StreamedBody& streamed, TimePoint deadline,
                          const SendConditions& conditions, ExchangeResult& result);
  static IoResult write_piece(int fd, StreamedBody& streamed, std::string_view piece, TimePoint deadline);
  ExchangeResult read_answer(TimePoint deadline, const SendConditions& conditions);
  ReadResult read_answer_head(TimePoint deadline, const SendConditions& conditions);
  ReadResult read_error_body(TimePoint deadline);
  ReadResult read_answer_body(TimePoint deadline, const SendConditions& conditions);

  ConnectionPool& pool_;
  Counters& counters_;
  MemoryBudget& budget_;
  // For the connection and its reader; the body has its own reservations.
  MemoryBudget::Reservation memory_;
  AnswerBody kept_body_;
  const std::chrono::steady_clock::duration connect_timeout_;
  Response answer_;
  AnswerRecord answer_record_;
  std::optional<policy::AnswerDelivery> delivery_;
  Body remaining_body_;
  // Held while the connection may be reused, or while the answer is still being read.
  std::optional<ConnectionPool::Connection> connection_;
  std::optional<Reader> reader_;
  Target target_;
  TimePoint first_byte_at_;
  bool has_answer_ = false;  // the answer was read, as far as it is buffered here
  SocketInterrupter interrupter_;
};

}  // namespace troutstage::net
