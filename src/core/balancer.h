// The decisions in blocking style: an invocation is taken, pick() says what to do for it next, report() how
// that went, tick() lets time pass. It does no I/O; its callers never see the module's events or actions.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "core/clock.h"
#include "decide.h"

namespace troutstage::core {

// What is known of an invocation that comes in.
struct IncomingInvocation {
  Index workload = 0;
  Index tenant = kNone;
  TenthsOfMs valid_until = 0;
  double hint = 0;  // expected work in tenths of a millisecond; 0: not told
  bool is_client_retry = false;
  bool has_streaming_body = false;  // its body is still coming
  std::shared_ptr<const void> workload_reference;  // on the workload's number, to the invocation's end
  TenthsOfMs arrived = INT64_MAX;         // when its last byte came; what is later than its taking counts as that
};

enum class InstructionKind {
  hand_off,   // number, backend, until, begin_by: try this one
  cancel,     // number: stop waiting for it
  succeeded,  // number: its answer is the invocation's. This and the ones below are final
  reject,     // retry_in
  give_up,
  gone,  // the client is: nobody waits for an answer
};
struct Instruction {
  InstructionKind what = InstructionKind::give_up;
  int number = 0;
  Index backend = kNone;
  TenthsOfMs until = 0;
  TenthsOfMs retry_in = 0;
  TenthsOfMs begin_by = INT64_MAX;  // hand_off: it is sent before this, or not at all
};

struct Invocation;  // as the facade holds it
using InvocationHandle = std::shared_ptr<Invocation>;

class Balancer {
 public:
  Balancer(const Settings& settings, const Clock& clock);

  InvocationHandle accept(const IncomingInvocation& demand);
  Instruction next_instruction(const InvocationHandle& ticket);  // blocks until there is a next step
  // Who picks is busy with a hand-off itself: until it picks again, each further hand-off and recall goes to
  // `urgent`, which must neither block nor call this. False from it: that hand-off can't be sent.
  using UrgentHandler = std::function<bool(const Instruction&)>;
  void set_urgent_handler(const InvocationHandle& ticket, UrgentHandler urgent_handler);
  // How a hand-off ended: once for each that pick() gave out, also when it was recalled meanwhile.
  struct HandOffDetails {
    TenthsOfMs elapsed = -1;    // since it was sent whole; -1: since it was handed out
    bool is_body_consumed = false;  // of the invocation's body nothing is left that could be sent again
  };
  void report(const InvocationHandle& ticket, int number, Ending ending, const HandOffDetails& sent);
  void report(const InvocationHandle& ticket, int number, Ending ending) { report(ticket, number, ending, HandOffDetails{}); }
  void answer_progressed(const InvocationHandle& ticket, int number);  // a piece of a long answer, which is kept
  void client_gone(const InvocationHandle& ticket);
  void answer_all_by(TenthsOfMs when);  // also what is taken from now on
  bool is_answered(const InvocationHandle& ticket);  // its last step stands, and nothing goes out any more

  // Holds for what is taken from now on.
  void apply_settings(std::shared_ptr<const Settings> settings, std::vector<Index> inherits_from);
  struct BackendCounts {
    std::size_t listed = 0, avoided = 0;  // backends, and those of them that the decisions avoid now
  };
  BackendCounts backend_counts();

  void tick();       // does what has come due
  void run_ticks();  // ticks whenever something comes due, until stop()

  void update_backends(ListForm form, std::vector<ListEntry> entries);
  void request_discovery();    // as if the decisions had asked for it
  bool wait_for_discovery_request();  // blocks until the list is to be watched (again); false: stop() was called
  void stop();
  // The backends whose numbers are free since the last call: their ids are gone and nothing refers to them.
  std::vector<Index> take_released();

 private:
  void handle_event(std::unique_lock<std::mutex>& held, const Event& event);
  void report_unsent();
  void execute_all(const std::vector<Action>& actions);
  void execute(const Action& action);
  void finalize(Invocation& v);
  void add_instruction(Invocation& v, const Instruction& step);
  bool give_to_urgent_handler(Invocation& v, const Instruction& step);

  const Clock& clock_;
  std::mutex lock_;
  std::condition_variable timer_changed_, discovery_requested_;
  Decider decider_;
  std::vector<InvocationHandle> invocations_;  // by index
  std::vector<Index> free_indices_, released_backends_;
  std::deque<HandOffEnded> unsent_hand_offs_;  // taken back before anybody had picked them up
  TenthsOfMs timer_due_ = INT64_MAX;  // the one timer that the decisions have set; its owner believes in it until it is told
  bool is_discovery_requested_ = false, is_stopped_ = false;
  BackendCounts backend_counts_;
};

}  // namespace troutstage::core
