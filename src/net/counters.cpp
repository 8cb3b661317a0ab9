#include "net/counters.h"

#include <fmt/format.h>

namespace troutstage::net {

std::shared_ptr<Answers> AnswersByName::of(const std::string& workload) {
  std::lock_guard held(lock_);
  std::shared_ptr<Answers>& found = all_[workload];
  if (!found) found = std::make_shared<Answers>();
  return found;
}
std::map<std::string, std::shared_ptr<Answers>> AnswersByName::all() const {
  std::lock_guard held(lock_);
  return all_;
}

std::uint64_t Counters::bad_requests() const {
  std::uint64_t all = 0;
  for (const Count& n : bad) all += n;
  return all;
}

std::string Counters::text() const {
  std::string out;
  const auto line = [&](std::string_view name, std::uint64_t figure) {
    out += fmt::format("{} {}\n", name, figure);
  };
  // What is in work is read before and what came is read after, so that no sum looks too large for a moment.
  const std::uint64_t answered = succeeded + rejected + given_up + client_gone + broke_inside;
  std::uint64_t over = 0;
  for (const Count& n : ended) over += n;
  const std::uint64_t came = taken, sent = handed_off;
  line("taken", came);
  line("held", came - answered);
  line("succeeded", succeeded);
  line("rejected", rejected);
  line("given_up", given_up);
  line("client_gone", client_gone);
  line("broke_inside", broke_inside);
  line("handed_off", sent);
  line("out", sent - over);
  line("written", written);
  for (std::size_t i = 0; i < ended.size(); ++i) line(fmt::format("ended_{}", kEndedNames[i]), ended[i]);
  line("connections_taken", connections_taken);
  line("accepts_failed", accepts_failed);
  line("connections_opened", connections_opened);
  line("bad_requests", bad_requests());
  for (std::size_t i = 0; i < bad.size(); ++i)
    if (bad[i] > 0) line(fmt::format("bad_{}", kBadNames[i]), bad[i]);
  line("turned_off_full", turned_off_full);
  line("turned_off_stopping", turned_off_stopping);
  line("answers_unread", answers_unread);
  line("answers_cut", answers_cut);
  line("bodies_flowed", bodies_flowed);
  line("answers_flowed", answers_flowed);
  line("watches", watches);
  line("watches_failed", watches_failed);
  line("watches_silent", watches_silent);
  line("reloads", reloads);
  line("reloads_failed", reloads_failed);
  return out;
}

}  // namespace troutstage::net
