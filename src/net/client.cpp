#include "net/client.h"

#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <deque>

#include "log/log.h"
#include "net/system_times.h"

namespace troutstage::net {
namespace {

// From its first byte to its last; the first one from the connecting on, which is when a client's patience
// with an answer to what can't be read begins.
constexpr std::chrono::milliseconds kMaxHeadTime{2500}, kMaxBodyTime{2700};
constexpr std::chrono::milliseconds kBodyPieceTimeout{2000};  // of a body, whatever came before
constexpr std::chrono::seconds kWriteTimeout{5};        // takes a piece of an answer
constexpr std::chrono::milliseconds kLatePauseLimit{1000};  // of an answer that goes on after its client's limit
constexpr std::chrono::milliseconds kStopCheckInterval{50};          // how often one that waits for more looks for a stop
constexpr std::size_t kMaxWriteBytes = 64 * 1024;                  // of an answer, within kSlowestReader
constexpr std::chrono::milliseconds kNextRequestWait{2};  // a client that is answered and asks at once does it sooner
constexpr std::size_t kMaxDiscardedBytes = 64 << 20;
constexpr TenthsOfMs kTenthsPerMs = 10;
constexpr std::chrono::milliseconds kLateReadThreshold{20};  // counted and logged from here on
constexpr std::chrono::milliseconds kNearLimit{100};  // a client that leaves so long before its limit, or later, is logged
constexpr std::string_view kTextPlain = "text/plain";
constexpr std::array<std::string_view, 6> kInstructionNames = {"hand_off", "recall", "succeeded", "rejected", "given_up", "gone"};  // of core::Next

std::int64_t milliseconds_between(TimePoint from, TimePoint to) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
}

// Counts an invocation as open for as long as it lives.
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
  explicit InvocationContext(Node& node) : bytes(node.bytes_), request_config(node.request_config()) {}
  BodyBytesBudget::Reservation bytes;
  const std::shared_ptr<const RequestConfig> request_config;  // those that it came under, to its end
  Offer offer;
  Request request;
  StreamedBody flow;           // where its body is not whole
  bool has_streaming_body = false;  // the same
  std::optional<OpenTransactions::ScopedTransaction> open;
  TimePoint arrived;                    // its last byte, as far as is known: its client's time runs from there
  TimePoint no_bytes_until, seen, read;  // the last look that found nothing of it, the first that found it, its reading
  bool by_system = false;            // what `arrived` is taken from; else from the looks at its connection
  std::optional<std::chrono::milliseconds> reported_ago;  // what the system said then: how long ago the last bytes came
  TimePoint client_limit;                     // until when its client waits for its answer
  core::InvocationHandle ticket;
  int client_socket = -1;  // open until the answer is final; -1: its end can't be told from one made here
  // By number. The client's thread changes it, and while that is busy whoever has the balancer's lock.
  std::deque<std::shared_ptr<Exchange>> exchanges;
};

ClientConnection::ClientConnection(Node& node, Fd fd, bool has_place, const core::ArrivalEstimate& arrival)
    : node_(node),
      id_(node.connections_.fetch_add(1) + 1),
      fd_(std::move(fd)),
      arrival_(arrival),
      reader_(fd_.get(), arrival_),
      is_within_budget_(has_place) {
  node_.connection_opened(is_within_budget_);
}
// Nobody may know the descriptor any more when it is closed: its number is soon another connection's.
ClientConnection::~ClientConnection() {
  ++node_.counters_.closed[static_cast<std::size_t>(close_reason_)];
  if (log::wanted(log::Level::debug))
    log::event("connection_closed", {{"connection", id_}, {"why", kCloseReasonNames[static_cast<std::size_t>(close_reason_)]}, {"answers", std::uint64_t{answered_count_}},
                                     {"open_ms", std::int64_t{std::chrono::duration_cast<std::chrono::milliseconds>(TimePoint::clock::now() - connected_).count()}}},
               log::Level::debug);
  fd_.reset();
  if (answered_count_ >= 2) --node_.reused_connections_;
  node_.connection_closed(is_within_budget_);
}

