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
constexpr std::chrono::milliseconds kSlowestHead{2500}, kSlowestBody{2700};
constexpr std::chrono::milliseconds kPieceWithin{2000};  // of a body, whatever came before
constexpr std::chrono::seconds kSlowestReader{5};        // takes a piece of an answer
constexpr std::chrono::milliseconds kLongestPauseLate{1000};  // of an answer that goes on after its client's limit
constexpr std::chrono::milliseconds kLookAtStop{50};          // how often one that waits for more looks for a stop
constexpr std::size_t kOneWrite = 64 * 1024;                  // of an answer, within kSlowestReader
constexpr std::chrono::milliseconds kAtOnce{2};  // a client that is answered and asks at once does it sooner
constexpr std::size_t kMostThrownAway = 64 << 20;
constexpr Tenths kTenthsPerMs = 10;
constexpr std::chrono::milliseconds kReadLate{20};  // counted and logged from here on
constexpr std::chrono::milliseconds kAboutLimit{100};  // a client that leaves so long before its limit, or later, is logged
constexpr std::string_view kText = "text/plain";
constexpr std::array<std::string_view, 6> kNextNames = {"hand_off", "recall", "succeeded", "rejected", "given_up", "gone"};  // of core::Next

std::int64_t milliseconds_between(Moment from, Moment to) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
}

// Counts an invocation as open for as long as it lives.
class OpenOne {
 public:
  explicit OpenOne(Counters::Count& open) : open_(open) { ++open_; }
  ~OpenOne() { --open_; }
  OpenOne(const OpenOne&) = delete;
  OpenOne& operator=(const OpenOne&) = delete;

 private:
  Counters::Count& open_;
};

}  // namespace

struct Client::Work {
  explicit Work(Node& node) : bytes(node.bytes_), terms(node.terms()) {}
  Bytes::Hold bytes;
  const std::shared_ptr<const Terms> terms;  // those that it came under, to its end
  Offer offer;
  Request request;
  Flow flow;           // where its body is not whole
  bool flows = false;  // the same
  std::optional<Transactions::Open> open;
  Moment arrived;                    // its last byte, as far as is known: its client's time runs from there
  Moment nothing_until, seen, read;  // the last look that found nothing of it, the first that found it, its reading
  bool by_system = false;            // what `arrived` is taken from; else from the looks at its connection
  std::optional<std::chrono::milliseconds> told_ago;  // what the system said then: how long ago the last bytes came
  Moment client_limit;                     // until when its client waits for its answer
  core::Ticket ticket;
  int client_socket = -1;  // open until the answer is final; -1: its end can't be told from one made here
  // By number. The client's thread changes it, and while that is busy whoever has the balancer's lock.
  std::deque<std::shared_ptr<Exchange>> exchanges;
};

Client::Client(Node& node, Fd fd, bool has_place, const core::ArrivalEstimate& arrival)
    : node_(node),
      id_(node.connections_.fetch_add(1) + 1),
      fd_(std::move(fd)),
      arrival_(arrival),
      in_(fd_.get(), arrival_),
      has_place_(has_place) {
  node_.opened(has_place_);
}
// Nobody may know the descriptor any more when it is closed: its number is soon another connection's.
Client::~Client() {
  ++node_.counters_.closed[static_cast<std::size_t>(closing_)];
  if (log::wanted(log::Level::debug))
    log::event("connection_closed", {{"connection", id_}, {"why", kClosingNames[static_cast<std::size_t>(closing_)]}, {"answers", std::uint64_t{answered_}},
                                     {"open_ms", std::int64_t{std::chrono::duration_cast<std::chrono::milliseconds>(Moment::clock::now() - connected_).count()}}},
               log::Level::debug);
  fd_.reset();
  if (answered_ >= 2) --node_.came_back_;
  node_.closed(has_place_);
}

