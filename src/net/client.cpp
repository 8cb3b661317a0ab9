#include "net/client.h"

#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <deque>

#include "log/log.h"
#include "net/send_state.h"
#include "net/system_times.h"

namespace troutstage::net {
namespace {

// Time limits for reading a request's head, and for reading head and body; body bytes that have arrived
// extend the second limit. Both count from the moment that a thread begins to read the request, and for the
// first request of a connection from the moment that the connection was accepted: from then on a client waits
// for the answer to a request that can't be read.
constexpr std::chrono::milliseconds kMaxHeadTime{2500}, kMaxBodyTime{2700};
// How long a thread waits for the rest of a head before it serves other connections, and how long a
// connection beyond the budget may take for its head.
constexpr std::chrono::milliseconds kHeadPatience{5}, kMaxUnservedHeadTime{200};
// Time limit for each piece of a body.
constexpr std::chrono::milliseconds kBodyPieceTimeout{2000};
// The receive window of a client whose system does not report it: half of the largest receive buffer that
// Linux gives to a connection by default.
constexpr std::uint64_t kAssumedClientWindow = 3 << 20;
// How often a thread that waits for more of an answer checks whether the node shuts down.
constexpr std::chrono::milliseconds kStopCheckInterval{50};
// A client that sends its next request right after an answer does so within this time.
constexpr std::chrono::milliseconds kNextRequestWait{2};
// Bytes that a client may send after its last answer before the connection is closed.
constexpr std::size_t kMaxDiscardedBytes = 64 << 20;
constexpr TenthsOfMs kTenthsPerMs = 10;
// A request whose body is streamed is answered this long before the client's time limit.
constexpr std::chrono::milliseconds kAnswerMargin{20};
// A request's head is kept, and formatted anew for each attempt.
constexpr std::size_t kCopiesOfHead = 2;
// A request that is read this long after its last byte arrived, or later, is counted and logged.
constexpr std::chrono::milliseconds kLateReadThreshold{20};
// A client that disconnects this long before its time limit, or later, is counted and logged.
constexpr std::chrono::milliseconds kNearLimit{100};
constexpr std::string_view kTextPlain = "text/plain";
// Log names of core::InstructionKind.
constexpr std::array<std::string_view, 6> kInstructionNames = {"hand_off", "recall",   "succeeded",
                                                               "rejected", "given_up", "gone"};

std::int64_t milliseconds_between(TimePoint from, TimePoint to) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
}

// Counts an invocation as open for the lifetime of the object.
class OpenInvocationCount {
 public:
  explicit OpenInvocationCount(Counters::Count& open) : open_(open) { ++open_; }
  ~OpenInvocationCount() { --open_; }
  OpenInvocationCount(const OpenInvocationCount&) = delete;
  OpenInvocationCount& operator=(const OpenInvocationCount&) = delete;

 private:
  Counters::Count& open_;
};

}  // namespace

struct ClientConnection::InvocationContext {
  explicit InvocationContext(Node& node)
      : short_body_memory(node.memory_, MemoryUse::short_bodies),
        body_memory(node.memory_, MemoryUse::request_bodies), head_memory(node.memory_, MemoryUse::heads),
        request_config(node.request_config()) {}
  // For the buffered part of the body; and for the head as it is kept and as it is written to a backend.
  MemoryBudget::Reservation short_body_memory, body_memory, head_memory;
  bool take_for_body(std::size_t size) {
    return short_body_memory.size() == 0 ? short_body_memory.take(size) : body_memory.take(size);
  }
  // The configuration that was valid when the request arrived; a reload does not change it for this
  // invocation.
  const std::shared_ptr<const RequestConfig> request_config;
  WorkloadEntry workload_entry;
  Request request;
  // The part of the request's body that is streamed to the backend; set if has_streaming_body.
  std::optional<StreamedBody> streamed_body;
  // The body is longer than what is buffered, so the rest of it is streamed to the backend.
  bool has_streaming_body = false;
  mutable std::optional<TransactionTable::ScopedTransaction> transaction;
  // When the last byte of the request arrived, as far as is known. The client's time limit counts from here.
  // Of a request with a streamed body: the last byte of the buffered part, until note_end_of_body().
  TimePoint arrived;
  // The end of the last check of the socket that found no byte of the request, the end of the first check
  // that found bytes, and the moment at which the request had been read.
  TimePoint no_bytes_until, seen_at, read_at;
  // `arrived` is based on the time that the system reported; otherwise on the checks of the socket alone.
  bool is_by_system_time = false;
  // How long before the reading the last bytes arrived, as the system reported.
  std::optional<std::chrono::milliseconds> reported_ago;
  // The client waits for its answer until then: its time limit after `arrived`.
  TimePoint client_deadline;
  core::InvocationHandle handle;
  // Ends before the final answer is sent. Hand-offs use the client's connection through it only.
  mutable ConnectionAccess client_access;
  // The client's socket. -1: a disconnect of the client can't be distinguished from a shutdown of the reading
  // side by this node.
  int client_socket = -1;
  // Indexed by the number of the hand-off. Changed by the thread that serves the client; while that thread
  // runs a hand-off itself, by the thread that holds the balancer's lock.
  std::deque<std::shared_ptr<Exchange>> exchanges;
  // The backend of each hand-off, as `exchanges`.
  std::deque<Index> backends;
};

ClientConnection::ClientConnection(Node& node, Fd fd, bool is_within_budget,
                                   const core::ArrivalEstimate& arrival)
    : node_(node), id_(node.connections_.fetch_add(1) + 1), fd_(std::move(fd)),
      peer_port_(log::wanted(log::Level::debug) ? peer_port_of(fd_.get()) : -1), arrival_(arrival),
      reader_(fd_.get(), arrival_), is_within_budget_(is_within_budget) {
  reader_.set_memory(node_.memory_);
  // A connection that was made before the listener had its limits, or a passed listener, has those of the
  // system.
  set_socket_buffers(fd_.get(), is_within_budget_ ? node_.limits_.socket_buffer : kRejectedSocketBuffer);
  node_.connection_opened(is_within_budget_);
}
// No other object may still use the descriptor when it is closed: the system soon gives the same number to
// another connection.
ClientConnection::~ClientConnection() {
  ++node_.counters_.closed[static_cast<std::size_t>(close_reason_)];
  if (log::wanted(log::Level::debug))
    log::event("connection_closed",
               {{"connection", id_},
                {"peer_port", std::int64_t{peer_port_}},
                {"why", kCloseReasonNames[static_cast<std::size_t>(close_reason_)]},
                {"answers", std::uint64_t{answered_count_}},
                {"open_ms", std::int64_t{std::chrono::duration_cast<std::chrono::milliseconds>(
                                             TimePoint::clock::now() - connected_)
                                             .count()}}},
               log::Level::debug);
  fd_.reset();
  if (answered_count_ >= 2) --node_.reused_connections_;
  node_.connection_closed(is_within_budget_);
}

