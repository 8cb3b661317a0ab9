// Implements Decider (src/decide.h): which backend each invocation is handed to, how many hand-offs it gets,
// and which final answer its client receives.
//
// docs/design.md says which parts of the original design are kept and where this implementation departs from
// it.
//
// The implementation is single-threaded, does no I/O and reads no clock: every time comes with an event. All
// random draws come from the seed in Settings, so a sequence of events always yields the same actions.
//
// Four rules hold for every action. One function enforces each rule, and every hand-off or every final answer
// passes through it:
//   1 one final answer, in time              give_final_answer()
//   2 no invocation takes effect twice       may_repeat_at()
//   3 no hand-off to a draining backend      may_send_to()
//   4 no overload of a backend in slow start within_slow_start_budget()
#include "decide.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <queue>
#include <random>
#include <utility>

#include "policy/answer_probability.h"

namespace troutstage {
namespace {

// Sums amounts over the last N spans of time. Each span has one bucket in a ring buffer; add() and total()
// first clear the buckets that are older than N spans.
template <int N>
class SlidingSum {
 public:
  void set_span(TenthsOfMs span) { span_ = std::max<TenthsOfMs>(1, span); }
  void add(TenthsOfMs now, double amount) {
    advance_to(now);
    sums_[newest_bucket_ % N] += amount;
    total_ += amount;
  }
  double total(TenthsOfMs now) {
    advance_to(now);
    return std::max(0.0, total_);
  }
  void clear() {
    sums_.fill(0);
    total_ = 0;
  }

 private:
  void advance_to(TenthsOfMs now) {
    const std::int64_t bucket = now / span_;
    if (bucket - newest_bucket_ >= N) clear();
    for (std::int64_t expired = std::max(newest_bucket_ + 1, bucket - N + 1); expired <= bucket; ++expired) {
      total_ -= sums_[expired % N];
      sums_[expired % N] = 0;
    }
    newest_bucket_ = std::max(newest_bucket_, bucket);
  }
  TenthsOfMs span_ = 1;
  std::int64_t newest_bucket_ = 0;
  double total_ = 0;
  std::array<double, N> sums_{};
};

constexpr TenthsOfMs kSecond = 10000;
// Concurrency limits of one backend. The first two are totals for all nodes and are divided by the number of
// nodes; the third is the most that one node allows.
constexpr double kInitialFleetLimit = 10, kMinFleetLimit = 2, kMaxBackendLimit = 1000;
// The concurrency limit of a backend settles where this share of its answers is slow (see slow_threshold()).
constexpr double kTargetSlowShare = 0.1;
// A backend with recent failures is ready only if a draw from its success rate reaches this part of the
// success rate of all backends.
constexpr double kOutlierSuccessRatio = 0.8;
// A run of failures less likely than this shows that the backend has changed; a more likely run may be
// chance.
constexpr double kMinRunProbability = 0.001;
// Backends in the zone of this node are preferred while their hand-offs in flight are below this share of
// their concurrency limit.
constexpr double kOwnZoneFillLimit = 0.35;
// An answer is slow if it takes longer than this share of the latency objective.
constexpr double kSlowObjectiveShare = 0.5;
// The concurrency limit of the node settles where this share of the answers of all backends is slow.
constexpr double kNodeTargetSlowShare = 0.18;
// How far one slow or late answer moves a limit, as a share of the limit.
constexpr double kLimitStep = 0.3;
// While a body arrives, its hand-off takes a connection of its backend. For each place at a backend there may
// be so many of them.
constexpr double kUploadsPerPlace = 4;
constexpr int kMaxProbeRounds = 2;  // most pairs of backends that are probed for one invocation
// A backend has capacity while the expected wait in its queue is below this share of the latency objective.
constexpr double kMaxQueueWaitShare = 0.06;
// A backend also has capacity while the utilization of its cores is below this.
constexpr double kBusyUtilization = 0.85;
constexpr std::size_t kMinSubsetSize = 4;  // two candidates for each hand-off and two in reserve
// Backends in the subset for each hand-off that is usually in flight.
constexpr double kSubsetPerInFlight = 3.5;
// A hedged request is sent after this multiple of the mean latency.
constexpr double kHedgeLatencyMultiple = 3;
// The abandon check comes at most 1/kAllowanceDivisor of the time limit of an invocation before the limit.
constexpr TenthsOfMs kAllowanceDivisor = 4;
// The node may be held up for this long between reading its clock and writing.
constexpr TenthsOfMs kMaxStall = 1500;
// A timer that is later than this shows that the process was held up. Answers may have come meanwhile, which
// its threads read within the second time.
constexpr TenthsOfMs kMaxTimerDelay = 200, kCatchUpTime = 200;
constexpr int kMaxDraws = 12;  // random draws before all candidates are checked in turn

// Successes and failures of hand-offs in the last 8 seconds.
struct Health {
  Health() { successes.set_span(kSecond), failures.set_span(kSecond); }
  SlidingSum<8> successes, failures;
  int consecutive_failures = 0;  // failures since the last success
};

// A backend as this node sees it. Work is in tenths of a millisecond.
struct Backend {
  bool is_known = false;
  bool is_unavailable = true;    // draining, deleted or not in the list (yet)
  bool is_listed = false;        // false: the index is released as soon as nothing refers to it
  int remembered_hand_offs = 0;  // hand-offs in the records of invocations that are not forgotten yet
  Index machine_kind = kNone, zone = kNone;
  std::int64_t cell = -1;
  double weight = 1;
  TenthsOfMs started_at = 0;
  int hand_offs_in_flight = 0;  // hand-offs of this node to it that have not ended
  int uploads_in_flight = 0;  // those of them whose bodies still arrive; a backend begins after the last byte
  double concurrency_limit = 0;  // most hand-offs of this node in flight, set by update_limits()
  Health health;
  // Health by workload: one workload may hang at a backend that answers the others well.
  std::vector<Health> workload_health;
  // How often the result of the probe in flight was requested; 0: no probe is in flight.
  int probe_requests = 0;
  // Invocations of all nodes at the backend, divided by its weight: from the last probe, plus what this node
  // has sent since. The part from the probe is 0 if the utilization is below kBusyUtilization. -1: unknown.
  double reported_load = -1;
  double sent_since_report = 0;  // part of reported_load that this node has sent since the report
  TenthsOfMs reported_at = 0;
  int idle_connections = 0;                    // open connections of this node that carry no request
  TenthsOfMs idle_connections_until = 0;       // when the keep-alive limit closes them
  bool is_running = false, in_subset = false;  // listed as running; in subset_
  // Work of this node that the backend has finished, over about four slow-start windows.
  SlidingSum<16> work_done;
  // In slow start: when to draw next whether this node may send one invocation in a window (see
  // within_slow_start_budget()).
  TenthsOfMs next_draw_at = 0;
  bool is_draw_won = false;
  // Work of this node sent in slow start, over the slow-start window.
  SlidingSum<16> slow_start_work_sent;
};

// Whether a backend has run a hand-off.
enum class Execution { in_flight, may_have_run, never_ran };

// One hand-off: an attempt of an invocation at one backend.
struct HandOff {
  Index backend = kNone;
  TenthsOfMs sent_at = 0;
  double work = 0;
  int in_flight_before = 0;
  bool new_connection = false;
  double reported_load = -1;
  Execution execution = Execution::in_flight;
  TenthsOfMs progress_expected_by = INT64_MIN / 2;  // the next piece of its answer, if one has arrived
  bool will_be_forwarded = false;                   // its answer, at its deadline at the latest
  bool was_abandoned = false;                       // cancelled by abandon_if_unlikely()
  bool is_upload = false;                           // the rest of the body still arrives
};

// An invocation from its arrival until its final answer is given and all of its hand-offs have ended.
struct Invocation {
  bool is_index_used = false;  // from the arrival to the action `forget`
  bool is_open = false;        // has no final answer yet
  bool is_answer_streaming = false;
  bool has_hint = false;
  bool is_client_retry = false;
  // The body is still arriving; the body cannot be sent again.
  bool has_streaming_body = false, is_body_consumed = false;
  bool is_queued = false;   // has no hand-off in flight and waits in queue_
  bool may_cancel = false;  // as set at its arrival: whoever runs its hand-offs relies on it
  Index workload = 0;
  TenthsOfMs arrived = 0, accepted_at = 0, valid_until = 0;
  double work = 0;
  int hand_offs_in_flight = 0;
  int probe_rounds = 0, max_hand_offs = 1;  // pairs probed so far; most hand-offs, as set at its arrival
  std::array<Index, 2> probed_pair{kNone, kNone};  // backends whose probes the invocation waits for
  TenthsOfMs probe_until = 0;                      // end of the wait for probes; 0: does not wait
  TenthsOfMs hedge_at = 0;                         // when a hedged request may be sent; 0: never
  TenthsOfMs catch_up_until = 0;    // after the process was held up: no decision before; 0: was not needed
  TenthsOfMs abandon_check_at = 0;  // when abandon_if_unlikely() runs; 0: never
  std::uint32_t generation = 0;     // distinguishes uses of the same index, for timers
  std::vector<HandOff> hand_offs;
};

}  // namespace

// The state behind Decider. `now_` is the time of the current event.
class Decider::Impl {
 public:
  Impl(const Settings& settings, TenthsOfMs now)
      : random_(settings.seed), zone_(settings.zone), answer_margin_(settings.tick + 1),
        // 16 buckets of 1/15 of the window: half a bucket more than the window is counted on average.
        window_bucket_(settings.slow_start_window / 15 + 1) {
    apply_settings(settings);
    mean_latency_ = mean_work_ = initial_latency_guess();
    recent_starts_.set_span(kSecond / 10);
    for (SlidingSum<8>* counter : {&recent_connects_, &recent_connect_failures_}) counter->set_span(kSecond);
    fleet_health_by_workload_.resize(settings.workloads.size());
    answer_probability_.resize(settings.workloads.size());
    if (settings.is_discovery_on_request) request_list(now);
  }