// One that was rejected and asks again at once is served on by the same thread: each way through the lobby
// costs more than a rejection, and thousands of them a second were all that a node could do.
std::optional<IdleConnections::WaitsFor> ClientConnection::serve() {
  for (;;) {
    was_rejected_ = false;
    close_reason_ = CloseReason::by_client;
    const auto wait = serve_one();
    const bool stays = wait == IdleConnections::WaitsFor::second_request || wait == IdleConnections::WaitsFor::next_request;
    if (!stays || !was_rejected_ || wait_readable(fd_.get(), TimePoint::clock::now() + kNextRequestWait) != IoResult::done)
      return wait;
    arrival_.found_bytes(TimePoint::clock::now());
  }
}

std::optional<IdleConnections::WaitsFor> ClientConnection::serve_one() {
  const auto work = std::make_shared<InvocationContext>(node_);
  BadRequest bad;
  {
    Node::ActiveRead reading(node_, fd_.get());
    const TimePoint begun = std::exchange(is_first_request_, false) ? connected_ : TimePoint::clock::now();
    auto request = read_request_head(reader_, begun + kMaxHeadTime, bad);
    if (!request) return refuse(attribute_cut(reading, bad));
    work->request = std::move(*request);
    Request& r = work->request;
    if (!is_node_path(r) && !wanted(*work, bad)) return refuse(bad);
    // It comes as fast as is promised, or its sender is let go.
    const auto limit = [&] {
      const auto earned = std::chrono::milliseconds(static_cast<std::int64_t>(r.body.size()) * 2 / kMinBytesPerMs);
      return std::min(TimePoint::clock::now() + kBodyPieceTimeout, begun + kMaxBodyTime + earned);
    };
    if (!read_body(reader_, r, bad, limit, [&](std::size_t size) { return work->bytes.take(size); })) {
      if (bad.cause == RequestError::no_room && work->offer.answers) ++work->offer.answers->rejected;
      return refuse(attribute_cut(reading, bad));
    }
    work->has_streaming_body = !r.remaining_body.whole();
    note_times(*work);
    if (work->read - work->arrived >= kLateReadThreshold) note_late_reading(*work);
    // Where this node has ended the reading itself, to make room, that looks like a client that has gone: a
    // request that crossed it was then lost.
    can_detect_disconnect_ = !reading.was_aborted();
    may_keep_alive_ = can_detect_disconnect_ && is_within_budget_ && !work->has_streaming_body;
  }
  // A connection carries one request at a time: what is sent ahead of an answer is no usual client's.
  if (!work->has_streaming_body && reader_.has_buffered_bytes()) return refuse({400, RequestError::ahead});
  if (answer(work, node_.clock_.to_ticks(work->arrived))) {
    reader_.release_buffer();
    if (++answered_count_ == 2) ++node_.reused_connections_;
    return answered_count_ >= 2 ? IdleConnections::WaitsFor::next_request : IdleConnections::WaitsFor::second_request;
  }
  if (is_reset_on_close_) return std::nullopt;
  if (close_reason_ == CloseReason::by_client) close_reason_ = CloseReason::last_answer;
  // What is still unread would turn the closing into a reset, and that could overtake the answer.
  ::shutdown(fd_.get(), SHUT_WR);
  return IdleConnections::WaitsFor::peer_close;
}

// What this node has ended the reading of, to make room or since it stops, looks as if its client had ended it. That waits
// for an answer, and nothing was handed off.
BadRequest ClientConnection::attribute_cut(const Node::ActiveRead& reading, const BadRequest& bad) {
  return bad.cause == RequestError::cut && reading.was_aborted() ? BadRequest{503, RequestError::reading_ended} : bad;
}

