// What the decision module is told and what it answers: plain types, no wire words, no decisions.
#pragma once

#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

namespace troutstage {

using TenthsOfMs = std::int64_t;  // a point in time or a span, in tenths of a millisecond
using Index = std::uint32_t;  // a small number given to an id when it first comes in
inline constexpr Index kNone = UINT32_MAX;

enum class Semantics { idempotent, idempotency_keyed, non_idempotent };
enum class DeduplicationScope { all, zone, cell };

struct Workload {
  Semantics semantics = Semantics::non_idempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::cell;  // labelled: which backends drop a repeat
  TenthsOfMs deduplication_window = 0;          // labelled: for how long, from the first send that may have run
  TenthsOfMs latency_objective = 0;
  TenthsOfMs time_limit = 0;
  double billing_value = 1;
  double late_value_share = 0;  // part of the billing value paid after the due time
  bool operator==(const Workload&) const = default;
};

struct Tenant {
  double share = 1;
  double quota_per_s = 0;  // summed over all nodes
};

struct Settings {
  std::uint64_t seed = 0;
  Index zone = 0;  // of this node
  int nodes = 1;
  int max_hand_offs = 1;
  bool is_discovery_on_request = true;  // the list comes only when asked for
  bool may_cancel = false;
  bool may_probe = false;  // and a probe brings a report of what all nodes together have at the backend
  bool may_hedge = false;
  bool client_honors_retry_after = false;
  bool is_billed_by_work = false;
  double beyond_share_value = 1;
  double cross_zone_cost = 0;  // for each hand-off between zones
  double connect_cost = 0;     // for each new connection
  TenthsOfMs max_retry_after = 0;
  TenthsOfMs tick = 10;
  TenthsOfMs pause_allowance = 0;  // so long before its limit an invocation is answered whose attempts are not likely to be
  TenthsOfMs connect_timeout = 0;
  TenthsOfMs keepalive = 0;  // idle connections close after this
  TenthsOfMs drain_grace = 0;
  TenthsOfMs discovery_retry_within = 0;
  TenthsOfMs slow_start_window = 0;
  TenthsOfMs slow_start_duration = 0;
  double slow_start_multiple = 1;
  double slow_start_budget_share = 1;  // of what this node may send to cold backends: another process may have the rest
  double initial_capacity_share = 1;
  std::vector<Workload> workloads;
  std::vector<Tenant> tenants;
};

enum class Availability { running, stopping, deleted };
enum class ListForm { delta, full, cached, failed };

struct ListEntry {
  Index backend = kNone;
  Index machine_kind = kNone;  // machine kind
  Index zone = kNone;
  std::int64_t cell = 0;
  TenthsOfMs started_at = 0;  // 0: a long time back
  Availability availability = Availability::running;
  double weight = 1;
};

enum class Ending {
  succeeded,
  error,        // may have run
  turned_away,  // never ran
  timed_out,    // may have run
  unreachable,  // never ran
  broken,       // may have run
  recalled,     // may have run
  never_sent,   // never ran; nor is it a sign against the backend
};

struct FleetList {
  ListForm form = ListForm::full;
  std::vector<ListEntry> entries;
};
struct Arrival {
  Index invocation = kNone;
  Index workload = 0;
  Index tenant = kNone;
  TenthsOfMs valid_until = 0;
  double hint = 0;  // expected work in tenths of a millisecond; 0: not told
  bool is_client_retry = false;
  bool has_streaming_body = false;  // its body is still coming: only one hand-off can carry it on
  TenthsOfMs arrived = INT64_MAX;  // when its last byte came; what is later than its handling counts as that
};
struct HandOffEnded {
  Index invocation = kNone;
  int number = 0;
  Ending ending = Ending::succeeded;
  bool is_final = false;  // the invocation is finished
  TenthsOfMs elapsed = 0;
  bool is_body_consumed = false;       // of its body nothing is left that could be sent again
};
struct AnswerStarted {
  Index invocation = kNone;
  int number = 0;
};
// A piece of a long answer has come, which is kept until it is whole or passed on.
struct AnswerProgress {
  Index invocation = kNone;
  int number = 0;
};
struct ClientGone {
  Index invocation = kNone;
};
struct TimerDue {};
// What a backend tells of itself; -1: not told.
struct LoadReport {
  double outstanding = -1;  // invocations that it holds
  double backlog = -1;      // those of them that wait
  double utilization = -1;  // of its cores
  double throughput = -1;   // invocations a second
};
struct ProbeEnded {
  Index backend = kNone;
  bool succeeded = false;
  TenthsOfMs elapsed = 0;
  LoadReport report;
};

// Holds for what arrives from now on; what is under way keeps its workload's terms and its number of hand-offs.
struct NewSettings {
  std::shared_ptr<const Settings> settings;  // seed, zone, tick and the fall window stay as they were
  std::vector<Index> inherits_from;  // by workload: whose past it goes on from, its own if it stays; kNone: it has none
};
// The node is told to end: nothing that it holds, or takes from now on, is left unanswered then.
struct ShutdownRequested {
  TenthsOfMs answer_by = 0;
};
struct BackendCounts {};  // asks how many backends are listed, and how many of them are avoided now

using Event =
    std::variant<FleetList, Arrival, HandOffEnded, AnswerStarted, AnswerProgress, ClientGone, TimerDue, ProbeEnded, NewSettings,
                 ShutdownRequested, BackendCounts>;

enum class ActionKind {
  hand_off,   // invocation, backend, at: when to drop it
  reject,     // invocation, at: how long the client should wait, or 0
  give_up,    // invocation
  cancel,     // invocation, number
  set_timer,  // at: TimerDue is to be given then, once. The newest takes the place of the one before
  watch_discovery,      // the list, from here on
  probe,      // backend
  forget,     // invocation: the index may be used again
  release,    // backend: the same, until the list names it again
  backend_counts,     // at: how many are listed, number: how many of them are avoided
};

struct Action {
  ActionKind what = ActionKind::set_timer;
  Index invocation = kNone;
  Index backend = kNone;
  int number = 0;
  TenthsOfMs at = 0;
  TenthsOfMs begin_by = INT64_MAX;  // hand_off: it is sent before this, or not at all
};

// One node's decisions. Events go in one by one in the order of their arrival; the actions that come back
// are carried out in the order they stand in, before the next event is given.
class Decider {
 public:
  explicit Decider(const Settings& settings, TenthsOfMs now);
  ~Decider();
  Decider(Decider&&) noexcept;
  Decider& operator=(Decider&&) noexcept;

  const std::vector<Action>& decide(TenthsOfMs now, const Event& event);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace troutstage