  const std::vector<Action>& decide(TenthsOfMs now, const Event& event) {
    now_ = now;
    actions_.swap(queued_actions_);
    queued_actions_.clear();
    std::visit([this](const auto& e) { handle(e); }, event);
    run_due_timers();
    set_next_timer();
    return actions_;
  }

 private:
  // The slow-start budget uses this part of the permitted multiple, as a margin for chance.
  static constexpr double kSlowStartSafetyFactor = 0.7;

  void apply_settings(const Settings& settings) {
    max_hand_offs_ = settings.max_hand_offs;
    may_hedge_ = settings.may_hedge;
    pause_allowance_ = settings.pause_allowance;
    may_cancel_ = settings.may_cancel;
    may_probe_ = settings.may_probe;
    prefers_own_zone_ = settings.may_probe && settings.cross_zone_cost > settings.connect_cost;
    nodes_ = std::max(1, settings.nodes);
    initial_limit_ = kInitialFleetLimit / nodes_;
    min_limit_ = kMinFleetLimit / nodes_;
    max_retry_after_ = settings.client_honors_retry_after ? settings.max_retry_after : 0;
    initial_capacity_share_ = settings.initial_capacity_share;
    slow_start_duration_ = settings.slow_start_duration;
    slow_start_multiple_ =
        settings.slow_start_multiple * kSlowStartSafetyFactor * settings.slow_start_budget_share;
    discovery_retry_gap_ = std::max<TenthsOfMs>(settings.discovery_retry_within / 20, settings.tick);
    report_lifetime_ = INT64_MAX;
    for (const Workload& workload : settings.workloads)
      report_lifetime_ = std::min(report_lifetime_, workload.latency_objective / 8);
    keepalive_ = settings.keepalive;
    workloads_ = settings.workloads;
  }
  std::vector<double> initial_latency_guess() const {
    std::vector<double> guess;
    for (const Workload& workload : workloads_)
      guess.push_back(static_cast<double>(workload.latency_objective) / 4);
    return guess;
  }

  // ---- events

  void handle(const FleetList& list) {
    if (list.form == ListForm::failed) return retry_list_request();
    if (list.form != ListForm::cached) current_retry_gap_ = 0;  // discovery works again
    if (list.form != ListForm::delta)
      for (Backend& backend : backends_) backend.is_unavailable = true, backend.is_listed = false;
    for (const ListEntry& entry : list.entries) {
      if (entry.backend >= backends_.size()) backends_.resize(entry.backend + 1);
      Backend& backend = backends_[entry.backend];
      if (!backend.is_known || backend.started_at != entry.started_at) {
        backend.work_done.set_span(window_bucket_ * 4);
        backend.slow_start_work_sent.set_span(window_bucket_);
        backend.work_done.clear();
        backend.health = {};
        backend.workload_health.assign(workloads_.size(), {});
        backend.idle_connections = 0;
        // The initial limits of all nodes add up to the same total, however many nodes there are.
        backend.concurrency_limit = initial_limit_;
      }
      backend.is_known = true;
      backend.is_unavailable = entry.availability != Availability::running;
      backend.is_listed = entry.availability != Availability::deleted;
      backend.machine_kind = entry.machine_kind;
      backend.zone = entry.zone;
      backend.cell = entry.cell;
      backend.weight = entry.weight;
      backend.started_at = entry.started_at;
    }
    running_backends_.clear(), running_in_zone_.clear();
    std::vector<Index> new_backends;
    std::erase_if(subset_, [this](Index index) { return backends_[index].is_unavailable; });
    max_weight_ = 0;
    for (Index index = 0; index < backends_.size(); ++index) {
      Backend& backend = backends_[index];
      if (backend.is_unavailable) {
        backend.in_subset = backend.is_running = false;
        continue;
      }
      running_backends_.push_back(index);
      if (backend.zone == zone_) running_in_zone_.push_back(index);
      if (!backend.is_running) new_backends.push_back(index);
      backend.is_running = true;
      max_weight_ = std::max(max_weight_, backend.weight);
    }
    if (node_concurrency_limit_ <= 0 && !running_backends_.empty())
      node_concurrency_limit_ = std::max(1.0, initial_limit_ * static_cast<double>(running_backends_.size()));
    warm_measured_bucket_ = -1;
    add_new_to_subset(new_backends);
    fill_subset();
    serve_queue();
    for (Index index = 0; index < backends_.size(); ++index) release_if_gone(index);
  }

  void handle(const Arrival& arrival) {
    if (arrival.invocation >= invocations_.size()) invocations_.resize(arrival.invocation + 1);
    Invocation& invocation = invocations_[arrival.invocation];
    const std::uint32_t generation = invocation.generation + 1;
    invocation = Invocation{};
    invocation.generation = generation;
    invocation.is_index_used = invocation.is_open = true;
    invocation.workload = arrival.workload;
    invocation.arrived = std::min(arrival.arrived, now_);
    invocation.accepted_at = now_;
    invocation.valid_until = std::min(arrival.valid_until, answer_by_);
    invocation.is_client_retry = arrival.is_client_retry;
    invocation.max_hand_offs = max_hand_offs_;
    invocation.may_cancel = arrival.may_cancel.value_or(may_cancel_);
    invocation.has_streaming_body = arrival.has_streaming_body;
    invocation.has_hint = arrival.hint > 0;
    invocation.work = invocation.has_hint ? arrival.hint : mean_latency_[arrival.workload];
    mean_work_[arrival.workload] += (invocation.work - mean_work_[arrival.workload]) / 64;
    schedule_check(invocation.valid_until - answer_margin_, arrival.invocation);
    // The deadline of a shutdown already leaves time for a stall of the process.
    if (arrival.valid_until <= answer_by_) schedule_abandon_check(arrival.invocation);
    fill_subset();
    if (!try_hand_off(arrival.invocation)) enqueue_or_answer(arrival.invocation);
  }

  void handle(const HandOffEnded& event) {
    if (!is_known_hand_off(event.invocation, event.number)) return;
    HandOffEnded ended = event;
    Invocation& invocation = invocations_[ended.invocation];
    HandOff& hand_off = invocation.hand_offs[ended.number];
    if (!ended.is_partial) record_answer_time(invocation, ended);
    // A hand-off that was abandoned early had about as much time as a hand-off that runs up to the limit, so
    // its end counts as a time-out.
    if (hand_off.was_abandoned && ended.ending == Ending::recalled) ended.ending = Ending::timed_out;
    Backend& backend = backends_[hand_off.backend];
    if (hand_off.execution != Execution::in_flight) return;
    --backend.hand_offs_in_flight;
    --invocation.hand_offs_in_flight;
    end_upload(hand_off);
    const bool is_never_run = ended.ending == Ending::turned_away || ended.ending == Ending::unreachable ||
                              ended.ending == Ending::never_sent;
    hand_off.execution = is_never_run ? Execution::never_ran : Execution::may_have_run;
    invocation.is_body_consumed = invocation.is_body_consumed || ended.is_body_consumed;
    --total_in_flight_;
    // A hand-off that ends without an answer, before an answer would be slow, says nothing about the load of
    // the backend. A time-out that early says nothing about its health either. When such endings counted
    // against a healthy fleet, the short limits of some clients, or a network that resets one connection in
    // ten, caused most other invocations to be rejected.
    const bool lost = ended.ending == Ending::unreachable || ended.ending == Ending::broken;
    const bool slow = ended.elapsed > slow_threshold(invocation),
               timed_out = ended.ending == Ending::timed_out;
    if (slow || !(timed_out || lost)) update_limits(backend, hand_off, invocation, ended);
    if (hand_off.reported_load > 0 && (ended.ending == Ending::succeeded || timed_out))
      update_load_limit(hand_off, invocation, ended);
    if ((slow || !timed_out) && !ended.is_partial) update_health(backend, invocation, ended);
    update_connections(backend, hand_off, ended.ending);
    if (ended.ending == Ending::succeeded && !ended.is_partial) {
      backend.work_done.add(now_, hand_off.work);
      mean_latency_[invocation.workload] +=
          (static_cast<double>(ended.elapsed) - mean_latency_[invocation.workload]) / 64;
    }
    if (ended.is_final || ended.ending == Ending::succeeded) finish(ended.invocation);
    const bool is_past_limit = now_ + answer_margin_ >= invocation.valid_until;
    if (invocation.is_open && is_past_limit) give_up_at_limit(ended.invocation);
    else if (invocation.is_open && invocation.hand_offs_in_flight == 0 && !try_hand_off(ended.invocation))
      enqueue_or_answer(ended.invocation);
    forget_if_done(ended.invocation);
    serve_queue();
  }

