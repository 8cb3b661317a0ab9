#include "net/watch.h"

#include <fmt/format.h>
#include <sys/socket.h>

#include "log/log.h"
#include "net/http.h"
#include "net/protocol.h"

namespace troutstage::net {
namespace {

constexpr std::chrono::milliseconds kWait{20000};     // what discovery is asked to wait at the most
constexpr std::chrono::milliseconds kPatience{2000};  // for a connection, and for an answer after that wait
constexpr std::size_t kMostList = 4 * 1024 * 1024;

}  // namespace

void Watch::run() {
  while (balancer_.await_watch()) {
    ++counters_.watches;
    follow();
    {
      std::lock_guard held(lock_);
      if (stopped_) return;
    }
    // The decisions ask again in their own time, with growing waits.
    ++counters_.watches_failed;
    balancer_.told(ListForm::failed, {});
  }
}

// A watch goes on only while the next call comes within 200 ms of the last answer: the connection is kept and
// the next call written at once. One that failed between two calls is tried again on a new connection at
// once.
void Watch::follow() {
  for (bool answered = true; answered;) {
    answered = false;
    Fd fd = new_socket();
    struct LetGo {  // before the descriptor is closed
      Watch& watch;
      ~LetGo() { watch.hold(-1); }
    } let_go{*this};
    if (!fd || !hold(fd.get())) return;
    if (connect_to(fd.get(), discovery_, Moment::clock::now() + kPatience) != Io::done) break;
    Reader in(fd.get());
    for (;;) {
      const std::string call =
          fmt::format("GET /discovery/hosts?index={}&wait={} HTTP/1.1\r\nHost: {}\r\n\r\n", version_,
                      kWait.count(), address_text(discovery_));
      if (write_all(fd.get(), call, Moment::clock::now() + kPatience) != Io::done) break;
      Response r;
      const Got got = read_response(in, Moment::clock::now() + kWait + kPatience, r, kMostList);
      if (got != Got::whole || r.status != 200) {
        if (hold(-1))
          log::info("discovery: {}",
                    got == Got::whole ? fmt::format("status {}", r.status) : "no whole answer");
        // A first call that fails is a failure; an old connection may just have been closed between two
        // calls.
        if (got == Got::whole) answered = false;
        break;
      }
      try {
        const Listing list = directory_.read(r.body);
        version_ = list.version;
        log::debug("list {} {} with {} entries", list.version, list.full ? "full" : "delta",
                   list.entries.size());
        balancer_.told(list.full ? ListForm::full : ListForm::delta, list.entries);
      } catch (const Malformed& broken) {
        log::warning("discovery: {}", broken.what());
        return;
      }
      answered = true;
      if (!r.keep_alive) break;
    }
  }
}

void Watch::stop() {
  std::lock_guard held(lock_);
  stopped_ = true;
  if (fd_ >= 0) ::shutdown(fd_, SHUT_RDWR);
}

bool Watch::hold(int fd) {
  std::lock_guard held(lock_);
  fd_ = fd;
  return !stopped_;
}

}  // namespace troutstage::net
