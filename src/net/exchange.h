// One hand-off on the wire: a request goes to one backend, and what becomes of it is one value of Ended.
#pragma once

#include <memory>
#include <optional>

#include "net/counters.h"
#include "net/http.h"
#include "net/pool.h"
#include "net/shutter.h"

namespace troutstage::net {

struct Target {
  std::uint64_t life = 0;  // of a backend, never given again
  sockaddr_in address{};
};

class Exchange {
 public:
  Exchange(Pool& pool, Counters& counters, std::chrono::steady_clock::duration connect_limit)
      : pool_(pool), counters_(counters), connect_limit_(connect_limit) {}
  // Blocks till it is over, at `until` at the latest.
  Ended run(const Request& request, const Target& target, Moment until);
  // Ends run() from another thread.
  void recall() { shutter_.shut(); }
  const Response& answer() const { return answer_; }  // after run()

 private:
  Ended over(const Request& request, const Target& target, Moment until);
  Ended talk(int fd, bool open, const Request& request, const Target& target, Moment until, bool& use_again);

  Pool& pool_;
  Counters& counters_;
  const std::chrono::steady_clock::duration connect_limit_;
  Response answer_;
  Shutter shutter_;
};

}  // namespace troutstage::net