  void handle(const AnswerStarted& event) {
    if (is_known_hand_off(event.invocation, event.number))
      invocations_[event.invocation].is_answer_streaming = true;
  }

  void handle(const AnswerProgress& event) {
    if (is_known_hand_off(event.invocation, event.number))
      invocations_[event.invocation].hand_offs[event.number].progress_expected_by =
          now_ + event.expected_within;
  }

  void handle(const AnswerBegun& event) {
    if (is_known_hand_off(event.invocation, event.number))
      invocations_[event.invocation].hand_offs[event.number].will_be_forwarded = true;
  }

  void handle(const ForwardedAnswerEnded& event) {
    if (event.backend >= backends_.size() || event.workload >= workloads_.size()) return;
    Backend& backend = backends_[event.backend];
    if (!backend.is_known) return;
    record_outcome(backend.workload_health[event.workload], fleet_health_by_workload_[event.workload],
                   event.is_complete, false);
    if (!record_outcome(backend.health, fleet_health_, event.is_complete, false))
      replace_in_subset(event.backend);
  }

  void handle(const BodySent& event) {
    if (!is_known_hand_off(event.invocation, event.number)) return;
    HandOff& hand_off = invocations_[event.invocation].hand_offs[event.number];
    if (hand_off.execution == Execution::in_flight) end_upload(hand_off);
  }

  // From now on the hand-off counts among those that its backend works on.
  void end_upload(HandOff& hand_off) {
    if (!std::exchange(hand_off.is_upload, false)) return;
    --backends_[hand_off.backend].uploads_in_flight;
    --total_uploads_;
  }

  // Another attempt need not wait for the end of an answer that may never go on. The first one goes on:
  // whichever is complete first is the answer.
  void handle(const AnswerPaused& event) {
    if (!is_known_hand_off(event.invocation, event.number)) return;
    const Invocation& invocation = invocations_[event.invocation];
    if (!invocation.is_open || invocation.hand_offs_in_flight != 1 ||
        invocation.hand_offs[event.number].execution != Execution::in_flight)
      return;
    Backend& backend = backends_[invocation.hand_offs[event.number].backend];
    if (lacks_recent_success(backend) || !is_near_limit()) try_hand_off(event.invocation);
  }

  void handle(const ClientGone& event) {
    if (event.invocation >= invocations_.size()) return;
    finish(event.invocation);
    forget_if_done(event.invocation);
  }

  void handle(const TimerDue&) {}
  void handle(const ProbeEnded& event) {
    if (event.backend >= backends_.size()) return;
    Backend& backend = backends_[event.backend];
    backend.probe_requests = 0;
    const LoadReport& load = event.report;
    const double weight = std::max(backend.weight, 1e-3);
    backend.reported_load =
        std::max(-1.0, (load.outstanding >= 0 ? load.outstanding : load.backlog) / weight);
    if (!event.succeeded) backend.reported_load = -1;
    else if (load.utilization >= 0 && load.utilization < kBusyUtilization) backend.reported_load = 0;
    backend.reported_at = now_;
    backend.sent_since_report = 0;
    if (load.backlog > 0 && load.throughput > 0)
      service_rate_ += (load.throughput / weight / kSecond - service_rate_) / (service_rate_ > 0 ? 32 : 1);
    for (std::size_t position = probing_.size(); position-- > 0;) {
      const auto [first, second] = invocations_[probing_[position]].probed_pair;
      if (backends_[first].probe_requests == 0 && backends_[second].probe_requests == 0)
        finish_probing(probing_[position]);
    }
  }

  void handle(const NewSettings& event) {
    apply_settings(*event.settings);
    // The statistics of a workload stay with it when its index changes.
    const auto carry = [&event]<class T>(std::vector<T>& all, std::vector<T> initial) {
      for (std::size_t index = 0; index < initial.size(); ++index)
        if (event.inherits_from[index] < all.size()) initial[index] = all[event.inherits_from[index]];
      all = std::move(initial);
    };
    carry(mean_latency_, initial_latency_guess());
    carry(mean_work_, initial_latency_guess());
    carry(fleet_health_by_workload_, std::vector<Health>(workloads_.size()));
    carry(answer_probability_, std::vector<policy::AnswerProbability>(workloads_.size()));
    for (Backend& backend : backends_) carry(backend.workload_health, std::vector<Health>(workloads_.size()));
  }

  void handle(const ShutdownRequested& event) {
    answer_by_ = event.answer_by;
    for (Index index = 0; index < invocations_.size(); ++index) {
      Invocation& invocation = invocations_[index];
      if (!invocation.is_open || invocation.is_answer_streaming || invocation.valid_until <= answer_by_)
        continue;
      invocation.valid_until = answer_by_;
      invocation.abandon_check_at = 0;
      schedule_check(invocation.valid_until - answer_margin_, index);
    }
  }

  // Makes no random draw: the query must not change later decisions.
  void handle(const BackendCounts&) {
    TenthsOfMs listed_count = 0;
    int avoided_count = 0;
    for (Backend& backend : backends_)
      if (backend.is_listed)
        ++listed_count, avoided_count += backend.is_unavailable || is_outlier(backend.health);
    actions_.push_back({ActionKind::backend_counts, kNone, kNone, avoided_count, listed_count});
  }

  // ---- the four rules

  // Rule 1: the only place where the node itself gives the final answer to an invocation: rejected if rule 2
  // lets the client retry without harm, else given up.
  void give_final_answer(Index index) {
    Invocation& invocation = invocations_[index];
    if (!invocation.is_open || invocation.is_answer_streaming) return;
    finish(index);
    // Clients that honor Retry-After are asked to return when a backend is likely to have capacity.
    const TenthsOfMs retry_in =
        std::min(max_retry_after_, workloads_[invocation.workload].latency_objective / 8);
    if (may_reject(invocation)) actions_.push_back({ActionKind::reject, index, kNone, 0, retry_in});
    else actions_.push_back({ActionKind::give_up, index, kNone, 0, 0});
    forget_if_done(index);
  }

  // Closes an invocation: no further hand-off is sent for it, and hand-offs in flight are cancelled, since
  // some backends then stop working on them. If an answer is already being forwarded, no hand-off is
  // cancelled.
  void finish(Index index) {
    Invocation& invocation = invocations_[index];
    invocation.is_open = false;
    stop_waiting(index);
    for (std::size_t number = 0; number < invocation.hand_offs.size(); ++number)
      if (invocation.may_cancel && !invocation.is_answer_streaming &&
          invocation.hand_offs[number].execution == Execution::in_flight)
        actions_.push_back({ActionKind::cancel, index, kNone, static_cast<int>(number), 0});
  }

  // Rule 2: whether the client may be rejected, which tells it that a retry is harmless.
  bool may_reject(const Invocation& invocation) const {
    const Workload& workload = workloads_[invocation.workload];
    return workload.semantics == Semantics::idempotent ||
           (workload.semantics == Semantics::idempotency_keyed &&
            workload.deduplication_scope == DeduplicationScope::all) ||
           std::all_of(invocation.hand_offs.begin(), invocation.hand_offs.end(),
                       [](const HandOff& hand_off) { return hand_off.execution == Execution::never_ran; });
  }

  // Rule 2: whether the invocation may be handed to this backend, given how its earlier hand-offs ended.
  bool may_repeat_at(const Invocation& invocation, const Backend& backend) const {
    const Workload& workload = workloads_[invocation.workload];
    if (invocation.is_body_consumed ||
        (invocation.hand_offs_in_flight > 0 && (invocation.has_streaming_body || !may_hedge_)))
      return false;  // the body cannot be sent again, or hedging is off
    if (now_ + answer_margin_ >= repeat_by(invocation)) return false;
    for (const HandOff& hand_off : invocation.hand_offs) {
      if (hand_off.execution == Execution::in_flight && &backends_[hand_off.backend] == &backend)
        return false;  // a hedged request goes to another backend
      if (hand_off.execution == Execution::never_ran || workload.semantics == Semantics::idempotent) continue;
      if (workload.semantics == Semantics::non_idempotent) return false;
      const Backend& earlier = backends_[hand_off.backend];
      if (workload.deduplication_scope == DeduplicationScope::zone && earlier.zone != backend.zone)
        return false;
      if (workload.deduplication_scope == DeduplicationScope::cell &&
          (earlier.cell != backend.cell || backend.cell < 0))
        return false;
    }
    return true;
  }
  // The time before which the next hand-off has to be sent: the end of the deduplication window if an
  // idempotency-keyed invocation may have run, else no limit. The time is part of the hand-off action, since
  // a connection may come up only after it.
  TenthsOfMs repeat_by(const Invocation& invocation) const {
    const Workload& workload = workloads_[invocation.workload];
    for (const HandOff& hand_off : invocation.hand_offs)
      if (hand_off.execution != Execution::never_ran && workload.semantics == Semantics::idempotency_keyed)
        return hand_off.sent_at + workload.deduplication_window;
    return INT64_MAX;
  }

