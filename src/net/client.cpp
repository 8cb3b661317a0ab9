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
constexpr std::string_view kText = "text/plain";

}  // namespace

struct Client::Work {
  Node& node;
  const Request request;
  core::Ticket ticket;
  std::deque<std::shared_ptr<Exchange>> exchanges;  // by number; only the client's thread changes it
};

Client::Client(Node& node, Fd fd)
    : node_(node), fd_(std::move(fd)), in_(fd_.get()), id_(node.enter(fd_.get())) {}
Client::~Client() { node_.leave(id_); }

void Client::serve() {
  for (;;) {
    node_.set_idle(id_, true);
    if (!in_.holds_bytes() && wait_readable(fd_.get(), Moment::clock::now() + kIdle) != Io::done) return;
    node_.set_idle(id_, false);
    BadRequest bad;
    const auto request = read_request(in_, Moment::clock::now() + kSlowestRequest, bad);
    if (!request) {
      if (bad.status == 0) return;
      ++node_.counters_.bad_requests;
      log::debug("bad request: {}", bad.why);
      // What follows on this connection can't be told apart any more.
      reply(bad.status, bad.why, false);
      return;
    }
    if (!answer(*request, node_.clock_.now())) return;
  }
}

// Answers a request; false: the connection is over.
bool Client::answer(const Request& request, Tenths arrived) {
  const bool keep = request.keep_alive && !node_.draining_;
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
  const bool wants_more = request.keep_alive;
  ++node_.counters_.taken;
  auto work = std::make_shared<Work>(Work{node_, std::move(request), node_.balancer_.take(demand), {}});
  const Vigil::Over vigil(node_.vigil_, fd_.get(), work->ticket);
  for (;;) {
    const core::Step step = node_.balancer_.pick(work->ticket);
    const bool keep = wants_more && !node_.draining_;
    switch (step.what) {
      case core::Next::hand_off: hand_off(work, step); break;
      case core::Next::recall: work->exchanges.at(static_cast<std::size_t>(step.number))->recall(); break;
      case core::Next::succeeded: {
        ++node_.counters_.succeeded;
        const Response& r = work->exchanges.at(static_cast<std::size_t>(step.number))->answer();
        return write(response_bytes(200, r.content_type, r.body, keep)) && keep;
      }
      case core::Next::reject:
        ++node_.counters_.rejected;
        return reply(503, "rejected\n", keep,
                     step.retry_in > 0
                         ? fmt::format("Retry-After: {:.4f}\r\n", static_cast<double>(step.retry_in) / 1e4)
                         : "");
      case core::Next::give_up: ++node_.counters_.given_up; return reply(502, "given up\n", keep);
      case core::Next::gone: ++node_.counters_.client_gone; return false;
    }
  }
}

// Each hand-off blocks in a thread of its own, so that the client's own thread is free for what is next.
void Client::hand_off(const std::shared_ptr<Work>& work, const core::Step& step) {
  Node& node = node_;
  ++node.counters_.handed_off;
  const std::chrono::microseconds connect_limit(node.config_.settings.connect_timeout * 100);
  auto exchange = std::make_shared<Exchange>(node.pool_, node.counters_, connect_limit);
  work->exchanges.resize(static_cast<std::size_t>(step.number) + 1);
  work->exchanges.back() = exchange;
  const auto over = [&node, work, number = step.number](Ended ended) {
    node.counters_.count(ended);
    node.balancer_.report(work->ticket, number, outcome(ended));
  };
  const auto target = node.directory_.find(step.backend);
  const bool started = target && node.workers_.run([=, &node, until = node.clock_.at(step.until)] {
    Ended ended = Ended::cut_after_sent;  // where it broke is not known then, so it may have run
    try {
      ended = exchange->run(work->request, *target, until);
    } catch (const std::exception& broke) {
      log::error("exchange: {}", broke.what());
    }
    over(ended);
  });
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
