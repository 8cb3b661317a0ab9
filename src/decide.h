// The interface of the decision module: the settings it works by, the events it receives and the actions that
// it returns. All types are plain values without wire formats, and hold no decision logic.
//
// Points in time and durations are TenthsOfMs. Backends, invocations, workloads, tenants, zones and machine
// kinds are named by dense indices, which the caller assigns.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace troutstage {

using TenthsOfMs = std::int64_t;  // a point in time or a duration, in tenths of a millisecond
using Index = std::uint32_t;      // dense index that an id gets when it is first seen
inline constexpr Index kNone = UINT32_MAX;

// Whether an invocation that may have run may be sent again. idempotent: always. idempotency_keyed: only to
// backends that detect a repeat of its idempotency key, and only while they do. non_idempotent: never.
enum class Semantics { idempotent, idempotency_keyed, non_idempotent };
// The backends that detect a repeated idempotency key: all of them, or those in the zone or the cell of the
// first one.
enum class DeduplicationScope { all, zone, cell };

struct Workload {
  Semantics semantics = Semantics::non_idempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::cell;  // idempotency_keyed only
  // idempotency_keyed only: how long a repeat is detected, from the first hand-off that may have run.
  TenthsOfMs deduplication_window = 0;
  TenthsOfMs latency_objective = 0;
  TenthsOfMs time_limit = 0;
  double billing_value = 1;
  double late_value_share = 0;  // part of the billing value that is paid after the latency objective
  bool operator==(const Workload&) const = default;
};

struct Tenant {
  double share = 1;
  double quota_per_s = 0;  // for all nodes together
};

struct Settings {
  std::uint64_t seed = 0;  // of the random draws
  Index zone = 0;          // of this node
  int nodes = 1;
  int max_hand_offs = 1;                // per invocation
  bool is_discovery_on_request = true;  // the backend list arrives only after the action watch_discovery
  bool may_cancel = false;              // hand-offs in flight may be cancelled
  // Probes are allowed. The answer to a probe reports the load that all nodes together put on the backend.
  bool may_probe = false;
  bool may_hedge = false;  // hedged requests are allowed
  bool client_honors_retry_after = false;
  bool is_billed_by_work = false;
  double beyond_share_value = 1;
  double cross_zone_cost = 0;  // of each hand-off between zones
  double connect_cost = 0;     // of each new connection
  TenthsOfMs max_retry_after = 0;
  TenthsOfMs tick = 10;
  // How long before its limit an invocation is answered if its hand-offs are unlikely to be answered in time.
  TenthsOfMs pause_allowance = 0;
  TenthsOfMs connect_timeout = 0;
  TenthsOfMs keepalive = 0;  // an idle connection is closed after this time
  TenthsOfMs drain_grace = 0;
  TenthsOfMs discovery_retry_within = 0;  // discovery that failed is asked again well within this time
  TenthsOfMs slow_start_window = 0;       // work sent to a backend in slow start is summed over this time
  TenthsOfMs slow_start_duration = 0;     // from the start of a backend to its full capacity
  // A backend in slow start fails if it is sent more than this multiple of its capacity.
  double slow_start_multiple = 1;
  // Part of this node's slow-start budget that this process may use; another process of the node may use the
  // rest.
  double slow_start_budget_share = 1;
  double initial_capacity_share = 1;  // share of its full capacity that a backend has at its start
  std::vector<Workload> workloads;
  std::vector<Tenant> tenants;
};

enum class Availability { running, stopping, deleted };
// How a list from discovery is to be read: as changes or as the complete list, fresh or cached. failed: the
// request failed and there is no list.
enum class ListForm { delta, full, cached, failed };

struct ListEntry {
  Index backend = kNone;
  Index machine_kind = kNone;
  Index zone = kNone;
  std::int64_t cell = 0;
  TenthsOfMs started_at = 0;  // 0: long ago, slow start is over
  Availability availability = Availability::running;
  double weight = 1;
};

// How a hand-off ended, and whether the backend may have run the invocation.
enum class Ending {
  succeeded,
  error,        // may have run
  turned_away,  // the backend refused it: never ran
  timed_out,    // may have run
  unreachable,  // no connection: never ran
  broken,       // the connection broke: may have run
  recalled,     // cancelled by this node: may have run
  never_sent,   // never ran, and says nothing about the backend
};

// Events.