  // Rule 3: no hand-off goes to a backend that discovery reports as draining or gone, even within the drain
  // grace period.
  bool may_send_to(const Backend& backend) const { return !backend.is_unavailable; }

  // Rule 4: all nodes together must not overload a backend in slow start. Each node sends it at most its own
  // part: the work that this node gets done on warm backends of that machine kind, times the capacity share
  // of the backend, times the permitted multiple.
  bool within_slow_start_budget(Backend& backend, double work) {
    const double capacity = capacity_share(backend);
    if (capacity >= 1) return true;
    if (!backend.in_subset) return false;  // the nodes that have it in their subset share all of its budget
    if (backend.hand_offs_in_flight >= std::max(1.0, backend.concurrency_limit * capacity))
      return false;  // an overloaded backend gets nothing more, whatever it handled before
    update_warm_throughput();
    const WarmThroughput& own =
        backend.machine_kind < warm_by_kind_.size() ? warm_by_kind_[backend.machine_kind] : warm_total_;
    double work_done = own.work_done, weight = own.weight;
    // A rolling deploy can leave no warm backend of the kind. One hand-off at a time from each of many nodes
    // then overloaded the new backends, so warm backends of other kinds are the measure. Without any warm
    // backend, all nodes together send a few invocations per window.
    if (weight <= 0) work_done = warm_total_.work_done, weight = warm_total_.weight;
    if (weight <= 0)
      work_done = work * 2 * min_limit_ / (slow_start_multiple_ * capacity), weight = backend.weight;
    const double allowed = slow_start_multiple_ * subset_overlap_factor() * capacity * work_done *
                           backend.weight / weight,
                 sent = backend.slow_start_work_sent.total(now_);
    if (sent + work <= allowed) return true;
    // With many nodes, the part of one node is less than one invocation. The node then draws once per window
    // whether to send one, so that all nodes together send what the budget permits and not nothing.
    if (sent > 0 || work <= 0) return false;
    if (now_ >= backend.next_draw_at) {
      backend.next_draw_at = now_ + window_bucket_ * 15;
      backend.is_draw_won = uniform() * work < allowed;
    }
    return backend.is_draw_won;
  }

  // The work that an invocation takes from a slow-start budget. A small invocation counts as an average one
  // of its workload: hints are estimates, and a budget that let only small ones through sent three times as
  // many of them, which overloaded backends.
  double budgeted_work(const Invocation& invocation) const {
    return std::max(invocation.work, mean_work_[invocation.workload]);
  }

  // A factor for the part of this node in a slow-start budget. With small subsets, chance puts some backends
  // into the subsets of more nodes than others: the part shrinks by one and a half standard deviations of
  // that number of nodes. 1 if every backend is in every subset.
  double subset_overlap_factor() const {
    const double share = static_cast<double>(subset_.size()) / static_cast<double>(running_backends_.size());
    const double nodes = nodes_ * share;
    return nodes / (nodes + 1.5 * std::sqrt(nodes * (1 - share)) + (1 - share));
  }

  // Sums the work that this node gets done per window on warm backends, by machine kind. Runs once per
  // bucket, not once for each backend in slow start.
  void update_warm_throughput() {
    if (now_ / window_bucket_ == warm_measured_bucket_) return;
    warm_measured_bucket_ = now_ / window_bucket_;
    warm_by_kind_.assign(warm_by_kind_.size(), {});
    warm_total_ = {};
    for (Index index : running_backends_) {
      Backend& backend = backends_[index];
      if (capacity_share(backend) < 1 || (!backend.in_subset && backend.work_done.total(now_) <= 0)) continue;
      if (backend.machine_kind >= warm_by_kind_.size()) warm_by_kind_.resize(backend.machine_kind + 1);
      const double work_done = backend.work_done.total(now_) / 4;
      for (WarmThroughput* total : {&warm_by_kind_[backend.machine_kind], &warm_total_})
        total->work_done += work_done, total->weight += backend.weight;
    }
  }

  // The least share of its full capacity, up to 1, that a backend has at its age.
  double capacity_share(const Backend& backend) const {
    if (backend.started_at <= 0 || slow_start_duration_ <= 0) return 1;
    const double age =
        static_cast<double>(std::max<TenthsOfMs>(0, now_ - backend.started_at)) / slow_start_duration_;
    return std::min(1.0, initial_capacity_share_ + (1 - initial_capacity_share_) * age);
  }

  // ---- abandoning early

  // The process may be stalled when a limit comes due, and would answer late by the length of the stall. So
  // an invocation whose hand-offs are unlikely to be answered is answered earlier, since waiting for them
  // would gain nothing.
  void schedule_abandon_check(Index index) {
    Invocation& invocation = invocations_[index];
    const TenthsOfMs allowance =
        std::min(pause_allowance_, (invocation.valid_until - invocation.arrived) / kAllowanceDivisor);
    if (allowance <= 0) return;
    invocation.abandon_check_at = invocation.valid_until - answer_margin_ - allowance;
    schedule_check(invocation.abandon_check_at, index);
  }
  // An answer that is about to be forwarded is left to its hand-off, whose thread may have been held up: a
  // forwarded answer that is late by that is better than the loss of it.
  void give_up_at_limit(Index index) {
    const Invocation& invocation = invocations_[index];
    const TenthsOfMs wait_until = std::min(invocation.valid_until + kMaxStall, answer_by_ - answer_margin_);
    const bool will_be_answered =
        now_ < wait_until &&
        std::any_of(invocation.hand_offs.begin(), invocation.hand_offs.end(), [](const HandOff& hand_off) {
          return hand_off.will_be_forwarded && hand_off.execution == Execution::in_flight;
        });
    if (will_be_answered) schedule_check(wait_until, index);
    else give_final_answer(index);
  }
  // Whether the process was held up over the end of the wait for an answer, which a timer due at `due_at`
  // tells, so that one may lie unread.
  bool may_catch_up(Index index, TenthsOfMs due_at) const {
    const Invocation& invocation = invocations_[index];
    const bool is_wait_over = now_ + answer_margin_ >= invocation.valid_until ||
                              (invocation.abandon_check_at > 0 && invocation.abandon_check_at <= now_);
    const bool was_held_up = due_at >= invocation.accepted_at && now_ - due_at > kMaxTimerDelay;
    return is_wait_over && was_held_up && invocation.catch_up_until == 0 &&
           invocation.hand_offs_in_flight > 0 && now_ + kCatchUpTime < answer_by_ - answer_margin_;
  }
  void schedule_catch_up(Index index) {
    Invocation& invocation = invocations_[index];
    invocation.catch_up_until = now_ + kCatchUpTime;
    if (invocation.abandon_check_at > 0) invocation.abandon_check_at = invocation.catch_up_until;
    schedule_check(invocation.catch_up_until, index);
  }
  void abandon_if_unlikely(Index index) {
    Invocation& invocation = invocations_[index];
    invocation.abandon_check_at = 0;
    const TenthsOfMs time_left = invocation.valid_until - answer_margin_ - now_;
    policy::AnswerProbability& probability = answer_probability_[invocation.workload];
    const bool may_be_answered =
        std::any_of(invocation.hand_offs.begin(), invocation.hand_offs.end(), [&](const HandOff& hand_off) {
          const bool is_progressing = now_ <= hand_off.progress_expected_by;
          return hand_off.execution == Execution::in_flight &&
                 (hand_off.will_be_forwarded || is_progressing ||
                  probability.is_likely(now_, now_ - hand_off.sent_at, time_left));
        });
    if (may_be_answered || probability.is_sampled()) return;
    for (HandOff& hand_off : invocation.hand_offs)
      hand_off.was_abandoned = hand_off.execution == Execution::in_flight;
    give_final_answer(index);
  }
  void record_answer_time(const Invocation& invocation, const HandOffEnded& ended) {
    if (ended.ending == Ending::succeeded)
      answer_probability_[invocation.workload].answered(now_, ended.elapsed);
    if (ended.ending == Ending::timed_out)
      answer_probability_[invocation.workload].unanswered(now_, ended.elapsed);
  }

  // ---- choosing a backend

