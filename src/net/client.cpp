#include "net/client.h"

#include <fmt/format.h>

#include <deque>

#include "log/log.h"
#include "net/exchange.h"

namespace troutstage::net {
namespace {

constexpr std::chrono::seconds kIdle{60};           // a connection that nothing comes on
constexpr std::chrono::seconds kSlowestRequest{5};  // from its first byte to its last
constexpr std::chrono::seconds kSlowestReader{2};
constexpr std::chrono::milliseconds kBriefly{500};  // both, for a client that there is no place for
constexpr std::string_view kText = "text/plain";

}  // namespace

struct Client::Work {
  const Request request;
  core::Ticket ticket;
  std::deque<std::shared_ptr<Exchange>> exchanges;  // by number; only the client's thread changes it
};

Client::Client(Node& node, Fd fd, bool has_place)
    : node_(node), fd_(std::move(fd)), in_(fd_.get()), has_place_(has_place),
      id_(node.enter(fd_.get(), has_place)) {}
// Nobody may know the descriptor any more when it is closed: its number is soon another connection's.
Client::~Client() {
  node_.leave(id_);
  fd_.reset();
  node_.closed(has_place_);
}

void Client::serve() {
  const auto limit = [this](auto usual) {
    return Moment::clock::now() + (has_place_ ? std::chrono::milliseconds(usual) : kBriefly);
  };
  // A new connection is not idle: its first request is on the way, and its client would not send that again.
  for (Node::Doing before = Node::Doing::reading;; before = Node::Doing::idle) {
    node_.set(id_, before);
    if (!in_.holds_bytes() && !request_comes(limit(kIdle))) return;
    node_.set(id_, Node::Doing::reading);
    BadRequest bad;
    const auto request = read_request(in_, limit(kSlowestRequest), bad);
    if (!request) {
      if (!bad.why.empty()) ++node_.counters_.bad_requests;
      if (bad.status == 0) return;
      log::debug("bad request: {}", bad.why);
      // What follows on this connection can't be told apart any more.
      reply(bad.status, fmt::format("{}\n", bad.why), false);
      return;
    }
    lasts_ = node_.set(id_, Node::Doing::working) && has_place_;
    if (!answer(*request, node_.clock_.now())) return;
  }
}

bool Client::request_comes(Moment limit) {
  for (;;) {
    const Io io = wait_readable_or_call(fd_.get(), limit);
    if (io != Io::ended) return io == Io::done;
    // This thread was called to end the connection; what has come before that is still answered.
    if (has_place_ && !node_.lasts(id_))
      return wait_readable_or_call(fd_.get(), Moment::clock::now()) == Io::done;
  }
}

// Answers a request; false: the connection is over.
bool Client::answer(const Request& request, Tenths arrived) {
  const bool keep = request.keep_alive && lasts_ && !node_.draining_;
  if (request.target == kReadyPath) return reply(node_.draining_ ? 503 : 200, "up\n", keep);
  if (request.target == kCountersPath) return reply(200, node_.counters_.text(), keep);
  const auto workload = node_.config_.names.workloads.find(request.workload);
  const bool known = workload != node_.config_.names.workloads.end();
  const bool needs_label =
      known && node_.config_.settings.workloads[workload->second].semantics == Semantics::labelled;
  if (!known || request.remaining_ms < 0 || (needs_label && !request.labelled)) {
    ++node_.counters_.bad_requests;
    return reply(known ? 400 : 404,
                 !known                     ? "unknown workload\n"
                 : request.remaining_ms < 0 ? "no time limit\n"
                                            : "no label\n",
                 keep);
  }
  if (!has_place_) {  // nothing was handed off: trying again is harmless
    ++node_.counters_.turned_off_full;
    return reply(503, "full\n", false);
  }
  return invoke(request, arrived);
}

bool Client::invoke(Request request, Tenths arrived) {
  core::Demand demand;
  demand.workload = node_.config_.names.workloads.find(request.workload)->second;
  const auto tenant = node_.config_.names.tenants.find(request.tenant);
  if (tenant != node_.config_.names.tenants.end()) demand.tenant = tenant->second;
  demand.valid_until = arrived + request.remaining_ms * 10;
  demand.hint = request.hint_micros / 100;
  demand.client_repeat = request.client_repeat;
  const bool wants_more = request.keep_alive && lasts_;
  ++node_.counters_.taken;
  core::Ticket ticket;
  try {
    ticket = node_.balancer_.take(demand);
    // Where this node has ended the reading itself, to make room, that looks like a client that has gone: a
    // request that crossed it was then lost.
    std::optional<Vigil::Over> vigil;
    if (lasts_) vigil.emplace(node_.vigil_, fd_.get(), ticket);
    const auto work = std::make_shared<Work>(Work{std::move(request), ticket, {}});
    for (;;) {
      const core::Step step = node_.balancer_.pick(ticket);
      if (step.what == core::Next::hand_off) hand_off(work, step);
      else if (step.what == core::Next::recall) recall(*work, step.number);
      else return end(*work, step, wants_more && !node_.draining_);
    }
  } catch (const std::exception& broke) {  // ends this invocation, with an answer that promises nothing
    log::error("invocation: {}", broke.what());
    ++node_.counters_.broke_inside;
    if (ticket) node_.balancer_.client_gone(ticket);
    return reply(500, "broke inside\n", false);
  }
}

void Client::recall(const Work& work, int number) {
  const auto n = static_cast<std::size_t>(number);
  if (n < work.exchanges.size() && work.exchanges[n]) work.exchanges[n]->recall();
}

// Writes an invocation's one answer.
bool Client::end(const Work& work, const core::Step& step, bool keep) {
  std::string bytes;
  Counters::Count* counted = &node_.counters_.given_up;
  if (step.what == core::Next::succeeded) {
    counted = &node_.counters_.succeeded;
    const Response& r = work.exchanges.at(static_cast<std::size_t>(step.number))->answer();
    bytes = response_bytes(200, r.content_type, r.body, keep);
  } else if (step.what == core::Next::reject) {
    counted = &node_.counters_.rejected;
    const auto retry = fmt::format("Retry-After: {:.4f}\r\n", static_cast<double>(step.retry_in) / 1e4);
    bytes = response_bytes(503, kText, "rejected\n", keep, step.retry_in > 0 ? retry : "");
  } else if (step.what == core::Next::gone) {
    return ++node_.counters_.client_gone, false;
  } else {
    bytes = response_bytes(502, kText, "given up\n", keep);
  }
  ++*counted;
  return write(bytes) && keep;
}

// Each hand-off blocks in a thread of its own, so that the client's own thread is free for what is next.
void Client::hand_off(const std::shared_ptr<Work>& work, const core::Step& step) {
  Node& node = node_;
  ++node.counters_.handed_off;
  const std::chrono::microseconds connect_limit(node.config_.settings.connect_timeout * 100);
  const auto over = [&node, work, number = step.number](Ended ended) {
    node.counters_.count(ended);
    node.balancer_.report(work->ticket, number, outcome(ended));
  };
  bool started = false;
  try {
    const auto exchange = std::make_shared<Exchange>(node.pool_, node.counters_, connect_limit);
    work->exchanges.resize(static_cast<std::size_t>(step.number) + 1);
    work->exchanges.back() = exchange;
    const auto target = node.directory_.find(step.backend);
    started = target && node.workers_.run([=, until = node.clock_.at(step.until)] {
      Ended ended = Ended::cut_after_sent;  // where it broke is not known then, so it may have run
      try {
        ended = exchange->run(work->request, *target, until);
      } catch (const std::exception& broke) {
        log::error("exchange: {}", broke.what());
      }
      over(ended);
    });
  } catch (const std::exception& broke) {
    log::error("hand-off: {}", broke.what());
  }
  if (!started) over(Ended::no_room);
}

bool Client::write(const std::string& bytes) {
  if (write_all(fd_.get(), bytes, Moment::clock::now() + kSlowestReader) == Io::done) return true;
  ++node_.counters_.answers_unread;
  return false;
}

bool Client::reply(int status, std::string_view text, bool keep_alive, std::string_view headers) {
  return write(response_bytes(status, kText, text, keep_alive, headers)) && keep_alive;
}

}  // namespace troutstage::net
