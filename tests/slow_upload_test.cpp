// Long requests that their backends read slowly: real processes.
#include <fmt/format.h>

#include <future>

#include "answer_client.h"
#include "node_process.h"

using namespace node_process;
using namespace answer_client;

namespace {

// Later than this after its time, a request that was not answered is lost.
constexpr milliseconds kGrace{500};

// How a backend reads its requests.
struct Reading {
  std::string name;
  int first_pause_ms = 0;
  std::size_t bytes = 0;  // at a time; 0: it reads nothing
  int pause_ms = 20;      // between two times
};

// A backend that reads its connections so, and answers once a request is whole.
class SlowBackend {
 public:
  explicit SlowBackend(const Reading& reading) : reading_(reading), listener_(listen_on(parse_address("127.0.0.1:0"))) {
    threads_.run([this] {
      while (!stop_) {
        if (wait_readable(listener_.get(), soon(5)) != IoResult::done) continue;
        const int fd = ::accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (fd >= 0) threads_.run([this, fd] { serve(Fd(fd)); });
      }
    });
  }
  ~SlowBackend() {
    stop_ = true;
    threads_.finish();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_of(listener_.get())); }

 private:
  bool pause(int ms) const {
    for (const TimePoint until = soon(ms); TimePoint::clock::now() < until && !stop_;)
      std::this_thread::sleep_for(std::min<TimePoint::duration>(milliseconds(5), until - TimePoint::clock::now()));
    return !stop_;
  }
  void serve(Fd fd) const {
    if (!pause(reading_.first_pause_ms)) return;
    std::string head, tail;
    std::size_t body_bytes = 0;
    while (pause(reading_.pause_ms)) {
      std::string bytes(reading_.bytes, ' ');
      const ssize_t n = bytes.empty() ? -1 : ::recv(fd.get(), bytes.data(), bytes.size(), MSG_DONTWAIT);
      if (n == 0) return;
      if (n < 0) continue;
      bytes.resize(static_cast<std::size_t>(n));
      const std::size_t old_end = head.find("\r\n\r\n");
      if (old_end == head.npos) head += bytes;
      const std::size_t end = head.find("\r\n\r\n");
      if (end == head.npos) continue;
      body_bytes += old_end == head.npos ? head.size() - end - 4 : bytes.size();
      tail = (tail + bytes).substr(tail.size() + bytes.size() - std::min<std::size_t>(tail.size() + bytes.size(), 5));
      const auto parsed = parse_head(std::string_view(head).substr(0, end + 4));
      const bool is_whole = parsed->count("Transfer-Encoding") ? tail == "0\r\n\r\n"
                                                               : body_bytes >= static_cast<std::size_t>(*parse_digits(parsed->value("Content-Length")));
      if (!is_whole) continue;
      write_all(fd.get(), ok("read"), soon());
      return;
    }
  }

  const Reading reading_;
  Fd listener_;
  std::atomic<bool> stop_{false};
  mutable ThreadPool threads_{16};
};

struct Upload {
  std::string workload;
  std::size_t bytes = 0;
  bool is_chunked = false;
  int limit_ms = 0;
  int send_buffer = 0;  // as a client asks its system for it; 0: the system's own choice
};

std::string text_of(const Upload& upload) {
  constexpr std::size_t kChunkBytes = 50000;
  static std::atomic<int> number{0};
  std::string text = fmt::format("POST /{}/x HTTP/1.1\r\nHost: h\r\nX-Txn: upload{}\r\nX-Remaining-Ms: {}\r\nIdempotency-Key: k\r\n", upload.workload,
                                 number++, upload.limit_ms);
  if (!upload.is_chunked) return fmt::format("{}Content-Length: {}\r\n\r\n", text, upload.bytes) + std::string(upload.bytes, 'x');
  text += "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t left = upload.bytes; left > 0;) {
    const std::size_t piece = std::min(left, kChunkBytes);
    text += fmt::format("{:x}\r\n{}\r\n", piece, std::string(piece, 'x'));
    left -= piece;
  }
  return text + "0\r\n\r\n";
}

// What its client saw; times count from its last byte. Not connected, or not written whole: `nothing`.
Seen answer_to(const std::string& address, const std::string& text, int send_buffer) {
  Seen seen;
  const Fd fd = new_socket();
  if (send_buffer > 0) ::setsockopt(fd.get(), SOL_SOCKET, SO_SNDBUF, &send_buffer, sizeof send_buffer);
  if (connect_to(fd.get(), parse_address(address), soon()) != IoResult::done) return seen;
  if (write_all(fd.get(), text, soon(60000)) != IoResult::done) return seen;
  const TimePoint written = TimePoint::clock::now();
  const auto since = [written] { return std::chrono::duration_cast<milliseconds>(TimePoint::clock::now() - written); };
  if (wait_readable(fd.get(), soon(60000)) == IoResult::done) seen.begun = since();
  Reader in(fd.get());
  seen.result = read_response(in, soon(60000), seen.response);
  seen.ended = since();
  return seen;
}

