// When requests were sent, reached backends and were answered, and when their nodes stood still, as clients
// and backends measured it; checked against the clients' limits once all are over.
#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace fault_fleet {

class Times {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  using milliseconds = std::chrono::milliseconds;
  static constexpr milliseconds kClientWaitsLonger{60};  // than its limit, before it closes its connection
  static constexpr milliseconds kPauseBeforeLimit{
      200};  // a pause that ends sooner can't delay an answer at the limit
  static constexpr milliseconds kToldSlack{150};  // of the time that a backend is told

  struct Verdict {
    std::vector<std::string> late;  // answered, or not, after the limit and what its client waits longer
    std::vector<std::string> late_at_pause;  // the same, and the node's process was stopped around the limit
    std::vector<std::string> told_too_long;  // a backend was told of more time than its client had left
    std::size_t requests = 0;
  };

  void sent(const std::string& id, const void* node, int limit_ms, std::string what, TimePoint last_byte) {
    std::lock_guard held(lock_);
    Request& request = requests_[id];
    request.node = node, request.limit = milliseconds(limit_ms), request.what = std::move(what);
    request.last_byte = last_byte;
  }
  // Its client waited for an answer until then; one that left early is not judged by its answer.
  void over(const std::string& id, TimePoint at, std::string how) {
    std::lock_guard held(lock_);
    requests_[id].over = at, requests_[id].how = std::move(how);
  }
  void attempt(const std::string& id, TimePoint at, int told_ms) {
    std::lock_guard held(lock_);
    attempts_[id].push_back({at, milliseconds(told_ms)});
  }
  // No node: the test itself.
  void paused(const void* node, TimePoint from, TimePoint to) {
    std::lock_guard held(lock_);
    pauses_[node].emplace_back(from, to);
  }

  Verdict judge() {
    std::lock_guard held(lock_);
    Verdict verdict;
    verdict.requests = requests_.size();
    for (const auto& [id, request] : requests_) {
      judge_answer(id, request, verdict);
      judge_told(id, request, verdict);
    }
    return verdict;
  }

 private:
  struct Request {
    const void* node = nullptr;
    milliseconds limit{0};
    std::string what, how;
    TimePoint last_byte, over;
  };
  struct Attempt {
    TimePoint at;
    milliseconds told;
  };

  static auto ms(TimePoint::duration span) { return std::chrono::duration_cast<milliseconds>(span).count(); }
  // Seconds of Unix time, as in the nodes' logs.
  static double in_logs(TimePoint when) {
    const auto ago = std::chrono::duration_cast<std::chrono::microseconds>(TimePoint::clock::now() - when);
    const auto unix_time = std::chrono::system_clock::now().time_since_epoch() - ago;
    return std::chrono::duration<double>(unix_time).count();
  }
  bool paused_around_limit(const Request& request) const {
    const auto pauses = pauses_.find(request.node);
    if (pauses == pauses_.end()) return false;
    const TimePoint limit = request.last_byte + request.limit;
    for (const auto& [from, to] : pauses->second)
      if (to >= limit - kPauseBeforeLimit && from <= limit + kClientWaitsLonger) return true;
    return false;
  }
  // For how long at most the test itself did not run meanwhile: the machine may have been busy. It excuses
  // nothing.
  std::string own_gap(TimePoint from, TimePoint to) const {
    milliseconds longest{0};
    const auto pauses = pauses_.find(nullptr);
    for (std::size_t i = 0; pauses != pauses_.end() && i < pauses->second.size(); ++i)
      if (const auto& [begin, end] = pauses->second[i]; end >= from && begin <= to)
        longest = std::max(longest, std::chrono::duration_cast<milliseconds>(end - begin));
    return fmt::format("{} ms", longest.count());
  }
  std::string first_attempt(const std::string& id, const Request& request) const {
    const auto attempts = attempts_.find(id);
    if (attempts == attempts_.end()) return "none";
    return fmt::format("{} ms", ms(attempts->second.front().at - request.last_byte));
  }
  void judge_answer(const std::string& id, const Request& request, Verdict& verdict) const {
    if (request.over == TimePoint()) return;
    const auto late_by = request.over - request.last_byte - request.limit;
    if (late_by <= kClientWaitsLonger) return;
    const bool at_pause = paused_around_limit(request);
    const std::string story = fmt::format(
        "{} {}, last byte {:.3f}, limit {} ms, {} {} ms after it, first attempt after {}, test held up {}{}",
        id, request.what, in_logs(request.last_byte), request.limit.count(), request.how, ms(late_by),
        first_attempt(id, request), own_gap(request.last_byte, request.over),
        at_pause ? ", process stopped around the limit" : "");
    (at_pause ? verdict.late_at_pause : verdict.late).push_back(story);
  }
  void judge_told(const std::string& id, const Request& request, Verdict& verdict) const {
    const auto attempts = attempts_.find(id);
    if (attempts == attempts_.end() || request.last_byte == TimePoint()) return;
    for (const Attempt& attempt : attempts->second) {
      const auto left = request.last_byte + request.limit - attempt.at;
      if (attempt.told > left + kToldSlack)
        verdict.told_too_long.push_back(fmt::format(
            "{} {}, last byte {:.3f}, limit {} ms: a backend was told {} ms with {} left, test held up {}",
            id, request.what, in_logs(request.last_byte), request.limit.count(), attempt.told.count(),
            ms(left), own_gap(request.last_byte, attempt.at)));
    }
  }

  std::mutex lock_;
  std::map<std::string, Request> requests_;
  std::map<std::string, std::vector<Attempt>> attempts_;
  std::map<const void*, std::vector<std::pair<TimePoint, TimePoint>>> pauses_;
};

}  // namespace fault_fleet