// One that was rejected and asks again at once is served on by the same thread: each way through the lobby
// costs more than a rejection, and thousands of them a second were all that a node could do.
std::optional<Lobby::Wait> Client::serve() {
  for (;;) {
    rejected_ = false;
    closing_ = Closing::by_client;
    const auto wait = serve_one();
    const bool stays = wait == Lobby::Wait::once || wait == Lobby::Wait::next;
    if (!stays || !rejected_ || wait_readable(fd_.get(), Moment::clock::now() + kAtOnce) != Io::done)
      return wait;
    arrival_.found_bytes(Moment::clock::now());
  }
}

std::optional<Lobby::Wait> Client::serve_one() {
  const auto work = std::make_shared<Work>(node_);
  BadRequest bad;
  {
    Node::Reading reading(node_, fd_.get());
    const Moment begun = std::exchange(first_, false) ? connected_ : Moment::clock::now();
    auto request = read_request(in_, begun + kSlowestHead, bad);
    if (!request) return refuse(ended_here(reading, bad));
    work->request = std::move(*request);
    Request& r = work->request;
    if (!own(r) && !wanted(*work, bad)) return refuse(bad);
    // It comes as fast as is promised, or its sender is let go.
    const auto limit = [&] {
      const auto earned = std::chrono::milliseconds(static_cast<std::int64_t>(r.body.size()) * 2 / kSlowestPerMs);
      return std::min(Moment::clock::now() + kPieceWithin, begun + kSlowestBody + earned);
    };
    if (!read_body(in_, r, bad, limit, [&](std::size_t size) { return work->bytes.take(size); })) {
      if (bad.cause == Bad::no_room && work->offer.answers) ++work->offer.answers->rejected;
      return refuse(ended_here(reading, bad));
    }
    work->flows = !r.rest.whole();
    note_times(*work);
    if (work->read - work->arrived >= kReadLate) note_late_reading(*work);
    // Where this node has ended the reading itself, to make room, that looks like a client that has gone: a
    // request that crossed it was then lost.
    may_tell_leaving_ = !reading.was_ended();
    lasts_ = may_tell_leaving_ && has_place_ && !work->flows;
  }
  // A connection carries one request at a time: what is sent ahead of an answer is no usual client's.
  if (!work->flows && in_.holds_bytes()) return refuse({400, Bad::ahead});
  if (answer(work, node_.clock_.of(work->arrived))) {
    in_.shrink();
    if (++answered_ == 2) ++node_.came_back_;
    return answered_ >= 2 ? Lobby::Wait::next : Lobby::Wait::once;
  }
  if (resets_) return std::nullopt;
  if (closing_ == Closing::by_client) closing_ = Closing::last_answer;
  // What is still unread would turn the closing into a reset, and that could overtake the answer.
  ::shutdown(fd_.get(), SHUT_WR);
  return Lobby::Wait::end;
}

// What this node has ended the reading of, to make room or since it stops, looks as if its client had ended it. That waits
// for an answer, and nothing was handed off.
BadRequest Client::ended_here(const Node::Reading& reading, const BadRequest& bad) {
  return bad.cause == Bad::cut && reading.was_ended() ? BadRequest{503, Bad::reading_ended} : bad;
}

std::optional<Lobby::Wait> Client::refuse(const BadRequest& bad) {
  if (bad.cause == Bad::none) return std::nullopt;  // it just closed
  if (bad.cause == Bad::no_room) ++node_.counters_.turned_off_full;
  else ++node_.counters_.bad[static_cast<std::size_t>(bad.cause)];
  const std::string_view why = kBadNames[static_cast<std::size_t>(bad.cause)];
  log::event("bad_request", {{"connection", id_}, {"why", why}}, log::Level::debug);
  if (bad.status == 0) return std::nullopt;
  closing_ = Closing::bad_request;
  // What follows on this connection can't be told apart any more, or would be the same again at once.
  reply(bad.status, fmt::format("{}\n", why), false);
  ::shutdown(fd_.get(), SHUT_WR);
  return Lobby::Wait::end;
}

void Client::turn_away() {
  ++node_.counters_.turned_off_full;
  write_all(fd_.get(), response_head(503, kText, 0, false), Moment::clock::now());
  ::shutdown(fd_.get(), SHUT_WR);
}

bool Client::throw_away() {
  const Io io = net::throw_away(fd_.get(), thrown_away_);
  return (io == Io::done || io == Io::late) && thrown_away_ < kMostThrownAway;
}