// The backend list of discovery, or changes to it.
struct FleetList {
  ListForm form = ListForm::full;
  std::vector<ListEntry> entries;
};
// A client asks for an invocation.
struct Arrival {
  Index invocation = kNone;
  Index workload = 0;
  Index tenant = kNone;
  TenthsOfMs valid_until = 0;
  double hint = 0;  // work that the client expects, in tenths of a millisecond; 0: unknown
  bool is_client_retry = false;
  bool has_streaming_body = false;  // the body is still arriving: only one hand-off can forward it
  // When the last byte of its request arrived. A time after that of the event counts as that of the event.
  TenthsOfMs arrived = INT64_MAX;
  // Whether its hand-offs may be cancelled, until its end; empty: as the settings say when it arrives.
  std::optional<bool> may_cancel = std::nullopt;
};
// A hand-off ended. Every action hand_off leads to this event, also after a cancel.
struct HandOffEnded {
  Index invocation = kNone;
  int number = 0;  // of the hand-off within its invocation, from 0
  Ending ending = Ending::succeeded;
  bool is_final = false;          // the invocation has its final answer
  TenthsOfMs elapsed = 0;         // since the hand-off was sent
  bool is_body_consumed = false;  // no part of the body is left that could be sent again
  // Succeeded: the answer is forwarded before it is complete. ForwardedAnswerEnded follows.
  bool is_partial = false;
};
// The rest of an answer that was forwarded before it was complete has arrived, or its backend failed to send
// it.
struct ForwardedAnswerEnded {
  Index backend = kNone;  // still listed under this index
  Index workload = 0;
  bool is_complete = false;
};
// The answer of this hand-off is being forwarded to the client: the invocation can get no other answer.
struct AnswerStarted {
  Index invocation = kNone;
  int number = 0;
};
// A piece of an answer has arrived that is not complete yet. The next piece is expected within
// `expected_within`.
struct AnswerProgress {
  Index invocation = kNone;
  int number = 0;
  TenthsOfMs expected_within = 0;
};
// An answer has begun that will be forwarded shortly before the deadline of its hand-off, even if it is not
// complete then (see policy/answer_delivery.h).
struct AnswerBegun {
  Index invocation = kNone;
  int number = 0;
};
// An answer that has begun pauses, and may go on or not.
struct AnswerPaused {
  Index invocation = kNone;
  int number = 0;
};
// The body of an invocation with has_streaming_body was sent whole by this hand-off.
struct BodySent {
  Index invocation = kNone;
  int number = 0;
};
// The client disconnected.
struct ClientGone {
  Index invocation = kNone;
};
// The time of the last action set_timer has come.
struct TimerDue {};
// The load that a backend reports of itself; -1: not reported.
struct LoadReport {
  double outstanding = -1;  // invocations at the backend, queued or running
  double backlog = -1;      // the queued part of them
  double utilization = -1;  // of its cores, 0 to 1
  double throughput = -1;   // invocations per second
};
// The answer to a probe arrived, or the probe failed.
struct ProbeEnded {
  Index backend = kNone;
  bool succeeded = false;
  TenthsOfMs elapsed = 0;
  LoadReport report;
};

// Replaces the settings for invocations that arrive from now on. Unfinished invocations keep the settings
// of their workload, the maximum number of their hand-offs and whether these may be cancelled.
struct NewSettings {
  // Seed, zone, tick and slow_start_window keep their old values.
  std::shared_ptr<const Settings> settings;
  // By workload: the index whose statistics it inherits, its own index if it stays; kNone: no statistics.
  std::vector<Index> inherits_from;
};
// The node shuts down: every invocation that it has or accepts from now on is answered by answer_by.
struct ShutdownRequested {
  TenthsOfMs answer_by = 0;
};
// Asks how many backends are listed and how many of them are avoided (stopping, or outliers) now. The action
// backend_counts answers.
struct BackendCounts {};

using Event = std::variant<FleetList, Arrival, HandOffEnded, AnswerStarted, AnswerProgress, AnswerBegun,
                           AnswerPaused, ForwardedAnswerEnded, BodySent, ClientGone, TimerDue, ProbeEnded,
                           NewSettings, ShutdownRequested, BackendCounts>;

// The members of Action that each kind uses follow it.
enum class ActionKind {
  hand_off,         // invocation, backend, at: deadline of the hand-off, begin_by
  reject,           // invocation, at: the Retry-After duration, or 0
  give_up,          // invocation
  cancel,           // invocation, number
  set_timer,        // at: when to send TimerDue, once. Replaces the previous timer
  watch_discovery,  // requests the backend list, and its changes from then on
  probe,            // backend
  forget,           // invocation: its index may be used again
  release,          // backend: nothing refers to its index, which may name another backend from now on
  backend_counts,   // at: number of listed backends, number: how many are avoided (stopping, or outliers)
};

struct Action {
  ActionKind what = ActionKind::set_timer;
  Index invocation = kNone;
  Index backend = kNone;
  int number = 0;
  TenthsOfMs at = 0;
  TenthsOfMs begin_by = INT64_MAX;  // hand_off: it is sent before this time or not at all
};

// The decisions of one node. The caller passes events one by one in the order of their arrival, and carries
// out the returned actions in their order before it passes the next event.
//
// Not thread-safe; the caller serializes all calls.
class Decider {
 public:
  explicit Decider(const Settings& settings, TenthsOfMs now);
  ~Decider();
  Decider(Decider&&) noexcept;
  Decider& operator=(Decider&&) noexcept;

  // Handles an event that arrived at `now`. The returned actions are valid until the next call.
  const std::vector<Action>& decide(TenthsOfMs now, const Event& event);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace troutstage