std::optional<IdleConnections::WaitsFor> ClientConnection::refuse(const BadRequest& bad) {
  if (bad.cause == RequestError::none) return std::nullopt;  // it just closed
  if (bad.cause == RequestError::no_room) ++node_.counters_.turned_off_full;
  else ++node_.counters_.bad[static_cast<std::size_t>(bad.cause)];
  const std::string_view why = kRequestErrorNames[static_cast<std::size_t>(bad.cause)];
  log::event("bad_request", {{"connection", id_}, {"why", why}}, log::Level::debug);
  if (bad.status == 0) return std::nullopt;
  close_reason_ = CloseReason::bad_request;
  // What follows on this connection can't be told apart any more, or would be the same again at once.
  reply(bad.status, fmt::format("{}\n", why), false);
  ::shutdown(fd_.get(), SHUT_WR);
  return IdleConnections::WaitsFor::peer_close;
}

void ClientConnection::reject_unread() {
  ++node_.counters_.turned_off_full;
  write_all(fd_.get(), format_response_head(503, kTextPlain, 0, false), TimePoint::clock::now());
  ::shutdown(fd_.get(), SHUT_WR);
}

bool ClientConnection::discard_unread() {
  const IoResult io = net::discard_unread(fd_.get(), discarded_bytes_);
  return (io == IoResult::done || io == IoResult::late) && discarded_bytes_ < kMaxDiscardedBytes;
}

bool ClientConnection::is_node_path(const Request& request) {
  return request.target == kReadyPath || request.target == kCountersPath;
}

// Whether it is what a usual client sends: the method follows from what a repeat would do.
bool ClientConnection::wanted(InvocationContext& work, BadRequest& bad) {
  const Request& request = work.request;
  const auto refused = [&](int status, RequestError cause) { return bad = {status, cause}, false; };
  const auto workload = work.request_config->workloads.find(request.workload);
  if (workload == work.request_config->workloads.end()) return refused(404, RequestError::no_workload);
  work.offer = workload->second;
  const Semantics semantics = work.offer.semantics;
  const bool reads = semantics == Semantics::idempotent;
  if (request.method != (reads ? "GET" : "POST")) return refused(405, RequestError::wrong_method);
  if (reads && !request.remaining_body.whole()) return refused(400, RequestError::body_of_get);
  if (request.remaining_ms < 0) return refused(400, RequestError::no_limit);
  if (semantics == Semantics::idempotency_keyed && !request.has_idempotency_key) return refused(400, RequestError::no_label);
  return true;
}

// Answers a request; false: the connection is over.
bool ClientConnection::answer(const std::shared_ptr<InvocationContext>& work, TenthsOfMs arrived) {
  const Request& request = work->request;
  const bool keep = request.keep_alive && may_keep_alive_ && !node_.closes_connections_after_answer();
  if (request.target == kReadyPath)
    return node_.ready() ? reply(200, "up\n", keep) : reply(503, "not up\n", keep);
  if (request.target == kCountersPath) return reply(200, node_.counters_text(), keep);
  if (!is_within_budget_) {  // nothing was handed off
    ++work->offer.answers->rejected;
    return refuse({503, RequestError::no_room}), false;
  }
  if (node_.needs_idle_connections()) {
    ++work->offer.answers->rejected;
    return ++node_.counters_.turned_off_stopping, reply(503, "stopping\n", keep);
  }
  // Handed off once more, it would be a second copy of what another client waits for.
  work->open.emplace(node_.open_transactions_, request.transaction);
  if (!work->open->is_new()) return refuse({409, RequestError::id_open}), false;
  return invoke(work, arrived);
}