  // The time until which an answer has any value. For a non-idempotent invocation without value after the
  // latency objective, whose body was complete on arrival, the objective is the end: its client does not
  // retry, so ending it causes no work, and where the time-out makes the backend stop, a huge invocation no
  // longer blocks the backend.
  TenthsOfMs useful_until(const Invocation& invocation) const {
    const Workload& workload = workloads_[invocation.workload];
    return invocation.has_streaming_body || workload.late_value_share > 0 ||
                   workload.semantics != Semantics::non_idempotent
               ? invocation.valid_until
               : std::min(invocation.valid_until, invocation.arrived + workload.latency_objective);
  }

  // Whether an invocation gets no hand-off because its hint exceeds the time left, checked only near the
  // concurrency limit. Clients that retried again and again with short limits filled the backends with work
  // that nobody waited for any more.
  bool cannot_finish_in_time(const Invocation& invocation) const {
    return is_near_limit() && invocation.has_hint &&
           static_cast<double>(useful_until(invocation) - now_) < invocation.work;
  }

  // Draws two ready backends at random and hands the invocation to the less loaded one, or probes both first.
  // Returns false if neither is possible now.
  bool try_hand_off(Index index) {
    Invocation& invocation = invocations_[index];
    if (!invocation.is_open || invocation.is_answer_streaming ||
        now_ + answer_margin_ * 2 >= useful_until(invocation))
      return false;
    if (static_cast<int>(invocation.hand_offs.size()) >= invocation.max_hand_offs) return false;
    if (may_probe_) {  // probes show an overload before the answers to this node do
      if (invocation.probe_rounds == 0 && invocation.hand_offs.empty() && uniform() > admitted_share_)
        return false;
    } else if (working_in_flight() + uniform() >= node_concurrency_limit_) {
      return false;  // the random draw allows for a limit below 1
    }
    if (invocation.has_streaming_body && total_uploads_ >= kUploadsPerPlace * node_concurrency_limit_)
      return false;
    if (cannot_finish_in_time(invocation)) return false;
    may_open_connection_ =
        draw_exceeds(recent_connects_.total(now_), recent_connect_failures_.total(now_), 0.5);
    Index first = kNone, second = kNone;
    if (!draw_candidates(invocation, first, second)) return false;
    if (may_probe_ && second == kNone) second = first;
    if (should_probe_first(invocation, first, second)) start_probing(index, first, second);
    else if (may_probe_ && !(has_fresh_report(first) && has_fresh_report(second))) return false;
    else send_to(index, less_loaded_of(first, second));
    return true;
  }

  // Hands the invocation to the backend with index `to`, without further checks.
  void send_to(Index index, Index to) {
    Invocation& invocation = invocations_[index];
    stop_waiting(index);
    ++total_in_flight_;
    recent_starts_.add(now_, 1);
    mean_in_flight_ += (total_in_flight_ - mean_in_flight_) / 32;
    Backend& backend = backends_[to];
    const TenthsOfMs begin_by = repeat_by(invocation);
    invocation.hand_offs.push_back({to, now_, invocation.work, working_in_flight(backend),
                                    !has_idle_connection(backend),
                                    has_fresh_report(to) ? backend.reported_load : -1, Execution::in_flight});
    if (invocation.has_streaming_body) {
      invocation.hand_offs.back().is_upload = true;
      ++backend.uploads_in_flight;
      ++total_uploads_;
    }
    if (has_idle_connection(backend)) --backend.idle_connections;
    if (backend.reported_load >= 0)
      backend.reported_load += 1 / std::max(backend.weight, 1e-3),
          backend.sent_since_report += 1 / std::max(backend.weight, 1e-3);
    ++invocation.hand_offs_in_flight;
    ++backend.hand_offs_in_flight;
    ++backend.remembered_hand_offs;
    if (capacity_share(backend) < 1)
      backend.slow_start_work_sent.add(now_, budgeted_work(invocation)), backend.is_draw_won = false;
    actions_.push_back(
        {ActionKind::hand_off, index, to, 0, useful_until(invocation) - answer_margin_, begin_by});
    if (!may_hedge_ || invocation.has_streaming_body || invocation.hand_offs_in_flight != 1) return;
    const double hedge_delay =
        kHedgeLatencyMultiple * mean_latency_[invocation.workload] * relative_size(invocation);
    schedule_check(
        invocation.hedge_at = now_ + (lacks_recent_success(backend) ? slow_threshold(invocation) * 2 / 3
                                                                    : static_cast<TenthsOfMs>(hedge_delay)),
        index);
  }

  // Sends a hedged request if the first hand-off is slow and its backend has no recent success: with many
  // nodes, each of them meets a slow or hung backend before it can have learned of it. At any other backend,
  // the hedge comes after a multiple of the mean latency and only while there is capacity: a few invocations
  // may hang at a backend that answers the others well.
  void send_hedge(Index index) {
    Invocation& invocation = invocations_[index];
    invocation.hedge_at = 0;
    if (invocation.hand_offs_in_flight != 1 || invocation.hand_offs.back().execution != Execution::in_flight)
      return;
    Backend& backend = backends_[invocation.hand_offs.back().backend];
    if (lacks_recent_success(backend)) {
      ++backend.health.consecutive_failures;
      backend.health.failures.add(now_, 1), fleet_health_.failures.add(now_, 1);
      replace_in_subset(invocation.hand_offs.back().backend);
    } else {  // counted as late now: the answer to the hedge would hide how slow this backend is
      record_outcome(backend.workload_health[invocation.workload],
                     fleet_health_by_workload_[invocation.workload], false, true);
    }
    if (lacks_recent_success(backend) || !is_near_limit()) try_hand_off(index);
  }
  bool lacks_recent_success(Backend& backend) { return backend.health.successes.total(now_) < 1; }

  // Power of two choices: fewer hand-offs of this node in flight, then the lower reported load, then a random
  // draw.
  Index less_loaded_of(Index first, Index second) {
    if (second == kNone) return first;
    if (backends_[first].hand_offs_in_flight != backends_[second].hand_offs_in_flight)
      return backends_[first].hand_offs_in_flight < backends_[second].hand_offs_in_flight ? first : second;
    if (has_fresh_report(first) && has_fresh_report(second) &&
        backends_[first].reported_load != backends_[second].reported_load)  // load of all nodes, per weight
      return backends_[first].reported_load < backends_[second].reported_load ? first : second;
    return uniform() < 0.5 ? first : second;
  }
  bool has_fresh_report(Index index) const {
    return backends_[index].reported_load >= 0 && now_ - backends_[index].reported_at < report_lifetime_;
  }

  // Draws two different ready backends at random. `second` stays kNone if only one is ready. Returns false if
  // none is ready.
  bool draw_candidates(const Invocation& invocation, Index& first, Index& second) {
    // The zone of this node comes first while two of its backends have spare capacity: links between zones
    // cost time and money. An invocation with less time left than a slow answer takes has no time for such
    // links while any backend in the zone is below its limit.
    if (subset_in_zone_.size() >= 2 && invocation.probe_rounds == 0) {
      const double fill_limit =
          useful_until(invocation) - now_ < slow_threshold(invocation) ? 1 : kOwnZoneFillLimit;
      first = draw_ready(invocation, subset_in_zone_, kNone, fill_limit);
      if (first != kNone) second = draw_ready(invocation, subset_in_zone_, first, fill_limit);
    }
    if (second != kNone) return true;
    first = draw_ready(invocation, subset_, kNone, 1);
    if (first != kNone) second = draw_ready(invocation, subset_, first, 1);
    if (first == kNone && subset_.size() < running_backends_.size())
      first = draw_ready(invocation, running_backends_, kNone, 1);
    return first != kNone;
  }

  // With many nodes, the counts of one node do not show the load that other nodes put on a backend. Where
  // probes show that load, a pair without fresh reports is probed first.
  bool should_probe_first(const Invocation& invocation, Index first, Index second) const {
    return may_probe_ && invocation.probe_rounds < kMaxProbeRounds &&
           !(has_fresh_report(first) && has_fresh_report(second));
  }
  // Probes two backends for an invocation that has to wait for the results.
  void start_probing(Index index, Index first, Index second) {
    Invocation& invocation = invocations_[index];
    stop_waiting(index);
    ++invocation.probe_rounds;
    invocation.probed_pair = {first, second};
    invocation.probe_until =
        now_ + std::max(answer_margin_ * 2, workloads_[invocation.workload].latency_objective / 16);
    schedule_check(invocation.probe_until, index);
    probing_.push_back(index);
    for (Index candidate : invocation.probed_pair) {
      Backend& backend = backends_[candidate];
      if (backend.probe_requests++ == 0) actions_.push_back({ActionKind::probe, kNone, candidate, 0, 0});
    }
  }
  // Hands off the invocation if one of the probed backends is ready, else tries other backends, queues it or
  // answers it.
  void finish_probing(Index index) {
    Invocation& invocation = invocations_[index];
    probing_.erase(std::find(probing_.begin(), probing_.end(), index));
    invocation.probe_until = 0;
    const auto [first, second] = invocation.probed_pair;
    const bool is_first_ready = has_fresh_report(first) && is_ready(invocation, first, 1),
               is_second_ready = has_fresh_report(second) && is_ready(invocation, second, 1);
    update_admitted_share(invocation, is_first_ready || is_second_ready);
    if (now_ + answer_margin_ * 2 < useful_until(invocation) && (is_first_ready || is_second_ready))
      return send_to(index, is_first_ready && is_second_ready ? less_loaded_of(first, second)
                            : is_first_ready                  ? first
                                                              : second);
    if (!try_hand_off(index)) enqueue_or_answer(index);
  }

