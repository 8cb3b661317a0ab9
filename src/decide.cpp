// Every decision of a node: which backend an invocation is handed to, how often, and what its client is told.
//
// How to call it: make one Decider per node from its Settings, then give decide() each event in the order of
// its arrival with the time it came in, and carry out the actions it returns before the next call. The
// interface is src/decide.h; docs/design.md tells what is kept of the source's design and where it is left.
//
// Each of the four rules is kept at one place that every send and every answer passes:
//   1 one answer in time   answer()          3 drains kept       may_go_to()
//   2 no double effect     may_repeat_at()   4 gentle to cold    within_cold_budget()
#include "decide.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <queue>
#include <random>
#include <utility>

#include "policy/answer_odds.h"

namespace troutstage {
namespace {

// Sums over the last N spans of time, in buckets that are used again.
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
    for (std::int64_t b = std::max(newest_bucket_ + 1, bucket - N + 1); b <= bucket; ++b) {
      total_ -= sums_[b % N];
      sums_[b % N] = 0;
    }
    newest_bucket_ = std::max(newest_bucket_, bucket);
  }
  TenthsOfMs span_ = 1;
  std::int64_t newest_bucket_ = 0;
  double total_ = 0;
  std::array<double, N> sums_{};
};

constexpr TenthsOfMs kSecond = 10000;
constexpr double kInitialFleetLimit = 10, kMinFleetLimit = 2, kMaxBackendLimit = 1000;  // a backend, all nodes together
constexpr double kTargetLateShare = 0.1;  // the limit settles where so many answers take longer than they should
constexpr double kOutlierSuccessRatio = 0.8;  // a doubtful backend must be drawn to reach this part of the fleet's success
constexpr double kMinRunProbability = 0.001;         // what is less likely than this is no chance
constexpr double kOwnZoneFillLimit = 0.35;        // own-zone backends fuller than this are like any other
constexpr double kSlowObjectiveShare = 0.5;           // ... than this part of the due time
constexpr double kNodeTargetLateShare = 0.18;        // and the limit of the node settles at this share
constexpr double kLimitStep = 0.3;             // how far one late answer moves it
constexpr int kMaxProbeRounds = 2;             // pairs probed for an invocation
constexpr double kMaxQueueWaitShare = 0.06;            // a backend has room while one waits there for less of the due time
constexpr double kBusyUtilization = 0.85;            // or while less of its cores is in use
constexpr std::size_t kMinSubsetSize = 4;  // two choices and two to spare
constexpr double kSubsetPerInFlight = 3.5;           // members for each invocation that is usually in flight
constexpr double kHedgeLatencyMultiple = 3;               // a copy goes out after so many times what is usual
constexpr TenthsOfMs kMinAllowanceDivisor = 4;      // one of so many parts of a short limit is the most that is kept back
constexpr TenthsOfMs kMaxAnswerGap = 2500;      // between two pieces of an answer that still comes
constexpr int kMaxDraws = 12;                // candidates drawn before all are looked at

// How hand-offs ended lately.
struct Health {
  Health() { good.set_span(kSecond), bad.set_span(kSecond); }
  SlidingSum<8> good, bad;
  int consecutive_failures = 0;  // how many of the last ones in a row ended badly
};

struct Backend {
  bool is_known = false;
  bool is_unavailable = true;  // draining, gone or not listed (yet)
  bool listed = false;       // else its index is released once nothing refers to it
  int held = 0;              // hand-offs to it that invocations still remember
  Index machine_kind = kNone, zone = kNone;
  std::int64_t cell = -1;
  double weight = 1;
  TenthsOfMs started_at = 0;
  int hand_offs_in_flight = 0;       // this node's own hand-offs in flight
  double concurrency_limit = 0;  // how many of them may be in flight
  Health health;
  std::vector<Health> workload_health;  // the same, each by itself: one may hang where the others are well
  int probes_in_flight = 0;
  double told = -1;                      // what it holds for its size, as the last probe told; -1: not told
  double sent_since_report = 0;  // of this node's own, since then
  TenthsOfMs reported_at = 0;
  int idle = 0;                          // open connections of this node that nothing uses
  TenthsOfMs idle_connections_until = 0;                 // when they close by themselves
  bool running = false, in_subset = false;  // in the list; of those that this node keeps to
  SlidingSum<16> work_done;                         // work this node got done here
  TenthsOfMs next_draw_at = 0;                 // cold: when to draw next whether it may be sent one at all
  bool drawn = false;
  SlidingSum<16> slow_start_work_sent;  // work this node sent here, over the length of the fall window
};

enum class Execution { in_flight, maybe, never };

struct HandOff {
  Index backend = kNone;
  TenthsOfMs sent = 0;
  double work = 0;
  int in_flight_before = 0;
  bool new_connection = false;
  double told = -1;
  Execution execution = Execution::in_flight;
  TenthsOfMs last_progress_at = INT64_MIN / 2;  // when a piece of its answer came last
  bool was_abandoned = false;  // called back since its invocation's time was over
};

struct Invocation {
  bool is_index_used = false;  // the index is in use
  bool held = false;  // an answer is still owed
  bool is_answer_streaming = false;
  bool has_hint = false;
  bool is_client_retry = false;
  bool has_streaming_body = false, is_body_consumed = false;  // its body: still coming, and gone
  bool is_queued = false;  // held with nothing out, for a place at a backend
  Index workload = 0;
  TenthsOfMs arrived = 0, valid_until = 0;
  double work = 0;
  int hand_offs_in_flight = 0;
  int probe_rounds = 0, max_hand_offs = 1;              // hand-offs that it may have
  std::array<Index, 2> pair{kNone, kNone};  // whose probes are waited for
  TenthsOfMs probe_until = 0;                   // how long; 0: not at all
  TenthsOfMs hedge_at = 0;                       // when a second copy may go out; 0: not at all
  TenthsOfMs abandon_check_at = 0;                   // when it is answered unless its attempts are likely to be; 0: not at all
  std::uint32_t generation = 0;                   // tells this use of the index from earlier ones
  std::vector<HandOff> hand_offs;
};

}  // namespace