bool Client::own(const Request& request) {
  return request.target == kReadyPath || request.target == kCountersPath;
}

// Whether it is what a usual client sends: the method follows from what a repeat would do.
bool Client::wanted(Work& work, BadRequest& bad) {
  const Request& request = work.request;
  const auto refused = [&](int status, Bad cause) { return bad = {status, cause}, false; };
  const auto workload = work.terms->workloads.find(request.workload);
  if (workload == work.terms->workloads.end()) return refused(404, Bad::no_workload);
  work.offer = workload->second;
  const Semantics semantics = work.offer.semantics;
  const bool reads = semantics == Semantics::redoable;
  if (request.method != (reads ? "GET" : "POST")) return refused(405, Bad::wrong_method);
  if (reads && !request.rest.whole()) return refused(400, Bad::body_of_get);
  if (request.remaining_ms < 0) return refused(400, Bad::no_limit);
  if (semantics == Semantics::labelled && !request.labelled) return refused(400, Bad::no_label);
  return true;
}

// Answers a request; false: the connection is over.
bool Client::answer(const std::shared_ptr<Work>& work, Tenths arrived) {
  const Request& request = work->request;
  const bool keep = request.keep_alive && lasts_ && !node_.lets_go();
  if (request.target == kReadyPath)
    return node_.ready() ? reply(200, "up\n", keep) : reply(503, "not up\n", keep);
  if (request.target == kCountersPath) return reply(200, node_.counters_text(), keep);
  if (!has_place_) {  // nothing was handed off
    ++work->offer.answers->rejected;
    return refuse({503, Bad::no_room}), false;
  }
  if (node_.short_of_connections()) {
    ++work->offer.answers->rejected;
    return ++node_.counters_.turned_off_stopping, reply(503, "stopping\n", keep);
  }
  // Handed off once more, it would be a second copy of what another client waits for.
  work->open.emplace(node_.transactions_, request.transaction);
  if (!work->open->is_new()) return refuse({409, Bad::id_open}), false;
  return invoke(work, arrived);
}

bool Client::invoke(const std::shared_ptr<Work>& work, Tenths arrived) {
  const Request& request = work->request;
  core::Demand demand;
  demand.workload = work->offer.lane.workload;
  demand.lease = work->offer.lane.lease;
  const auto tenant = work->terms->tenants.find(request.tenant);
  if (tenant != work->terms->tenants.end()) demand.tenant = tenant->second;
  demand.arrived = arrived;
  demand.valid_until = arrived + request.remaining_ms * kTenthsPerMs;
  work->client_limit = node_.clock_.at(demand.valid_until);
  if (work->flows) {
    ++node_.counters_.bodies_flowed;
    // Its client's time runs from its last byte, which may be as long in coming as is promised.
    const auto left = static_cast<std::int64_t>(
        request.rest.framing() == Framing::length ? request.rest.left() : kLongestBody);
    demand.valid_until += (left / kSlowestPerMs + kPieceWithin.count()) * kTenthsPerMs;
    demand.flows = true;
    work->flow.rest = &work->request.rest;
    work->flow.remaining_ms = request.remaining_ms - 20;
    work->flow.next = [this, mine = work.get()](std::string& piece) { return take_piece(*mine, piece); };
  }
  demand.hint = request.hint_micros / 100;
  demand.client_repeat = request.client_repeat;
  const bool wants_more = request.keep_alive && lasts_;
  ++node_.counters_.taken;
  const OpenOne open(node_.counters_.open);
  const core::Ticket& ticket = work->ticket;
  try {
    if (may_tell_leaving_) work->client_socket = fd_.get();
    work->ticket = node_.balancer_.take(demand);
    std::optional<Vigil::Over> vigil;
    if (may_tell_leaving_ && !node_.balancer_.answered(ticket)) vigil.emplace(node_.vigil_, fd_.get(), ticket);
    for (;;) {
      const core::Step step = node_.balancer_.pick(ticket);
      if (step.what == core::Next::hand_off) hand_off(work, step);
      else if (step.what == core::Next::recall) recall(*work, step.number);
      else return trace_answer(*work, kNextNames[static_cast<std::size_t>(step.what)], arrived), end(*work, step, wants_more && !node_.lets_go());
    }
  } catch (const std::exception& broke) {  // ends this invocation, with an answer that promises nothing
    log::error("invocation: {}", broke.what());
    ++node_.counters_.broke_inside;
    ++work->offer.answers->given_up;
    if (ticket) node_.balancer_.client_gone(ticket);
    return reply(500, "broke inside\n", false);
  }
}

