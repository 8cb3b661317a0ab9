#include "core/balancer.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace troutstage::core {

// The state of one invocation, guarded by Balancer::lock_.
struct Invocation {
  Index index = kNone;
  // The final answer is decided; its instruction is queued or delivered, or follows under the same lock.
  bool is_final = false;
  std::deque<Instruction> instructions;  // not delivered yet, in the order of delivery
  struct HandOffRecord {
    TenthsOfMs at = 0;          // when the decision module started the hand-off
    bool is_delivered = false;  // next_instruction() or the urgent handler got the hand-off
  };
  std::vector<HandOffRecord> hand_offs;    // by number
  std::condition_variable changed;         // an instruction was added
  Balancer::UrgentHandler urgent_handler;  // set while the caller runs a hand-off
  std::shared_ptr<const void> workload_reference;
};

Balancer::Balancer(const Settings& settings, const Clock& clock)
    : clock_(clock), decider_(settings, clock.now()) {}

InvocationHandle Balancer::accept(const IncomingInvocation& incoming) {
  std::unique_lock lock(lock_);
  auto invocation = std::make_shared<Invocation>();
  invocation->workload_reference = incoming.workload_reference;
  if (free_indices_.empty()) {
    invocation->index = static_cast<Index>(invocations_.size());
    invocations_.push_back(invocation);
  } else {
    invocation->index = free_indices_.back();
    free_indices_.pop_back();
    invocations_[invocation->index] = invocation;
  }
  handle_event(lock, Arrival{invocation->index, incoming.workload, incoming.tenant, incoming.valid_until,
                             incoming.hint, incoming.is_client_retry, incoming.has_streaming_body,
                             incoming.arrived, incoming.may_cancel});
  return invocation;
}

Instruction Balancer::next_instruction(const InvocationHandle& invocation) {
  std::unique_lock lock(lock_);
  invocation->urgent_handler = nullptr;
  invocation->changed.wait(lock, [&] { return !invocation->instructions.empty(); });
  const Instruction instruction = invocation->instructions.front();
  invocation->instructions.pop_front();
  if (instruction.what == InstructionKind::hand_off)
    invocation->hand_offs[static_cast<std::size_t>(instruction.number)].is_delivered = true;
  return instruction;
}

void Balancer::set_urgent_handler(const InvocationHandle& invocation, UrgentHandler urgent_handler) {
  std::unique_lock lock(lock_);
  invocation->urgent_handler = std::move(urgent_handler);
  // Without this, instructions queued since the last next_instruction() would wait for its next call.
  std::erase_if(invocation->instructions, [&](const Instruction& instruction) {
    return give_to_urgent_handler(*invocation, instruction);
  });
  report_unsent();
}

void Balancer::report(const InvocationHandle& invocation, int number, Ending ending,
                      const HandOffDetails& details) {
  std::unique_lock lock(lock_);
  const bool is_first_success = ending == Ending::succeeded && !invocation->is_final;
  const TenthsOfMs elapsed =
      details.elapsed >= 0 ? details.elapsed
                           : clock_.now() - invocation->hand_offs.at(static_cast<std::size_t>(number)).at;
  // The final answer is fixed before the decision module gets the event, so its actions can't change the
  // answer.
  if (is_first_success) finalize(*invocation);
  try {
    handle_event(lock, HandOffEnded{invocation->index, number, ending, invocation->is_final, elapsed,
                                    details.is_body_consumed, details.is_partial});
  } catch (...) {  // the caller of next_instruction() must get a final instruction, or it would wait forever
    if (!invocation->is_final)
      finalize(*invocation), add_instruction(*invocation, {InstructionKind::give_up, 0, kNone, 0, 0});
    if (!is_first_success) throw;
  }
  if (!is_first_success) return;
  invocation->instructions.push_back({InstructionKind::succeeded, number, kNone, 0, 0});
  invocation->changed.notify_one();
}

void Balancer::answer_progressed(const InvocationHandle& invocation, int number, TenthsOfMs expected_within) {
  std::unique_lock lock(lock_);
  if (!invocation->is_final) handle_event(lock, AnswerProgress{invocation->index, number, expected_within});
}

