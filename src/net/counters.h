// What a node took in, handed off and answered.
#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "net/closing.h"
#include "net/ending.h"
#include "net/http.h"

namespace troutstage::net {

// Final answers of one workload, also of what this node has no place for. They belong to its name: one that a
// reload takes away and another brings back counts on.
struct AnswerCounts {
  std::atomic<std::uint64_t> succeeded{0}, rejected{0}, given_up{0};
};
class AnswerCountsByWorkload {
 public:
  std::shared_ptr<AnswerCounts> of(const std::string& workload);
  std::map<std::string, std::shared_ptr<AnswerCounts>> all() const;

 private:
  mutable std::mutex lock_;
  std::map<std::string, std::shared_ptr<AnswerCounts>> all_;
};

// What a node shows of itself at one moment.
struct NodeMetrics {
  struct WorkloadAnswers {
    std::uint64_t succeeded = 0, rejected = 0, given_up = 0;
  };
  std::map<std::string, WorkloadAnswers> by_workload;
  std::uint64_t written = 0, open = 0;  // hand-offs whose last byte is out; invocations not ended
  std::size_t listed = 0, avoided = 0;  // backends
  std::uint64_t reloads = 0, reloads_failed = 0;
};

struct Counters {
  using Count = std::atomic<std::uint64_t>;
  // Every invocation taken ends as one of the five below it, or is still held.
  Count taken{0}, open{0};  // open: taken, and its answer not yet written whole
  Count succeeded{0}, rejected{0}, given_up{0}, client_gone{0}, broke_inside{0};
  // Every hand-off ends in one of the ways of Ended, or is still out.
  Count handed_off{0}, written{0};  // to a thread; with its last byte to a backend
  std::array<Count, kExchangeResultNames.size()> ended{};
  Count connections_taken{0}, accepts_failed{0}, connections_opened{0}, turned_off_full{0},
      turned_off_stopping{0}, answers_unread{0}, answers_cut{0}, bodies_flowed{0}, answers_flowed{0};
  std::array<Count, kRequestErrorNames.size()> bad{};  // requests, by what is wrong with them
  std::array<Count, kCloseReasonNames.size()> closed{};  // clients' connections, by why
  Count broke_inside_threads{0};  // the node's own, begun again
  Count held_up{0}, held_up_longest_ms{0};  // times that the process stood still for 50 ms or longer
  Count read_late{0};  // requests that were read, as far as is known, 20 ms or longer after their last byte
  Count arrivals_by_system{0}, arrivals_by_looks{0};  // requests, by what their arrival is taken from
  Count system_times_checks{0};  // of whether the system's word on them is true: one, once a client's connection offers it
  Count system_times_contradicted{0};  // requests of whose last byte the system said what the looks at its connection exclude
  Count left_at_limit{0};  // clients that left unanswered within 0.1 s of their limit, or later
  Count watches{0}, watches_failed{0}, watches_silent{0};  // begun; ended by anything but an answer; of those, silent
  std::atomic<std::int64_t> list_received_at_ms{-1};  // of the steady clock, in ms: when discovery last answered with a list; -1: never
  Count reloads{0}, reloads_failed{0};
  AnswerCountsByWorkload answers;

  void record_stall(std::chrono::milliseconds span);
  void record_list();
  std::int64_t list_age_ms() const;  // -1: none has come yet
  void count(ExchangeResult how) { ++ended[static_cast<std::size_t>(how)]; }
  std::uint64_t bad_requests() const;
  std::string text() const;  // a line for each: its name and figure
};

}  // namespace troutstage::net