// A client that was rejected and sends its next request at once is served by the same thread: a return
// through IdleConnections costs more than a rejection, and thousands of such requests a second used up the
// whole capacity of a node.
std::optional<IdleConnections::WaitsFor> ClientConnection::serve() {
  for (;;) {
    was_rejected_ = false;
    close_reason_ = CloseReason::by_client;
    const auto waits_for = serve_request();
    const bool may_be_reused = waits_for == IdleConnections::WaitsFor::second_request ||
                               waits_for == IdleConnections::WaitsFor::next_request;
    if (!may_be_reused || !was_rejected_ ||
        wait_readable(fd_.get(), TimePoint::clock::now() + kNextRequestWait) != IoResult::done)
      return waits_for;
    arrival_.found_bytes(TimePoint::clock::now());
  }
}

void ClientConnection::enter_budget() {
  is_within_budget_ = true;
  set_socket_buffers(fd_.get(), node_.limits_.socket_buffer);
}

TimePoint ClientConnection::head_deadline() const {
  return head_begun_at_ + (is_within_budget_ ? kMaxHeadTime : kMaxUnservedHeadTime);
}

void ClientConnection::refuse_partial_head(CloseReason reason) {
  const bool is_late = reason == CloseReason::idle && is_within_budget_;
  if (is_late) ++node_.counters_.bad[static_cast<std::size_t>(RequestError::slow)];
  else if (is_within_budget_) ++node_.counters_.bad[static_cast<std::size_t>(RequestError::reading_ended)];
  else ++node_.counters_.turned_off_full;
  is_refused_unfinished_ = true;
  close_reason_ = CloseReason::bad_request;
  reader_.release_buffer();
  write_all(fd_.get(), format_response_head(is_late ? 408 : 503, kTextPlain, 0, false),
            TimePoint::clock::now());
  ::shutdown(fd_.get(), SHUT_WR);
}

// Reads the head of a request, or the rest of it. Empty, with `is_partial`: a part of it has arrived, and its
// time is not over.
std::optional<Request> ClientConnection::read_head(BadRequest& refusal, bool& is_partial) {
  if (!std::exchange(has_partial_head_, true))
    head_begun_at_ = std::exchange(is_first_request_, false) ? connected_ : TimePoint::clock::now();
  const TimePoint deadline = head_deadline();
  auto request =
      read_request_head(reader_, std::min(deadline, TimePoint::clock::now() + kHeadPatience), refusal);
  const bool is_late = !request && refusal.cause == RequestError::slow;
  is_partial = is_late && TimePoint::clock::now() < deadline;
  if (is_partial && !reader_.reserve_waiting_head()) {
    is_partial = false;
    refusal = {503, RequestError::no_room};
  }
  if (is_late && !is_partial && !is_within_budget_) refusal = {503, RequestError::no_room};
  has_partial_head_ = is_partial;
  return request;
}

// Reads and answers one request. Returns what the connection waits for then, or nothing if the connection is
// over.
std::optional<IdleConnections::WaitsFor> ClientConnection::serve_request() {
  BadRequest refusal;
  bool is_partial = false;
  std::shared_ptr<InvocationContext> context;
  {
    Node::ActiveRead active_read(node_, fd_.get());
    auto request = read_head(refusal, is_partial);
    if (is_partial) return IdleConnections::WaitsFor::rest_of_head;
    if (!request) return refuse(attribute_cut(active_read, refusal));
    // A client with a request has the better claim on the place of one that is idle.
    if (!is_within_budget_) node_.enter_budget(*this);
    const TimePoint started_at = head_begun_at_;
    context = std::make_shared<InvocationContext>(node_);
    context->request = std::move(*request);
    Request& r = context->request;
    reader_.release_head();
    if (!context->head_memory.take(kCopiesOfHead * (r.target.size() + r.forwarded_headers.size())))
      return refuse({503, RequestError::no_room});
    if (!is_node_path(r) && !resolve_workload(*context, refusal)) return refuse(refusal);
    // Clients have to send a body at kMinBytesPerMs or faster. Reading stops when a piece takes too long, or
    // when the body as a whole, after kMaxBodyTime, arrives at less than half of that rate.
    // A client beyond the limit has the smallest buffers, through which a long body takes seconds, and is not
    // waited for.
    const auto deadline = [&] {
      if (!is_within_budget_) return head_deadline();
      const auto earned_time =
          std::chrono::milliseconds(static_cast<std::int64_t>(r.body.size()) * 2 / kMinBytesPerMs);
      return std::min(TimePoint::clock::now() + kBodyPieceTimeout, started_at + kMaxBodyTime + earned_time);
    };
    if (!read_body(reader_, r, refusal, deadline,
                   [&](std::size_t size) { return context->take_for_body(size); })) {
      if (refusal.cause == RequestError::slow && !is_within_budget_) refusal = {503, RequestError::no_room};
      if (refusal.cause == RequestError::no_room && context->workload_entry.answers)
        ++context->workload_entry.answers->rejected;
      return refuse(attribute_cut(active_read, refusal));
    }
    context->has_streaming_body = !r.remaining_body.whole();
    if (context->has_streaming_body && !is_within_budget_) return refuse({503, RequestError::no_room});
    note_times(*context);
    if (context->read_at - context->arrived >= kLateReadThreshold) note_late_reading(*context);
    // If this node shut down the reading side itself, to free capacity, the socket looks as if the client had
    // disconnected: a request that arrived at that moment would be lost.
    can_detect_disconnect_ = !active_read.was_aborted();
    may_keep_alive_ = can_detect_disconnect_ && is_within_budget_ && !context->has_streaming_body;
  }
  // A connection carries one request at a time; clients that are supported send nothing before they have the
  // answer.
  if (!context->has_streaming_body && reader_.has_buffered_bytes()) return refuse({400, RequestError::ahead});
  if (answer(context, node_.clock_.to_ticks(context->arrived))) {
    reader_.release_buffer();
    if (++answered_count_ == 2) ++node_.reused_connections_;
    return answered_count_ >= 2 ? IdleConnections::WaitsFor::next_request
                                : IdleConnections::WaitsFor::second_request;
  }
  if (is_reset_on_close_) return std::nullopt;
  if (close_reason_ == CloseReason::by_client) close_reason_ = CloseReason::last_answer;
  // Closing a socket that has unread input sends a reset, which could overtake the answer. So only the
  // sending side is shut down here.
  ::shutdown(fd_.get(), SHUT_WR);
  return IdleConnections::WaitsFor::peer_close;
}