void Balancer::answer_begun(const InvocationHandle& invocation, int number) {
  std::unique_lock lock(lock_);
  if (!invocation->is_final) handle_event(lock, AnswerBegun{invocation->index, number});
}

void Balancer::forwarded_answer_ended(Index backend, Index workload, bool is_complete) {
  std::unique_lock lock(lock_);
  handle_event(lock, ForwardedAnswerEnded{backend, workload, is_complete});
}

void Balancer::body_sent(const InvocationHandle& invocation, int number) {
  std::unique_lock lock(lock_);
  if (!invocation->is_final) handle_event(lock, BodySent{invocation->index, number});
}

void Balancer::answer_paused(const InvocationHandle& invocation, int number) {
  std::unique_lock lock(lock_);
  if (!invocation->is_final) handle_event(lock, AnswerPaused{invocation->index, number});
}

void Balancer::client_gone(const InvocationHandle& invocation) {
  std::unique_lock lock(lock_);
  if (invocation->is_final) return;
  finalize(*invocation);
  handle_event(lock, ClientGone{invocation->index});
  invocation->instructions.push_back({InstructionKind::gone, 0, kNone, 0, 0});
  invocation->changed.notify_one();
}

void Balancer::answer_all_by(TenthsOfMs when) {
  std::unique_lock lock(lock_);
  handle_event(lock, ShutdownRequested{when});
}

bool Balancer::is_answered(const InvocationHandle& invocation) {
  std::lock_guard lock(lock_);
  return invocation->is_final;
}

void Balancer::apply_settings(std::shared_ptr<const Settings> settings, std::vector<Index> inherits_from) {
  std::unique_lock lock(lock_);
  handle_event(lock, NewSettings{std::move(settings), std::move(inherits_from)});
}

Balancer::BackendCounts Balancer::backend_counts() {
  std::unique_lock lock(lock_);
  handle_event(lock, troutstage::BackendCounts{});
  return backend_counts_;
}

void Balancer::tick() {
  std::unique_lock lock(lock_);
  if (timer_due_ > clock_.now()) return;
  timer_due_ = INT64_MAX;
  handle_event(lock, TimerDue{});
}

void Balancer::run_ticks() {
  std::unique_lock lock(lock_);
  while (!is_stopped_) {
    if (timer_due_ <= clock_.now()) {
      timer_due_ = INT64_MAX;
      handle_event(lock, TimerDue{});
    } else if (timer_due_ == INT64_MAX) {
      timer_changed_.wait(lock);
    } else {
      timer_changed_.wait_until(lock, clock_.at(timer_due_));
    }
  }
}

void Balancer::update_backends(ListForm form, std::vector<ListEntry> entries) {
  std::unique_lock lock(lock_);
  handle_event(lock, FleetList{form, std::move(entries)});
}

void Balancer::request_discovery() {
  std::lock_guard lock(lock_);
  is_discovery_requested_ = true;
  discovery_requested_.notify_one();
}

bool Balancer::wait_for_discovery_request() {
  std::unique_lock lock(lock_);
  discovery_requested_.wait(lock, [&] { return is_discovery_requested_ || is_stopped_; });
  is_discovery_requested_ = false;
  return !is_stopped_;
}

std::vector<Index> Balancer::take_released() {
  std::lock_guard lock(lock_);
  return std::exchange(released_backends_, {});
}

void Balancer::stop() {
  std::unique_lock lock(lock_);
  is_stopped_ = true;
  timer_changed_.notify_all();
  discovery_requested_.notify_all();
}

// Passes an event to the decision module and executes the resulting actions. The parameter shows that the
// caller holds lock_.
void Balancer::handle_event(std::unique_lock<std::mutex>&, const Event& event) {
  execute_all(decider_.decide(clock_.now(), event));
  report_unsent();
}

// Executes all actions even if one of them throws, and rethrows the last exception at the end: the actions
// after the failed one may hold a final answer or the only timer.
void Balancer::execute_all(const std::vector<Action>& actions) {
  std::exception_ptr error;
  for (const Action& action : actions) {
    try {
      execute(action);
    } catch (...) {
      error = std::current_exception();
    }
  }
  if (error) std::rethrow_exception(error);
}

