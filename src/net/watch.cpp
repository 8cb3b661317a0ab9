#include "net/watch.h"

#include <fmt/format.h>

#include <algorithm>

#include "log/log.h"
#include "net/http.h"
#include "net/protocol.h"

namespace troutstage::net {
namespace {

constexpr std::chrono::milliseconds kConnectLimit{1000};    // to connect, and to write a request
constexpr std::chrono::milliseconds kAnswerLimit{2000};     // to read an answer that has begun
constexpr std::chrono::milliseconds kMinPollInterval{100};  // between polls whose answers hold no changes
constexpr std::size_t kMaxListBytes = 4 * 1024 * 1024;

std::chrono::microseconds microseconds_of(TenthsOfMs t) { return std::chrono::microseconds(t * 100); }
TenthsOfMs tenths_of_ms_of(TimePoint when) {
  return std::chrono::duration_cast<std::chrono::microseconds>(when.time_since_epoch()).count() / 100;
}

}  // namespace

void DiscoveryWatch::run() {
  // Called again after an exception, run() does not wait for the request that the balancer made before.
  if (!was_requested_ && !balancer_.wait_for_discovery_request()) return;
  was_requested_ = true;
  poll_until_stopped();
}

// Discovery keeps a watch only while the next poll comes within 200 ms of the last answer, so the connection
// is kept and the next poll is written at once.
void DiscoveryWatch::poll_until_stopped() {
  for (;; wait_between_polls(microseconds_of(next_.pause))) {
    sockaddr_in discovery;
    std::shared_ptr<SocketInterrupter> interrupter;
    {
      std::lock_guard lock(lock_);
      if (stopped_) return;
      discovery = discovery_;
      interrupter = interrupter_;
      // Versions at two addresses are unrelated. Only this thread passes lists to the balancer, so a list
      // from the old address can't follow the whole list from the new one.
      if (std::exchange(has_moved_, false))
        version_ = kNoVersion,
        next_ = schedule_.after(tenths_of_ms_of(TimePoint::clock::now()), PollResult::address_changed);
    }
    PollResult result = PollResult::lost;
    ++counters_.watches;
    try {
      result = poll_on_one_connection(discovery, *interrupter);
    } catch (const std::exception& error) {
      log::warning("discovery: {}", error.what());
    }
    const bool was_closed_after_answer = result == PollResult::lost && schedule_.is_established();
    if (!interrupter->is_interrupted() && !was_closed_after_answer) ++counters_.watches_failed;
    if (result == PollResult::silent) ++counters_.watches_silent;
    next_ = schedule_.after(tenths_of_ms_of(TimePoint::clock::now()), result);
  }
}

void DiscoveryWatch::wait_between_polls(std::chrono::microseconds duration) {
  std::unique_lock lock(lock_);
  changed_.wait_for(lock, duration, [this] { return stopped_ || has_moved_; });
}

void DiscoveryWatch::stop() {
  std::lock_guard lock(lock_);
  stopped_ = true;
  changed_.notify_all();
  interrupter_->interrupt();
}

void DiscoveryWatch::move(const sockaddr_in& discovery) {
  {
    std::lock_guard lock(lock_);
    discovery_ = discovery;
    has_moved_ = true;
    changed_.notify_all();
    std::exchange(interrupter_, std::make_shared<SocketInterrupter>())->interrupt();
  }
  balancer_.request_discovery();
}

// Passes each list to the balancer as it arrives.
DiscoveryWatch::PollResult DiscoveryWatch::poll_on_one_connection(const sockaddr_in& discovery,
                                                                  SocketInterrupter& interrupter) {
  const Fd fd = new_socket();
  if (!fd) return PollResult::lost;
  const SocketInterrupter::Attachment attachment(interrupter, fd.get());
  if (interrupter.is_interrupted() ||
      connect_to(fd.get(), discovery, TimePoint::clock::now() + kConnectLimit) != IoResult::done)
    return PollResult::lost;
  Reader reader(fd.get());
  for (;;) {
    const TimePoint polled_at = TimePoint::clock::now();
    const bool is_long_poll = version_ != kNoVersion;
    const std::string query = is_long_poll ? fmt::format("?index={}&wait={}", version_, next_.wait / 10) : "";
    const std::string request =
        fmt::format("GET /discovery/hosts{} HTTP/1.1\r\nHost: {}\r\n\r\n", query, address_text(discovery));
    if (write_all(fd.get(), request, polled_at + kConnectLimit) != IoResult::done) return PollResult::lost;
    if (wait_readable(fd.get(), polled_at + microseconds_of((is_long_poll ? next_.wait : 0) +
                                                            next_.answer_timeout)) == IoResult::late) {
      log::info(
          "discovery: no answer in {} ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(TimePoint::clock::now() - polled_at).count());
      return PollResult::silent;
    }
    Response response;
    const ReadResult read_result =
        read_response(reader, TimePoint::clock::now() + kAnswerLimit, response, kMaxListBytes);
    if (read_result != ReadResult::whole || response.status != 200) {
      if (!interrupter.is_interrupted())
        log::info("discovery: {}", read_result == ReadResult::whole
                                       ? fmt::format("status {}", response.status)
                                       : "no whole answer");
      return read_result == ReadResult::whole  ? PollResult::turned_away
             : read_result == ReadResult::late ? PollResult::silent
                                               : PollResult::lost;
    }
    const DiscoveryList list = directory_.read(response.body, balancer_.take_released());
    // Changes since a version that discovery has not reached are those of another process of its own: what
    // changed before they began is only known after a whole list.
    const bool is_other_process = !list.full && list.version < version_;
    if (is_other_process)
      log::info("discovery: version {} after {}, another process", list.version, version_);
    version_ = list.has_unidentified_entry || is_other_process ? kNoVersion : list.version;
    log::debug("list {} {} with {} entries", list.version, list.full ? "full" : "delta", list.entries.size());
    counters_.record_list();
    const bool has_news = list.full || !list.entries.empty();
    balancer_.update_backends(list.full ? ListForm::full : ListForm::delta, list.entries);
    if (on_list_) on_list_();
    next_ = schedule_.after(tenths_of_ms_of(TimePoint::clock::now()), PollResult::answered);
    // A discovery service that does not hold long polls open would be polled without pause.
    if (!has_news && !is_other_process && TimePoint::clock::now() - polled_at < kMinPollInterval)
      wait_between_polls(kMinPollInterval);
    if (!response.keep_alive) return PollResult::lost;
  }
}

}  // namespace troutstage::net