// How many bytes the send buffer of a client holds that asks for as much as it can get.
constexpr int kLargestRequest = 64 << 20;
std::size_t largest_send_buffer() {
  const Fd fd = new_socket();
  int size = kLargestRequest;
  socklen_t length = sizeof size;
  ::setsockopt(fd.get(), SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
  ::getsockopt(fd.get(), SOL_SOCKET, SO_SNDBUF, &size, &length);
  return static_cast<std::size_t>(size);
}

void check_answered_in_time(const Seen& seen, int limit_ms) {
  INFO(told(seen));
  CHECK(seen.result == ReadResult::whole);
  CHECK(seen.ended <= milliseconds(limit_ms) + kGrace);
}

}  // namespace

// Guards against a limit that counts from when the node has room for the last byte, though the client's machine had taken it long before.
TEST_CASE("a long request is answered by its client's limit however much of it the client's own machine holds", "[bulk]") {
  constexpr int kLimit = 700;
  const Reading reading = GENERATE(values<Reading>({{"nothing", 0, 0}, {"400 kB a second", 0, 8000}, {"1.5 MB a second", 0, 30000}}));
  const bool may_cancel = GENERATE(true, false);
  INFO(reading.name << ", cancel " << may_cancel);
  const std::size_t buffer = largest_send_buffer();
  std::vector<std::unique_ptr<SlowBackend>> backends;
  std::vector<std::unique_ptr<Process>> processes;
  std::vector<std::pair<std::string, std::future<Seen>>> all;
  for (const char* workload : {"order", "pay"})
    for (const bool is_chunked : {false, true})
      for (const std::size_t bytes : {std::size_t{2'500'000}, buffer * 7 / 8}) {
        backends.push_back(std::make_unique<SlowBackend>(reading));
        processes.push_back(std::make_unique<Process>(std::vector<std::string>{backends.back()->address()}, Terms{may_cancel}));
        const Upload upload{workload, bytes, is_chunked, kLimit, kLargestRequest};
        all.emplace_back(fmt::format("{}, chunked {}, {} bytes", workload, is_chunked, bytes),
                         std::async(std::launch::async, [address = processes.back()->address(), text = text_of(upload)] {
                           return answer_to(address, text, kLargestRequest);
                         }));
      }
  for (auto& [what, seen] : all) {
    INFO(what);
    check_answered_in_time(seen.get(), kLimit);
  }
}

// Guards against a limit that counts from a moment at which the socket was empty although the client's machine held more.
TEST_CASE("a long request is answered by its client's limit though its bytes come late while its backend reads in bursts", "[bulk]") {
  constexpr int kLimit = 600;
  const Reading reading = GENERATE(values<Reading>({{"0.5 MB each 0.45 s", 0, 500000, 450}, {"0.3 MB each 0.3 s", 0, 300000, 300}, {"all after 0.5 s", 500, 4000000, 1}}));
  const bool may_cancel = GENERATE(true, false);
  INFO(reading.name << ", cancel " << may_cancel);
  std::vector<std::unique_ptr<SlowBackend>> backends;
  std::vector<std::unique_ptr<Process>> processes;
  std::vector<std::pair<std::string, std::future<Seen>>> all;
  for (const char* workload : {"order", "pay"})
    for (const bool is_chunked : {false, true}) {
      backends.push_back(std::make_unique<SlowBackend>(reading));
      Terms terms{may_cancel};
      terms.faults = "call=arrival,gap_ms=8,each_bytes=65536";
      processes.push_back(std::make_unique<Process>(std::vector<std::string>{backends.back()->address()}, terms));
      const Upload upload{workload, 2'500'000, is_chunked, kLimit, 0};
      all.emplace_back(fmt::format("{}, chunked {}", workload, is_chunked),
                       std::async(std::launch::async, [address = processes.back()->address(), text = text_of(upload)] { return answer_to(address, text, kLargestRequest); }));
    }
  for (auto& [what, seen] : all) {
    INFO(what);
    check_answered_in_time(seen.get(), kLimit);
  }
}