class Decider::Impl {
 public:
  Impl(const Settings& s, TenthsOfMs now)
      : random_(s.seed), zone_(s.zone), answer_margin_(s.tick + 1),
        // Half a bucket more than the window is counted, and some room is left for chance.
        window_bucket_(s.slow_start_window / 15 + 1) {
    apply_settings(s);
    mean_latency_ = mean_work_ = initial_latency_guess();
    recent_starts_.set_span(kSecond / 10);
    for (SlidingSum<8>* r : {&recent_connects_, &recent_connect_failures_}) r->set_span(kSecond);
    fleet_health_by_workload_.resize(s.workloads.size());
    answer_probability_.resize(s.workloads.size());
    if (s.is_discovery_on_request) request_list(now);
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
  static constexpr double kSlowStartSafetyFactor = 0.7;

  void apply_settings(const Settings& s) {
    max_hand_offs_ = s.max_hand_offs;
    may_hedge_ = s.may_hedge;
    pause_allowance_ = s.pause_allowance;
    may_cancel_ = s.may_cancel;
    may_probe_ = s.may_probe;
    prefers_own_zone_ = s.may_probe && s.cross_zone_cost > s.connect_cost;
    nodes_ = std::max(1, s.nodes);
    initial_limit_ = kInitialFleetLimit / nodes_;
    min_limit_ = kMinFleetLimit / nodes_;
    max_retry_after_ = s.client_honors_retry_after ? s.max_retry_after : 0;
    initial_capacity_share_ = s.initial_capacity_share;
    slow_start_duration_ = s.slow_start_duration;
    slow_start_multiple_ = s.slow_start_multiple * kSlowStartSafetyFactor * s.slow_start_budget_share;
    discovery_retry_gap_ = std::max<TenthsOfMs>(s.discovery_retry_within / 20, s.tick);
    report_lifetime_ = INT64_MAX;
    for (const Workload& w : s.workloads) report_lifetime_ = std::min(report_lifetime_, w.latency_objective / 8);
    keepalive_ = s.keepalive;
    workloads_ = s.workloads;
  }
  std::vector<double> initial_latency_guess() const {
    std::vector<double> guess;
    for (const Workload& w : workloads_) guess.push_back(static_cast<double>(w.latency_objective) / 4);
    return guess;
  }

  // ---- events

  void handle(const FleetList& list) {
    if (list.form == ListForm::failed) return retry_list_request();
    if (list.form != ListForm::cached) current_retry_gap_ = 0;  // it answers again
    if (list.form != ListForm::delta)
      for (Backend& b : backends_) b.is_unavailable = true, b.listed = false;
    for (const ListEntry& e : list.entries) {
      if (e.backend >= backends_.size()) backends_.resize(e.backend + 1);
      Backend& b = backends_[e.backend];
      if (!b.is_known || b.started_at != e.started_at) {
        b.work_done.set_span(window_bucket_ * 4);
        b.slow_start_work_sent.set_span(window_bucket_);
        b.work_done.clear();
        b.health = {};
        b.workload_health.assign(workloads_.size(), {});
        b.idle = 0;
        b.concurrency_limit = initial_limit_;  // all nodes together start with as much, however many they are
      }
      b.is_known = true;
      b.is_unavailable = e.availability != Availability::running;
      b.listed = e.availability != Availability::deleted;
      b.machine_kind = e.machine_kind;
      b.zone = e.zone;
      b.cell = e.cell;
      b.weight = e.weight;
      b.started_at = e.started_at;
    }
    running_backends_.clear(), running_in_zone_.clear();
    std::vector<Index> fresh;
    std::erase_if(subset_, [this](Index n) { return backends_[n].is_unavailable; });
    max_weight_ = 0;
    for (Index n = 0; n < backends_.size(); ++n) {
      Backend& b = backends_[n];
      if (b.is_unavailable) {
        b.in_subset = b.running = false;
        continue;
      }
      running_backends_.push_back(n);
      if (b.zone == zone_) running_in_zone_.push_back(n);
      if (!b.running) fresh.push_back(n);
      b.running = true;
      max_weight_ = std::max(max_weight_, b.weight);
    }
    if (node_concurrency_limit_ <= 0 && !running_backends_.empty())
      node_concurrency_limit_ = std::max(1.0, initial_limit_ * static_cast<double>(running_backends_.size()));
    warm_measured_bucket_ = -1;
    add_new_to_subset(fresh);
    fill_subset();
    serve_queue();
    for (Index n = 0; n < backends_.size(); ++n) release_if_gone(n);
  }

  void handle(const Arrival& a) {
    if (a.invocation >= invocations_.size()) invocations_.resize(a.invocation + 1);
    Invocation& v = invocations_[a.invocation];
    const std::uint32_t generation = v.generation + 1;
    v = Invocation{};
    v.generation = generation;
    v.is_index_used = v.held = true;
    v.workload = a.workload;
    v.arrived = std::min(a.arrived, now_);
    v.valid_until = std::min(a.valid_until, answer_by_);
    v.is_client_retry = a.is_client_retry;
    v.max_hand_offs = max_hand_offs_;
    v.has_streaming_body = a.has_streaming_body;
    v.has_hint = a.hint > 0;
    v.work = v.has_hint ? a.hint : mean_latency_[a.workload];
    mean_work_[a.workload] += (v.work - mean_work_[a.workload]) / 64;
    at(v.valid_until - answer_margin_, a.invocation);
    if (a.valid_until <= answer_by_) schedule_abandon_check(a.invocation);  // the end of a stop allows for pauses already
    fill_subset();
    if (!hand_off(a.invocation)) enqueue_or_answer(a.invocation);
  }

  void handle(const HandOffEnded& told) {
    if (!is_known_hand_off(told.invocation, told.number)) return;
    HandOffEnded e = told;
    Invocation& v = invocations_[e.invocation];
    HandOff& h = v.hand_offs[e.number];
    record_answer_time(v, e);
    // Its backend had no less time than one that is waited for to the limit.
    if (h.was_abandoned && e.ending == Ending::recalled) e.ending = Ending::timed_out;
    Backend& b = backends_[h.backend];
    if (h.execution != Execution::in_flight) return;
    --b.hand_offs_in_flight;
    --v.hand_offs_in_flight;
    const bool never =
        e.ending == Ending::turned_away || e.ending == Ending::unreachable || e.ending == Ending::never_sent;
    h.execution = never ? Execution::never : Execution::maybe;
    v.is_body_consumed = v.is_body_consumed || e.is_body_consumed;
    --total_in_flight_;
    // What ended without an answer before one would be slow tells nothing of how full a backend is, and a
    // time-out nothing of its health either: held against a fleet that was well, the short limits of some
    // clients, or a network that resets one connection in ten, had most others turned away.
    const bool lost = e.ending == Ending::unreachable || e.ending == Ending::broken;
    const bool slow = e.elapsed > slow_threshold(v), timed_out = e.ending == Ending::timed_out;
    if (slow || !(timed_out || lost)) update_limits(b, h, v, e);
    if (h.told > 0 && (e.ending == Ending::succeeded || timed_out)) update_load_limit(h, v, e);
    if (slow || !timed_out) update_health(b, v, e);
    update_connections(b, h, e.ending);
    if (e.ending == Ending::succeeded) {
      b.work_done.add(now_, h.work);
      mean_latency_[v.workload] += (static_cast<double>(e.elapsed) - mean_latency_[v.workload]) / 64;
    }
    if (e.is_final || e.ending == Ending::succeeded) finish(e.invocation);
    if (v.held && v.hand_offs_in_flight == 0 && !hand_off(e.invocation)) enqueue_or_answer(e.invocation);
    forget_if_done(e.invocation);
    serve_queue();
  }

  void handle(const AnswerStarted& e) {
    if (is_known_hand_off(e.invocation, e.number)) invocations_[e.invocation].is_answer_streaming = true;
  }

  void handle(const AnswerProgress& e) {
    if (is_known_hand_off(e.invocation, e.number)) invocations_[e.invocation].hand_offs[e.number].last_progress_at = now_;
  }

  void handle(const ClientGone& e) {
    if (e.invocation >= invocations_.size()) return;
    finish(e.invocation);
    forget_if_done(e.invocation);
  }

  void handle(const TimerDue&) {}
  void handle(const ProbeEnded& e) {
    if (e.backend >= backends_.size()) return;
    Backend& b = backends_[e.backend];
    b.probes_in_flight = 0;
    const LoadReport& r = e.report;
    const double size = std::max(b.weight, 1e-3);
    b.told = std::max(-1.0, (r.outstanding >= 0 ? r.outstanding : r.backlog) / size);
    if (!e.succeeded) b.told = -1;
    else if (r.utilization >= 0 && r.utilization < kBusyUtilization) b.told = 0;
    b.reported_at = now_;
    b.sent_since_report = 0;
    if (r.backlog > 0 && r.throughput > 0)
      service_rate_ += (r.throughput / size / kSecond - service_rate_) / (service_rate_ > 0 ? 32 : 1);
    for (std::size_t n = probing_.size(); n-- > 0;) {
      const auto [x, y] = invocations_[probing_[n]].pair;
      if (backends_[x].probes_in_flight == 0 && backends_[y].probes_in_flight == 0) finish_probing(probing_[n]);
    }
  }

  void handle(const NewSettings& e) {
    apply_settings(*e.settings);
    // What was learned of a workload stays its own, under whatever number.
    const auto carry = [&e]<class T>(std::vector<T>& all, std::vector<T> fresh) {
      for (std::size_t i = 0; i < fresh.size(); ++i)
        if (e.inherits_from[i] < all.size()) fresh[i] = all[e.inherits_from[i]];
      all = std::move(fresh);
    };
    carry(mean_latency_, initial_latency_guess());
    carry(mean_work_, initial_latency_guess());
    carry(fleet_health_by_workload_, std::vector<Health>(workloads_.size()));
    carry(answer_probability_, std::vector<policy::AnswerProbability>(workloads_.size()));
    for (Backend& b : backends_) carry(b.workload_health, std::vector<Health>(workloads_.size()));
  }

  void handle(const ShutdownRequested& e) {
    answer_by_ = e.answer_by;
    for (Index i = 0; i < invocations_.size(); ++i) {
      Invocation& v = invocations_[i];
      if (!v.held || v.is_answer_streaming || v.valid_until <= answer_by_) continue;
      v.valid_until = answer_by_;
      v.abandon_check_at = 0;
      at(v.valid_until - answer_margin_, i);
    }
  }

  // Draws no chance: being asked changes no decision.
  void handle(const BackendCounts&) {
    TenthsOfMs listed = 0;
    int avoided = 0;
    for (Backend& b : backends_)
      if (b.listed) ++listed, avoided += b.is_unavailable || is_outlier(b.health);
    actions_.push_back({ActionKind::backend_counts, kNone, kNone, avoided, listed});
  }

  // ---- the rules

  // Rule 1: the one place where an invocation gets its final answer from this node. A rejection is given only
  // where rule 2 lets the client try again without harm.
  void give_final_answer(Index i) {
    Invocation& v = invocations_[i];
    if (!v.held || v.is_answer_streaming) return;
    finish(i);
    // Where clients heed it, they are told to come back when a place is likely to be free.
    const TenthsOfMs retry_in = std::min(max_retry_after_, workloads_[v.workload].latency_objective / 8);
    if (may_reject(v)) actions_.push_back({ActionKind::reject, i, kNone, 0, retry_in});
    else actions_.push_back({ActionKind::give_up, i, kNone, 0, 0});
    forget_if_done(i);
  }

  // Nothing is sent for a finished invocation; what is still out is called back: some backends then stop its
  // work.
  void finish(Index i) {
    Invocation& v = invocations_[i];
    v.held = false;
    stop_waiting(i);
    for (std::size_t n = 0; n < v.hand_offs.size(); ++n)
      if (may_cancel_ && !v.is_answer_streaming && v.hand_offs[n].execution == Execution::in_flight)
        actions_.push_back({ActionKind::cancel, i, kNone, static_cast<int>(n), 0});
  }

  // Rule 2: whether the client may be told that trying again is harmless.
  bool may_reject(const Invocation& v) const {
    const Workload& w = workloads_[v.workload];
    return w.semantics == Semantics::idempotent ||
           (w.semantics == Semantics::idempotency_keyed && w.deduplication_scope == DeduplicationScope::all) ||
           std::all_of(v.hand_offs.begin(), v.hand_offs.end(),
                       [](const HandOff& h) { return h.execution == Execution::never; });
  }

  // Rule 2: whether this invocation may be handed to this backend, given what became of it so far.
  bool may_repeat_at(const Invocation& v, const Backend& b) const {
    const Workload& w = workloads_[v.workload];
    if (v.is_body_consumed || (v.hand_offs_in_flight > 0 && (v.has_streaming_body || !may_hedge_))) return false;  // no body left for it
    if (now_ + answer_margin_ >= repeat_by(v)) return false;
    for (const HandOff& h : v.hand_offs) {
      if (h.execution == Execution::in_flight && &backends_[h.backend] == &b) return false;  // a copy goes elsewhere
      if (h.execution == Execution::never || w.semantics == Semantics::idempotent) continue;
      if (w.semantics == Semantics::non_idempotent) return false;
      const Backend& first = backends_[h.backend];
      if (w.deduplication_scope == DeduplicationScope::zone && first.zone != b.zone) return false;
      if (w.deduplication_scope == DeduplicationScope::cell && (first.cell != b.cell || b.cell < 0)) return false;
    }
    return true;
  }
  // When the window closes within which a labelled one that may have run is sent again. A connection may come up
  // later than that, so it goes along with the hand-off.
  TenthsOfMs repeat_by(const Invocation& v) const {
    const Workload& w = workloads_[v.workload];
    for (const HandOff& h : v.hand_offs)
      if (h.execution != Execution::never && w.semantics == Semantics::idempotency_keyed) return h.sent + w.deduplication_window;
    return INT64_MAX;
  }

  // Rule 3: nothing goes to a backend that this node was told is draining or gone; the grace is not used.
  bool may_send_to(const Backend& b) const { return !b.is_unavailable; }

  // Rule 4: all nodes together must not push over a cold backend. Each node sends it at most its own part:
  // what this node gets done on warm backends of that kind, times what a cold one can do, times the multiple.
  bool within_slow_start_budget(Backend& b, double work) {
    const double part = capacity_share(b);
    if (part >= 1) return true;
    if (!b.in_subset) return false;  // the nodes that have it as a member share all of it
    if (b.hand_offs_in_flight >= std::max(1.0, b.concurrency_limit * part))
      return false;  // what jams takes no more, whatever it took before
    update_warm_throughput();
    const WarmThroughput& own = b.machine_kind < warm_by_kind_.size() ? warm_by_kind_[b.machine_kind] : warm_total_;
    double work_done = own.work_done, weight = own.weight;
    // A rolling deploy can leave no warm backend of the kind. One at a time from each of many nodes then
    // pushed the new ones over, so others are the measure, and with none at all a few sends a window from all
    // nodes together.
    if (weight <= 0) work_done = warm_total_.work_done, weight = warm_total_.weight;
    if (weight <= 0) work_done = work * 2 * min_limit_ / (slow_start_multiple_ * part), weight = b.weight;
    const double allowed = slow_start_multiple_ * subset_overlap_factor() * part * work_done * b.weight / weight,
                 sent = b.slow_start_work_sent.total(now_);
    if (sent + work <= allowed) return true;
    // With many nodes a node's part is less than one invocation: it then draws once a window whether to send
    // one, so that all nodes together send what they may, not nothing.
    if (sent > 0 || work <= 0) return false;
    if (now_ >= b.next_draw_at) {
      b.next_draw_at = now_ + window_bucket_ * 15;
      b.drawn = uniform() * work < allowed;
    }
    return b.drawn;
  }

  // A small one counts as an average one of its workload: told sizes are guesses, and a budget of work that
  // let only small ones through sent three times as many of them, which pushed backends over (ia7167d,
  // i5ba5dd).
  double budgeted_work(const Invocation& v) const { return std::max(v.work, mean_work_[v.workload]); }

  // Where nodes keep to few backends each, chance makes some a member of more nodes than others: a node's
  // part is made smaller by one and a half deviations of that number. 1 where all are members of all.
  double subset_overlap_factor() const {
    const double share = static_cast<double>(subset_.size()) / static_cast<double>(running_backends_.size());
    const double nodes = nodes_ * share;
    return nodes / (nodes + 1.5 * std::sqrt(nodes * (1 - share)) + (1 - share));
  }

  // What this node gets done in a window on warm backends, by kind: summed once a bucket, not for each cold
  // one.
  void update_warm_throughput() {
    if (now_ / window_bucket_ == warm_measured_bucket_) return;
    warm_measured_bucket_ = now_ / window_bucket_;
    warm_by_kind_.assign(warm_by_kind_.size(), {});
    warm_total_ = {};
    for (Index n : running_backends_) {
      Backend& b = backends_[n];
      if (capacity_share(b) < 1 || (!b.in_subset && b.work_done.total(now_) <= 0)) continue;
      if (b.machine_kind >= warm_by_kind_.size()) warm_by_kind_.resize(b.machine_kind + 1);
      const double work_done = b.work_done.total(now_) / 4;
      for (WarmThroughput* w : {&warm_by_kind_[b.machine_kind], &warm_total_}) w->work_done += work_done, w->weight += b.weight;
    }
  }

  // The part of its work that a backend can do at its age, at the least.
  double capacity_share(const Backend& b) const {
    if (b.started_at <= 0 || slow_start_duration_ <= 0) return 1;
    const double age = static_cast<double>(std::max<TenthsOfMs>(0, now_ - b.started_at)) / slow_start_duration_;
    return std::min(1.0, initial_capacity_share_ + (1 - initial_capacity_share_) * age);
  }

  // ---- the last moments before a limit

  // The process may stand still as a limit comes due, and would answer late by as much. So an invocation whose attempts
  // are not likely to be answered any more is answered before: they would be waited for in vain.
  void schedule_abandon_check(Index i) {
    Invocation& v = invocations_[i];
    const TenthsOfMs sooner = std::min(pause_allowance_, (v.valid_until - v.arrived) / kMinAllowanceDivisor);
    if (sooner <= 0) return;
    v.abandon_check_at = v.valid_until - answer_margin_ - sooner;
    at(v.abandon_check_at, i);
  }
  void abandon_if_unlikely(Index i) {
    Invocation& v = invocations_[i];
    v.abandon_check_at = 0;
    const TenthsOfMs left = v.valid_until - answer_margin_ - now_;
    policy::AnswerProbability& odds = answer_probability_[v.workload];
    const bool hope = std::any_of(v.hand_offs.begin(), v.hand_offs.end(), [&](const HandOff& h) {
      const bool comes = now_ - h.last_progress_at <= kMaxAnswerGap;
      return h.execution == Execution::in_flight && (comes || odds.is_likely(now_, now_ - h.sent, left));
    });
    if (hope || odds.is_sampled()) return;
    for (HandOff& h : v.hand_offs) h.was_abandoned = h.execution == Execution::in_flight;
    give_final_answer(i);
  }
  void record_answer_time(const Invocation& v, const HandOffEnded& e) {
    if (e.ending == Ending::succeeded) answer_probability_[v.workload].answered(now_, e.elapsed);
    if (e.ending == Ending::timed_out) answer_probability_[v.workload].unanswered(now_, e.elapsed);
  }

  // ---- the choice

  // An irreversible invocation is hopeless once an answer is worth nothing: its client doesn't try again, so
  // ending it costs no work, and where a time-out stops it a huge one no longer holds up its backend.
  TenthsOfMs useful_until(const Invocation& v) const {
    const Workload& w = workloads_[v.workload];
    return v.has_streaming_body || w.late_value_share > 0 || w.semantics != Semantics::non_idempotent
               ? v.valid_until
               : std::min(v.valid_until, v.arrived + w.latency_objective);
  }

  // Where places are scarce, one that is told to need more than the time it has left takes none: clients that
  // ask again and again with short limits filled the backends with work that nobody waited for any more.
  bool cannot_finish_in_time(const Invocation& v) const {
    return is_near_limit() && v.has_hint && static_cast<double>(useful_until(v) - now_) < v.work;
  }

  // Hands an invocation to the better of two fresh random ready backends; false where that can't be done.
  bool hand_off(Index i) {
    Invocation& v = invocations_[i];
    if (!v.held || v.is_answer_streaming || now_ + answer_margin_ * 2 >= useful_until(v)) return false;
    if (static_cast<int>(v.hand_offs.size()) >= v.max_hand_offs) return false;
    if (may_probe_) {  // they tell of a jam before this node's own answers do
      if (v.probe_rounds == 0 && v.hand_offs.empty() && uniform() > admitted_share_) return false;
    } else if (total_in_flight_ + uniform() >= node_concurrency_limit_) {
      return false;  // below one, chance gives the fraction
    }
    if (cannot_finish_in_time(v)) return false;
    may_open_connection_ = is_likely(recent_connects_.total(now_), recent_connect_failures_.total(now_), 0.5);
    Index a = kNone, b = kNone;
    if (!draw_candidates(v, a, b)) return false;
    if (may_probe_ && b == kNone) b = a;
    if (should_probe_first(v, a, b)) start_probing(i, a, b);
    else if (may_probe_ && !(fresh(a) && fresh(b))) return false;
    else place(i, less_loaded_of(a, b));
    return true;
  }

  void place(Index i, Index to) {
    Invocation& v = invocations_[i];
    stop_waiting(i);
    ++total_in_flight_;
    recent_starts_.add(now_, 1);
    mean_in_flight_ += (total_in_flight_ - mean_in_flight_) / 32;
    Backend& b = backends_[to];
    const TenthsOfMs begin_by = repeat_by(v);
    v.hand_offs.push_back({to, now_, v.work, b.hand_offs_in_flight, !has_idle_connection(b), fresh(to) ? b.told : -1, Execution::in_flight});
    if (has_idle_connection(b)) --b.idle;
    if (b.told >= 0) b.told += 1 / std::max(b.weight, 1e-3), b.sent_since_report += 1 / std::max(b.weight, 1e-3);
    ++v.hand_offs_in_flight;
    ++b.hand_offs_in_flight;
    ++b.held;
    if (capacity_share(b) < 1) b.slow_start_work_sent.add(now_, budgeted_work(v)), b.drawn = false;
    actions_.push_back({ActionKind::hand_off, i, to, 0, useful_until(v) - answer_margin_, begin_by});
    if (!may_hedge_ || v.has_streaming_body || v.hand_offs_in_flight != 1) return;
    const double long_for_it = kHedgeLatencyMultiple * mean_latency_[v.workload] * relative_size(v);
    at(v.hedge_at = now_ + (lacks_recent_success(b) ? slow_threshold(v) * 2 / 3 : static_cast<TenthsOfMs>(long_for_it)), i);
  }

  // A second copy goes out where the first is slow at a backend of which this node knows no recent success:
  // with many nodes each meets a slow or hung backend before it can have learned of it. At any other it goes
  // out after many times what is usual, while places are free: a few may hang where the others are well.
  void send_hedge(Index i) {
    Invocation& v = invocations_[i];
    v.hedge_at = 0;
    if (v.hand_offs_in_flight != 1 || v.hand_offs.back().execution != Execution::in_flight) return;
    Backend& b = backends_[v.hand_offs.back().backend];
    if (lacks_recent_success(b)) {
      ++b.health.consecutive_failures;
      b.health.bad.add(now_, 1), fleet_health_.bad.add(now_, 1);
      replace_in_subset(v.hand_offs.back().backend);
    } else {  // else the copy's answer would hide how slow this one is
      record_outcome(b.workload_health[v.workload], fleet_health_by_workload_[v.workload], false, true);
    }
    if (lacks_recent_success(b) || !is_near_limit()) hand_off(i);
  }
  bool lacks_recent_success(Backend& b) { return b.health.good.total(now_) < 1; }

  // Random with Two Choices: fewer of this node's own in flight, a coin toss on ties.
  Index less_loaded_of(Index a, Index b) {
    if (b == kNone) return a;
    if (backends_[a].hand_offs_in_flight != backends_[b].hand_offs_in_flight) return backends_[a].hand_offs_in_flight < backends_[b].hand_offs_in_flight ? a : b;
    if (fresh(a) && fresh(b) && backends_[a].told != backends_[b].told)  // all nodes' there, by their size
      return backends_[a].told < backends_[b].told ? a : b;
    return uniform() < 0.5 ? a : b;
  }
  bool fresh(Index n) const {
    return backends_[n].told >= 0 && now_ - backends_[n].reported_at < report_lifetime_;
  }

  // Two fresh random ready ones; b stays kNone where only one is ready.
  bool draw_candidates(const Invocation& v, Index& a, Index& b) {
    // The own zone first, while two backends there have room to spare: links between zones cost time and
    // money. One whose limit is shorter than a slow answer has no time for them while any place is near.
    if (subset_in_zone_.size() >= 2 && v.probe_rounds == 0) {
      const double part = useful_until(v) - now_ < slow_threshold(v) ? 1 : kOwnZoneFillLimit;
      a = draw_ready(v, subset_in_zone_, kNone, part);
      if (a != kNone) b = draw_ready(v, subset_in_zone_, a, part);
    }
    if (b != kNone) return true;
    a = draw_ready(v, subset_, kNone, 1);
    if (a != kNone) b = draw_ready(v, subset_, a, 1);
    if (a == kNone && subset_.size() < running_backends_.size()) a = draw_ready(v, running_backends_, kNone, 1);
    return a != kNone;
  }

  // With many nodes the counts of each tell nothing of what the others have at a backend. Where probes tell
  // that, a pair of which it is not known is probed first.
  bool should_probe_first(const Invocation& v, Index a, Index b) const {
    return may_probe_ && v.probe_rounds < kMaxProbeRounds && !(fresh(a) && fresh(b));
  }
  void start_probing(Index i, Index a, Index b) {
    Invocation& v = invocations_[i];
    stop_waiting(i);
    ++v.probe_rounds;
    v.pair = {a, b};
    v.probe_until = now_ + std::max(answer_margin_ * 2, workloads_[v.workload].latency_objective / 16);
    at(v.probe_until, i);
    probing_.push_back(i);
    for (Index n : v.pair) {
      Backend& x = backends_[n];
      if (x.probes_in_flight++ == 0) actions_.push_back({ActionKind::probe, kNone, n, 0, 0});
    }
  }
  void finish_probing(Index i) {
    Invocation& v = invocations_[i];
    probing_.erase(std::find(probing_.begin(), probing_.end(), i));
    v.probe_until = 0;
    const auto [a, b] = v.pair;
    const bool a_ready = fresh(a) && is_ready(v, a, 1), b_ready = fresh(b) && is_ready(v, b, 1);
    update_admitted_share(v, a_ready || b_ready);
    if (now_ + answer_margin_ * 2 < useful_until(v) && (a_ready || b_ready))
      return place(i, a_ready && b_ready ? less_loaded_of(a, b) : a_ready ? a : b);
    if (!hand_off(i)) enqueue_or_answer(i);
  }

  // Draws one, then tests it, and draws again: the same chances as a draw among all ready ones, at a cost
  // that does not grow with the fleet. Only where few are ready are all of them looked at.
  Index draw_ready(const Invocation& v, const std::vector<Index>& from, Index but, double part) {
    for (int tries = 0; tries < kMaxDraws && !from.empty(); ++tries) {
      const Index n = from[std::min(from.size() - 1, static_cast<std::size_t>(uniform() * from.size()))];
      if (n != but && uniform() * max_weight_ < selection_weight(n) && is_ready(v, n, part)) return n;
    }
    double sum = 0;
    Index drawn = kNone;
    for (Index n : from) {
      if (n == but || !is_ready(v, n, part)) continue;
      sum += selection_weight(n);
      if (uniform() * sum < selection_weight(n)) drawn = n;
    }
    return drawn;
  }

  bool is_ready(const Invocation& v, Index n, double part) {
    Backend& b = backends_[n];
    if (may_probe_ && fresh(n) && !has_capacity(v, b)) return false;
    return (may_probe_ || b.hand_offs_in_flight < std::max(1.0, b.concurrency_limit * part)) && draw_is_healthy(b.health, fleet_health_) &&
           draw_is_healthy(b.workload_health[v.workload], fleet_health_by_workload_[v.workload]) && (may_open_connection_ || has_idle_connection(b)) &&
           may_send_to(b) && may_repeat_at(v, b) && within_slow_start_budget(b, budgeted_work(v));
  }

  // Whether what it told of itself leaves time for one more: by the wait, where the pace of waiting ones is
  // known, else by what answers in time have shown it may hold.
  bool has_capacity(const Invocation& v, const Backend& b) const {
    const double in_time = kMaxQueueWaitShare * service_rate_ * static_cast<double>(workloads_[v.workload].latency_objective);
    return b.told <= load_limit_ && (service_rate_ <= 0 || b.told - b.sent_since_report <= in_time);
  }
  void update_load_limit(const HandOff& h, const Invocation& v, const HandOffEnded& e) {
    const bool late = e.ending == Ending::timed_out || e.elapsed > workloads_[v.workload].latency_objective;
    // Only late ones sent within it tell that it is too much: a burst's come in long after it has shrunk.
    if (late && h.told <= load_limit_) load_limit_ = std::min(load_limit_, h.told) * (1 - kLimitStep * (1 - kTargetLateShare));
    else if (!late && h.told > load_limit_ / 2) load_limit_ *= 1 + kLimitStep * kTargetLateShare;
  }
  // Nodes told of the same free backend at once would fill it together. So each sends on only a share
  // of what comes: more while searches end with a backend, less, and faster, where the last pair has no room.
  void update_admitted_share(const Invocation& v, bool found) {
    if (service_rate_ <= 0 || (!found && v.probe_rounds < kMaxProbeRounds)) return;
    const double step = kLimitStep * static_cast<double>(std::min(now_ - admitted_share_at_, kSecond)) / kSecond;
    admitted_share_at_ = now_;
    admitted_share_ = std::clamp(admitted_share_ * (found ? 1 + 2 * step : 1 - 8 * step), 0.02, 1.0);
  }

  // Both are drawn by their size in the list, of which a fresh backend counts the part that its age allows.
  double selection_weight(Index n) const { return std::max(1e-3, backends_[n].weight * capacity_share(backends_[n])); }

  // ---- the members

  // A node that sees little keeps to so few backends that its own counts tell something of them; where that
  // is the whole fleet, all are members. One that does badly is left for another drawn at random.
  void fill_subset() {
    const auto want = std::min<std::size_t>(
        running_backends_.size(), std::max(kMinSubsetSize, static_cast<std::size_t>(kSubsetPerInFlight * mean_in_flight_)));
    if (subset_.size() >= want) return;
    while (subset_.size() < want) {
      Index n = kNone;
      for (int tries = 0; tries < kMaxDraws && n == kNone; ++tries) {
        // Half of them near, where a link between zones costs more than a new connection does.
        const bool near = prefers_own_zone_ && 2 * subset_in_zone_.size() < want && subset_in_zone_.size() < running_in_zone_.size();
        const std::vector<Index>& from = near ? running_in_zone_ : running_backends_;
        const Index drawn = from[static_cast<std::size_t>(uniform() * from.size()) % from.size()];
        if (!backends_[drawn].in_subset && draw_is_healthy(backends_[drawn].health, fleet_health_)) n = drawn;
      }
      for (std::size_t k = 0; k < running_backends_.size() && n == kNone; ++k)
        if (!backends_[running_backends_[k]].in_subset) n = running_backends_[k];
      backends_[n].in_subset = true;
      subset_.push_back(n);
      update_subset_in_zone();
    }
    update_subset_in_zone();
  }
  // New backends take members' places in proportion, else a fleet that grows would be left idle (id35df7).
  void add_new_to_subset(const std::vector<Index>& fresh) {
    for (Index n : fresh) {
      if (subset_.empty() || uniform() * running_backends_.size() >= subset_.size()) continue;
      Index& place = subset_[static_cast<std::size_t>(uniform() * subset_.size()) % subset_.size()];
      backends_[place].in_subset = false;
      backends_[n].in_subset = true;
      place = n;
    }
    update_subset_in_zone();
  }
  void replace_in_subset(Index n) {
    if (!backends_[n].in_subset || subset_.size() >= running_backends_.size()) return;
    if (draw_is_healthy(backends_[n].health, fleet_health_, 0.5)) return;
    backends_[n].in_subset = false;
    subset_.erase(std::find(subset_.begin(), subset_.end(), n));
    fill_subset();
    update_subset_in_zone();
  }
  void update_subset_in_zone() {
    subset_in_zone_.clear();
    for (Index n : subset_)
      if (backends_[n].zone == zone_) subset_in_zone_.push_back(n);
  }

  // ---- health

  void update_health(Backend& b, const Invocation& v, const HandOffEnded& e) {
    if (e.ending == Ending::never_sent) return;
    Health &own = b.workload_health[v.workload], &all = fleet_health_by_workload_[v.workload];
    // Clients that leave one that hangs tell of their workload at this backend; of others they tell nothing.
    if (e.ending == Ending::recalled) {
      if (e.elapsed > slow_threshold(v)) record_outcome(own, all, false, true);
      return;
    }
    const bool late =
        e.ending == Ending::timed_out ||
        (e.ending == Ending::succeeded && e.elapsed > workloads_[v.workload].latency_objective && !v.has_hint);
    const bool good = e.ending == Ending::succeeded && !late;
    record_outcome(own, all, good, late);
    if (!record_outcome(b.health, fleet_health_, good, late)) replace_in_subset(static_cast<Index>(&b - backends_.data()));
  }
  // Whether it is no reason for doubt.
  bool record_outcome(Health& h, Health& all, bool good, bool late) {
    if (good) return h.consecutive_failures = 0, h.good.add(now_, 1), all.good.add(now_, 1), true;
    // A run of them that chance alone would hardly bring: it has changed, and what it did before tells
    // nothing, bad or good. With connections reset everywhere three in a row come often, and their backends
    // were left out for as long as the bad ones of before were remembered.
    const double share = all.bad.total(now_) / (all.good.total(now_) + all.bad.total(now_) + 1);
    if (++h.consecutive_failures >= 3 && std::pow(share, h.consecutive_failures) < kMinRunProbability &&
        (h.consecutive_failures == 3 || std::pow(share, h.consecutive_failures - 1) >= kMinRunProbability))
      h.good.clear(), h.bad.clear(), h.bad.add(now_, h.consecutive_failures - 1);
    // A busy backend answers some in time and some not: only late ones with none in time between them are
    // doubt, or the first where this node hears of it too rarely to know better.
    if (late && h.consecutive_failures < 3 && h.good.total(now_) >= 1) return true;
    h.bad.add(now_, 1), all.bad.add(now_, 1);
    return false;
  }

  // Whether connections come up at all is learned from all new ones together: where they don't, only backends
  // with an open one are ready, and a try now and then (i33b657).
  void update_connections(Backend& b, const HandOff& h, Ending ending) {
    const bool answered =
        ending == Ending::succeeded || ending == Ending::error || ending == Ending::turned_away;
    if (answered) ++b.idle, b.idle_connections_until = now_ + keepalive_;
    if (ending == Ending::unreachable || ending == Ending::broken) b.idle = 0;
    if (!h.new_connection || ending == Ending::never_sent || ending == Ending::recalled) return;
    (ending == Ending::unreachable ? recent_connect_failures_ : recent_connects_).add(now_, 1);
  }
  bool has_idle_connection(const Backend& b) const { return b.idle > 0 && now_ < b.idle_connections_until; }

  // Whether a backend is to be trusted with work: a draw from the posterior of its chance of success, held
  // against the whole fleet's, so that quick errors don't draw work to an empty-looking backend, and yet it
  // is tried now and then.
  bool draw_is_healthy(Health& h, Health& all, double least = 0) {
    const double good = all.good.total(now_) + 1,
                 fleet = std::max(least, good / (good + all.bad.total(now_)));
    return is_likely(h.good.total(now_), h.bad.total(now_), kOutlierSuccessRatio * fleet);
  }
  // Whether the middle of that posterior is too low, so that most draws turn out against it.
  bool is_outlier(Health& h) {
    const double good = h.good.total(now_), bad = h.bad.total(now_), all_good = fleet_health_.good.total(now_) + 1;
    return bad > 0.5 && (good + 1) / (good + bad + 2) < kOutlierSuccessRatio * all_good / (all_good + fleet_health_.bad.total(now_));
  }
  bool is_likely(double good, double bad, double least) {
    if (bad < 0.5) return true;
    const double x = std::gamma_distribution<double>(good + 1)(random_);
    const double y = std::gamma_distribution<double>(bad + 1)(random_);
    return x > least * (x + y);
  }

  // ---- limits and waiting

  // How many of this node's hand-offs a backend may have in flight is learned from their times alone: the
  // limit settles where a small share of the answers takes more than half of the due time. It guards against
  // jams, in which every backend is busy with work whose answer comes too late.
  void update_limits(Backend& b, const HandOff& h, const Invocation& v, const HandOffEnded& e) {
    if (e.ending == Ending::error || e.ending == Ending::recalled || e.ending == Ending::never_sent) return;
    const bool late = e.ending != Ending::succeeded || e.elapsed > slow_threshold(v);
    // With many nodes each sees too little of one backend; all its answers together tell it of a jam in time.
    const double anchor =
        std::sqrt(std::max(1.0, initial_limit_ * static_cast<double>(running_backends_.size())) / node_concurrency_limit_);
    const double whole = std::min(kLimitStep * node_concurrency_limit_, 1.0);
    if (is_near_limit()) node_concurrency_limit_ += whole * (late ? kNodeTargetLateShare - 1 : kNodeTargetLateShare * anchor);
    node_concurrency_limit_ = std::max({0.1, node_concurrency_limit_, min_limit_ * static_cast<double>(running_backends_.size())});
    // A lost connection says nothing of how much a backend can take; held against it, it would keep it small
    // once it is well.
    if (e.ending == Ending::unreachable || e.ending == Ending::broken) return;
    const double step =
        std::min(kLimitStep * b.concurrency_limit, 1.0);  // the same over a whole round of answers, large or small
    if (late) b.concurrency_limit -= step * (1 - kTargetLateShare);
    else if (h.in_flight_before + 1 > b.concurrency_limit / 2 || is_near_limit()) b.concurrency_limit += step * kTargetLateShare;
    b.concurrency_limit = std::clamp(b.concurrency_limit, min_limit_, kMaxBackendLimit);
  }

  bool is_near_limit() const { return total_in_flight_ + 1 > node_concurrency_limit_ * 0.7; }

  // After this an answer is slow. A large one takes long by itself: where its size is told, that is no sign
  // of a queue.
  TenthsOfMs slow_threshold(const Invocation& v) const {
    return static_cast<TenthsOfMs>(kSlowObjectiveShare * static_cast<double>(workloads_[v.workload].latency_objective) * relative_size(v));
  }
  double relative_size(const Invocation& v) const {
    return v.has_hint ? 0.5 + 0.5 * v.work / mean_work_[v.workload] : 1;
  }

  // What an invocation of this workload is worth for each unit of the backends' time.
  double value_per_work(const Invocation& v) const {
    return workloads_[v.workload].billing_value / mean_latency_[v.workload];
  }

  // With no place free, an invocation waits if its turn is likely to come in time; else it, or a waiting one
  // that is worth less for its work, is answered at once. A client's flagged repeat never waits: its due time
  // has run since the first try, and waiting made it late.
  void enqueue_or_answer(Index i) {
    Invocation& v = invocations_[i];
    const TenthsOfMs patience = workloads_[v.workload].latency_objective / 8;
    const TenthsOfMs until = v.arrived + patience;
    // With nothing out no ending would serve it: it would only be held up.
    const bool idle = total_in_flight_ == 0 && !running_backends_.empty();
    const bool late = until <= now_ || now_ + answer_margin_ >= v.valid_until;
    if (idle || v.is_client_retry || v.is_body_consumed || cannot_finish_in_time(v) || late || !may_reject(v)) return give_final_answer(i);
    v.is_queued = true;
    queue_.push_back(i);
    at(until, i);
    const double turns = recent_starts_.total(now_) * static_cast<double>(patience) / kSecond;
    if (static_cast<double>(queue_.size()) <= turns + 1) return;
    Index worst = i;
    for (Index n : queue_)
      if (value_per_work(invocations_[n]) < value_per_work(invocations_[worst])) worst = n;
    give_final_answer(worst);
  }

  void serve_queue() {
    while (!queue_.empty() && total_in_flight_ < node_concurrency_limit_) {
      std::size_t best = queue_.size();
      for (std::size_t n = 0; n < queue_.size(); ++n)
        if (best == queue_.size() ||
            value_per_work(invocations_[queue_[n]]) > value_per_work(invocations_[queue_[best]]))
          best = n;
      const Index i = queue_[best];
      if (!hand_off(i)) return;
    }
  }

  void stop_waiting(Index i) {
    if (invocations_[i].probe_until > 0) {
      invocations_[i].probe_until = 0;
      probing_.erase(std::find(probing_.begin(), probing_.end(), i));
    }
    if (!invocations_[i].is_queued) return;
    invocations_[i].is_queued = false;
    queue_.erase(std::find(queue_.begin(), queue_.end(), i));
  }

  // ---- the list

  void request_list(TenthsOfMs now) {
    now_ = now;
    queued_actions_.push_back({ActionKind::watch_discovery, kNone, kNone, 0, 0});
  }
  void retry_list_request() {
    current_retry_gap_ = std::min(discovery_retry_gap_ * 8, current_retry_gap_ == 0 ? discovery_retry_gap_ : current_retry_gap_ * 2);
    const TenthsOfMs wait = static_cast<TenthsOfMs>(static_cast<double>(current_retry_gap_) * (0.5 + uniform()));
    at(now_ + wait, kNone);
  }

  // ---- odds and ends

  bool is_known_hand_off(Index i, int n) const {
    return i < invocations_.size() && n >= 0 && n < static_cast<int>(invocations_[i].hand_offs.size());
  }
  void forget_if_done(Index i) {
    Invocation& v = invocations_[i];
    if (!v.is_index_used || v.held || v.hand_offs_in_flight > 0) return;
    v.is_index_used = false;
    ++v.generation;
    for (const HandOff& h : v.hand_offs) --backends_[h.backend].held, release_if_gone(h.backend);
    v.hand_offs.clear();
    actions_.push_back({ActionKind::forget, i, kNone, 0, 0});
  }
  // Backends come and go under ever new ids for as long as a node runs: what is kept must not grow with them.
  void release_if_gone(Index n) {
    Backend& b = backends_[n];
    if (!b.is_known || b.listed || b.held > 0 || b.probes_in_flight > 0) return;
    b = Backend{};
    actions_.push_back({ActionKind::release, kNone, n, 0, 0});
  }

  double uniform() { return std::generate_canonical<double, 32>(random_); }

  struct Timer {
    TenthsOfMs at;
    std::uint64_t order;
    Index invocation;
    std::uint32_t generation;
    bool operator>(const Timer& o) const { return std::pair(at, order) > std::pair(o.at, o.order); }
  };
  void at(TenthsOfMs when, Index i) { timers_.push({when, next_order_++, i, i == kNone ? 0 : invocations_[i].generation}); }
  bool is_stale(const Timer& d) const { return d.invocation != kNone && invocations_[d.invocation].generation != d.generation; }
  void run_due_timers() {
    while (!timers_.empty() && timers_.top().at <= now_) {
      const Timer d = timers_.top();
      timers_.pop();
      if (d.invocation == kNone) {
        actions_.push_back({ActionKind::watch_discovery, kNone, kNone, 0, 0});
      } else if (!is_stale(d)) {
        const Invocation& v = invocations_[d.invocation];
        if (v.is_queued || now_ + answer_margin_ >= v.valid_until) give_final_answer(d.invocation);
        else if (v.abandon_check_at > 0 && v.abandon_check_at <= now_) abandon_if_unlikely(d.invocation);
        else if (v.probe_until > 0 && v.probe_until <= now_) finish_probing(d.invocation);
        else if (v.hedge_at > 0 && v.hedge_at <= now_) send_hedge(d.invocation);
      }
    }
  }
  void set_next_timer() {
    // What is over needs no time of its own: nearly every invocation ends before its limit, and the node was
    // woken once for each.
    while (!timers_.empty() && is_stale(timers_.top())) timers_.pop();
    if (timers_.empty() || (timer_set_for_ > now_ && timer_set_for_ <= timers_.top().at)) return;
    timer_set_for_ = timers_.top().at;
    actions_.push_back({ActionKind::set_timer, kNone, kNone, 0, timer_set_for_});
  }

  std::knuth_b random_;
  const Index zone_;
  const TenthsOfMs answer_margin_;  // no answer is left closer than this to its limit
  const TenthsOfMs window_bucket_;
  int max_hand_offs_ = 1;  // this and the next: from the settings, by derive() alone
  bool may_hedge_ = false, may_cancel_ = false, may_probe_ = false, prefers_own_zone_ = false;
  double nodes_ = 1, initial_limit_ = 0, min_limit_ = 0, initial_capacity_share_ = 1, slow_start_multiple_ = 0;
  TenthsOfMs pause_allowance_ = 0;
  TenthsOfMs max_retry_after_ = 0;  // 0 where clients don't heed it
  TenthsOfMs slow_start_duration_ = 0, discovery_retry_gap_ = 0, keepalive_ = 0, report_lifetime_ = 0;
  std::vector<Workload> workloads_;  // by index; some may be those of invocations under way alone

  TenthsOfMs now_ = 0, timer_set_for_ = 0, current_retry_gap_ = 0;
  TenthsOfMs answer_by_ = INT64_MAX;  // once the node stops
  std::uint64_t next_order_ = 0;
  std::vector<double> mean_work_;  // by workload
  std::vector<double> mean_latency_;       // by workload: how long a success usually takes
  std::vector<Backend> backends_;
  std::vector<Invocation> invocations_;
  std::vector<Index> running_backends_, running_in_zone_, subset_in_zone_, subset_, queue_, probing_;
  double max_weight_ = 0;
  std::int64_t warm_measured_bucket_ = -1;
  struct WarmThroughput {
    double work_done = 0, weight = 0;
  };
  std::vector<WarmThroughput> warm_by_kind_;  // by kind
  WarmThroughput warm_total_;
  double mean_in_flight_ = 0;         // in flight from this node when it hands one out
  bool may_open_connection_ = true;          // drawn for each hand-off: whether it may open a connection
  SlidingSum<8> recent_connects_, recent_connect_failures_;  // new connections that came up lately, or didn't
  Health fleet_health_;                   // of all backends
  std::vector<Health> fleet_health_by_workload_;
  std::vector<policy::AnswerProbability> answer_probability_;  // by workload
  int total_in_flight_ = 0;
  double load_limit_ = 1e9;      // what a backend may hold for its size, learned from all answers together
  double service_rate_ = 0;        // what backends with a backlog get done for their size; 0: not told
  double admitted_share_ = 1;       // of what comes in that is sent on
  TenthsOfMs admitted_share_at_ = 0;
  double node_concurrency_limit_ = 0;  // learned from all answers together
  SlidingSum<10> recent_starts_;       // hand-offs begun in the last second
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
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