  // Draws one ready backend with a probability in proportion to its selection_weight(); kNone if there is
  // none. The function draws a candidate, then checks it, then draws again: the probabilities are those of a
  // draw among all ready backends, at a cost that does not grow with the fleet. All candidates are checked
  // only where few are ready.
  Index draw_ready(const Invocation& invocation, const std::vector<Index>& candidates, Index excluded,
                   double fill_limit) {
    for (int tries = 0; tries < kMaxDraws && !candidates.empty(); ++tries) {
      const Index candidate = candidates[std::min(candidates.size() - 1,
                                                  static_cast<std::size_t>(uniform() * candidates.size()))];
      if (candidate != excluded && uniform() * max_weight_ < selection_weight(candidate) &&
          is_ready(invocation, candidate, fill_limit))
        return candidate;
    }
    double sum = 0;
    Index drawn = kNone;
    for (Index candidate : candidates) {
      if (candidate == excluded || !is_ready(invocation, candidate, fill_limit)) continue;
      sum += selection_weight(candidate);
      if (uniform() * sum < selection_weight(candidate)) drawn = candidate;
    }
    return drawn;
  }

  bool is_ready(const Invocation& invocation, Index index, double fill_limit) {
    Backend& backend = backends_[index];
    if (may_probe_ && has_fresh_report(index) && !has_capacity(invocation, backend)) return false;
    const double places = std::max(1.0, backend.concurrency_limit * fill_limit);
    if (invocation.has_streaming_body && backend.uploads_in_flight >= kUploadsPerPlace * places) return false;
    return (may_probe_ || working_in_flight(backend) < places) &&
           draw_is_healthy(backend.health, fleet_health_) &&
           draw_is_healthy(backend.workload_health[invocation.workload],
                           fleet_health_by_workload_[invocation.workload]) &&
           (may_open_connection_ || has_idle_connection(backend)) && may_send_to(backend) &&
           may_repeat_at(invocation, backend) && within_slow_start_budget(backend, budgeted_work(invocation));
  }

  // Whether the reported load leaves time for one more invocation: the load must not exceed load_limit_,
  // which is learned from the times of answers. If the service rate is known, the wait in the queue of the
  // backend must be short as well.
  bool has_capacity(const Invocation& invocation, const Backend& backend) const {
    const double max_queue = kMaxQueueWaitShare * service_rate_ *
                             static_cast<double>(workloads_[invocation.workload].latency_objective);
    return backend.reported_load <= load_limit_ &&
           (service_rate_ <= 0 || backend.reported_load - backend.sent_since_report <= max_queue);
  }
  void update_load_limit(const HandOff& hand_off, const Invocation& invocation, const HandOffEnded& ended) {
    const bool is_late = ended.ending == Ending::timed_out ||
                         ended.elapsed > workloads_[invocation.workload].latency_objective;
    // Only a late answer to a hand-off that was sent within the limit shows that the limit is too high: late
    // answers of a burst still arrive long after the limit has been lowered.
    if (is_late && hand_off.reported_load <= load_limit_)
      load_limit_ = std::min(load_limit_, hand_off.reported_load) * (1 - kLimitStep * (1 - kTargetSlowShare));
    else if (!is_late && hand_off.reported_load > load_limit_ / 2)
      load_limit_ *= 1 + kLimitStep * kTargetSlowShare;
  }
  // Nodes that learn of the same free backend at once would overload it together. So each node hands off only
  // a share of its new invocations. The share grows while probing finds a ready backend. It shrinks, and does
  // so faster, when the last pair has no capacity.
  void update_admitted_share(const Invocation& invocation, bool is_found) {
    if (service_rate_ <= 0 || (!is_found && invocation.probe_rounds < kMaxProbeRounds)) return;
    const double step =
        kLimitStep * static_cast<double>(std::min(now_ - admitted_share_at_, kSecond)) / kSecond;
    admitted_share_at_ = now_;
    admitted_share_ = std::clamp(admitted_share_ * (is_found ? 1 + 2 * step : 1 - 8 * step), 0.02, 1.0);
  }

  // The weight of a backend in a random draw: its listed weight, times its capacity share in slow start.
  double selection_weight(Index index) const {
    return std::max(1e-3, backends_[index].weight * capacity_share(backends_[index]));
  }

  // ---- the subset of backends that this node uses

  // A node with little traffic uses so few backends that its own counts say something about each of them.
  // With enough traffic, the subset is the whole fleet. A backend that does badly is replaced by another one,
  // drawn at random.
  void fill_subset() {
    const auto wanted_size = std::min<std::size_t>(
        running_backends_.size(),
        std::max(kMinSubsetSize, static_cast<std::size_t>(kSubsetPerInFlight * mean_in_flight_)));
    if (subset_.size() >= wanted_size) return;
    while (subset_.size() < wanted_size) {
      Index added = kNone;
      for (int tries = 0; tries < kMaxDraws && added == kNone; ++tries) {
        // Half of the subset is in the zone of this node if probes are allowed and a link between zones costs
        // more than a new connection.
        const bool prefers_near = prefers_own_zone_ && 2 * subset_in_zone_.size() < wanted_size &&
                                  subset_in_zone_.size() < running_in_zone_.size();
        const std::vector<Index>& candidates = prefers_near ? running_in_zone_ : running_backends_;
        const Index drawn =
            candidates[static_cast<std::size_t>(uniform() * candidates.size()) % candidates.size()];
        if (!backends_[drawn].in_subset && draw_is_healthy(backends_[drawn].health, fleet_health_))
          added = drawn;
      }
      for (std::size_t position = 0; position < running_backends_.size() && added == kNone; ++position)
        if (!backends_[running_backends_[position]].in_subset) added = running_backends_[position];
      backends_[added].in_subset = true;
      subset_.push_back(added);
      update_subset_in_zone();
    }
    update_subset_in_zone();
  }
  // New backends replace members of the subset in proportion to their number. Otherwise the new part of a
  // growing fleet would be idle.
  void add_new_to_subset(const std::vector<Index>& new_backends) {
    for (Index added : new_backends) {
      if (subset_.empty() || uniform() * running_backends_.size() >= subset_.size()) continue;
      Index& replaced = subset_[static_cast<std::size_t>(uniform() * subset_.size()) % subset_.size()];
      backends_[replaced].in_subset = false;
      backends_[added].in_subset = true;
      replaced = added;
    }
    update_subset_in_zone();
  }
  void replace_in_subset(Index index) {
    if (!backends_[index].in_subset || subset_.size() >= running_backends_.size()) return;
    if (draw_is_healthy(backends_[index].health, fleet_health_, 0.5)) return;
    backends_[index].in_subset = false;
    subset_.erase(std::find(subset_.begin(), subset_.end(), index));
    fill_subset();
    update_subset_in_zone();
  }
  void update_subset_in_zone() {
    subset_in_zone_.clear();
    for (Index index : subset_)
      if (backends_[index].zone == zone_) subset_in_zone_.push_back(index);
  }

  // ---- health and outlier detection

  void update_health(Backend& backend, const Invocation& invocation, const HandOffEnded& ended) {
    if (ended.ending == Ending::never_sent) return;
    Health &own = backend.workload_health[invocation.workload],
           &fleet = fleet_health_by_workload_[invocation.workload];
    // A hand-off that is cancelled after a slow wait, for example when its client leaves, shows a problem of
    // its workload at this backend, and nothing about other workloads.
    if (ended.ending == Ending::recalled) {
      if (ended.elapsed > slow_threshold(invocation)) record_outcome(own, fleet, false, true);
      return;
    }
    const bool is_late =
        ended.ending == Ending::timed_out ||
        (ended.ending == Ending::succeeded &&
         ended.elapsed > workloads_[invocation.workload].latency_objective && !invocation.has_hint);
    const bool is_success = ended.ending == Ending::succeeded && !is_late;
    record_outcome(own, fleet, is_success, is_late);
    if (!record_outcome(backend.health, fleet_health_, is_success, is_late))
      replace_in_subset(static_cast<Index>(&backend - backends_.data()));
  }
  // Counts one outcome for a backend and for the fleet. Returns false if it counts as a failure.
  bool record_outcome(Health& health, Health& fleet, bool is_success, bool is_late) {
    if (is_success)
      return health.consecutive_failures = 0, health.successes.add(now_, 1), fleet.successes.add(now_, 1),
             true;
    // A run of failures that chance would hardly produce: the backend has changed, and its earlier record,
    // bad or good, says nothing about it now. In a network that resets connections everywhere, three failures
    // in a row are frequent, and backends were avoided for as long as their earlier failures were remembered.
    const double failure_share =
        fleet.failures.total(now_) / (fleet.successes.total(now_) + fleet.failures.total(now_) + 1);
    if (++health.consecutive_failures >= 3 &&
        std::pow(failure_share, health.consecutive_failures) < kMinRunProbability &&
        (health.consecutive_failures == 3 ||
         std::pow(failure_share, health.consecutive_failures - 1) >= kMinRunProbability))
      health.successes.clear(), health.failures.clear(),
          health.failures.add(now_, health.consecutive_failures - 1);
    // A busy backend answers some invocations in time and others late. A late answer counts as a failure if
    // it is at least the third failure in a row, or if this node hears from the backend so rarely that it has
    // no recent success to weigh against the late answer.
    if (is_late && health.consecutive_failures < 3 && health.successes.total(now_) >= 1) return true;
    health.failures.add(now_, 1), fleet.failures.add(now_, 1);
    return false;
  }

