// Thread-safe, blocking interface to the decision module (decide.h).
//
// A client's thread calls accept() for an invocation, then next_instruction() in a loop, and report() for
// each hand-off that has ended. One thread runs the timer with run_ticks(). The class does no I/O. Events and
// actions of the decision module stay inside; callers see only instructions.
//
// Times are in tenths of a millisecond of the Clock that the constructor gets. All public functions may be
// called from any thread.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "decide.h"

namespace troutstage::core {

// What is known of an invocation when it is accepted.
struct IncomingInvocation {
  Index workload = 0;
  Index tenant = kNone;
  TenthsOfMs valid_until = 0;  // end of the client's time limit
  double hint = 0;             // expected work in tenths of a millisecond; 0: the client gave no estimate
  bool is_client_retry = false;
  bool has_streaming_body = false;  // the request body is still arriving
  // Keeps the workload's index in use until the invocation ends.
  std::shared_ptr<const void> workload_reference;
  // When the last byte of the request arrived. A time after accept() counts as the time of accept().
  TenthsOfMs arrived = INT64_MAX;
  // Whether its hand-offs may be cancelled, until its end; empty: as the settings say when it is accepted.
  // A caller that runs hand-offs itself relies on their cancellation.
  std::optional<bool> may_cancel = std::nullopt;
};

// What the caller of next_instruction() does. kInstructionNames in src/net/ names the values in this order.
enum class InstructionKind {
  hand_off,   // send the invocation to a backend; uses number, backend, until, begin_by
  cancel,     // cancel hand-off `number`, which is in flight
  succeeded,  // final: send the client the answer of hand-off `number`
  reject,     // final: reject the invocation; uses retry_in
  give_up,    // final: report to the client that the invocation was given up
  gone,       // final: the client has disconnected, no answer is sent
};
// One instruction. The comments name the kinds that use a field.
struct Instruction {
  InstructionKind what = InstructionKind::give_up;
  int number = 0;                   // number of the hand-off within its invocation, from 0
  Index backend = kNone;            // hand_off: the target
  TenthsOfMs until = 0;             // hand_off: when to stop waiting for the answer
  TenthsOfMs retry_in = 0;          // reject: delay for the client's next try; 0: none given
  TenthsOfMs begin_by = INT64_MAX;  // hand_off: latest time to send; later, the hand-off must not be sent
};

struct Invocation;  // internal state of one invocation, defined in balancer.cpp
using InvocationHandle = std::shared_ptr<Invocation>;

// The decisions of one node for all of its invocations.
class Balancer {
 public:
  Balancer(const Settings& settings, const Clock& clock);

  // Accepts an invocation. The returned handle identifies the invocation in all further calls.
  InvocationHandle accept(const IncomingInvocation& incoming);
  // Blocks until there is an instruction. A call after a final instruction would block forever.
  Instruction next_instruction(const InvocationHandle& invocation);

  // Handles an instruction while the caller of next_instruction() runs a hand-off. Must neither block nor
  // call the Balancer. Returns false if a hand-off can't be sent; such a hand-off is not reported with
  // report().
  using UrgentHandler = std::function<bool(const Instruction&)>;
  // Passes each further hand-off and cancellation of `invocation` to `urgent_handler` until the next call of
  // next_instruction(). Instructions that are already queued are passed at once.
  void set_urgent_handler(const InvocationHandle& invocation, UrgentHandler urgent_handler);

  // Further facts on a hand-off that has ended.
  struct HandOffDetails {
    TenthsOfMs elapsed =
        -1;  // time since the request was sent whole; -1: unknown, measured from the decision
    bool is_body_consumed = false;  // the request body can't be sent again
    // The answer is forwarded before it is complete; forwarded_answer_ended() tells how it ends.
    bool is_partial = false;
  };
  // Reports how a hand-off ended. Must be called once for each hand-off that was received, also after a
  // cancellation.
  void report(const InvocationHandle& invocation, int number, Ending ending, const HandOffDetails& details);
  void report(const InvocationHandle& invocation, int number, Ending ending) {
    report(invocation, number, ending, HandOffDetails{});
  }
  // The rest of the body of an invocation with has_streaming_body was sent whole by this hand-off.
  void body_sent(const InvocationHandle& invocation, int number);
  // Another piece of an answer, which is still buffered, arrived for hand-off `number`. The next one is
  // expected within `expected_within`.
  void answer_progressed(const InvocationHandle& invocation, int number, TenthsOfMs expected_within);
  // The answer of hand-off `number` has begun, and will be forwarded shortly before the deadline of the
  // hand-off even if it is not complete then. May be called again.
  void answer_begun(const InvocationHandle& invocation, int number);
  // A forwarded answer is complete, or its backend failed to send the rest. The caller makes sure that the
  // indices are still in use.
  void forwarded_answer_ended(Index backend, Index workload, bool is_complete);
  // The answer of hand-off `number` has begun and pauses.
  void answer_paused(const InvocationHandle& invocation, int number);
  // The client has disconnected. Has no effect after the final answer.
  void client_gone(const InvocationHandle& invocation);
  // Ends every invocation by `when`, also those that are accepted later.
  void answer_all_by(TenthsOfMs when);
  // Whether the final answer is decided. From then on, no hand-off is sent for the invocation.
  bool is_answered(const InvocationHandle& invocation);

  // Applies settings to invocations that are accepted from now on. `inherits_from`: see NewSettings.
  void apply_settings(std::shared_ptr<const Settings> settings, std::vector<Index> inherits_from);
  struct BackendCounts {
    // The listed backends, and those of them that are stopping or are outliers now.
    std::size_t listed = 0, avoided = 0;
  };
  BackendCounts backend_counts();

  void tick();       // runs the timer if it is due
  void run_ticks();  // runs the timer each time that it is due; returns after stop()

  // Applies a list of backends, or the failure to get one, from discovery.
  void update_backends(ListForm form, std::vector<ListEntry> entries);
  void request_discovery();           // requests a watch of discovery, as the decision module does
  bool wait_for_discovery_request();  // blocks until a watch is requested; false: stop() was called
  void stop();                        // ends run_ticks() and wait_for_discovery_request()
  // Returns and clears the indices of backends that were released since the last call: discovery no longer
  // lists these backends and no invocation refers to them, so the indices can be reused.
  std::vector<Index> take_released();

 private:
  void handle_event(std::unique_lock<std::mutex>& lock, const Event& event);
  void report_unsent();
  void execute_all(const std::vector<Action>& actions);
  void execute(const Action& action);
  void finalize(Invocation& invocation);
  void add_instruction(Invocation& invocation, const Instruction& instruction);
  bool give_to_urgent_handler(Invocation& invocation, const Instruction& instruction);

  const Clock& clock_;
  std::mutex lock_;  // guards all members below and every Invocation
  std::condition_variable timer_changed_, discovery_requested_;
  Decider decider_;
  std::vector<InvocationHandle> invocations_;  // by invocation index; empty: the index is free
  std::vector<Index> free_indices_, released_backends_;
  // Hand-offs that were withdrawn before they were sent, or that the urgent handler could not send; still to
  // be reported to the decider.
  std::deque<HandOffEnded> unsent_hand_offs_;
  TenthsOfMs timer_due_ = INT64_MAX;  // the only timer; the decider counts on it until it gets TimerDue
  bool is_discovery_requested_ = false, is_stopped_ = false;
  BackendCounts backend_counts_;
};

}  // namespace troutstage::core
