// Long answers that their backends write in lumps, over more time than their requests have: real processes.
#include <fmt/format.h>

#include <future>

#include "fault_fleet.h"

using namespace fault_fleet;

namespace {

enum class Form { length, chunked, to_end };
constexpr std::array kForms = {Form::length, Form::chunked, Form::to_end};
constexpr std::array<const char*, 3> kWorkloads = {"view", "order", "pay"};
constexpr milliseconds kClientSlack{60};  // a client waits for so much longer than it says
constexpr int kHeadMs = 60;               // from a request to the head of its answer

// A part of an answer's body, and when it is written, counted from the head.
struct Lump {
  int at_ms;
  double share;
};
struct Lumps {
  std::string name;
  std::size_t bytes;
  std::vector<Lump> parts;
};
// In Catch's messages.
std::ostream& operator<<(std::ostream& out, const Lumps& lumps) { return out << lumps.name; }

const std::vector<Lumps> kLumps = {{"0, 1.7", 130653, {{0, 0.5}, {1700, 0.5}}},
                                   {"0, 0.9", 212451, {{0, 0.5}, {900, 0.5}}},
                                   {"0, 0.85, 1.7", 198499, {{0, 0.3}, {850, 0.4}, {1700, 0.3}}},
                                   {"a little at 0, then 0.6, 1.2", 201787, {{0, 0.02}, {600, 0.5}, {1200, 0.48}}},
                                   {"0, 0.42, 0.85, 1.27, 1.7", 180464, {{0, 0.2}, {420, 0.2}, {850, 0.2}, {1270, 0.2}, {1700, 0.2}}},
                                   {"0.35, 1.2", 130653, {{350, 0.5}, {1200, 0.5}}}};

std::string body_of(std::size_t size) {
  std::string bytes(size, ' ');
  for (std::size_t i = 0; i < size; ++i) bytes[i] = static_cast<char>('a' + i * i % 25);
  return bytes;
}

bool waits_until(const Server::Call& call, TimePoint when) {
  while (TimePoint::clock::now() < when) {
    if (call.server.stopping()) return false;
    std::this_thread::sleep_for(std::min<TimePoint::duration>(milliseconds(5), when - TimePoint::clock::now()));
  }
  return true;
}

std::string head_of(Form form, std::size_t bytes) {
  return "HTTP/1.1 200 OK\r\n" + (form == Form::length    ? fmt::format("Content-Length: {}\r\n", bytes)
                                  : form == Form::chunked ? std::string("Transfer-Encoding: chunked\r\n")
                                                          : std::string()) +
         "\r\n";
}

// `written_lumps`: after so many of them the backend is silent for good.
Server::Handler writes(const Lumps& lumps, Form form, std::size_t written_lumps = SIZE_MAX) {
  return [=](const Server::Call& call) {
    const std::string body = body_of(lumps.bytes);
    if (!waits_until(call, soon(kHeadMs))) return std::string();
    if (write_all(call.fd, head_of(form, body.size()), soon()) != IoResult::done) return std::string();
    const TimePoint head_at = TimePoint::clock::now();
    std::string_view left = body;
    for (std::size_t i = 0; i < lumps.parts.size(); ++i) {
      if (i >= written_lumps) return no_news(call);
      if (!waits_until(call, head_at + milliseconds(lumps.parts[i].at_ms))) return std::string();
      const auto share = static_cast<std::size_t>(static_cast<double>(body.size()) * lumps.parts[i].share);
      const std::string_view lump = i + 1 == lumps.parts.size() ? left : left.substr(0, share);
      left.remove_prefix(lump.size());
      const std::string framed = form == Form::chunked ? fmt::format("{:x}\r\n{}\r\n", lump.size(), lump) : std::string(lump);
      if (write_all(call.fd, framed, soon()) != IoResult::done) return std::string();
    }
    if (form == Form::chunked) write_all(call.fd, "0\r\n\r\n", soon());
    return std::string();
  };
}

struct Terms {
  bool may_cancel = true;
  int due_ms = 2000, longest_limit_ms = 1000;
};

// A process before backends with these handlers.
class Process {
 public:
  explicit Process(const std::vector<Server::Handler>& handlers, const Terms& terms = {}) {
    std::vector<std::string> addresses;
    for (const Server::Handler& handler : handlers) {
      backends_.push_back(std::make_unique<Server>(handler));
      addresses.push_back(backends_.back()->address());
    }
    {
      const Fd fd = listen_on(parse_address("127.3.0.2:0"));
      address_ = "127.3.0.2:" + std::to_string(port_of(fd.get()));
    }
    auto json = nlohmann::json::parse(config_text(list(1, true, addresses), discovery_.address(), 256, address_));
    for (auto& workload : json["settings"]["workloads"]) {
      workload["time-limit"] = terms.longest_limit_ms * 1000;
      workload["due-time"] = terms.due_ms * 1000;
    }
    json["settings"]["bounds"]["cancel"] = terms.may_cancel;
    file_.write(json.dump());
    program_ = std::make_unique<Program>(file_, std::vector<std::string>{});
    for (const TimePoint limit = soon(10000);;) {
      const Fd fd = new_socket();
      Reader in(fd.get());
      Response r;
      if (connect_to(fd.get(), parse_address(address_), soon(300)) == IoResult::done &&
          write_all(fd.get(), "GET /up HTTP/1.1\r\nHost: h\r\n\r\n", soon(300)) == IoResult::done &&
          read_response(in, soon(300), r) == ReadResult::whole && r.status == 200)
        return;
      REQUIRE(TimePoint::clock::now() < limit);
      std::this_thread::sleep_for(milliseconds(5));
    }
  }
  const std::string& address() const { return address_; }
  Program& program() { return *program_; }