  // Learns from all new connections together whether connecting works. If it does not, only backends with an
  // idle connection are ready, apart from an occasional attempt.
  void update_connections(Backend& backend, const HandOff& hand_off, Ending ending) {
    const bool is_answered =
        ending == Ending::succeeded || ending == Ending::error || ending == Ending::turned_away;
    if (is_answered) ++backend.idle_connections, backend.idle_connections_until = now_ + keepalive_;
    if (ending == Ending::unreachable || ending == Ending::broken) backend.idle_connections = 0;
    if (!hand_off.new_connection || ending == Ending::never_sent || ending == Ending::recalled) return;
    (ending == Ending::unreachable ? recent_connect_failures_ : recent_connects_).add(now_, 1);
  }
  bool has_idle_connection(const Backend& backend) const {
    return backend.idle_connections > 0 && now_ < backend.idle_connections_until;
  }

  // Whether a backend passes outlier detection this time: a draw from the posterior distribution of its
  // success rate is compared with the success rate of the fleet. So a backend does not attract work by quick
  // errors that make it look idle, and an outlier is still tried now and then.
  bool draw_is_healthy(Health& health, Health& fleet_health, double min_share = 0) {
    const double successes = fleet_health.successes.total(now_) + 1,
                 fleet_share =
                     std::max(min_share, successes / (successes + fleet_health.failures.total(now_)));
    return draw_exceeds(health.successes.total(now_), health.failures.total(now_),
                        kOutlierSuccessRatio * fleet_share);
  }
  // Whether the posterior mean of the success rate is so low that most draws of draw_is_healthy() exclude the
  // backend.
  bool is_outlier(Health& health) {
    const double successes = health.successes.total(now_), failures = health.failures.total(now_),
                 fleet_successes = fleet_health_.successes.total(now_) + 1;
    return failures > 0.5 && (successes + 1) / (successes + failures + 2) <
                                 kOutlierSuccessRatio * fleet_successes /
                                     (fleet_successes + fleet_health_.failures.total(now_));
  }
  // Draws a success rate from its posterior distribution, given counts of successes and failures, and
  // compares the draw with `threshold`. Without failures the result is true.
  bool draw_exceeds(double successes, double failures, double threshold) {
    if (failures < 0.5) return true;
    const double success_draw = std::gamma_distribution<double>(successes + 1)(random_);
    const double failure_draw = std::gamma_distribution<double>(failures + 1)(random_);
    return success_draw > threshold * (success_draw + failure_draw);
  }

  // ---- concurrency limits and the queue

  // Learns the concurrency limits of the backend and of the node from the times of hand-offs alone. A limit
  // settles where a small share of the answers takes more than half of the latency objective. The limits
  // prevent an overload in which every backend is busy with work whose answer comes too late.
  void update_limits(Backend& backend, const HandOff& hand_off, const Invocation& invocation,
                     const HandOffEnded& ended) {
    if (ended.ending == Ending::error || ended.ending == Ending::recalled ||
        ended.ending == Ending::never_sent)
      return;
    const bool is_slow = ended.ending != Ending::succeeded || ended.elapsed > slow_threshold(invocation);
    // With many nodes, each of them sees too few answers of one backend; the answers of all backends together
    // show an overload in time.
    const double recovery_factor =
        std::sqrt(std::max(1.0, initial_limit_ * static_cast<double>(running_backends_.size())) /
                  node_concurrency_limit_);
    const double node_step = std::min(kLimitStep * node_concurrency_limit_, 1.0);
    if (is_near_limit())
      node_concurrency_limit_ +=
          node_step * (is_slow ? kNodeTargetSlowShare - 1 : kNodeTargetSlowShare * recovery_factor);
    node_concurrency_limit_ =
        std::max({0.1, node_concurrency_limit_, min_limit_ * static_cast<double>(running_backends_.size())});
    // A lost connection says nothing about the capacity of a backend. Counted here, it would keep the limit
    // low after the backend has recovered.
    if (ended.ending == Ending::unreachable || ended.ending == Ending::broken) return;
    const double step =
        // Over one round of answers, small and large limits move by the same share.
        std::min(kLimitStep * backend.concurrency_limit, 1.0);
    if (is_slow) backend.concurrency_limit -= step * (1 - kTargetSlowShare);
    else if (hand_off.in_flight_before + 1 > backend.concurrency_limit / 2 || is_near_limit())
      backend.concurrency_limit += step * kTargetSlowShare;
    backend.concurrency_limit = std::clamp(backend.concurrency_limit, min_limit_, kMaxBackendLimit);
  }

  bool is_near_limit() const { return working_in_flight() + 1 > node_concurrency_limit_ * 0.7; }
  // Hand-offs that backends may have begun to run, in all and at one backend. The limits count these: a body
  // that still arrives costs a backend a connection only.
  int working_in_flight() const { return total_in_flight_ - total_uploads_; }
  static int working_in_flight(const Backend& backend) {
    return backend.hand_offs_in_flight - backend.uploads_in_flight;
  }

  // An answer that takes longer than this is slow. A large invocation takes long by itself: if its hint is
  // known, a long time is no sign of a queue.
  TenthsOfMs slow_threshold(const Invocation& invocation) const {
    return static_cast<TenthsOfMs>(kSlowObjectiveShare *
                                   static_cast<double>(workloads_[invocation.workload].latency_objective) *
                                   relative_size(invocation));
  }
  // Expected duration of an invocation relative to the mean of its workload. One half is fixed, the other
  // half is in proportion to the hint. 1 without a hint.
  double relative_size(const Invocation& invocation) const {
    return invocation.has_hint ? 0.5 + 0.5 * invocation.work / mean_work_[invocation.workload] : 1;
  }

  // Billing value of an invocation per unit of backend time.
  double value_per_work(const Invocation& invocation) const {
    return workloads_[invocation.workload].billing_value / mean_latency_[invocation.workload];
  }

  // Queues an invocation that cannot be handed off if its turn is likely to come in time. Otherwise answers
  // this invocation at once, or a queued one with less value per unit of backend time. A retry marked by the
  // client never waits: its latency objective has run since the first attempt, and waiting made it late.
  void enqueue_or_answer(Index index) {
    Invocation& invocation = invocations_[index];
    const TenthsOfMs max_wait = workloads_[invocation.workload].latency_objective / 8;
    const TenthsOfMs wait_until = invocation.arrived + max_wait;
    // With no hand-off in flight, none would end and serve the queue: the invocation would only be delayed.
    const bool is_node_idle = total_in_flight_ == 0 && !running_backends_.empty();
    const bool is_wait_over = wait_until <= now_ || now_ + answer_margin_ >= invocation.valid_until;
    if (is_node_idle || invocation.is_client_retry || invocation.is_body_consumed ||
        cannot_finish_in_time(invocation) || is_wait_over || !may_reject(invocation))
      return give_final_answer(index);
    invocation.is_queued = true;
    queue_.push_back(index);
    schedule_check(wait_until, index);
    const double expected_starts = recent_starts_.total(now_) * static_cast<double>(max_wait) / kSecond;
    if (static_cast<double>(queue_.size()) <= expected_starts + 1) return;
    Index worst = index;
    for (Index queued : queue_)
      if (value_per_work(invocations_[queued]) < value_per_work(invocations_[worst])) worst = queued;
    give_final_answer(worst);
  }

  // Hands off queued invocations, the most valuable first, while the node is below its limit.
  void serve_queue() {
    while (!queue_.empty() && working_in_flight() < node_concurrency_limit_) {
      std::size_t best = queue_.size();
      for (std::size_t position = 0; position < queue_.size(); ++position)
        if (best == queue_.size() ||
            value_per_work(invocations_[queue_[position]]) > value_per_work(invocations_[queue_[best]]))
          best = position;
      const Index index = queue_[best];
      if (!try_hand_off(index)) return;
    }
  }