bool ClientConnection::invoke(const std::shared_ptr<InvocationContext>& work, TenthsOfMs arrived) {
  const Request& request = work->request;
  core::IncomingInvocation demand;
  demand.workload = work->offer.workload_handle.workload;
  demand.workload_reference = work->offer.workload_handle.workload_reference;
  const auto tenant = work->request_config->tenants.find(request.tenant);
  if (tenant != work->request_config->tenants.end()) demand.tenant = tenant->second;
  demand.arrived = arrived;
  demand.valid_until = arrived + request.remaining_ms * kTenthsPerMs;
  work->client_limit = node_.clock_.at(demand.valid_until);
  if (work->has_streaming_body) {
    ++node_.counters_.bodies_flowed;
    // Its client's time runs from its last byte, which may be as long in coming as is promised.
    const auto left = static_cast<std::int64_t>(
        request.remaining_body.framing() == Framing::length ? request.remaining_body.left() : kMaxBodyBytes);
    demand.valid_until += (left / kMinBytesPerMs + kBodyPieceTimeout.count()) * kTenthsPerMs;
    demand.has_streaming_body = true;
    work->flow.remaining_body = &work->request.remaining_body;
    work->flow.remaining_ms = request.remaining_ms - 20;
    work->flow.next = [this, mine = work.get()](std::string& piece) { return next_body_piece(*mine, piece); };
  }
  demand.hint = request.hint_micros / 100;
  demand.is_client_retry = request.is_client_retry;
  const bool wants_more = request.keep_alive && may_keep_alive_;
  ++node_.counters_.taken;
  const OpenInvocationCount open(node_.counters_.open);
  const core::InvocationHandle& ticket = work->ticket;
  try {
    if (can_detect_disconnect_) work->client_socket = fd_.get();
    work->ticket = node_.balancer_.accept(demand);
    std::optional<DisconnectMonitor::ScopedMonitor> vigil;
    if (can_detect_disconnect_ && !node_.balancer_.is_answered(ticket)) vigil.emplace(node_.disconnect_monitor_, fd_.get(), ticket);
    for (;;) {
      const core::Instruction step = node_.balancer_.next_instruction(ticket);
      if (step.what == core::InstructionKind::hand_off) hand_off(work, step);
      else if (step.what == core::InstructionKind::cancel) cancel(*work, step.number);
      else return trace_answer(*work, kInstructionNames[static_cast<std::size_t>(step.what)], arrived), end(*work, step, wants_more && !node_.closes_connections_after_answer());
    }
  } catch (const std::exception& broke) {  // ends this invocation, with an answer that promises nothing
    log::error("invocation: {}", broke.what());
    ++node_.counters_.broke_inside;
    ++work->offer.answers->given_up;
    if (ticket) node_.balancer_.client_gone(ticket);
    return reply(500, "broke inside\n", false);
  }
}

void ClientConnection::cancel(const InvocationContext& work, int number) {
  const auto n = static_cast<std::size_t>(number);
  if (n < work.exchanges.size() && work.exchanges[n]) work.exchanges[n]->cancel();
}

// One request's end, for who follows it by its transaction through connection, hand-offs and answer.
void ClientConnection::trace_answer(const InvocationContext& work, std::string_view how, TenthsOfMs arrived) const {
  if (!log::wanted(log::Level::debug)) return;
  log::event("answered", {{"transaction", std::string_view(work.request.transaction)}, {"connection", id_}, {"how", how},
                          {"hand_offs", std::uint64_t{work.exchanges.size()}}, {"held_ms", std::int64_t{(node_.clock_.now() - arrived) / kTenthsPerMs}},
                          {"told_ms", work.request.remaining_ms},
                          {"read_late_ms", milliseconds_between(work.arrived, work.read)}},
             log::Level::debug);
}

// When the last byte came of what has just been read: within what the looks at the connection allow, by the system's word
// where that was seen to be true. The clock is read before the system is asked, so that a pause in between makes no request younger.
ClientConnection::LastByte ClientConnection::last_byte() const {
  const TimePoint now = TimePoint::clock::now();
  const auto since = time_since_last_receive(fd_.get());
  if (since) node_.request_system_time_check();
  const bool by_system = since && node_.trusts_system_times_;
  return {by_system ? arrival_.arrival_by_system_time(now - *since) : arrival_.arrival(), by_system, since};
}