void Client::recall(const Work& work, int number) {
  const auto n = static_cast<std::size_t>(number);
  if (n < work.exchanges.size() && work.exchanges[n]) work.exchanges[n]->recall();
}

// One request's end, for who follows it by its transaction through connection, hand-offs and answer.
void Client::trace_answer(const Work& work, std::string_view how, Tenths arrived) const {
  if (!log::wanted(log::Level::debug)) return;
  log::event("answered", {{"transaction", std::string_view(work.request.transaction)}, {"connection", id_}, {"how", how},
                          {"hand_offs", std::uint64_t{work.exchanges.size()}}, {"held_ms", std::int64_t{(node_.clock_.now() - arrived) / kTenthsPerMs}},
                          {"told_ms", work.request.remaining_ms},
                          {"read_late_ms", milliseconds_between(work.arrived, work.read)}},
             log::Level::debug);
}

// When the last byte came of what has just been read: within what the looks at the connection allow, by the system's word
// where that was seen to be true. The clock is read before the system is asked, so that a pause in between makes no request younger.
Client::LastByte Client::last_byte() const {
  const Moment now = Moment::clock::now();
  const auto since = since_last_bytes(fd_.get());
  if (since) node_.system_offers_times();
  const bool by_system = since && node_.trusts_system_times_;
  return {by_system ? arrival_.arrival_as_told(now - *since) : arrival_.arrival(), by_system, since};
}

// Where less of a body is unread than its rest, the last byte has not come. A sender that is faster than its backend
// leaves something unread at every look, which would all count as come with the first.
void Client::note_rest_unsent(const Body& rest) {
  const Moment now = Moment::clock::now();
  const auto unread = unread_bytes(fd_.get());
  if (unread && *unread + in_.held_bytes() < rest.left()) arrival_.nothing_until(now);
}

// The next piece of a body that flows. Its client's time runs from the last byte, whenever that is passed on.
Got Client::take_piece(Work& work, std::string& piece) {
  note_rest_unsent(work.request.rest);
  const Got got = work.request.rest.next(in_, Moment::clock::now() + kPieceWithin, piece);
  if (work.request.rest.whole()) work.flow.last_byte = last_byte().came;
  return got;
}

void Client::note_times(Work& work) {
  const LastByte last = last_byte();
  work.arrived = last.came;
  work.by_system = last.by_system;
  work.told_ago = last.told_ago;
  work.nothing_until = arrival_.earliest();
  work.seen = arrival_.latest();
  work.read = Moment::clock::now();
  ++(work.by_system ? node_.counters_.arrivals_by_system : node_.counters_.arrivals_by_looks);
  if (!work.told_ago) return;
  const Moment told = work.read - *work.told_ago;
  if (told < work.nothing_until - kSystemTimesStep || told > arrival_.last_found() + kSystemTimesStep) note_contradiction(work);
}

// The system's word does not fit what the looks at the connection found.
void Client::note_contradiction(const Work& work) {
  ++node_.counters_.system_times_contradicted;
  log::event("system_time_contradicted", {{"transaction", std::string_view(work.request.transaction)}, {"told_ago_ms", std::int64_t{work.told_ago->count()}},
                                          {"nothing_ago_ms", milliseconds_between(work.nothing_until, work.read)},
                                          {"seen_ago_ms", milliseconds_between(work.seen, work.read)}},
             log::Level::debug);
}

void Client::note_late_reading(const Work& work) {
  ++node_.counters_.read_late;
  log::event("read_late", {{"transaction", std::string_view(work.request.transaction)}, {"ms", milliseconds_between(work.arrived, work.read)}},
             log::Level::debug);
}

