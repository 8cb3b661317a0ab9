// Counters of what a node accepted, handed off and answered, and the snapshots made of them.
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

// Final answers of one workload, including requests that this node had no capacity for. Counted by the
// workload's name: a workload that a reload removes and another reload adds again continues its counts.
struct AnswerCounts {
  std::atomic<std::uint64_t> succeeded{0}, rejected{0}, given_up{0};
};
// The AnswerCounts of all workloads that were ever configured, by name. May be used from any thread.
class AnswerCountsByWorkload {
 public:
  // The counters of this workload; creates them at the first call.
  std::shared_ptr<AnswerCounts> of(const std::string& workload);
  std::map<std::string, std::shared_ptr<AnswerCounts>> all() const;

 private:
  mutable std::mutex lock_;
  std::map<std::string, std::shared_ptr<AnswerCounts>> all_;
};

// A snapshot of a node's metrics, for the admin endpoint.
struct NodeMetrics {
  struct WorkloadAnswers {
    std::uint64_t succeeded = 0, rejected = 0, given_up = 0;
  };
  std::map<std::string, WorkloadAnswers> by_workload;
  // Hand-offs whose last byte was written, and invocations that have not ended.
  std::uint64_t written = 0, open = 0;
  // Numbers of backends: in the list, and of these the backends that are stopping or are outliers now.
  std::size_t listed = 0, avoided = 0;
  std::uint64_t reloads = 0, reloads_failed = 0;
};

// All counters of a node. Any thread may count. A member that text() writes out has the same name there.
struct Counters {
  using Count = std::atomic<std::uint64_t>;
  // Every accepted invocation ends in exactly one of the five counters below `taken`, or is still held.
  // `open`: accepted, and the answer is not yet completely written.
  Count taken{0}, open{0};
  Count succeeded{0}, rejected{0}, given_up{0}, client_gone{0}, broke_inside{0};
  // `handed_off`: hand-offs that the balancer decided on, including those that can't be started. `written`:
  // the last byte was written to a backend. Every hand-off ends with one ExchangeResult, or is still in
  // flight.
  Count handed_off{0}, written{0};
  std::array<Count, kExchangeResultNames.size()> ended{};
  // Client connections: accepted, and accept calls that failed. Connections opened to backends. Requests
  // rejected because this node has no capacity for them, or because it shuts down. Answers that could not be
  // written to the client, and forwarded answers that were cut short. Request bodies that were streamed to a
  // backend, and answers that were forwarded while they arrived.
  Count connections_taken{0}, accepts_failed{0}, connections_opened{0}, turned_off_full{0},
      turned_off_stopping{0}, answers_unread{0}, answers_cut{0}, bodies_flowed{0}, answers_flowed{0};
  // Pauses of 0.25 s within answers of backends.
  Count answers_paused{0}, answers_dropped{0}, bodies_unsent{0};
  // Long answers that were refused before they began, since memory was scarce.
  Count long_answers_refused{0}, long_bodies_refused{0};
  // Refused requests, by RequestError; without no_room, which turned_off_full counts.
  std::array<Count, kRequestErrorNames.size()> bad{};
  // Clients' connections that were closed, by CloseReason.
  std::array<Count, kCloseReasonNames.size()> closed{};
  // The node's own threads that ended with an exception and were restarted.
  Count broke_inside_threads{0};
  // Stalls: pauses of the process of 50 ms or longer, and the longest of them.
  Count held_up{0}, held_up_longest_ms{0};
  // Requests that were read, as far as is known, 20 ms or longer after their last byte arrived.
  Count read_late{0};
  // Requests, by the source of their arrival time: the system's times, or the checks of the socket alone.
  Count arrivals_by_system{0}, arrivals_by_looks{0};
  // Checks of whether the system's times are correct: one check, made when the first client's connection has
  // such times.
  Count system_times_checks{0};
  // Requests for which the time reported by the system contradicts the checks of the socket.
  Count system_times_contradicted{0};
  // Clients that disconnected without an answer, no earlier than 0.1 s before their time limit. Requests with
  // a streamed body are not counted.
  Count left_at_limit{0};
  // Discovery polls: started; ended by anything but an answer; and of these, without any response.
  Count watches{0}, watches_failed{0}, watches_silent{0};
  // When discovery last answered with a list, in ms of the steady clock; -1: never.
  std::atomic<std::int64_t> list_received_at_ms{-1};
  Count reloads{0}, reloads_failed{0};
  AnswerCountsByWorkload answers;

  // Counts and logs a stall of the process.
  void record_stall(std::chrono::milliseconds duration);
  // Notes that discovery answered with a list now.
  void record_list();
  // Age of the last list from discovery, in ms; -1: no list yet.
  std::int64_t list_age_ms() const;
  // Counts how a hand-off ended.
  void count(ExchangeResult result) { ++ended[static_cast<std::size_t>(result)]; }
  // The sum of `bad`.
  std::uint64_t bad_requests() const;
  // One line for each counter: its name, a space, its value.
  std::string text() const;
};

}  // namespace troutstage::net