// Where less of a body is unread than its rest, the last byte has not come. A sender that is faster than its backend
// leaves something unread at every look, which would all count as come with the first.
void ClientConnection::note_rest_unsent(const Body& remaining_body) {
  const TimePoint now = TimePoint::clock::now();
  const auto unread = unread_byte_count(fd_.get());
  if (unread && *unread + reader_.buffered_bytes() < remaining_body.left()) arrival_.no_bytes_until(now);
}

// The next piece of a body that flows. Its client's time runs from the last byte, whenever that is passed on.
ReadResult ClientConnection::next_body_piece(InvocationContext& work, std::string& piece) {
  note_rest_unsent(work.request.remaining_body);
  const ReadResult got = work.request.remaining_body.next(reader_, TimePoint::clock::now() + kBodyPieceTimeout, piece);
  if (work.request.remaining_body.whole()) work.flow.last_byte_at = last_byte().came;
  return got;
}

void ClientConnection::note_times(InvocationContext& work) {
  const LastByte last = last_byte();
  work.arrived = last.came;
  work.by_system = last.by_system;
  work.reported_ago = last.reported_ago;
  work.no_bytes_until = arrival_.earliest();
  work.seen = arrival_.latest();
  work.read = TimePoint::clock::now();
  ++(work.by_system ? node_.counters_.arrivals_by_system : node_.counters_.arrivals_by_looks);
  if (!work.reported_ago) return;
  const TimePoint told = work.read - *work.reported_ago;
  if (told < work.no_bytes_until - kSystemTimesTolerance || told > arrival_.last_bytes_found_at() + kSystemTimesTolerance) note_contradiction(work);
}

// The system's word does not fit what the looks at the connection found.
void ClientConnection::note_contradiction(const InvocationContext& work) {
  ++node_.counters_.system_times_contradicted;
  log::event("system_time_contradicted", {{"transaction", std::string_view(work.request.transaction)}, {"told_ago_ms", std::int64_t{work.reported_ago->count()}},
                                          {"nothing_ago_ms", milliseconds_between(work.no_bytes_until, work.read)},
                                          {"seen_ago_ms", milliseconds_between(work.seen, work.read)}},
             log::Level::debug);
}

void ClientConnection::note_late_reading(const InvocationContext& work) {
  ++node_.counters_.read_late;
  log::event("read_late", {{"transaction", std::string_view(work.request.transaction)}, {"ms", milliseconds_between(work.arrived, work.read)}},
             log::Level::debug);
}

// A client that leaves about when its limit has passed may have waited in vain. Times are milliseconds since what was
// taken for its request's last byte.
void ClientConnection::note_disconnect(const InvocationContext& work) const {
  const auto since_arrival = [&work](TimePoint when) { return milliseconds_between(work.arrived, when); };
  const TimePoint now = TimePoint::clock::now();
  if (work.has_streaming_body || now < work.client_limit - kNearLimit) return;
  ++node_.counters_.left_at_limit;
  log::event("left_at_limit", {{"transaction", std::string_view(work.request.transaction)}, {"connection", id_},
                               {"answers", std::uint64_t{answered_count_}}, {"hand_offs", std::uint64_t{work.exchanges.size()}},
                               {"limit_ms", work.request.remaining_ms}, {"left_ms", since_arrival(now)},
                               {"read_ms", since_arrival(work.read)}, {"seen_ms", since_arrival(work.seen)},
                               {"nothing_ms", since_arrival(work.no_bytes_until)}, {"accepted_ms", since_arrival(connected_)},
                               {"told_ago_ms", work.reported_ago ? std::int64_t{work.reported_ago->count()} : std::int64_t{-1}},
                               {"by", work.by_system ? std::string_view("system") : std::string_view("looks")}});
}

// The two ends of an answer that goes on as it comes.
void ClientConnection::trace_flow(const InvocationContext& work, std::string_view stage, std::string_view how, std::size_t bytes) {
  log::event("answer_flows", {{"transaction", std::string_view(work.request.transaction)}, {"stage", stage}, {"how", how}, {"bytes", std::uint64_t{bytes}}},
             log::Level::debug);
}

