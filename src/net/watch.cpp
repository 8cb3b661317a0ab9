#include "net/watch.h"

#include <fmt/format.h>

#include <algorithm>

#include "log/log.h"
#include "net/http.h"
#include "net/protocol.h"

namespace troutstage::net {
namespace {

// What discovery is asked to wait at the most. A connection that has fallen silent looks like one with no
// news: for as long as this is, and some patience, what has gone stays listed and what is new stays idle.
// Each call is work for discovery, though: where it turns calls away they grow longer, and shorter again with
// each answer.
constexpr std::chrono::milliseconds kWait{3000}, kLongestWait{24000};
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
// the next call written at once. Where the connection ends between two calls, a new one is made at once.
void Watch::follow() {
  for (;;) {
    sockaddr_in discovery;
    std::shared_ptr<Shutter> shutter;
    {
      std::lock_guard held(lock_);
      if (stopped_) return;
      discovery = discovery_;
      shutter = shutter_;
      // Versions of two places have nothing to do with each other. Only this thread tells lists, so one of
      // the old place that was still on the way can't come after the whole list of the new one.
      if (std::exchange(moved_, false)) version_ = kWholeList;
    }
    if (!calls_on_one_connection(discovery, *shutter) && !shutter->is_shut()) return;
  }
}

void Watch::stop() {
  std::lock_guard held(lock_);
  stopped_ = true;
  shutter_->shut();
}

void Watch::move(const sockaddr_in& discovery) {
  {
    std::lock_guard held(lock_);
    discovery_ = discovery;
    moved_ = true;
    std::exchange(shutter_, std::make_shared<Shutter>())->shut();
  }
  balancer_.watch_now();
}

// True if the last one was answered, or at least one was and the connection has ended since.
bool Watch::calls_on_one_connection(const sockaddr_in& discovery, Shutter& shutter) {
  const Fd fd = new_socket();
  if (!fd) return false;
  const Shutter::Hold hold(shutter, fd.get());
  if (shutter.is_shut() || connect_to(fd.get(), discovery, Moment::clock::now() + kPatience) != Io::done)
    return false;
  Reader in(fd.get());
  wait_ = std::max(kWait, wait_);
  for (bool answered = false;; answered = true) {
    const Moment asked = Moment::clock::now();
    const std::string which =
        version_ == kWholeList ? "" : fmt::format("?index={}&wait={}", version_, wait_.count());
    const std::string call =
        fmt::format("GET /discovery/hosts{} HTTP/1.1\r\nHost: {}\r\n\r\n", which, address_text(discovery));
    if (write_all(fd.get(), call, asked + kPatience) != Io::done) return answered;
    Response r;
    const Got got = read_response(in, asked + wait_ + kPatience, r, kMostList);
    if (got != Got::whole || r.status != 200) {
      if (!shutter.is_shut())
        log::info("discovery: {}",
                  got == Got::whole ? fmt::format("status {}", r.status) : "no whole answer");
      if (got == Got::whole) wait_ = std::min(kLongestWait, wait_ * 2);
      return answered && got != Got::whole;
    }
    wait_ = std::max(kWait, wait_ / 2);
    const Listing list = directory_.read(r.body, balancer_.released());
    version_ = list.version;
    log::debug("list {} {} with {} entries", list.version, list.full ? "full" : "delta", list.entries.size());
    const bool news = list.full || !list.entries.empty();
    balancer_.told(list.full ? ListForm::full : ListForm::delta, list.entries);
    if (on_list_) on_list_();
    // A service that does not wait would be asked without end; nothing comes on the connection meanwhile.
    if (!news && Moment::clock::now() - asked < kTooSoon)
      wait_readable(fd.get(), Moment::clock::now() + kTooSoon);
    if (!r.keep_alive) return true;
  }
}

}  // namespace troutstage::net