// A client that leaves about when its limit has passed may have waited in vain. Times are milliseconds since what was
// taken for its request's last byte.
void Client::note_leaving(const Work& work) const {
  const auto since_arrival = [&work](Moment when) { return milliseconds_between(work.arrived, when); };
  const Moment now = Moment::clock::now();
  if (work.flows || now < work.client_limit - kAboutLimit) return;
  ++node_.counters_.left_at_limit;
  log::event("left_at_limit", {{"transaction", std::string_view(work.request.transaction)}, {"connection", id_},
                               {"answers", std::uint64_t{answered_}}, {"hand_offs", std::uint64_t{work.exchanges.size()}},
                               {"limit_ms", work.request.remaining_ms}, {"left_ms", since_arrival(now)},
                               {"read_ms", since_arrival(work.read)}, {"seen_ms", since_arrival(work.seen)},
                               {"nothing_ms", since_arrival(work.nothing_until)}, {"accepted_ms", since_arrival(connected_)},
                               {"told_ago_ms", work.told_ago ? std::int64_t{work.told_ago->count()} : std::int64_t{-1}},
                               {"by", work.by_system ? std::string_view("system") : std::string_view("looks")}});
}

// The two ends of an answer that goes on as it comes.
void Client::trace_flow(const Work& work, std::string_view stage, std::string_view how, std::size_t bytes) {
  log::event("answer_flows", {{"transaction", std::string_view(work.request.transaction)}, {"stage", stage}, {"how", how}, {"bytes", std::uint64_t{bytes}}},
             log::Level::debug);
}

// An answer that broke after it had begun to go on to its client. Times are milliseconds since the request's last byte.
void Client::note_cut_answer(const Work& work, std::string_view why, Moment begun, Moment last_piece, std::size_t bytes) {
  const auto since_arrival = [&work](Moment when) { return milliseconds_between(work.arrived, when); };
  log::event("answer_cut", {{"transaction", std::string_view(work.request.transaction)}, {"why", why}, {"bytes", std::uint64_t{bytes}},
                            {"limit_ms", work.request.remaining_ms}, {"begun_ms", since_arrival(begun)},
                            {"last_piece_ms", since_arrival(last_piece)}, {"cut_ms", since_arrival(Moment::clock::now())}});
}

// Writes an invocation's one answer.
bool Client::end(const Work& work, const core::Step& step, bool keep) {
  if (step.what == core::Next::gone) return ++node_.counters_.client_gone, note_leaving(work), false;
  if (step.what == core::Next::succeeded) {
    ++node_.counters_.succeeded;
    Exchange& exchange = *work.exchanges.at(static_cast<std::size_t>(step.number));
    if (!exchange.rest().whole()) return pass_on(work, exchange, keep);
    const Response& r = exchange.answer();
    ++work.offer.answers->succeeded;
    return write(response_head(200, r.content_type, r.body.size(), keep), r.body) && keep;
  }
  if (step.what == core::Next::give_up) {
    ++node_.counters_.given_up;
    ++work.offer.answers->given_up;
    return reply(502, "given up\n", keep);
  }
  ++node_.counters_.rejected;
  ++work.offer.answers->rejected;
  rejected_ = true;
  const auto retry = fmt::format("Retry-After: {:.4f}\r\n", static_cast<double>(step.retry_in) / 1e4);
  return reply(503, "rejected\n", keep, step.retry_in > 0 ? retry : "");
}

// The next piece of an answer that goes on. A backend that pauses is waited for until its client's limit, after that
// for a while each time; no longer than this node has once it was told to end.
Got Client::next_piece(const Work& work, Exchange& exchange, std::string& piece) {
  const Moment limit = std::max(work.client_limit, Moment::clock::now() + kLongestPauseLate);
  for (;;) {
    const Moment now = Moment::clock::now();
    const Got got = exchange.next(std::min(limit, now + kLookAtStop), piece);
    if (got != Got::late || Moment::clock::now() >= limit || Moment::clock::now() >= node_.answer_by_.load()) return got;
  }
}