// An answer that broke after it had begun to go on to its client. Times are milliseconds since the request's last byte.
void ClientConnection::note_cut_answer(const InvocationContext& work, std::string_view why, TimePoint begun, TimePoint last_piece, std::size_t bytes) {
  const auto since_arrival = [&work](TimePoint when) { return milliseconds_between(work.arrived, when); };
  log::event("answer_cut", {{"transaction", std::string_view(work.request.transaction)}, {"why", why}, {"bytes", std::uint64_t{bytes}},
                            {"limit_ms", work.request.remaining_ms}, {"begun_ms", since_arrival(begun)},
                            {"last_piece_ms", since_arrival(last_piece)}, {"cut_ms", since_arrival(TimePoint::clock::now())}});
}

// Writes an invocation's one answer.
bool ClientConnection::end(const InvocationContext& work, const core::Instruction& step, bool keep) {
  if (step.what == core::InstructionKind::gone) return ++node_.counters_.client_gone, note_disconnect(work), false;
  if (step.what == core::InstructionKind::succeeded) {
    ++node_.counters_.succeeded;
    Exchange& exchange = *work.exchanges.at(static_cast<std::size_t>(step.number));
    if (!exchange.remaining_body().whole()) return forward_answer(work, exchange, keep);
    const Response& r = exchange.answer();
    ++work.offer.answers->succeeded;
    return write(format_response_head(200, r.content_type, r.body.size(), keep), r.body) && keep;
  }
  if (step.what == core::InstructionKind::give_up) {
    ++node_.counters_.given_up;
    ++work.offer.answers->given_up;
    return reply(502, "given up\n", keep);
  }
  ++node_.counters_.rejected;
  ++work.offer.answers->rejected;
  was_rejected_ = true;
  const auto retry = fmt::format("Retry-After: {:.4f}\r\n", static_cast<double>(step.retry_in) / 1e4);
  return reply(503, "rejected\n", keep, step.retry_in > 0 ? retry : "");
}

// The next piece of an answer that goes on. A backend that pauses is waited for until its client's limit, after that
// for a while each time; no longer than this node has once it was told to end.
ReadResult ClientConnection::next_answer_piece(const InvocationContext& work, Exchange& exchange, std::string& piece) {
  const TimePoint limit = std::max(work.client_limit, TimePoint::clock::now() + kLatePauseLimit);
  for (;;) {
    const TimePoint now = TimePoint::clock::now();
    const ReadResult got = exchange.next(std::min(limit, now + kStopCheckInterval), piece);
    if (got != ReadResult::late || TimePoint::clock::now() >= limit || TimePoint::clock::now() >= node_.answer_deadline_.load()) return got;
  }
}