// If this node shut down the reading side, to free capacity or because the node shuts down, the request looks
// as if its client had cut it short. But the client still waits for an answer, and nothing was handed off:
// the client gets a 503.
BadRequest ClientConnection::attribute_cut(const Node::ActiveRead& active_read, const BadRequest& refusal) {
  return refusal.cause == RequestError::cut && active_read.was_aborted()
             ? BadRequest{503, RequestError::reading_ended}
             : refusal;
}

// Counts, logs and answers a request that is not served, and closes the sending side. Returns nothing if the
// client gets no answer.
std::optional<IdleConnections::WaitsFor> ClientConnection::refuse(const BadRequest& refusal) {
  if (refusal.cause == RequestError::none) return std::nullopt;  // the client closed between requests
  if (refusal.cause == RequestError::no_room) ++node_.counters_.turned_off_full;
  else ++node_.counters_.bad[static_cast<std::size_t>(refusal.cause)];
  const std::string_view why = kRequestErrorNames[static_cast<std::size_t>(refusal.cause)];
  log::event("bad_request", {{"connection", id_}, {"why", why}}, log::Level::debug);
  if (refusal.status == 0) return std::nullopt;
  close_reason_ = CloseReason::bad_request;
  // After a malformed request the start of the next one can't be found; after another refused request, the
  // next one would be refused in the same way. So the connection closes.
  reply(refusal.status, fmt::format("{}\n", why), false);
  ::shutdown(fd_.get(), SHUT_WR);
  return IdleConnections::WaitsFor::peer_close;
}

// Whoever asks whether the node is up has to get its answer under any load.
void ClientConnection::reject_unread() {
  constexpr std::string_view kReadyRequest = "GET /up ";
  char begin[kReadyRequest.size()];
  const ssize_t n = ::recv(fd_.get(), begin, sizeof begin, MSG_PEEK | MSG_DONTWAIT);
  const bool asks_if_ready = n > 0 && std::string_view(begin, static_cast<std::size_t>(n)) == kReadyRequest;
  if (!asks_if_ready) ++node_.counters_.turned_off_full;
  const int status = asks_if_ready && node_.ready() ? 200 : 503;
  write_all(fd_.get(), format_response_head(status, kTextPlain, 0, false), TimePoint::clock::now());
  ::shutdown(fd_.get(), SHUT_WR);
}

bool ClientConnection::discard_unread() {
  const IoResult io = net::discard_unread(fd_.get(), discarded_bytes_);
  return (io == IoResult::done || io == IoResult::late) && discarded_bytes_ < kMaxDiscardedBytes;
}

// Whether this node answers the request itself: its readiness or its counters.
bool ClientConnection::is_node_path(const Request& request) {
  return request.target == kReadyPath || request.target == kCountersPath;
}

// Looks up the workload and checks that the request has what the workload's semantics need: GET for
// idempotent workloads, POST for all others, a time limit, and an idempotency key if the semantics require
// one. False: `refusal` says what is wrong.
bool ClientConnection::resolve_workload(InvocationContext& context, BadRequest& refusal) {
  const Request& request = context.request;
  const auto refuse_with = [&](int status, RequestError cause) { return refusal = {status, cause}, false; };
  const auto workload = context.request_config->workloads.find(request.workload);
  if (workload == context.request_config->workloads.end()) return refuse_with(404, RequestError::no_workload);
  context.workload_entry = workload->second;
  const Semantics semantics = context.workload_entry.semantics;
  const bool is_idempotent = semantics == Semantics::idempotent;
  if (request.method != (is_idempotent ? "GET" : "POST")) return refuse_with(405, RequestError::wrong_method);
  if (is_idempotent && !request.remaining_body.whole()) return refuse_with(400, RequestError::body_of_get);
  if (request.remaining_ms < 0) return refuse_with(400, RequestError::no_limit);
  if (semantics == Semantics::idempotency_keyed && !request.has_idempotency_key)
    return refuse_with(400, RequestError::no_label);
  return true;
}

// Answers a request. False: the connection is over.
bool ClientConnection::answer(const std::shared_ptr<InvocationContext>& context, TenthsOfMs arrived) {
  const Request& request = context->request;
  const bool keep_open = request.keep_alive && may_keep_alive_ && !node_.closes_connections_after_answer();
  if (request.target == kReadyPath)
    return node_.ready() ? reply(200, "up\n", keep_open) : reply(503, "not up\n", keep_open);
  if (request.target == kCountersPath) return reply(200, node_.counters_text(), keep_open);
  if (!is_within_budget_) {  // nothing was handed off
    ++context->workload_entry.answers->rejected;
    return refuse({503, RequestError::no_room}), false;
  }
  // A body that arrives slowly holds a thread and memory for long, and nothing was handed off.
  if (context->has_streaming_body && node_.memory_.is_scarce_for_bodies()) {
    ++context->workload_entry.answers->rejected;
    ++node_.counters_.long_bodies_refused;
    return refuse({503, RequestError::no_room}), false;
  }
  if (node_.needs_idle_connections()) {
    ++context->workload_entry.answers->rejected;
    return ++node_.counters_.turned_off_stopping, reply(503, "stopping\n", keep_open);
  }
  // A second invocation with the same transaction id would repeat what another client already waits for, or
  // what may have run for a client that has left.
  const bool is_repeatable = context->workload_entry.semantics == Semantics::idempotent;
  context->transaction.emplace(node_.transactions_, request.transaction, is_repeatable);
  switch (context->transaction->claim()) {
    case TransactionTable::Claim::granted: break;
    case TransactionTable::Claim::open: return refuse({409, RequestError::id_open}), false;
    case TransactionTable::Claim::may_have_run: return refuse({409, RequestError::id_repeated}), false;
    case TransactionTable::Claim::full:
      ++context->workload_entry.answers->rejected;
      return refuse({503, RequestError::no_room}), false;
  }
  return invoke(context, arrived);
}

