#include "net/watch.h"

#include <fmt/format.h>

#include "log/log.h"
#include "net/http.h"
#include "net/protocol.h"

namespace troutstage::net {
namespace {

constexpr std::chrono::milliseconds kWait{20000};     // what discovery is asked to wait at the most
constexpr std::chrono::milliseconds kPatience{2000};  // for a connection, and for an answer after that wait
constexpr std::chrono::milliseconds kTooSoon{100};    // for an answer with no news
constexpr std::size_t kMostList = 4 * 1024 * 1024;

}  // namespace

void Watch::run() {
  while (balancer_.await_watch()) {
    ++counters_.watches;
    try {
      follow();
    } catch (const std::exception& broken) {
      log::warning("discovery: {}", broken.what());
    }
    if (shutter_.is_shut()) return;
    // The decisions ask again in their own time, with growing waits.
    ++counters_.watches_failed;
    balancer_.told(ListForm::failed, {});
  }
}

// A watch goes on only while the next call comes within 200 ms of the last answer: the connection is kept and
// the next call written at once. Where the connection ends between two calls, a new one is made at once.
void Watch::follow() {
  while (calls_on_one_connection() && !shutter_.is_shut()) {
  }
}

// True if the last one was answered, or at least one was and the connection has ended since.
bool Watch::calls_on_one_connection() {
  const Fd fd = new_socket();
  if (!fd) return false;
  const Shutter::Hold hold(shutter_, fd.get());
  if (shutter_.is_shut() || connect_to(fd.get(), discovery_, Moment::clock::now() + kPatience) != Io::done)
    return false;
  Reader in(fd.get());
  for (bool answered = false;; answered = true) {
    const Moment asked = Moment::clock::now();
    const std::string call = fmt::format("GET /discovery/hosts?index={}&wait={} HTTP/1.1\r\nHost: {}\r\n\r\n",
                                         version_, kWait.count(), address_text(discovery_));
    if (write_all(fd.get(), call, asked + kPatience) != Io::done) return answered;
    Response r;
    const Got got = read_response(in, asked + kWait + kPatience, r, kMostList);
    if (got != Got::whole || r.status != 200) {
      if (!shutter_.is_shut())
        log::info("discovery: {}",
                  got == Got::whole ? fmt::format("status {}", r.status) : "no whole answer");
      return answered && got != Got::whole;
    }
    const Listing list = directory_.read(r.body);
    version_ = list.version;
    log::debug("list {} {} with {} entries", list.version, list.full ? "full" : "delta", list.entries.size());
    const bool news = list.full || !list.entries.empty();
    balancer_.told(list.full ? ListForm::full : ListForm::delta, list.entries);
    // A service that does not wait would be asked without end; nothing comes on the connection meanwhile.
    if (!news && Moment::clock::now() - asked < kTooSoon)
      wait_readable(fd.get(), Moment::clock::now() + kTooSoon);
    if (!r.keep_alive) return true;
  }
}

}  // namespace troutstage::net