// Whether a close of the client's connection looks like an end of its answer, so that only a reset tells a break.
void ClientConnection::set_reset_on_close(bool resets) {
  const linger option{resets ? 1 : 0, 0};
  ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

// An answer too long to keep, or that is slow but goes on. What still comes is never cut; where it breaks its client can
// tell that it is not whole, also where this process is killed.
bool ClientConnection::forward_answer(const InvocationContext& work, Exchange& exchange, bool keep) {
  const Response& r = exchange.answer();
  const bool has_length = exchange.remaining_body().framing() == Framing::length;
  const bool in_chunks = !has_length && !work.request.is_http_1_0;
  const bool ends_by_close = !has_length && !in_chunks;
  keep = keep && !ends_by_close;
  ++node_.counters_.answers_flowed;
  std::string head = has_length ? format_response_head(200, r.content_type, r.body.size() + exchange.remaining_body().left(), keep)
                                : format_streamed_head(r.content_type, in_chunks, keep);
  const auto framed = [&](std::string_view piece) {
    return in_chunks ? fmt::format("{:x}\r\n{}\r\n", piece.size(), piece) : std::string(piece);
  };
  trace_flow(work, "begins", kFramingNames[static_cast<std::size_t>(exchange.remaining_body().framing())], r.body.size());
  if (ends_by_close) set_reset_on_close(true);
  std::size_t passed = r.body.size();
  const TimePoint begun = TimePoint::clock::now();
  TimePoint last_piece = begun;
  ReadResult got = ReadResult::whole;
  bool taken = write(std::move(head), r.body.empty() ? "" : framed(r.body));  // by the client
  for (std::string piece; taken && got == ReadResult::whole && !exchange.remaining_body().whole(); piece.clear()) {
    got = next_answer_piece(work, exchange, piece);
    if (got == ReadResult::whole) last_piece = TimePoint::clock::now();
    taken = got != ReadResult::whole || piece.empty() || write("", framed(piece));
    passed += piece.size();
  }
  bool whole = taken && got == ReadResult::whole;
  if (whole && in_chunks) whole = taken = write("", "0\r\n\r\n");
  const std::string_view how = taken ? kReadResultNames[static_cast<std::size_t>(got)] : "client_gone";
  trace_flow(work, "ends", how, passed);
  exchange.release_connection();
  ++(whole ? work.offer.answers->succeeded : work.offer.answers->given_up);
  if (whole && ends_by_close) set_reset_on_close(false);
  if (whole) return keep;
  note_cut_answer(work, how, begun, last_piece, passed);
  ++node_.counters_.answers_cut;
  close_reason_ = CloseReason::answer_cut;
  is_reset_on_close_ = ends_by_close;
  return false;
}

// A hand-off is run by the client's own thread: to wake another for each one, and to be woken by that, took
// so much of the processor time that a node with all the load of two was at its share. What comes up
// meanwhile is done by whoever brings it up, a second copy in a thread of its own.
void ClientConnection::hand_off(const std::shared_ptr<InvocationContext>& work, const core::Instruction& step) {
  const std::function<void()> run = prepare_hand_off(node_, work, step);
  if (!work->request_config->may_cancel) {  // nothing would end it before its time
    if (!run || !node_.hand_off_threads_.run(run)) finish_hand_off(node_, *work, step.number, ExchangeResult::no_room);
    return;
  }
  node_.balancer_.set_urgent_handler(work->ticket, [&node = node_, mine = std::weak_ptr(work)](const core::Instruction& more) {
    const auto work_there = mine.lock();
    if (!work_there) return false;
    if (more.what == core::InstructionKind::cancel) return cancel(*work_there, more.number), true;
    const std::function<void()> copy = prepare_hand_off(node, work_there, more);
    if (copy && node.hand_off_threads_.run(copy)) return true;
    node.counters_.count(ExchangeResult::no_room);
    return false;
  });
  if (run) run();
  else finish_hand_off(node_, *work, step.number, ExchangeResult::no_room);
}

void ClientConnection::finish_hand_off(Node& node, const InvocationContext& work, int number, ExchangeResult ended) {
  node.counters_.count(ended);
  core::Balancer::HandOffDetails sent;
  if (work.has_streaming_body) {  // how long its client took to send it tells nothing of the backend
    const auto since = TimePoint::clock::now() - work.flow.sent_at;
    sent.is_body_consumed = work.flow.is_partly_consumed;
    sent.elapsed = work.flow.sent_at == TimePoint() ? 0 : std::chrono::duration_cast<std::chrono::microseconds>(since).count() / 100;
  }
  node.balancer_.report(work.ticket, number, classify_result(ended), sent);
}

// One hand-off's way, for who follows a request through the nodes: times are milliseconds since the node's thread took it up.
void ClientConnection::trace_hand_off(const InvocationContext& work, int number, const Target& target, TimePoint begun, const Exchange& exchange, ExchangeResult ended) {
  if (!log::wanted(log::Level::debug)) return;
  const auto since = [begun](TimePoint when) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(when - begun).count();
  };
  log::event("hand_off", {{"transaction", std::string_view(work.request.transaction)}, {"number", std::int64_t{number}},
                          {"to", std::string_view(address_text(target.address))}, {"first_byte", exchange.first_byte_at() == TimePoint() ? std::int64_t{-1} : since(exchange.first_byte_at())},
                          {"over", since(TimePoint::clock::now())}, {"ended", kExchangeResultNames[static_cast<std::size_t>(ended)]}}, log::Level::debug);
}