 private:
  std::vector<std::unique_ptr<Server>> backends_;
  Server discovery_{no_news};
  File file_{""};
  std::string address_;
  std::unique_ptr<Program> program_;
};

// What a client saw. Times count from the last byte of its request.
struct Seen {
  ReadResult result = ReadResult::nothing;  // `late`: it did not end within the client's patience
  Response response;
  milliseconds begun{-1}, ended{-1};
};

// Safe to call from any thread. `is_http_1_0`: an answer without a length ends with the connection.
Seen ask(const std::string& address, const std::string& workload, int limit_ms, std::size_t most_bytes, bool is_http_1_0 = false) {
  constexpr int kPatienceMs = 15000;
  Seen seen;
  const Fd fd = new_socket();
  if (connect_to(fd.get(), parse_address(address), soon()) != IoResult::done) return seen;
  std::string text = request(workload, "x", limit_ms);
  if (is_http_1_0) text.replace(text.find("HTTP/1.1"), 8, "HTTP/1.0");
  write_all(fd.get(), text, soon());
  const TimePoint sent = TimePoint::clock::now();
  const auto since = [sent] { return std::chrono::duration_cast<milliseconds>(TimePoint::clock::now() - sent); };
  if (wait_readable(fd.get(), soon(kPatienceMs)) == IoResult::done) seen.begun = since();
  Reader in(fd.get());
  seen.result = read_response(in, soon(kPatienceMs), seen.response, 2 * most_bytes);
  seen.ended = since();
  return seen;
}

std::string told(const Seen& seen) {
  return fmt::format("status {}, {} bytes, {}, begun after {} ms, ended after {} ms", seen.response.status, seen.response.body.size(),
                     kReadResultNames[static_cast<std::size_t>(seen.result)], seen.begun.count(), seen.ended.count());
}

struct Asked {
  std::string what;
  int limit_ms;
  std::future<Seen> seen;
};
// A request of each workload with each limit, all at once.
std::vector<Asked> ask_all(const std::string& address, std::size_t bytes, const std::string& what, const std::vector<int>& limits = {600, 690, 800}) {
  std::vector<Asked> all;
  for (const char* workload : kWorkloads)
    for (const int limit : limits)
      all.push_back({fmt::format("{}, {}, limit {}", what, workload, limit), limit,
                     std::async(std::launch::async, [=] { return ask(address, workload, limit, bytes); })});
  return all;
}

void check_whole(std::vector<Asked>& asked, const std::string& body) {
  for (Asked& one : asked) {
    const Seen seen = one.seen.get();
    INFO(one.what << ": " << told(seen));
    CHECK(seen.result == ReadResult::whole);
    CHECK(seen.response.status == 200);
    CHECK((seen.response.body == body));
    CHECK(seen.begun <= milliseconds(one.limit_ms) + kClientSlack);
  }
}

std::string name_of(Form form) { return form == Form::length ? "length" : form == Form::chunked ? "chunked" : "to its end"; }

// All framings at once, each by a process of its own.
void check_lumps(const Lumps& lumps, const Terms& terms) {
  std::vector<std::unique_ptr<Process>> processes;
  for (const Form form : kForms) processes.push_back(std::make_unique<Process>(std::vector<Server::Handler>(2, writes(lumps, form)), terms));
  std::vector<Asked> asked;
  for (std::size_t i = 0; i < kForms.size(); ++i)
    for (Asked& one : ask_all(processes[i]->address(), lumps.bytes, lumps.name + ", " + name_of(kForms[i]))) asked.push_back(std::move(one));
  check_whole(asked, body_of(lumps.bytes));
}

}  // namespace

// Guards against a sound answer that is given up because it pauses for longer than it did before.
TEST_CASE("a long answer written in lumps past its request's limit reaches its client whole", "[answers]") {
  const Lumps lumps = GENERATE(from_range(kLumps));
  const bool may_cancel = GENERATE(true, false);
  INFO(lumps.name << ", cancel " << may_cancel);
  check_lumps(lumps, {may_cancel});
}

// Guards against a sound answer that is given up at a moment after which it would only be worth nothing.
TEST_CASE("a long answer written in lumps past its request's due time reaches its client whole", "[answers]") {
  const Lumps lumps = GENERATE(from_range(std::vector<Lumps>{kLumps[0], kLumps[3]}));
  check_lumps(lumps, {true, 290});
}