// Runs an invocation from its acceptance by the balancer to its final answer. False: the connection is over.
bool ClientConnection::invoke(const std::shared_ptr<InvocationContext>& context, TenthsOfMs arrived) {
  const Request& request = context->request;
  core::IncomingInvocation invocation;
  invocation.workload = context->workload_entry.workload_handle.workload;
  invocation.workload_reference = context->workload_entry.workload_handle.workload_reference;
  const auto tenant = context->request_config->tenants.find(request.tenant);
  if (tenant != context->request_config->tenants.end()) invocation.tenant = tenant->second;
  invocation.arrived = arrived;
  invocation.valid_until = arrived + request.remaining_ms * kTenthsPerMs;
  context->client_deadline = node_.clock_.at(invocation.valid_until);
  if (context->has_streaming_body) {
    ++node_.counters_.bodies_flowed;
    // The client's time limit counts from the last byte of the body, which may arrive as slowly as
    // kMinBytesPerMs allows.
    const auto remaining_bytes = static_cast<std::int64_t>(
        request.remaining_body.framing() == Framing::length ? request.remaining_body.left() : kMaxBodyBytes);
    invocation.valid_until += (remaining_bytes / kMinBytesPerMs + kBodyPieceTimeout.count()) * kTenthsPerMs;
    invocation.has_streaming_body = true;
    context->streamed_body.emplace(context->client_access, fd_.get(), reader_, arrival_,
                                   context->request.remaining_body,
                                   std::chrono::milliseconds(request.remaining_ms) - kAnswerMargin,
                                   static_cast<std::uint64_t>(node_.limits_.socket_buffer));
  }
  invocation.hint = request.hint_micros / 100;
  invocation.is_client_retry = request.is_client_retry;
  invocation.may_cancel = context->request_config->may_cancel;
  const bool client_keeps_alive = request.keep_alive && may_keep_alive_;
  ++node_.counters_.taken;
  const OpenInvocationCount open_count(node_.counters_.open);
  const core::InvocationHandle& handle = context->handle;
  try {
    if (can_detect_disconnect_) context->client_socket = fd_.get();
    context->handle = node_.balancer_.accept(invocation);
    std::optional<DisconnectMonitor::ScopedMonitor> scoped_monitor;
    if (can_detect_disconnect_ && !node_.balancer_.is_answered(handle))
      scoped_monitor.emplace(node_.disconnect_monitor_, fd_.get(), handle);
    for (;;) {
      const core::Instruction instruction = node_.balancer_.next_instruction(handle);
      if (instruction.what == core::InstructionKind::hand_off) hand_off(context, instruction);
      else if (instruction.what == core::InstructionKind::cancel) cancel(*context, instruction.number);
      else return end_invocation(*context, instruction, client_keeps_alive);
    }
  } catch (const std::exception& failure) {
    // Ends this invocation with a status that does not say whether a backend ran it.
    log::error("invocation: {}", failure.what());
    ++node_.counters_.broke_inside;
    ++context->workload_entry.answers->given_up;
    if (handle) node_.balancer_.client_gone(handle);
    context->client_access.end();
    return reply(500, "broke inside\n", false);
  }
}

// Carries out the final instruction of an invocation. False: the connection is over.
bool ClientConnection::end_invocation(InvocationContext& context, const core::Instruction& instruction,
                                      bool client_keeps_alive) {
  context.client_access.end();
  note_end_of_body(context);
  trace_answer(context, kInstructionNames[static_cast<std::size_t>(instruction.what)]);
  return send_final_answer(context, instruction,
                           client_keeps_alive && !node_.closes_connections_after_answer());
}

// The client waits for its answer from the last byte of its request on. Where the body was streamed, that
// byte came after the invocation was accepted.
void ClientConnection::note_end_of_body(InvocationContext& context) {
  if (!context.streamed_body || !context.streamed_body->last_byte_at()) return;
  context.arrived = *context.streamed_body->last_byte_at();
  context.read_at = std::max(context.read_at, context.arrived);
  context.client_deadline = context.arrived + std::chrono::milliseconds(context.request.remaining_ms);
}

// Cancels a hand-off that is in flight.
void ClientConnection::cancel(const InvocationContext& context, int number) {
  const auto n = static_cast<std::size_t>(number);
  if (n < context.exchanges.size() && context.exchanges[n]) context.exchanges[n]->cancel();
}

// Logs the end of a request. The transaction id links this event to those of the connection, the hand-offs
// and the answer.
void ClientConnection::trace_answer(const InvocationContext& context, std::string_view outcome) const {
  if (!log::wanted(log::Level::debug)) return;
  log::event("answered",
             {{"transaction", std::string_view(context.request.transaction)},
              {"connection", id_},
              {"how", outcome},
              {"hand_offs", std::uint64_t{context.exchanges.size()}},
              {"held_ms", milliseconds_between(context.arrived, TimePoint::clock::now())},
              {"told_ms", context.request.remaining_ms},
              {"read_late_ms", milliseconds_between(context.arrived, context.read_at)}},
             log::Level::debug);
}

// When the last byte of what has just been read arrived: the time that the system reports, if its times were
// found reliable, bounded by what the checks of the socket allow. The clock is read before the system is
// asked, so that a pause of the thread in between makes no request look younger.
ClientConnection::LastByte ClientConnection::last_byte() const {
  const TimePoint now = TimePoint::clock::now();
  const auto since = time_since_last_receive(fd_.get());
  if (since) node_.request_system_time_check();
  const bool is_by_system_time = since && node_.trusts_system_times_;
  return {is_by_system_time ? arrival_.arrival_by_system_time(now - *since) : arrival_.arrival(),
          is_by_system_time, since};
}