// Whether somebody still waits for the answer. Asked right before an attempt's first byte: where attempts can't be
// cancelled, one whose connection was slow to come up was sent long after its client had gone or had its answer. The
// monitor of clients' sockets has a thread of its own, which may not have run yet.
bool ClientConnection::is_still_wanted(Node& node, const InvocationContext& work) {
  if (node.balancer_.is_answered(work.ticket)) return false;
  if (work.client_socket < 0 || !peer_has_closed(work.client_socket)) return true;
  node.balancer_.client_gone(work.ticket);
  return false;
}

// What a hand-off does; nothing where it can't be.
std::function<void()> ClientConnection::prepare_hand_off(Node& node, const std::shared_ptr<InvocationContext>& work, const core::Instruction& step) {
  ++node.counters_.handed_off;
  try {
    const auto exchange = std::make_shared<Exchange>(node.pool_, node.counters_, node.bytes_, work->request_config->connect_timeout);
    work->exchanges.resize(static_cast<std::size_t>(step.number) + 1);
    work->exchanges.back() = exchange;
    const auto target = node.directory_.find(step.backend);
    if (!target) return {};
    SendConditions begins;
    if (step.begin_by != INT64_MAX) begins.send_by = node.clock_.at(step.begin_by);
    begins.may_send = [&node, work, backend = step.backend, instance_id = target->instance_id] {
      return node.directory_.is_still_running(backend, instance_id) && is_still_wanted(node, *work);
    };
    begins.answer_progressed = [&node, work, number = step.number] { node.balancer_.answer_progressed(work->ticket, number); };
    return [=, &node, number = step.number, until = node.clock_.at(step.until)] {
      const TimePoint begun = TimePoint::clock::now();
      ExchangeResult ended = ExchangeResult::cut_after_sent;  // where it broke is not known then, so it may have run
      try {
        ended = exchange->run(work->request, *target, until, work->has_streaming_body ? &work->flow : nullptr, begins);
      } catch (const std::exception& broke) {
        log::error("exchange: {}", broke.what());
      }
      trace_hand_off(*work, number, *target, begun, *exchange, ended);
      finish_hand_off(node, *work, number, ended);
    };
  } catch (const std::exception& broke) {
    log::error("hand-off: {}", broke.what());
    return {};
  }
}

bool ClientConnection::write(std::string head, std::string_view body) {
  const auto limit = [] { return TimePoint::clock::now() + kWriteTimeout; };
  const TimePoint now = TimePoint::clock::now();
  arrival_.no_bytes_until(now);
  IoResult io = write_head_and_body(fd_.get(), std::move(head), body.substr(0, kMaxWriteBytes), now + kWriteTimeout);
  for (std::size_t at = kMaxWriteBytes; io == IoResult::done && at < body.size(); at += kMaxWriteBytes)
    io = write_all(fd_.get(), body.substr(at, kMaxWriteBytes), limit());
  if (io == IoResult::done) return note_empty_after_write(now), true;
  ++node_.counters_.answers_unread;
  close_reason_ = CloseReason::answer_cut;
  return false;
}

// A client that takes long to read its answer asks again after it, not after its begin.
void ClientConnection::note_empty_after_write(TimePoint write_begun) {
  const TimePoint now = TimePoint::clock::now();
  if (now - write_begun <= core::ArrivalEstimate::kCheckInterval) return;
  if (is_open_and_empty(fd_.get())) arrival_.no_bytes_until(now);
}

bool ClientConnection::reply(int status, std::string_view text, bool keep_alive, std::string_view headers) {
  return write(format_response_head(status, kTextPlain, text.size(), keep_alive, headers), text) && keep_alive;
}

}  // namespace troutstage::net