// Whether a close of the client's connection looks like an end of its answer, so that only a reset tells a break.
void Client::reset_at_close(bool resets) {
  const linger option{resets ? 1 : 0, 0};
  ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

// An answer too long to keep, or that is slow but goes on. What still comes is never cut; where it breaks its client can
// tell that it is not whole, also where this process is killed.
bool Client::pass_on(const Work& work, Exchange& exchange, bool keep) {
  const Response& r = exchange.answer();
  const bool has_length = exchange.rest().framing() == Framing::length;
  const bool in_chunks = !has_length && !work.request.old_version;
  const bool ends_by_close = !has_length && !in_chunks;
  keep = keep && !ends_by_close;
  ++node_.counters_.answers_flowed;
  std::string head = has_length ? response_head(200, r.content_type, r.body.size() + exchange.rest().left(), keep)
                                : streamed_head(r.content_type, in_chunks, keep);
  const auto framed = [&](std::string_view piece) {
    return in_chunks ? fmt::format("{:x}\r\n{}\r\n", piece.size(), piece) : std::string(piece);
  };
  trace_flow(work, "begins", kFramingNames[static_cast<std::size_t>(exchange.rest().framing())], r.body.size());
  if (ends_by_close) reset_at_close(true);
  std::size_t passed = r.body.size();
  const Moment begun = Moment::clock::now();
  Moment last_piece = begun;
  Got got = Got::whole;
  bool taken = write(std::move(head), r.body.empty() ? "" : framed(r.body));  // by the client
  for (std::string piece; taken && got == Got::whole && !exchange.rest().whole(); piece.clear()) {
    got = next_piece(work, exchange, piece);
    if (got == Got::whole) last_piece = Moment::clock::now();
    taken = got != Got::whole || piece.empty() || write("", framed(piece));
    passed += piece.size();
  }
  bool whole = taken && got == Got::whole;
  if (whole && in_chunks) whole = taken = write("", "0\r\n\r\n");
  const std::string_view how = taken ? kGotNames[static_cast<std::size_t>(got)] : "client_gone";
  trace_flow(work, "ends", how, passed);
  exchange.finish();
  ++(whole ? work.offer.answers->succeeded : work.offer.answers->given_up);
  if (whole && ends_by_close) reset_at_close(false);
  if (whole) return keep;
  note_cut_answer(work, how, begun, last_piece, passed);
  ++node_.counters_.answers_cut;
  closing_ = Closing::answer_cut;
  resets_ = ends_by_close;
  return false;
}

// A hand-off is run by the client's own thread: to wake another for each one, and to be woken by that, took
// so much of the processor time that a node with all the load of two was at its share. What comes up
// meanwhile is done by whoever brings it up, a second copy in a thread of its own.
void Client::hand_off(const std::shared_ptr<Work>& work, const core::Step& step) {
  const std::function<void()> run = prepare(node_, work, step);
  if (!work->terms->may_recall) {  // nothing would end it before its time
    if (!run || !node_.workers_.run(run)) over(node_, *work, step.number, Ended::no_room);
    return;
  }
  node_.balancer_.busy(work->ticket, [&node = node_, mine = std::weak_ptr(work)](const core::Step& more) {
    const auto work_there = mine.lock();
    if (!work_there) return false;
    if (more.what == core::Next::recall) return recall(*work_there, more.number), true;
    const std::function<void()> copy = prepare(node, work_there, more);
    if (copy && node.workers_.run(copy)) return true;
    node.counters_.count(Ended::no_room);
    return false;
  });
  if (run) run();
  else over(node_, *work, step.number, Ended::no_room);
}

void Client::over(Node& node, const Work& work, int number, Ended ended) {
  node.counters_.count(ended);
  core::Balancer::Sent sent;
  if (work.flows) {  // how long its client took to send it tells nothing of the backend
    const auto since = Moment::clock::now() - work.flow.sent;
    sent.spent = work.flow.begun;
    sent.took = work.flow.sent == Moment() ? 0 : std::chrono::duration_cast<std::chrono::microseconds>(since).count() / 100;
  }
  node.balancer_.report(work.ticket, number, outcome(ended), sent);
}

// One hand-off's way, for who follows a request through the nodes: times are milliseconds since the node's thread took it up.
void Client::trace(const Work& work, int number, const Target& target, Moment begun, const Exchange& exchange, Ended ended) {
  if (!log::wanted(log::Level::debug)) return;
  const auto since = [begun](Moment when) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(when - begun).count();
  };
  log::event("hand_off", {{"transaction", std::string_view(work.request.transaction)}, {"number", std::int64_t{number}},
                          {"to", std::string_view(address_text(target.address))}, {"first_byte", exchange.first_byte() == Moment() ? std::int64_t{-1} : since(exchange.first_byte())},
                          {"over", since(Moment::clock::now())}, {"ended", kEndedNames[static_cast<std::size_t>(ended)]}}, log::Level::debug);
}

