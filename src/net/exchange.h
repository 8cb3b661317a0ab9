// One hand-off on the wire: a request goes to one backend, and what becomes of it is one value of Ended.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "net/budget.h"
#include "net/counters.h"
#include "net/http.h"
#include "net/pool.h"
#include "net/shutter.h"

namespace troutstage::net {

struct Target {
  std::uint64_t instance_id = 0;  // of a backend, never given again
  sockaddr_in address{};
};

// The part of a request's body that is not kept: taken from its client as the backend takes it.
struct StreamedBody {
  std::function<ReadResult(std::string& piece)> next;
  const Body* remaining_body = nullptr;
  std::int64_t remaining_ms = 0;  // that its client waits once it has sent all
  bool is_partly_consumed = false;             // some of it has been taken, so it can't be sent again
  TimePoint last_byte_at;               // when the client's last byte came, known once all of it has been taken
  TimePoint answer_deadline() const { return last_byte_at + std::chrono::milliseconds(remaining_ms); }  // the same
  TimePoint sent_at;  // when all of it had been written to its backend
};

// What has to hold still when a hand-off's first byte goes: its connection may be long in coming up; and who is told
// that its answer comes.
struct SendConditions {
  TimePoint send_by = TimePoint::max();  // all that is kept of the request is out before this
  std::function<bool()> may_send;  // none: it may
  std::function<void()> answer_progressed = {};  // of a long one, at most once in kTellEvery; none: nobody
  bool is_met() const { return TimePoint::clock::now() < send_by && (!may_send || may_send()); }
};

class Exchange {
 public:
  Exchange(ConnectionPool& pool, Counters& counters, BodyBytesBudget& bytes, std::chrono::steady_clock::duration connect_timeout)
      : pool_(pool), counters_(counters), bytes_(bytes), connect_timeout_(connect_timeout) {}
  // Blocks till it is over, at `until` at the latest.
  ExchangeResult run(const Request& request, const Target& target, TimePoint until, StreamedBody* flow = nullptr, const SendConditions& begins = {});
  TimePoint first_byte_at() const { return first_byte_at_; }  // after run(); the clock's start: none went
  // Ends run() from another thread.
  void cancel() { interrupter_.interrupt(); }
  const Response& answer() const { return answer_; }  // after run()
  // An answered one may go on: its body so far is in answer(), and what else there is comes from here.
  const Body& remaining_body() const { return remaining_body_; }
  ReadResult next(TimePoint limit, std::string& piece) { return remaining_body_.next(*reader_, limit, piece); }
  void release_connection();  // it came whole: the connection may be used again

 private:
  ExchangeResult run_on_connection(const Request& request, const Target& target, TimePoint until, StreamedBody* flow, const SendConditions& begins);
  // Nothing: the connection, found open at `looked_at`, can't be used any more, and no byte of the request went out.
  std::optional<ExchangeResult> send_and_receive(bool open, TimePoint checked_at, const Request& request, const Target& target, TimePoint until,
                            StreamedBody* flow, const SendConditions& begins);
  bool is_still_reusable(int fd, TimePoint checked_at);
  bool send_streamed_body(int fd, StreamedBody& flow, TimePoint until, const SendConditions& begins, ExchangeResult& ended);
  ExchangeResult read_answer(TimePoint until, const SendConditions& begins);
  ReadResult read_long_answer(TimePoint until, const SendConditions& begins);

  ConnectionPool& pool_;
  Counters& counters_;
  BodyBytesBudget::Reservation bytes_;  // of a long answer, beyond what each may have
  const std::chrono::steady_clock::duration connect_timeout_;
  Response answer_;
  Body remaining_body_;
  std::optional<ConnectionPool::Connection> connection_;  // while it may be used again, or its answer goes on
  std::optional<Reader> reader_;
  Target target_;
  TimePoint first_byte_at_;
  bool has_answer_ = false;  // its answer, as far as that goes
  SocketInterrupter interrupter_;
};

}  // namespace troutstage::net
