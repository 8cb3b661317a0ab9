#include "ops/door.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <thread>

#include "log/log.h"
#include "net/http.h"

namespace troutstage::ops {
namespace {

using net::TimePoint;

constexpr std::chrono::seconds kPatience{6};   // with a call that does not become whole
constexpr std::chrono::seconds kFarewell{1};   // for a caller to read its answer and close
constexpr std::chrono::milliseconds kLook{100};
constexpr std::chrono::milliseconds kShortage{2};  // before the next try
constexpr std::size_t kMostIn = 16 * 1024;  // a call's head and body

// The reply to a call that has come whole; nothing while it has not.
std::optional<Reply> reply_to(Operated& node, std::string_view in) {
  const std::size_t end = in.find("\r\n\r\n");
  if (end == in.npos) {
    if (!in.empty() && !net::is_head_prefix(in, 0, net::MessageKind::request)) return Reply{400, "unreadable\n", ""};
    if (in.size() > kMostIn) return Reply{431, "too large\n", ""};
    return std::nullopt;
  }
  const auto head = net::parse_head(in.substr(0, end + 4));
  if (!head || !head->first[2].starts_with("HTTP/1.")) return Reply{400, "unreadable\n", ""};
  if (head->count("Transfer-Encoding") > 0) return Reply{411, "a length is needed\n", ""};
  if (head->count("Content-Length") > 1) return Reply{400, "two lengths\n", ""};
  if (head->count("Content-Length") == 1) {
    const auto length = net::parse_digits(head->value("Content-Length"));
    if (!length) return Reply{400, "no length\n", ""};
    if (*length > static_cast<std::int64_t>(kMostIn)) return Reply{413, "too large\n", ""};
    // An order whose body has not come is no order yet: its caller may never send the rest.
    if (in.size() < end + 4 + static_cast<std::size_t>(*length)) return std::nullopt;
  }
  return answer_call(node, head->first[0], head->first[1]);
}

}  // namespace

Reply answer_call(Operated& node, std::string_view method, std::string_view target) {
  enum class Call { ready, metrics, members, drain, activate };
  static constexpr struct {
    std::string_view path;
    Call call;
    bool reads;
  } kCalls[] = {{"/v1/readyz", Call::ready, true},
                {"/v1/metrics", Call::metrics, true},
                {"/v1/members", Call::members, true},
                {"/v1/node/drain", Call::drain, false},
                {"/v1/node/activate", Call::activate, false}};
  const std::string_view path = net::path_of(target);
  for (const auto& known : kCalls) {
    if (known.path != path) continue;
    if (method != (known.reads ? "GET" : "POST"))
      return {405, "wrong method\n", known.reads ? "Allow: GET\r\n" : "Allow: POST\r\n"};
    switch (known.call) {
      case Call::ready: return node.ready() ? Reply{200, "ready\n", ""} : Reply{503, "not ready\n", ""};
      case Call::metrics: return {200, node.metrics(), "Content-Type: application/json\r\n"};
      case Call::members: {
        auto told = node.members();
        return told ? Reply{200, std::move(*told), "Content-Type: application/json\r\n"} : Reply{404, "membership is off\n", ""};
      }
      case Call::drain:
        return node.drain() ? Reply{200, "draining\n", ""} : Reply{409, "stopping\n", ""};
      case Call::activate:
        return node.activate() ? Reply{200, "active\n", ""} : Reply{409, "stopping\n", ""};
    }
  }
  return {404, "no such call\n", ""};
}

Door::Door(const sockaddr_in& address, Operated& node)
    : node_(node), listener_(net::listen_on(address)), wake_(net::new_event_fd()) {
  if (!net::retry_on_shortage("pthread_create", [this] { return thread_.run([this] { run(); }) || (errno = ENOMEM, false); }))
    throw std::system_error(errno, std::generic_category(), "can't serve operators");
  log::info("operators' calls on {}", net::address_text(address));
}

Door::~Door() {
  net::signal_event(wake_);
  thread_.finish();
}

void Door::run() {
  for (std::vector<pollfd> polled;;) {
    polled.assign({{wake_.get(), POLLIN, 0}, {listener_.get(), POLLIN, 0}});
    for (const Caller& c : callers_)
      polled.push_back({c.fd.get(), static_cast<short>(c.written < c.out.size() ? POLLIN | POLLOUT : POLLIN), 0});
    if (::poll(polled.data(), polled.size(), static_cast<int>(kLook.count())) < 0) {
      // What was to be found out is not known: nothing of it is read.
      if (net::classify_errno(errno) == net::ErrorClass::other) return log::error("operators are served no more: error {}", errno);
      if (errno != EINTR) std::this_thread::sleep_for(kShortage);
      continue;
    }
    if (polled[0].revents != 0) return;
    const TimePoint now = TimePoint::clock::now();
    for (std::size_t i = callers_.size(); i-- > 0;) {
      Caller& c = callers_[i];
      const bool old = now - c.since > (c.answered ? kFarewell : kPatience);
      if (old || (polled[i + 2].revents != 0 && !serve(c)))
        callers_.erase(callers_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    if (polled[1].revents != 0) accept_some();
  }
}

void Door::accept_some() {
  for (;;) {
    net::AcceptResult one = net::accept_connection(listener_.get());
    if (one.what == net::AcceptOutcome::again) return std::this_thread::sleep_for(kShortage);  // polled again at once
    if (one.what == net::AcceptOutcome::shortage) {
      net::record_shortage("accept", one.error);
      // Only who has his answer loses nothing by it; else the caller waits in the queue until there is one again.
      if (!make_room(false)) return std::this_thread::sleep_for(kShortage);
      continue;
    }
    if (one.what != net::AcceptOutcome::accepted) return;
    net::Fd fd = std::move(one.fd);
    if (callers_.size() >= kPlaces) make_room(true);
    callers_.push_back({std::move(fd), TimePoint::clock::now(), {}, {}, 0, false});
    // What is asked is there already as a rule: a caller that waits here need not wait for its turn again.
    if (!serve(callers_.back())) callers_.pop_back();
  }
}

// Callers that hold a connection and say nothing must not keep others out: one that has its answer goes
// first, then the one that has been unfinished for the longest.
bool Door::make_room(bool also_unanswered) {
  const auto told = std::find_if(callers_.begin(), callers_.end(), [](const Caller& c) { return c.answered; });
  if (told == callers_.end() && (!also_unanswered || callers_.empty())) return false;
  callers_.erase(told == callers_.end() ? callers_.begin() : told);
  return true;
}

bool Door::serve(Caller& c) {
  char bytes[4096];
  for (;;) {
    const ssize_t n = ::recv(c.fd.get(), bytes, sizeof bytes, MSG_DONTWAIT);
    if (n == 0) return false;
    if (n < 0) {
      const net::ErrorClass failure = net::classify_errno(errno);
      if (failure == net::ErrorClass::interrupted) continue;
      if (failure == net::ErrorClass::other) return false;
      break;
    }
    if (!c.answered) c.in.append(bytes, static_cast<std::size_t>(n));
    if (c.in.size() > 2 * kMostIn) break;
  }
  if (!c.answered) {
    std::optional<Reply> reply;
    try {
      reply = reply_to(node_, c.in);
    } catch (const std::exception& broke) {
      log::error("operators' call: {}", broke.what());
      reply = Reply{500, "broke inside\n", ""};
    }
    if (!reply) return true;
    c.out = net::format_response_head(reply->status, "", reply->body.size(), false, reply->more_headers) + reply->body;
    c.answered = true;
    c.since = TimePoint::clock::now();
    c.in = {};
  }
  return write(c);
}

bool Door::write(Caller& c) {
  while (c.written < c.out.size()) {
    const ssize_t n = ::send(c.fd.get(), c.out.data() + c.written, c.out.size() - c.written,
                             MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0) return net::classify_errno(errno) != net::ErrorClass::other;  // written on once polled again
    c.written += static_cast<std::size_t>(n);
    // Closed over unread input, the connection would be reset and the answer lost with it.
    if (c.written == c.out.size()) ::shutdown(c.fd.get(), SHUT_WR);
  }
  return true;
}

}  // namespace troutstage::ops
