#include "net/watch.h"

#include <fmt/format.h>

#include <algorithm>

#include "log/log.h"
#include "net/http.h"
#include "net/protocol.h"

namespace troutstage::net {
namespace {

constexpr std::chrono::milliseconds kComesUp{1000};  // a connection, and room to write a call
constexpr std::chrono::milliseconds kGoesOn{2000};   // an answer that has begun
constexpr std::chrono::milliseconds kTooSoon{100};   // for an answer with no news
constexpr std::size_t kMostList = 4 * 1024 * 1024;

std::chrono::microseconds span(Tenths t) { return std::chrono::microseconds(t * 100); }
Tenths steady(Moment when) {
  return std::chrono::duration_cast<std::chrono::microseconds>(when.time_since_epoch()).count() / 100;
}

}  // namespace

void Watch::run() {
  // Begun again after a break, it does not wait for an order that it was given before.
  if (!wanted_ && !balancer_.await_watch()) return;
  wanted_ = true;
  follow();
}

// A watch goes on only while the next call comes within 200 ms of the last answer: the connection is kept and
// the next call written at once.
void Watch::follow() {
  for (;; pause(span(next_.pause))) {
    sockaddr_in discovery;
    std::shared_ptr<Shutter> shutter;
    {
      std::lock_guard held(lock_);
      if (stopped_) return;
      discovery = discovery_;
      shutter = shutter_;
      // Versions of two places have nothing to do with each other. Only this thread tells lists, so one of
      // the old place that was still on the way can't come after the whole list of the new one.
      if (std::exchange(moved_, false)) version_ = kWholeList, next_ = pace_.after(steady(Moment::clock::now()), Was::moved);
    }
    Was was = Was::lost;
    ++counters_.watches;
    try {
      was = calls_on_one_connection(discovery, *shutter);
    } catch (const std::exception& broken) {
      log::warning("discovery: {}", broken.what());
    }
    const bool ended_between = was == Was::lost && pace_.goes_on();
    if (!shutter->is_shut() && !ended_between) ++counters_.watches_failed;
    if (was == Was::silent) ++counters_.watches_silent;
    next_ = pace_.after(steady(Moment::clock::now()), was);
  }
}

void Watch::pause(std::chrono::microseconds time) {
  std::unique_lock held(lock_);
  changed_.wait_for(held, time, [this] { return stopped_ || moved_; });
}

void Watch::stop() {
  std::lock_guard held(lock_);
  stopped_ = true;
  changed_.notify_all();
  shutter_->shut();
}

void Watch::move(const sockaddr_in& discovery) {
  {
    std::lock_guard held(lock_);
    discovery_ = discovery;
    moved_ = true;
    changed_.notify_all();
    std::exchange(shutter_, std::make_shared<Shutter>())->shut();
  }
  balancer_.watch_now();
}

// Answered calls are told as they come; what became of the last one.
Watch::Was Watch::calls_on_one_connection(const sockaddr_in& discovery, Shutter& shutter) {
  const Fd fd = new_socket();
  if (!fd) return Was::lost;
  const Shutter::Hold hold(shutter, fd.get());
  if (shutter.is_shut() || connect_to(fd.get(), discovery, Moment::clock::now() + kComesUp) != Io::done) return Was::lost;
  Reader in(fd.get());
  for (;;) {
    const Moment asked = Moment::clock::now();
    const bool waits = version_ != kWholeList;
    const std::string which = waits ? fmt::format("?index={}&wait={}", version_, next_.wait / 10) : "";
    const std::string call =
        fmt::format("GET /discovery/hosts{} HTTP/1.1\r\nHost: {}\r\n\r\n", which, address_text(discovery));
    if (write_all(fd.get(), call, asked + kComesUp) != Io::done) return Was::lost;
    if (wait_readable(fd.get(), asked + span((waits ? next_.wait : 0) + next_.patience)) == Io::late) {
      log::info("discovery: no answer in {} ms", std::chrono::duration_cast<std::chrono::milliseconds>(Moment::clock::now() - asked).count());
      return Was::silent;
    }
    Response r;
    const Got got = read_response(in, Moment::clock::now() + kGoesOn, r, kMostList);
    if (got != Got::whole || r.status != 200) {
      if (!shutter.is_shut()) log::info("discovery: {}", got == Got::whole ? fmt::format("status {}", r.status) : "no whole answer");
      return got == Got::whole ? Was::turned_away : got == Got::late ? Was::silent : Was::lost;
    }
    const Listing list = directory_.read(r.body, balancer_.released());
    version_ = list.hides ? kWholeList : list.version;
    log::debug("list {} {} with {} entries", list.version, list.full ? "full" : "delta", list.entries.size());
    counters_.list_came();
    const bool news = list.full || !list.entries.empty();
    balancer_.told(list.full ? ListForm::full : ListForm::delta, list.entries);
    if (on_list_) on_list_();
    next_ = pace_.after(steady(Moment::clock::now()), Was::answered);
    // A service that does not wait would be asked without end.
    if (!news && Moment::clock::now() - asked < kTooSoon) pause(kTooSoon);
    if (!r.keep_alive) return Was::lost;
  }
}

}  // namespace troutstage::net