// Reports the hand-offs in unsent_hand_offs_ as never sent. The resulting actions may add further hand-offs
// to the queue, hence the loop.
void Balancer::report_unsent() {
  while (!unsent_hand_offs_.empty()) {
    const HandOffEnded ended = unsent_hand_offs_.front();
    unsent_hand_offs_.pop_front();
    execute_all(decider_.decide(clock_.now(), ended));
  }
}

void Balancer::execute(const Action& action) {
  switch (action.what) {
    case ActionKind::hand_off: {
      Invocation& invocation = *invocations_[action.invocation];
      invocation.hand_offs.push_back({clock_.now(), false});
      const int number = static_cast<int>(invocation.hand_offs.size()) - 1;
      return add_instruction(
          invocation, {InstructionKind::hand_off, number, action.backend, action.at, 0, action.begin_by});
    }
    case ActionKind::cancel: {
      Invocation& invocation = *invocations_[action.invocation];
      // A hand-off that was not delivered yet is never sent: finalize() withdraws it from the queue.
      if (invocation.hand_offs.at(static_cast<std::size_t>(action.number)).is_delivered)
        add_instruction(invocation, {InstructionKind::cancel, action.number, kNone, 0, 0});
      return;
    }
    case ActionKind::reject:
    case ActionKind::give_up: {
      Invocation& invocation = *invocations_[action.invocation];
      finalize(invocation);
      const InstructionKind final_kind =
          action.what == ActionKind::reject ? InstructionKind::reject : InstructionKind::give_up;
      return add_instruction(invocation, {final_kind, 0, kNone, 0, action.at});
    }
    case ActionKind::set_timer:
      // The newest timer replaces the previous timer. When both were stored, the newest was lost when the
      // earlier one ran.
      timer_due_ = action.at;
      timer_changed_.notify_one();
      return;
    case ActionKind::watch_discovery:
      is_discovery_requested_ = true;
      discovery_requested_.notify_one();
      return;
    case ActionKind::probe: return;  // HTTP has no probes here, and the settings of a node don't permit them
    case ActionKind::release: released_backends_.push_back(action.backend); return;
    case ActionKind::backend_counts:
      backend_counts_ = {static_cast<std::size_t>(action.at), static_cast<std::size_t>(action.number)};
      return;
    case ActionKind::forget:
      invocations_[action.invocation].reset();
      free_indices_.push_back(action.invocation);
      return;
  }
}

// Marks the final answer as decided and withdraws the hand-offs that were not delivered yet, so that no
// further hand-off is sent.
void Balancer::finalize(Invocation& invocation) {
  invocation.is_final = true;
  std::erase_if(invocation.instructions, [&](const Instruction& instruction) {
    if (instruction.what != InstructionKind::hand_off) return false;
    unsent_hand_offs_.push_back({invocation.index, instruction.number, Ending::never_sent, true, 0, false});
    return true;
  });
}

// Passes a hand-off or a cancellation to the urgent handler. False: no handler is set, or the kind is final.
bool Balancer::give_to_urgent_handler(Invocation& invocation, const Instruction& instruction) {
  const bool is_hand_off = instruction.what == InstructionKind::hand_off;
  if (!invocation.urgent_handler || (!is_hand_off && instruction.what != InstructionKind::cancel))
    return false;
  if (is_hand_off) invocation.hand_offs.at(static_cast<std::size_t>(instruction.number)).is_delivered = true;
  if (!invocation.urgent_handler(instruction) && is_hand_off)
    unsent_hand_offs_.push_back(
        {invocation.index, instruction.number, Ending::never_sent, invocation.is_final, 0, false});
  return true;
}

void Balancer::add_instruction(Invocation& invocation, const Instruction& instruction) {
  if (give_to_urgent_handler(invocation, instruction)) return;
  invocation.instructions.push_back(instruction);
  invocation.changed.notify_one();
}

}  // namespace troutstage::core