// Notes when the request arrived and when it was read, and compares the system's time with the checks of the
// socket.
void ClientConnection::note_times(InvocationContext& context) {
  const LastByte last = last_byte();
  context.arrived = last.arrived_at;
  context.is_by_system_time = last.is_by_system_time;
  context.reported_ago = last.reported_ago;
  context.no_bytes_until = arrival_.earliest();
  context.seen_at = arrival_.latest();
  context.read_at = TimePoint::clock::now();
  ++(context.is_by_system_time ? node_.counters_.arrivals_by_system : node_.counters_.arrivals_by_looks);
  if (!context.reported_ago) return;
  const TimePoint reported = context.read_at - *context.reported_ago;
  if (reported < context.no_bytes_until - kSystemTimesTolerance ||
      reported > arrival_.last_bytes_found_at() + kSystemTimesTolerance)
    note_contradiction(context);
}

// Counts and logs that the time reported by the system contradicts the checks of the socket.
void ClientConnection::note_contradiction(const InvocationContext& context) {
  ++node_.counters_.system_times_contradicted;
  log::event("system_time_contradicted",
             {{"transaction", std::string_view(context.request.transaction)},
              {"told_ago_ms", std::int64_t{context.reported_ago->count()}},
              {"nothing_ago_ms", milliseconds_between(context.no_bytes_until, context.read_at)},
              {"seen_ago_ms", milliseconds_between(context.seen_at, context.read_at)}},
             log::Level::debug);
}

// Counts and logs a request that was read late.
void ClientConnection::note_late_reading(const InvocationContext& context) {
  ++node_.counters_.read_late;
  log::event("read_late",
             {{"transaction", std::string_view(context.request.transaction)},
              {"ms", milliseconds_between(context.arrived, context.read_at)}},
             log::Level::debug);
}

// Counts and logs a client that disconnects at about its time limit: it may have waited without getting an
// answer. Logged times are milliseconds since the assumed arrival of the request's last byte.
void ClientConnection::note_disconnect(const InvocationContext& context) const {
  const auto since_arrival = [&context](TimePoint when) {
    return milliseconds_between(context.arrived, when);
  };
  const TimePoint now = TimePoint::clock::now();
  if (context.has_streaming_body || now < context.client_deadline - kNearLimit) return;
  ++node_.counters_.left_at_limit;
  log::event(
      "left_at_limit",
      {{"transaction", std::string_view(context.request.transaction)},
       {"connection", id_},
       {"answers", std::uint64_t{answered_count_}},
       {"hand_offs", std::uint64_t{context.exchanges.size()}},
       {"limit_ms", context.request.remaining_ms},
       {"left_ms", since_arrival(now)},
       {"read_ms", since_arrival(context.read_at)},
       {"seen_ms", since_arrival(context.seen_at)},
       {"nothing_ms", since_arrival(context.no_bytes_until)},
       {"accepted_ms", since_arrival(connected_)},
       {"told_ago_ms", context.reported_ago ? std::int64_t{context.reported_ago->count()} : std::int64_t{-1}},
       {"by", context.is_by_system_time ? std::string_view("system") : std::string_view("looks")}});
}

// Logs the start or the end of a forwarded answer. `detail`: at the start the framing of the answer, at the
// end how the forwarding ended.
void ClientConnection::trace_forwarding(const InvocationContext& context, std::string_view stage,
                                        std::string_view detail, std::size_t forwarded_bytes) {
  log::event("answer_flows",
             {{"transaction", std::string_view(context.request.transaction)},
              {"stage", stage},
              {"how", detail},
              {"bytes", std::uint64_t{forwarded_bytes}}},
             log::Level::debug);
}

// Logs an answer that was cut short after its first part had been forwarded to the client. Times are
// milliseconds since the arrival of the request's last byte.
void ClientConnection::note_cut_answer(const InvocationContext& context, std::string_view why,
                                       TimePoint started_at, TimePoint last_piece_at,
                                       std::size_t forwarded_bytes) {
  const auto since_arrival = [&context](TimePoint when) {
    return milliseconds_between(context.arrived, when);
  };
  log::event("answer_cut", {{"transaction", std::string_view(context.request.transaction)},
                            {"why", why},
                            {"bytes", std::uint64_t{forwarded_bytes}},
                            {"limit_ms", context.request.remaining_ms},
                            {"begun_ms", since_arrival(started_at)},
                            {"last_piece_ms", since_arrival(last_piece_at)},
                            {"cut_ms", since_arrival(TimePoint::clock::now())}});
}

// Writes the one final answer of an invocation. False: the connection is over.
bool ClientConnection::send_final_answer(const InvocationContext& context,
                                         const core::Instruction& instruction, bool keep_open) {
  if (instruction.what == core::InstructionKind::gone)
    return ++node_.counters_.client_gone, note_disconnect(context), false;
  if (instruction.what == core::InstructionKind::succeeded) {
    Exchange& exchange = *context.exchanges.at(static_cast<std::size_t>(instruction.number));
    if (is_refused_for_memory(context, exchange)) {
      exchange.release_connection();
      exchange.kept_body().clear();
      ++node_.counters_.long_answers_refused;
      return reject(context, 0, keep_open);
    }
    ++node_.counters_.succeeded;
    if (!exchange.remaining_body().whole())
      return forward_answer(context, exchange,
                            context.backends.at(static_cast<std::size_t>(instruction.number)), keep_open);
    ++context.workload_entry.answers->succeeded;
    return send_kept_answer(exchange, keep_open) && keep_open;
  }
  if (instruction.what == core::InstructionKind::give_up) {
    ++node_.counters_.given_up;
    ++context.workload_entry.answers->given_up;
    return reply(502, "given up\n", keep_open);
  }
  return reject(context, instruction.retry_in, keep_open);
}

// Tells the client that trying again is harmless. False: the connection is over.
bool ClientConnection::reject(const InvocationContext& context, TenthsOfMs retry_in, bool keep_open) {
  ++node_.counters_.rejected;
  ++context.workload_entry.answers->rejected;
  was_rejected_ = true;
  const auto retry = fmt::format("Retry-After: {:.4f}\r\n", static_cast<double>(retry_in) / 1e4);
  return reply(503, "rejected\n", keep_open, retry_in > 0 ? retry : "");
}