// Whether somebody still waits for the answer. Asked right before an attempt's first byte: where attempts can't be
// cancelled, one whose connection was slow to come up was sent long after its client had gone or had its answer. The
// monitor of clients' sockets has a thread of its own, which may not have run yet.
bool Client::is_still_wanted(Node& node, const Work& work) {
  if (node.balancer_.answered(work.ticket)) return false;
  if (work.client_socket < 0 || !peer_has_closed(work.client_socket)) return true;
  node.balancer_.client_gone(work.ticket);
  return false;
}

// What a hand-off does; nothing where it can't be.
std::function<void()> Client::prepare(Node& node, const std::shared_ptr<Work>& work, const core::Step& step) {
  ++node.counters_.handed_off;
  try {
    const auto exchange = std::make_shared<Exchange>(node.pool_, node.counters_, node.bytes_, work->terms->connect_limit);
    work->exchanges.resize(static_cast<std::size_t>(step.number) + 1);
    work->exchanges.back() = exchange;
    const auto target = node.directory_.find(step.backend);
    if (!target) return {};
    Begins begins;
    if (step.begin_by != INT64_MAX) begins.by = node.clock_.at(step.begin_by);
    begins.may = [&node, work, backend = step.backend, life = target->life] {
      return node.directory_.stays(backend, life) && is_still_wanted(node, *work);
    };
    begins.answer_comes = [&node, work, number = step.number] { node.balancer_.answer_comes(work->ticket, number); };
    return [=, &node, number = step.number, until = node.clock_.at(step.until)] {
      const Moment begun = Moment::clock::now();
      Ended ended = Ended::cut_after_sent;  // where it broke is not known then, so it may have run
      try {
        ended = exchange->run(work->request, *target, until, work->flows ? &work->flow : nullptr, begins);
      } catch (const std::exception& broke) {
        log::error("exchange: {}", broke.what());
      }
      trace(*work, number, *target, begun, *exchange, ended);
      over(node, *work, number, ended);
    };
  } catch (const std::exception& broke) {
    log::error("hand-off: {}", broke.what());
    return {};
  }
}

bool Client::write(std::string head, std::string_view body) {
  const auto limit = [] { return Moment::clock::now() + kSlowestReader; };
  const Moment now = Moment::clock::now();
  arrival_.nothing_until(now);
  Io io = write_both(fd_.get(), std::move(head), body.substr(0, kOneWrite), now + kSlowestReader);
  for (std::size_t at = kOneWrite; io == Io::done && at < body.size(); at += kOneWrite)
    io = write_all(fd_.get(), body.substr(at, kOneWrite), limit());
  if (io == Io::done) return note_rest_after(now), true;
  ++node_.counters_.answers_unread;
  closing_ = Closing::answer_cut;
  return false;
}

// A client that takes long to read its answer asks again after it, not after its begin.
void Client::note_rest_after(Moment write_begun) {
  const Moment now = Moment::clock::now();
  if (now - write_begun <= core::ArrivalEstimate::kLookEvery) return;
  if (is_surely_empty(fd_.get())) arrival_.nothing_until(now);
}

bool Client::reply(int status, std::string_view text, bool keep_alive, std::string_view headers) {
  return write(response_head(status, kText, text.size(), keep_alive, headers), text) && keep_alive;
}

}  // namespace troutstage::net
