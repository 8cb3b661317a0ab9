#include "net/watch.h"

#include <fmt/format.h>

#include <algorithm>

#include "log/log.h"
#include "net/http.h"
#include "net/protocol.h"

namespace troutstage::net {
namespace {

constexpr std::chrono::milliseconds kConnectLimit{1000};  // a connection, and room to write a call
constexpr std::chrono::milliseconds kAnswerLimit{2000};   // an answer that has begun
constexpr std::chrono::milliseconds kMinPollInterval{100};   // for an answer with no news
constexpr std::size_t kMaxListBytes = 4 * 1024 * 1024;

std::chrono::microseconds microseconds_of(TenthsOfMs t) { return std::chrono::microseconds(t * 100); }
TenthsOfMs tenths_of_ms_of(TimePoint when) {
  return std::chrono::duration_cast<std::chrono::microseconds>(when.time_since_epoch()).count() / 100;
}

}  // namespace

void DiscoveryWatch::run() {
  // Begun again after a break, it does not wait for an order that it was given before.
  if (!was_requested_ && !balancer_.wait_for_discovery_request()) return;
  was_requested_ = true;
  poll_until_stopped();
}

// A watch goes on only while the next call comes within 200 ms of the last answer: the connection is kept and
// the next call written at once.
void DiscoveryWatch::poll_until_stopped() {
  for (;; pause(microseconds_of(next_.pause))) {
    sockaddr_in discovery;
    std::shared_ptr<SocketInterrupter> shutter;
    {
      std::lock_guard held(lock_);
      if (stopped_) return;
      discovery = discovery_;
      shutter = interrupter_;
      // Versions of two places have nothing to do with each other. Only this thread tells lists, so one of
      // the old place that was still on the way can't come after the whole list of the new one.
      if (std::exchange(has_moved_, false)) version_ = kNoVersion, next_ = schedule_.after(tenths_of_ms_of(TimePoint::clock::now()), PollResult::address_changed);
    }
    PollResult was = PollResult::lost;
    ++counters_.watches;
    try {
      was = poll_on_one_connection(discovery, *shutter);
    } catch (const std::exception& broken) {
      log::warning("discovery: {}", broken.what());
    }
    const bool ended_between = was == PollResult::lost && schedule_.is_established();
    if (!shutter->is_interrupted() && !ended_between) ++counters_.watches_failed;
    if (was == PollResult::silent) ++counters_.watches_silent;
    next_ = schedule_.after(tenths_of_ms_of(TimePoint::clock::now()), was);
  }
}

void DiscoveryWatch::pause(std::chrono::microseconds time) {
  std::unique_lock held(lock_);
  changed_.wait_for(held, time, [this] { return stopped_ || has_moved_; });
}

void DiscoveryWatch::stop() {
  std::lock_guard held(lock_);
  stopped_ = true;
  changed_.notify_all();
  interrupter_->interrupt();
}

void DiscoveryWatch::move(const sockaddr_in& discovery) {
  {
    std::lock_guard held(lock_);
    discovery_ = discovery;
    has_moved_ = true;
    changed_.notify_all();
    std::exchange(interrupter_, std::make_shared<SocketInterrupter>())->interrupt();
  }
  balancer_.request_discovery();
}

// Answered calls are told as they come; what became of the last one.
DiscoveryWatch::PollResult DiscoveryWatch::poll_on_one_connection(const sockaddr_in& discovery, SocketInterrupter& shutter) {
  const Fd fd = new_socket();
  if (!fd) return PollResult::lost;
  const SocketInterrupter::Attachment hold(shutter, fd.get());
  if (shutter.is_interrupted() || connect_to(fd.get(), discovery, TimePoint::clock::now() + kConnectLimit) != IoResult::done) return PollResult::lost;
  Reader in(fd.get());
  for (;;) {
    const TimePoint asked = TimePoint::clock::now();
    const bool waits = version_ != kNoVersion;
    const std::string which = waits ? fmt::format("?index={}&wait={}", version_, next_.wait / 10) : "";
    const std::string call =
        fmt::format("GET /discovery/hosts{} HTTP/1.1\r\nHost: {}\r\n\r\n", which, address_text(discovery));
    if (write_all(fd.get(), call, asked + kConnectLimit) != IoResult::done) return PollResult::lost;
    if (wait_readable(fd.get(), asked + microseconds_of((waits ? next_.wait : 0) + next_.answer_timeout)) == IoResult::late) {
      log::info("discovery: no answer in {} ms", std::chrono::duration_cast<std::chrono::milliseconds>(TimePoint::clock::now() - asked).count());
      return PollResult::silent;
    }
    Response r;
    const ReadResult got = read_response(in, TimePoint::clock::now() + kAnswerLimit, r, kMaxListBytes);
    if (got != ReadResult::whole || r.status != 200) {
      if (!shutter.is_interrupted()) log::info("discovery: {}", got == ReadResult::whole ? fmt::format("status {}", r.status) : "no whole answer");
      return got == ReadResult::whole ? PollResult::turned_away : got == ReadResult::late ? PollResult::silent : PollResult::lost;
    }
    const DiscoveryList list = directory_.read(r.body, balancer_.take_released());
    version_ = list.has_unidentified_entry ? kNoVersion : list.version;
    log::debug("list {} {} with {} entries", list.version, list.full ? "full" : "delta", list.entries.size());
    counters_.record_list();
    const bool news = list.full || !list.entries.empty();
    balancer_.update_backends(list.full ? ListForm::full : ListForm::delta, list.entries);
    if (on_list_) on_list_();
    next_ = schedule_.after(tenths_of_ms_of(TimePoint::clock::now()), PollResult::answered);
    // A service that does not wait would be asked without end.
    if (!news && TimePoint::clock::now() - asked < kMinPollInterval) pause(kMinPollInterval);
    if (!r.keep_alive) return PollResult::lost;
  }
}

}  // namespace troutstage::net