// A client that reads slowly holds a long answer's memory and a thread for long. While memory is scarce, such
// an answer is not begun if the request may be repeated, so that short requests are still served.
bool ClientConnection::is_refused_for_memory(const InvocationContext& context, Exchange& exchange) const {
  const bool is_long =
      !exchange.remaining_body().whole() || exchange.kept_body().size() > kMaxShortAnswerBytes;
  return is_long && context.workload_entry.semantics == Semantics::idempotent && node_.memory_.is_scarce();
}

// Writes an answer that is kept whole. False: the client stopped reading.
bool ClientConnection::send_kept_answer(Exchange& exchange, bool keep_open) {
  const Response& r = exchange.answer();
  AnswerBody& kept = exchange.kept_body();
  std::string head = format_response_head(200, r.content_type, kept.size(), keep_open);
  if (kept.empty()) return write(std::move(head), "");
  for (; !kept.empty(); kept.pop_front())
    if (!write(std::exchange(head, {}), kept.front())) return false;
  return true;
}

// Reads the next piece of a forwarded answer. While the backend pauses, waits for as long as the delivery
// says and the shutdown of this node allows.
ReadResult ClientConnection::next_answer_piece(const InvocationContext& context, Exchange& exchange,
                                               std::string& piece) {
  policy::AnswerDelivery& delivery = exchange.delivery();
  const TimePoint started_at = TimePoint::clock::now();
  const TimePoint deadline = delivery.wait_until(started_at, context.client_deadline);
  for (;;) {
    const TimePoint now = TimePoint::clock::now();
    // An answer that goes on without an end must not keep the node from ending.
    if (now >= node_.answer_deadline_.load()) return ReadResult::late;
    const ReadResult read_result = exchange.next(std::min(deadline, now + kStopCheckInterval), piece);
    if (read_result != ReadResult::late || TimePoint::clock::now() >= deadline ||
        TimePoint::clock::now() >= node_.answer_deadline_.load()) {
      delivery.add_waited(TimePoint::clock::now() - started_at, piece.size());
      return read_result;
    }
  }
}

