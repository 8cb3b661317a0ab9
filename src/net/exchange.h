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
  std::uint64_t life = 0;  // of a backend, never given again
  sockaddr_in address{};
};

// The part of a request's body that is not kept: taken from its client as the backend takes it.
struct Flow {
  std::function<Got(std::string& piece)> next;
  const Body* rest = nullptr;
  std::int64_t remaining_ms = 0;  // that its client waits once it has sent all
  bool begun = false;             // some of it has been taken, so it can't be sent again
  Moment last_byte;               // when the client's last byte came, known once all of it has been taken
  Moment answer_by() const { return last_byte + std::chrono::milliseconds(remaining_ms); }  // the same
  Moment sent;  // when all of it had been written to its backend
};

// What has to hold still when a hand-off's first byte goes: its connection may be long in coming up; and who is told
// that its answer comes.
struct Begins {
  Moment by = Moment::max();  // all that is kept of the request is out before this
  std::function<bool()> may;  // none: it may
  std::function<void()> answer_comes = {};  // of a long one, at most once in kTellEvery; none: nobody
  bool holds() const { return Moment::clock::now() < by && (!may || may()); }
};

class Exchange {
 public:
  Exchange(Pool& pool, Counters& counters, Bytes& bytes, std::chrono::steady_clock::duration connect_limit)
      : pool_(pool), counters_(counters), bytes_(bytes), connect_limit_(connect_limit) {}
  // Blocks till it is over, at `until` at the latest.
  Ended run(const Request& request, const Target& target, Moment until, Flow* flow = nullptr, const Begins& begins = {});
  Moment first_byte() const { return first_byte_; }  // after run(); the clock's start: none went
  // Ends run() from another thread.
  void recall() { shutter_.shut(); }
  const Response& answer() const { return answer_; }  // after run()
  // An answered one may go on: its body so far is in answer(), and what else there is comes from here.
  const Body& rest() const { return rest_; }
  Got next(Moment limit, std::string& piece) { return rest_.next(*in_, limit, piece); }
  void finish();  // it came whole: the connection may be used again

 private:
  Ended over(const Request& request, const Target& target, Moment until, Flow* flow, const Begins& begins);
  // Nothing: the connection, found open at `looked_at`, can't be used any more, and no byte of the request went out.
  std::optional<Ended> talk(bool open, Moment looked_at, const Request& request, const Target& target, Moment until,
                            Flow* flow, const Begins& begins);
  bool is_still_quiet(int fd, Moment looked_at);
  bool send_rest(int fd, Flow& flow, Moment until, const Begins& begins, Ended& ended);
  Ended read_answer(Moment until, const Begins& begins);
  Got read_long(Moment until, const Begins& begins);

  Pool& pool_;
  Counters& counters_;
  Bytes::Hold bytes_;  // of a long answer, beyond what each may have
  const std::chrono::steady_clock::duration connect_limit_;
  Response answer_;
  Body rest_;
  std::optional<Pool::Connection> connection_;  // while it may be used again, or its answer goes on
  std::optional<Reader> in_;
  Target target_;
  Moment first_byte_;
  bool read_ = false;  // its answer, as far as that goes
  Shutter shutter_;
};

}  // namespace troutstage::net
