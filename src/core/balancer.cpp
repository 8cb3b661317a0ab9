#include "core/balancer.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace troutstage::core {

struct Invocation {
  Index index = kNone;
  bool is_final = false;      // the last step is in the queue, or was picked
  std::deque<Instruction> instructions;  // not picked yet
  struct HandOffRecord {
    TenthsOfMs at = 0;
    bool is_delivered = false;
  };
  std::vector<HandOffRecord> hand_offs;  // by number
  std::condition_variable changed;
  Balancer::UrgentHandler urgent_handler;  // who picks is busy: takes what can't wait
  std::shared_ptr<const void> workload_reference;
};

Balancer::Balancer(const Settings& settings, const Clock& clock)
    : clock_(clock), decider_(settings, clock.now()) {}

InvocationHandle Balancer::accept(const IncomingInvocation& demand) {
  std::unique_lock held(lock_);
  auto v = std::make_shared<Invocation>();
  v->workload_reference = demand.workload_reference;
  if (free_indices_.empty()) {
    v->index = static_cast<Index>(invocations_.size());
    invocations_.push_back(v);
  } else {
    v->index = free_indices_.back();
    free_indices_.pop_back();
    invocations_[v->index] = v;
  }
  handle_event(held, Arrival{v->index, demand.workload, demand.tenant, demand.valid_until, demand.hint,
                     demand.is_client_retry, demand.has_streaming_body, demand.arrived});
  return v;
}

Instruction Balancer::next_instruction(const InvocationHandle& ticket) {
  std::unique_lock held(lock_);
  ticket->urgent_handler = nullptr;
  ticket->changed.wait(held, [&] { return !ticket->instructions.empty(); });
  const Instruction step = ticket->instructions.front();
  ticket->instructions.pop_front();
  if (step.what == InstructionKind::hand_off) ticket->hand_offs[static_cast<std::size_t>(step.number)].is_delivered = true;
  return step;
}

void Balancer::set_urgent_handler(const InvocationHandle& ticket, UrgentHandler urgent_handler) {
  std::unique_lock held(lock_);
  ticket->urgent_handler = std::move(urgent_handler);
  // What came since the last pick() would wait for the next one.
  std::erase_if(ticket->instructions, [&](const Instruction& step) { return give_to_urgent_handler(*ticket, step); });
  report_unsent();
}

void Balancer::report(const InvocationHandle& ticket, int number, Ending ending, const HandOffDetails& sent) {
  std::unique_lock held(lock_);
  const bool wins = ending == Ending::succeeded && !ticket->is_final;
  const TenthsOfMs elapsed = sent.elapsed >= 0 ? sent.elapsed : clock_.now() - ticket->hand_offs.at(static_cast<std::size_t>(number)).at;
  // The answer is set first: what the module does on this ending comes too late to be another one.
  if (wins) finalize(*ticket);
  try {
    handle_event(held, HandOffEnded{ticket->index, number, ending, ticket->is_final, elapsed, sent.is_body_consumed});
  } catch (...) {  // whoever waits in pick() must not wait for ever
    if (!ticket->is_final) finalize(*ticket), add_instruction(*ticket, {InstructionKind::give_up, 0, kNone, 0, 0});
    if (!wins) throw;
  }
  if (!wins) return;
  ticket->instructions.push_back({InstructionKind::succeeded, number, kNone, 0, 0});
  ticket->changed.notify_one();
}

void Balancer::answer_progressed(const InvocationHandle& ticket, int number) {
  std::unique_lock held(lock_);
  if (!ticket->is_final) handle_event(held, AnswerProgress{ticket->index, number});
}

void Balancer::client_gone(const InvocationHandle& ticket) {
  std::unique_lock held(lock_);
  if (ticket->is_final) return;
  finalize(*ticket);
  handle_event(held, ClientGone{ticket->index});
  ticket->instructions.push_back({InstructionKind::gone, 0, kNone, 0, 0});
  ticket->changed.notify_one();
}

void Balancer::answer_all_by(TenthsOfMs when) {
  std::unique_lock held(lock_);
  handle_event(held, ShutdownRequested{when});
}

bool Balancer::is_answered(const InvocationHandle& ticket) {
  std::lock_guard held(lock_);
  return ticket->is_final;
}

void Balancer::apply_settings(std::shared_ptr<const Settings> settings, std::vector<Index> inherits_from) {
  std::unique_lock held(lock_);
  handle_event(held, NewSettings{std::move(settings), std::move(inherits_from)});
}

Balancer::BackendCounts Balancer::backend_counts() {
  std::unique_lock held(lock_);
  handle_event(held, troutstage::BackendCounts{});
  return backend_counts_;
}

void Balancer::tick() {
  std::unique_lock held(lock_);
  if (timer_due_ > clock_.now()) return;
  timer_due_ = INT64_MAX;
  handle_event(held, TimerDue{});
}