// Switches SO_LINGER so that close() sends a reset instead of an orderly end. For answers whose end is the
// close of the connection: only a reset shows the client that such an answer was cut short.
void ClientConnection::set_reset_on_close(bool is_enabled) {
  const linger option{is_enabled ? 1 : 0, 0};
  ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

// Tells the balancer how a forwarded answer ended, unless its backend is gone.
void ClientConnection::report_forwarded(const InvocationContext& context, const Exchange& exchange,
                                        Index backend, bool is_complete) {
  if (!node_.directory_.is_still_running(backend, exchange.target().instance_id)) return;
  node_.balancer_.forwarded_answer_ended(backend, context.workload_entry.workload_handle.workload,
                                         is_complete);
}

// Forwards an answer as it arrives, because the answer is too long to be buffered or arrives slowly. What the
// backend still sends is never cut. If the answer breaks, the client can see that it is incomplete, even
// if this process is killed.
bool ClientConnection::forward_answer(const InvocationContext& context, Exchange& exchange, Index backend,
                                      bool keep_open) {
  const Response& r = exchange.answer();
  const bool has_length = exchange.remaining_body().framing() == Framing::length;
  const bool is_chunked = !has_length && !context.request.is_http_1_0;
  const bool ends_at_close = !has_length && !is_chunked;
  keep_open = keep_open && !ends_at_close;
  ++node_.counters_.answers_flowed;
  AnswerBody& kept = exchange.kept_body();
  const std::size_t kept_bytes = kept.size();
  std::string head = has_length
                         ? format_response_head(200, r.content_type,
                                                kept_bytes + exchange.remaining_body().left(), keep_open)
                         : format_streamed_head(r.content_type, is_chunked, keep_open);
  trace_forwarding(context, "begins",
                   kFramingNames[static_cast<std::size_t>(exchange.remaining_body().framing())], kept_bytes);
  if (ends_at_close) set_reset_on_close(true);
  std::size_t forwarded_bytes = 0;
  const TimePoint started_at = TimePoint::clock::now();
  TimePoint last_piece_at = started_at, last_wait_ended_at = started_at;
  // What has to be written before the next piece of the body: the head, or the end of the chunk before.
  std::string before_piece = std::move(head);
  const auto forward = [&](const std::string& piece) {
    if (is_chunked && !piece.empty()) before_piece += fmt::format("{:x}\r\n", piece.size());
    forwarded_bytes += piece.size();
    return write(std::exchange(before_piece, is_chunked && !piece.empty() ? "\r\n" : ""), piece);
  };
  ReadResult read_result = ReadResult::whole;
  bool is_client_reading = true;
  if (kept.empty()) is_client_reading = forward("");
  for (; is_client_reading && !kept.empty(); kept.pop_front()) is_client_reading = forward(kept.front());
  std::string piece;
  while (is_client_reading && read_result == ReadResult::whole && !exchange.remaining_body().whole()) {
    piece.clear();
    read_result = next_answer_piece(context, exchange, piece);
    last_wait_ended_at = TimePoint::clock::now();
    if (read_result != ReadResult::whole) break;
    last_piece_at = last_wait_ended_at;
    is_client_reading = piece.empty() || forward(piece);
  }
  bool is_complete = is_client_reading && read_result == ReadResult::whole;
  if (is_complete && is_chunked) is_complete = is_client_reading = write(before_piece + "0\r\n\r\n", "");
  const std::string_view outcome =
      is_client_reading ? kReadResultNames[static_cast<std::size_t>(read_result)] : "client_gone";
  trace_forwarding(context, "ends", outcome, forwarded_bytes);
  const bool was_ended_by_stop =
      read_result == ReadResult::late && last_wait_ended_at >= node_.answer_deadline_.load();
  if (is_client_reading && !was_ended_by_stop) report_forwarded(context, exchange, backend, is_complete);
  exchange.release_connection();
  ++(is_complete ? context.workload_entry.answers->succeeded : context.workload_entry.answers->given_up);
  if (is_complete && ends_at_close) set_reset_on_close(false);
  if (is_complete) return keep_open;
  note_cut_answer(context, outcome, started_at, last_piece_at, forwarded_bytes);
  ++node_.counters_.answers_cut;
  close_reason_ = CloseReason::answer_cut;
  is_reset_on_close_ = ends_at_close;
  return false;
}

// Runs a hand-off on the thread that serves the client: waking another thread for each hand-off, and being
// woken by it, cost so much processor time that a node that carried the load of two nodes reached its
// processor limit. Instructions that come up meanwhile are carried out by the thread that causes them; a
// hedge gets a thread of its own.
void ClientConnection::hand_off(const std::shared_ptr<InvocationContext>& context,
                                const core::Instruction& instruction) {
  const std::function<void()> run = prepare_hand_off(node_, context, instruction);
  // A hand-off that can't be cancelled may outlast the invocation, so this thread stays free to answer.
  if (!context->request_config->may_cancel) {
    if (!run || !node_.hand_off_threads_.run(run))
      finish_hand_off(node_, *context, instruction.number, ExchangeResult::no_room);
    return;
  }
  node_.balancer_.set_urgent_handler(
      context->handle, [&node = node_, captured = std::weak_ptr(context)](const core::Instruction& urgent) {
        const auto live_context = captured.lock();
        if (!live_context) return false;
        if (urgent.what == core::InstructionKind::cancel) return cancel(*live_context, urgent.number), true;
        const std::function<void()> hedge = prepare_hand_off(node, live_context, urgent);
        if (hedge && node.hand_off_threads_.run(hedge)) return true;
        node.counters_.count(ExchangeResult::no_room);
        return false;
      });
  if (run) run();
  else finish_hand_off(node_, *context, instruction.number, ExchangeResult::no_room);
}

// Counts and logs a streamed body that was not sent whole to its backend. Times are milliseconds until now.
void ClientConnection::note_unsent_body(Node& node, const InvocationContext& context, int number,
                                        ExchangeResult result) {
  const StreamedBody& body = *context.streamed_body;
  if (body.sent_at() != TimePoint()) return;
  ++node.counters_.bodies_unsent;
  const TimePoint now = TimePoint::clock::now();
  log::event("body_unsent", {{"transaction", std::string_view(context.request.transaction)},
                             {"number", std::int64_t{number}},
                             {"ended", kExchangeResultNames[static_cast<std::size_t>(result)]},
                             {"left", std::uint64_t{body.remaining_body().left()}},
                             {"limit_ms", context.request.remaining_ms},
                             {"unwritten_ms", milliseconds_between(body.unwritten_until(), now)},
                             {"held_ms", milliseconds_between(context.seen_at, now)}});
}

// Counts how a hand-off ended and reports the end to the balancer. `is_partial`: its answer is forwarded
// before it is complete.
void ClientConnection::finish_hand_off(Node& node, const InvocationContext& context, int number,
                                       ExchangeResult result, bool is_partial) {
  node.counters_.count(result);
  const Ending ending = classify_result(result);
  const bool never_ran =
      ending == Ending::turned_away || ending == Ending::unreachable || ending == Ending::never_sent;
  if (!never_ran) context.transaction->keep_for(context.workload_entry.id_keep_time);
  core::Balancer::HandOffDetails details;
  details.is_partial = is_partial;
  // The time that the client took to send its body says nothing about the backend.
  if (context.has_streaming_body) {
    note_unsent_body(node, context, number, result);
    const StreamedBody& body = *context.streamed_body;
    const auto since = TimePoint::clock::now() - body.sent_at();
    details.is_body_consumed = body.is_partly_consumed();
    details.elapsed = body.sent_at() == TimePoint()
                          ? 0
                          : std::chrono::duration_cast<std::chrono::microseconds>(since).count() / 100;
  }
  node.balancer_.report(context.handle, number, ending, details);
}

// Logs one hand-off, so that a request can be followed through the nodes. Times are milliseconds since a
// thread of this node began the hand-off.
void ClientConnection::trace_hand_off(const InvocationContext& context, int number, const Target& target,
                                      TimePoint started_at, const Exchange& exchange, ExchangeResult result) {
  if (!log::wanted(log::Level::debug)) return;
  const auto since = [started_at](TimePoint when) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(when - started_at).count();
  };
  log::event("hand_off",
             {{"transaction", std::string_view(context.request.transaction)},
              {"number", std::int64_t{number}},
              {"to", std::string_view(address_text(target.address))},
              {"first_byte",
               exchange.first_byte_at() == TimePoint() ? std::int64_t{-1} : since(exchange.first_byte_at())},
              {"over", since(TimePoint::clock::now())},
              {"ended", kExchangeResultNames[static_cast<std::size_t>(result)]}},
             log::Level::debug);
  if (context.streamed_body) trace_streamed_body(context, number, started_at);
}

// Times are milliseconds since the hand-off began; -1: not yet.
void ClientConnection::trace_streamed_body(const InvocationContext& context, int number,
                                           TimePoint started_at) {
  const StreamedBody& body = *context.streamed_body;
  const bool is_sent = body.sent_at() != TimePoint();
  log::event("body_times",
             {{"transaction", std::string_view(context.request.transaction)},
              {"number", std::int64_t{number}},
              {"arrived", milliseconds_between(started_at, context.arrived)},
              {"unwritten_until", milliseconds_between(started_at, body.unwritten_until())},
              {"sent", is_sent ? milliseconds_between(started_at, body.sent_at()) : std::int64_t{-1}}},
             log::Level::debug);
}

// Counts and logs a long answer that had begun to arrive and is not passed on, so that one that its backend
// was still writing can be told from one that had stopped. Times are milliseconds since the request's first
// bytes were seen.
void ClientConnection::note_dropped_answer(Node& node, const InvocationContext& context, int number,
                                           const Target& target, const Exchange& exchange,
                                           ExchangeResult result) {
  const AnswerRecord& record = exchange.answer_record();
  const Body& rest = exchange.remaining_body();
  const bool is_known_short =
      rest.framing() == Framing::length && record.received_bytes + rest.left() <= kMaxShortAnswerBytes;
  if (record.head_at == TimePoint() || is_known_short || rest.whole()) return;
  ++node.counters_.answers_dropped;
  const auto since_seen = [&context](TimePoint when) {
    return when == TimePoint() ? std::int64_t{-1} : milliseconds_between(context.seen_at, when);
  };
  log::event("answer_dropped", {{"transaction", std::string_view(context.request.transaction)},
                                {"number", std::int64_t{number}},
                                {"from", std::string_view(address_text(target.address))},
                                {"ended", kExchangeResultNames[static_cast<std::size_t>(result)]},
                                {"framing", kFramingNames[static_cast<std::size_t>(rest.framing())]},
                                {"bytes", std::uint64_t{record.received_bytes}},
                                {"left", std::uint64_t{rest.left()}},
                                {"limit_ms", context.request.remaining_ms},
                                {"head_ms", since_seen(record.head_at)},
                                {"last_piece_ms", since_seen(record.last_piece_at)},
                                {"dropped_ms", since_seen(TimePoint::clock::now())}});
}