  // Takes an invocation out of the queue and out of the wait for probes.
  void stop_waiting(Index index) {
    if (invocations_[index].probe_until > 0) {
      invocations_[index].probe_until = 0;
      probing_.erase(std::find(probing_.begin(), probing_.end(), index));
    }
    if (!invocations_[index].is_queued) return;
    invocations_[index].is_queued = false;
    queue_.erase(std::find(queue_.begin(), queue_.end(), index));
  }

  // ---- the backend list

  void request_list(TenthsOfMs now) {
    now_ = now;
    queued_actions_.push_back({ActionKind::watch_discovery, kNone, kNone, 0, 0});
  }
  // Requests the backend list again after a random delay that doubles with each failure, up to 8 times the
  // first one.
  void retry_list_request() {
    current_retry_gap_ = std::min(discovery_retry_gap_ * 8,
                                  current_retry_gap_ == 0 ? discovery_retry_gap_ : current_retry_gap_ * 2);
    const TenthsOfMs wait =
        static_cast<TenthsOfMs>(static_cast<double>(current_retry_gap_) * (0.5 + uniform()));
    schedule_check(now_ + wait, kNone);
  }

  // ---- bookkeeping and timers

  bool is_known_hand_off(Index index, int number) const {
    return index < invocations_.size() && number >= 0 &&
           number < static_cast<int>(invocations_[index].hand_offs.size());
  }
  // Frees the index of an invocation that is answered and has no hand-off in flight.
  void forget_if_done(Index index) {
    Invocation& invocation = invocations_[index];
    if (!invocation.is_index_used || invocation.is_open || invocation.hand_offs_in_flight > 0) return;
    invocation.is_index_used = false;
    ++invocation.generation;
    for (const HandOff& hand_off : invocation.hand_offs)
      --backends_[hand_off.backend].remembered_hand_offs, release_if_gone(hand_off.backend);
    invocation.hand_offs.clear();
    actions_.push_back({ActionKind::forget, index, kNone, 0, 0});
  }
  // Backends come and go under new ids for as long as a node runs, so the state must not grow with the ids.
  void release_if_gone(Index index) {
    Backend& backend = backends_[index];
    if (!backend.is_known || backend.is_listed || backend.remembered_hand_offs > 0 ||
        backend.probe_requests > 0)
      return;
    backend = Backend{};
    actions_.push_back({ActionKind::release, kNone, index, 0, 0});
  }

  double uniform() { return std::generate_canonical<double, 32>(random_); }

  // A time at which to look at an invocation, or with kNone to request the backend list. `order` is that of
  // creation and decides between timers of the same time.
  struct Timer {
    TenthsOfMs due_at;
    std::uint64_t order;
    Index invocation;
    std::uint32_t generation;
    bool operator>(const Timer& other) const {
      return std::pair(due_at, order) > std::pair(other.due_at, other.order);
    }
  };
  // Wakes the node at `when` to look at the invocation; kNone: to request the backend list again.
  void schedule_check(TenthsOfMs when, Index index) {
    timers_.push_back({when, next_order_++, index, index == kNone ? 0 : invocations_[index].generation});
    std::push_heap(timers_.begin(), timers_.end(), std::greater<>());
    if (timers_.size() >= drop_ended_timers_at_) drop_ended_timers();
  }
  // The timers of an invocation that has ended would else stay until its limit, and clients may name one of a
  // day.
  void drop_ended_timers() {
    std::erase_if(timers_, [this](const Timer& timer) {
      return is_stale(timer) || (timer.invocation != kNone && !invocations_[timer.invocation].is_open);
    });
    std::make_heap(timers_.begin(), timers_.end(), std::greater<>());
    drop_ended_timers_at_ = std::max(kMinTimers, 2 * timers_.size());
  }
  void pop_timer() {
    std::pop_heap(timers_.begin(), timers_.end(), std::greater<>());
    timers_.pop_back();
  }
  bool is_stale(const Timer& timer) const {
    return timer.invocation != kNone && invocations_[timer.invocation].generation != timer.generation;
  }
  void run_due_timers() {
    while (!timers_.empty() && timers_.front().due_at <= now_) {
      const Timer timer = timers_.front();
      pop_timer();
      if (timer.invocation == kNone) {
        actions_.push_back({ActionKind::watch_discovery, kNone, kNone, 0, 0});
      } else if (!is_stale(timer)) {
        const Invocation& invocation = invocations_[timer.invocation];
        if (invocation.is_queued) give_final_answer(timer.invocation);
        else if (now_ < invocation.catch_up_until) continue;
        else if (may_catch_up(timer.invocation, timer.due_at)) schedule_catch_up(timer.invocation);
        else if (now_ + answer_margin_ >= invocation.valid_until) give_up_at_limit(timer.invocation);
        else if (invocation.abandon_check_at > 0 && invocation.abandon_check_at <= now_)
          abandon_if_unlikely(timer.invocation);
        else if (invocation.probe_until > 0 && invocation.probe_until <= now_)
          finish_probing(timer.invocation);
        else if (invocation.hedge_at > 0 && invocation.hedge_at <= now_) send_hedge(timer.invocation);
      }
    }
  }
  void set_next_timer() {
    // A stale timer needs no wake-up: nearly every invocation ends before its limit, and the node was woken
    // once for each.
    while (!timers_.empty() && is_stale(timers_.front())) pop_timer();
    if (timers_.empty() || (timer_set_for_ > now_ && timer_set_for_ <= timers_.front().due_at)) return;
    timer_set_for_ = timers_.front().due_at;
    actions_.push_back({ActionKind::set_timer, kNone, kNone, 0, timer_set_for_});
  }

  std::knuth_b random_;
  const Index zone_;
  const TenthsOfMs answer_margin_;  // no answer comes closer than this to its limit
  const TenthsOfMs window_bucket_;
  int max_hand_offs_ = 1;  // this and the following members: set by apply_settings() alone
  bool may_hedge_ = false, may_cancel_ = false, may_probe_ = false, prefers_own_zone_ = false;
  double nodes_ = 1, initial_limit_ = 0, min_limit_ = 0, initial_capacity_share_ = 1,
         slow_start_multiple_ = 0;
  TenthsOfMs pause_allowance_ = 0;
  TenthsOfMs max_retry_after_ = 0;  // 0 if clients do not honor Retry-After
  TenthsOfMs slow_start_duration_ = 0, discovery_retry_gap_ = 0, keepalive_ = 0, report_lifetime_ = 0;
  std::vector<Workload> workloads_;  // by index; some serve unfinished invocations only

  TenthsOfMs now_ = 0, timer_set_for_ = 0, current_retry_gap_ = 0;
  TenthsOfMs answer_by_ = INT64_MAX;  // deadline of a shutdown, once it is requested
  std::uint64_t next_order_ = 0;
  std::vector<double> mean_work_;     // by workload
  std::vector<double> mean_latency_;  // by workload: moving average of the time to a success
  std::vector<Backend> backends_;
  std::vector<Invocation> invocations_;
  std::vector<Index> running_backends_, running_in_zone_, subset_in_zone_, subset_, queue_, probing_;
  double max_weight_ = 0;
  std::int64_t warm_measured_bucket_ = -1;
  struct WarmThroughput {
    double work_done = 0, weight = 0;
  };
  std::vector<WarmThroughput> warm_by_kind_;  // by machine kind
  WarmThroughput warm_total_;
  double mean_in_flight_ = 0;                                // moving average of the hand-offs in flight
  bool may_open_connection_ = true;                          // drawn for each hand-off
  SlidingSum<8> recent_connects_, recent_connect_failures_;  // of new connections
  Health fleet_health_;                                      // of all backends together
  std::vector<Health> fleet_health_by_workload_;
  std::vector<policy::AnswerProbability> answer_probability_;  // by workload
  int total_in_flight_ = 0, total_uploads_ = 0;                // of all backends
  double load_limit_ = 1e9;  // highest reported load of a backend with capacity, learned from all answers
  // What backends with a backlog get done, in invocations per tenth of a millisecond and unit of weight. 0 if
  // unknown.
  double service_rate_ = 0;
  double admitted_share_ = 1;  // share of new invocations that is handed off
  TenthsOfMs admitted_share_at_ = 0;
  double node_concurrency_limit_ = 0;  // learned from all answers
  SlidingSum<10> recent_starts_;       // hand-offs sent in the last second
  static constexpr std::size_t kMinTimers = 4096;
  std::vector<Timer> timers_;  // a heap, with the earliest one in front
  std::size_t drop_ended_timers_at_ = kMinTimers;
  // The actions of the current event, and those of the constructor until the first event.
  std::vector<Action> actions_, queued_actions_;
};

Decider::Decider(const Settings& settings, TenthsOfMs now) : impl_(std::make_unique<Impl>(settings, now)) {}
Decider::~Decider() = default;
Decider::Decider(Decider&&) noexcept = default;
Decider& Decider::operator=(Decider&&) noexcept = default;
const std::vector<Action>& Decider::decide(TenthsOfMs now, const Event& event) {
  return impl_->decide(now, event);
}

}  // namespace troutstage