void Balancer::run_ticks() {
  std::unique_lock held(lock_);
  while (!is_stopped_) {
    if (timer_due_ <= clock_.now()) {
      timer_due_ = INT64_MAX;
      handle_event(held, TimerDue{});
    } else if (timer_due_ == INT64_MAX) {
      timer_changed_.wait(held);
    } else {
      timer_changed_.wait_until(held, clock_.at(timer_due_));
    }
  }
}

void Balancer::update_backends(ListForm form, std::vector<ListEntry> entries) {
  std::unique_lock held(lock_);
  handle_event(held, FleetList{form, std::move(entries)});
}

void Balancer::request_discovery() {
  std::lock_guard held(lock_);
  is_discovery_requested_ = true;
  discovery_requested_.notify_one();
}

bool Balancer::wait_for_discovery_request() {
  std::unique_lock held(lock_);
  discovery_requested_.wait(held, [&] { return is_discovery_requested_ || is_stopped_; });
  is_discovery_requested_ = false;
  return !is_stopped_;
}

std::vector<Index> Balancer::take_released() {
  std::lock_guard held(lock_);
  return std::exchange(released_backends_, {});
}

void Balancer::stop() {
  std::unique_lock held(lock_);
  is_stopped_ = true;
  timer_changed_.notify_all();
  discovery_requested_.notify_all();
}

void Balancer::handle_event(std::unique_lock<std::mutex>&, const Event& event) {
  execute_all(decider_.decide(clock_.now(), event));
  report_unsent();
}

// One that breaks must not take the others with it: among them may be an answer, or the only timer.
void Balancer::execute_all(const std::vector<Action>& actions) {
  std::exception_ptr broke;
  for (const Action& action : actions) {
    try {
      execute(action);
    } catch (...) {
      broke = std::current_exception();
    }
  }
  if (broke) std::rethrow_exception(broke);
}

void Balancer::report_unsent() {
  while (!unsent_hand_offs_.empty()) {
    const HandOffEnded ended = unsent_hand_offs_.front();
    unsent_hand_offs_.pop_front();
    execute_all(decider_.decide(clock_.now(), ended));
  }
}

void Balancer::execute(const Action& a) {
  switch (a.what) {
    case ActionKind::hand_off: {
      Invocation& v = *invocations_[a.invocation];
      v.hand_offs.push_back({clock_.now(), false});
      const int number = static_cast<int>(v.hand_offs.size()) - 1;
      return add_instruction(v, {InstructionKind::hand_off, number, a.backend, a.at, 0, a.begin_by});
    }
    case ActionKind::cancel: {
      Invocation& v = *invocations_[a.invocation];
      // One that nobody has picked up yet never goes out; seal() takes it back.
      if (v.hand_offs.at(static_cast<std::size_t>(a.number)).is_delivered)
        add_instruction(v, {InstructionKind::cancel, a.number, kNone, 0, 0});
      return;
    }
    case ActionKind::reject:
    case ActionKind::give_up: {
      Invocation& v = *invocations_[a.invocation];
      finalize(v);
      const InstructionKind answer = a.what == ActionKind::reject ? InstructionKind::reject : InstructionKind::give_up;
      return add_instruction(v, {answer, 0, kNone, 0, a.at});
    }
    case ActionKind::set_timer:
      // The newest stands for all: kept beside an earlier one, it was forgotten together with that.
      timer_due_ = a.at;
      timer_changed_.notify_one();
      return;
    case ActionKind::watch_discovery:
      is_discovery_requested_ = true;
      discovery_requested_.notify_one();
      return;
    case ActionKind::probe: return;  // the protocol on sockets has none, and the settings here allow none
    case ActionKind::release: released_backends_.push_back(a.backend); return;
    case ActionKind::backend_counts:
      backend_counts_ = {static_cast<std::size_t>(a.at), static_cast<std::size_t>(a.number)};
      return;
    case ActionKind::forget:
      invocations_[a.invocation].reset();
      free_indices_.push_back(a.invocation);
      return;
  }
}

// The answer stands: nothing more goes out, also not what was handed off but not picked up yet.
void Balancer::finalize(Invocation& v) {
  v.is_final = true;
  std::erase_if(v.instructions, [&](const Instruction& s) {
    if (s.what != InstructionKind::hand_off) return false;
    unsent_hand_offs_.push_back({v.index, s.number, Ending::never_sent, true, 0, false});
    return true;
  });
}

bool Balancer::give_to_urgent_handler(Invocation& v, const Instruction& step) {
  const bool hand_off = step.what == InstructionKind::hand_off;
  if (!v.urgent_handler || (!hand_off && step.what != InstructionKind::cancel)) return false;
  if (hand_off) v.hand_offs.at(static_cast<std::size_t>(step.number)).is_delivered = true;
  if (!v.urgent_handler(step) && hand_off)
    unsent_hand_offs_.push_back({v.index, step.number, Ending::never_sent, v.is_final, 0, false});
  return true;
}

void Balancer::add_instruction(Invocation& v, const Instruction& step) {
  if (give_to_urgent_handler(v, step)) return;
  v.instructions.push_back(step);
  v.changed.notify_one();
}

}  // namespace troutstage::core
