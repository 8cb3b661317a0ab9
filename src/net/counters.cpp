#include "net/counters.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

#include "log/log.h"
#include "net/failures.h"

namespace troutstage::net {

std::shared_ptr<AnswerCounts> AnswerCountsByWorkload::of(const std::string& workload) {
  std::lock_guard lock(lock_);
  std::shared_ptr<AnswerCounts>& counts = all_[workload];
  if (!counts) counts = std::make_shared<AnswerCounts>();
  return counts;
}
std::map<std::string, std::shared_ptr<AnswerCounts>> AnswerCountsByWorkload::all() const {
  std::lock_guard lock(lock_);
  return all_;
}

std::uint64_t Counters::bad_requests() const {
  std::uint64_t all = 0;
  for (const Count& n : bad) all += n;
  return all;
}

namespace {

std::int64_t steady_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace

void Counters::record_stall(std::chrono::milliseconds duration) {
  ++held_up;
  const auto ms = static_cast<std::uint64_t>(duration.count());
  if (ms > held_up_longest_ms) held_up_longest_ms = ms;
  log::event("held_up", {{"ms", ms}});
}
void Counters::record_list() { list_received_at_ms = steady_ms(); }
std::int64_t Counters::list_age_ms() const {
  const std::int64_t received_at_ms = list_received_at_ms;
  return received_at_ms < 0 ? -1 : std::max<std::int64_t>(0, steady_ms() - received_at_ms);
}

std::string Counters::text() const {
  std::string out;
  const auto line = [&](std::string_view name, auto value) { out += fmt::format("{} {}\n", name, value); };
  // The counters of ended work are read before the counters of accepted work, so that no sum of ends is
  // larger than what was accepted.
  const std::uint64_t answered = succeeded + rejected + given_up + client_gone + broke_inside;
  std::uint64_t ended_hand_offs = 0;
  for (const Count& n : ended) ended_hand_offs += n;
  const std::uint64_t accepted = taken, sent = handed_off;
  line("taken", accepted);
  line("held", accepted - answered);
  line("succeeded", succeeded.load());
  line("rejected", rejected.load());
  line("given_up", given_up.load());
  line("client_gone", client_gone.load());
  line("broke_inside", broke_inside.load());
  line("handed_off", sent);
  line("out", sent - ended_hand_offs);
  line("written", written.load());
  for (std::size_t i = 0; i < ended.size(); ++i)
    line(fmt::format("ended_{}", kExchangeResultNames[i]), ended[i].load());
  line("connections_taken", connections_taken.load());
  line("accepts_failed", accepts_failed.load());
  line("connections_opened", connections_opened.load());
  line("bad_requests", bad_requests());
  for (std::size_t i = 0; i < bad.size(); ++i)
    if (bad[i] > 0) line(fmt::format("bad_{}", kRequestErrorNames[i]), bad[i].load());
  line("turned_off_full", turned_off_full.load());
  line("turned_off_stopping", turned_off_stopping.load());
  line("answers_unread", answers_unread.load());
  line("answers_cut", answers_cut.load());
  line("bodies_flowed", bodies_flowed.load());
  line("answers_flowed", answers_flowed.load());
  line("answers_paused", answers_paused.load());
  line("answers_dropped", answers_dropped.load());
  line("bodies_unsent", bodies_unsent.load());
  line("long_answers_refused", long_answers_refused.load());
  line("long_bodies_refused", long_bodies_refused.load());
  for (std::size_t i = 0; i < closed.size(); ++i)
    line(fmt::format("closed_{}", kCloseReasonNames[i]), closed[i].load());
  line("broke_inside_threads", broke_inside_threads.load());
  line("held_up", held_up.load());
  line("held_up_longest_ms", held_up_longest_ms.load());
  line("read_late", read_late.load());
  line("arrivals_by_system", arrivals_by_system.load());
  line("arrivals_by_looks", arrivals_by_looks.load());
  line("system_times_checks", system_times_checks.load());
  line("system_times_contradicted", system_times_contradicted.load());
  line("left_at_limit", left_at_limit.load());
  line("shortages", shortages());
  line("watches", watches.load());
  line("watches_failed", watches_failed.load());
  line("watches_silent", watches_silent.load());
  line("list_age_ms", list_age_ms());
  line("reloads", reloads.load());
  line("reloads_failed", reloads_failed.load());
  line("log_lines_dropped", log::lines_dropped());
  return out;
}

}  // namespace troutstage::net