// Whether the client still waits for an answer. Checked right before the first byte of a hand-off is sent: if
// hand-offs can't be cancelled, a hand-off whose connection is slow to be established would otherwise be sent
// long after its client has gone or has its answer. The disconnect monitor has a thread of its own, which may
// not have run yet.
bool ClientConnection::is_still_wanted(Node& node, const InvocationContext& context) {
  if (node.balancer_.is_answered(context.handle)) return false;
  if (context.client_socket < 0) return true;
  bool has_closed = false;
  const bool is_open =
      context.client_access.with_connection([&] { has_closed = peer_has_closed(context.client_socket); });
  if (is_open && !has_closed) return true;
  node.balancer_.client_gone(context.handle);
  return false;
}

// Returns the function that runs the hand-off and reports how it ended, or nothing if the hand-off can't be
// started.
std::function<void()> ClientConnection::prepare_hand_off(Node& node,
                                                         const std::shared_ptr<InvocationContext>& context,
                                                         const core::Instruction& instruction) {
  ++node.counters_.handed_off;
  try {
    const auto exchange = std::make_shared<Exchange>(node.pool_, node.counters_, node.memory_,
                                                     context->request_config->connect_timeout);
    context->exchanges.resize(static_cast<std::size_t>(instruction.number) + 1);
    context->exchanges.back() = exchange;
    context->backends.resize(context->exchanges.size(), kNone);
    context->backends.back() = instruction.backend;
    const auto target = node.directory_.find(instruction.backend);
    if (!target) return {};
    SendConditions conditions;
    if (instruction.begin_by != INT64_MAX) conditions.send_by = node.clock_.at(instruction.begin_by);
    conditions.may_send = [&node, context, backend = instruction.backend, instance_id = target->instance_id] {
      return node.directory_.is_still_running(backend, instance_id) && is_still_wanted(node, *context);
    };
    conditions.ends_by = [&node] { return node.answer_deadline_.load(); };
    conditions.is_client_waiting = [&node, context] { return is_still_wanted(node, *context); };
    conditions.body_sent = [&node, context, number = instruction.number] {
      node.balancer_.body_sent(context->handle, number);
    };
    conditions.answer_progressed = [&node, context, number = instruction.number](auto expected_within) {
      using std::chrono::duration_cast, std::chrono::microseconds;
      if (!expected_within) return node.balancer_.answer_begun(context->handle, number);
      const auto us = duration_cast<microseconds>(*expected_within).count();
      node.balancer_.answer_progressed(context->handle, number, us / 100);
    };
    conditions.answer_paused = [&node, context, number = instruction.number] {
      ++node.counters_.answers_paused;
      log::event(
          "answer_paused",
          {{"transaction", std::string_view(context->request.transaction)}, {"number", std::int64_t{number}}},
          log::Level::debug);
      node.balancer_.answer_paused(context->handle, number);
    };
    return [=, &node, number = instruction.number, until = node.clock_.at(instruction.until)] {
      const TimePoint started_at = TimePoint::clock::now();
      // An exception does not show how far the hand-off came, so the backend may have run it.
      ExchangeResult result = ExchangeResult::cut_after_sent;
      try {
        result = exchange->run(context->request, *target, until,
                               context->has_streaming_body ? &*context->streamed_body : nullptr, conditions);
      } catch (const std::exception& failure) {
        log::error("exchange: {}", failure.what());
      }
      trace_hand_off(*context, number, *target, started_at, *exchange, result);
      if (result != ExchangeResult::answered)
        note_dropped_answer(node, *context, number, *target, *exchange, result);
      const bool is_partial = result == ExchangeResult::answered && !exchange->remaining_body().whole();
      finish_hand_off(node, *context, number, result, is_partial);
    };
  } catch (const std::exception& failure) {
    log::error("hand-off: {}", failure.what());
    return {};
  }
}

// Observes how much of its answer the client has taken. `accepted_bytes`: what the system has accepted of it.
void ClientConnection::observe_reading(std::uint64_t accepted_bytes) {
  const auto state = send_state(fd_.get());
  reading_.observe(TimePoint::clock::now(), state ? state->acknowledged_bytes : accepted_bytes,
                   state ? state->peer_window : kAssumedClientWindow);
}

// Writes an answer or a part of an answer, at the pace at which the client reads. False: the client stopped
// reading or closed, or this node has to end before the client has read on; the connection is over.
bool ClientConnection::write(std::string head, std::string_view body) {
  const TimePoint now = TimePoint::clock::now();
  arrival_.no_bytes_until(now);
  reading_.start(now);
  observe_reading(written_bytes_);
  const std::size_t size = head.size() + body.size();
  const IoResult io =
      write_head_and_body(fd_.get(), std::move(head), body, [this](std::size_t accepted_bytes) {
        observe_reading(written_bytes_ + accepted_bytes);
        return std::min(reading_.limit(), node_.answer_deadline_.load());
      });
  written_bytes_ += size;
  if (io == IoResult::done) return note_empty_after_write(now), true;
  ++node_.counters_.answers_unread;
  close_reason_ = CloseReason::answer_cut;
  return false;
}

// A client that reads its answer slowly sends its next request after the end of the answer, not after its
// start. So the socket is checked again after a long write.
void ClientConnection::note_empty_after_write(TimePoint write_started_at) {
  const TimePoint now = TimePoint::clock::now();
  if (now - write_started_at <= core::ArrivalEstimate::kCheckInterval) return;
  if (is_open_and_empty(fd_.get())) arrival_.no_bytes_until(now);
}

// Writes a whole answer of this node's own. False: the connection is over.
bool ClientConnection::reply(int status, std::string_view text, bool keep_alive, std::string_view headers) {
  return write(format_response_head(status, kTextPlain, text.size(), keep_alive, headers), text) &&
         keep_alive;
}

}  // namespace troutstage::net