// Guards against a wait that is longer by each time for which the process stood still in it.
TEST_CASE("a long request is answered by its client's limit though its node stands still several times before that", "[bulk]") {
  constexpr int kLimit = 700, kHoldUpMs = 100;
  constexpr std::array<int, 3> kHeldFromMs = {60, 220, 380};  // the last one ends 0.22 s before the limit
  const bool may_cancel = GENERATE(true, false);
  const bool reads_all = GENERATE(true, false);  // and gives no answer; else it reads nothing
  INFO("cancel " << may_cancel << ", reads all " << reads_all);
  std::vector<std::unique_ptr<SlowBackend>> backends;
  std::vector<std::unique_ptr<Process>> processes;
  std::vector<std::string> texts;
  std::vector<std::pair<std::string, std::future<Seen>>> all;
  for (const char* workload : {"order", "pay"})
    for (const bool is_chunked : {false, true})
      for (const std::size_t bytes : {std::size_t{600'000}, std::size_t{2'000'000}}) {
        const Terms terms{may_cancel};
        if (!reads_all) backends.push_back(std::make_unique<SlowBackend>(Reading{"nothing", 0, 0}));
        processes.push_back(reads_all ? std::make_unique<Process>(std::vector<Server::Handler>{no_news}, terms)
                                      : std::make_unique<Process>(std::vector<std::string>{backends.back()->address()}, terms));
        texts.push_back(text_of({workload, bytes, is_chunked, kLimit, 0}));
        all.emplace_back(fmt::format("{}, chunked {}, {} bytes", workload, is_chunked, bytes), std::future<Seen>());
      }
  const TimePoint begun = TimePoint::clock::now();
  for (std::size_t i = 0; i < all.size(); ++i)
    all[i].second = std::async(std::launch::async, [address = processes[i]->address(), &text = texts[i]] { return answer_to(address, text, 0); });
  for (const int from_ms : kHeldFromMs) {  // where the processes stand still is the fault
    std::this_thread::sleep_until(begun + milliseconds(from_ms));
    for (const auto& process : processes) ::kill(process->id(), SIGSTOP);
    std::this_thread::sleep_until(begun + milliseconds(from_ms + kHoldUpMs));
    for (const auto& process : processes) ::kill(process->id(), SIGCONT);
  }
  for (auto& [what, future] : all) {
    INFO(what);
    const Seen seen = future.get();
    INFO(told(seen));
    CHECK(seen.result == ReadResult::whole);
    CHECK(seen.ended <= milliseconds(kLimit) + kSlack);
  }
}

namespace {

// Idle connections to an address, opened again when they are closed, until the object ends.
class SilentCrowd {
 public:
  SilentCrowd(std::string address, std::size_t size) : address_(std::move(address)), size_(size), thread_([this] { play(); }) {}
  ~SilentCrowd() {
    is_over_ = true;
    thread_.join();
  }

 private:
  void play() {
    std::vector<Fd> idle;
    for (; !is_over_; std::this_thread::sleep_for(milliseconds(5))) {
      std::erase_if(idle, [](const Fd& fd) { return !is_reusable(fd.get()); });
      while (!is_over_ && idle.size() < size_) {
        Fd fd = new_socket();
        if (connect_to(fd.get(), parse_address(address_), soon(20)) != IoResult::done) break;
        idle.push_back(std::move(fd));
      }
    }
  }
  const std::string address_;
  const std::size_t size_;
  std::atomic<bool> is_over_{false};
  std::thread thread_;
};

}  // namespace

// Guards against a long request that is read through the smallest buffers for seconds, since its client came when all places were taken.
TEST_CASE("long requests of new clients beside a crowd of silent ones are answered in their time", "[bulk]") {
  constexpr int kLimit = 500, kClients = 12;
  const bool is_chunked = GENERATE(false, true);
  const Process process(std::vector<Server::Handler>(2, always(ok("done"))));
  const SilentCrowd crowd(process.address(), 200);
  const TimePoint end = soon(3000);
  std::atomic<int> in_time{0}, late{0}, unwritten{0};
  std::atomic<long> longest_ms{0};
  std::vector<std::future<void>> clients;
  for (int c = 0; c < kClients; ++c)
    clients.push_back(std::async(std::launch::async, [&, c] {
      for (int turn = 0; TimePoint::clock::now() < end; ++turn) {
        const std::size_t bytes = 100'000 + static_cast<std::size_t>(c * 7919 + turn * 104729) % 500'000;
        const Seen seen = answer_to(process.address(), text_of({"order", bytes, is_chunked, kLimit, 0}), 0);
        const bool is_written = seen.ended >= milliseconds(0);
        const bool is_in_time = seen.result == ReadResult::whole && seen.ended <= milliseconds(kLimit) + kSlack;
        longest_ms = std::max(longest_ms.load(), static_cast<long>(seen.ended.count()));
        ++(!is_written ? unwritten : is_in_time ? in_time : late);
      }
    }));
  for (auto& client : clients) client.get();
  INFO("chunked " << is_chunked << ": " << in_time << " in time, " << late << " late, " << unwritten << " not written, the longest after some " << longest_ms << " ms");
  CHECK(late == 0);
  CHECK(in_time > unwritten);
}
