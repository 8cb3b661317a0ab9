// Real processes whose surroundings stand still: a log that nobody reads, a configuration that can't be read.
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/stat.h>

#include "faulty_node.h"

using namespace faulty_node;

namespace {

// A pipe that is full and that nobody reads, as behind a log shipper that stands still.
class UnreadPipe {
 public:
  UnreadPipe() {
    int ends[2];
    REQUIRE(::pipe2(ends, O_CLOEXEC) == 0);
    read_ = Fd(ends[0]), write_ = Fd(ends[1]);
    const int size = ::fcntl(write_.get(), F_SETPIPE_SZ, 4096);
    REQUIRE(size > 0);
    filling_ = static_cast<std::size_t>(size);
    REQUIRE(::write(write_.get(), std::string(filling_, '.').data(), filling_) == size);
  }
  int fd() const { return write_.get(); }
  // All that comes until `wanted` has come, without what filled the pipe.
  std::string read_until(std::string_view wanted) {
    std::string all;
    char bytes[4096];
    for (const TimePoint limit = soon(); TimePoint::clock::now() < limit && all.find(wanted) == all.npos;) {
      if (wait_readable(read_.get(), soon(20)) != IoResult::done) continue;
      const ssize_t n = ::read(read_.get(), bytes, sizeof bytes);
      if (n > 0) all.append(bytes, static_cast<std::size_t>(n));
    }
    return all.substr(std::min(filling_, all.size()));
  }

 private:
  Fd read_, write_;
  std::size_t filling_ = 0;
};

std::string counters_of(const FaultyNode& node) {
  return Visitor(node.address()).ask("GET /counters HTTP/1.1\r\nHost: h\r\n\r\n").body;
}
std::int64_t counter(const std::string& counters, const std::string& name) {
  const std::size_t at = ("\n" + counters).find("\n" + name + " ");
  return at == std::string::npos ? -1 : std::stoll(counters.substr(at + name.size() + 1));
}

// A stop with requests under way that their backend never answers: it ends by itself before it would be killed.
void check_stop(FaultyNode& node) {
  constexpr int kHeld = 4;
  std::vector<std::unique_ptr<Visitor>> visitors;
  for (int i = 0; i < kHeld; ++i) visitors.push_back(std::make_unique<Visitor>(node.address()));
  for (auto& visitor : visitors) visitor->send(request("view", "x", kTimeLimit));
  while (node.backend().calls() < kHeld) std::this_thread::yield();
  node.program().signal(SIGTERM);
  CHECK(node.program().exit_code(kKill) == 0);
  for (auto& visitor : visitors) {
    Response r;
    CHECK(visitor->receive(r) == ReadResult::whole);
  }
}

}  // namespace

// Guards against lines of the log written by the threads that serve: one that waits for its reader holds up what it tells of.
TEST_CASE("a log that nobody reads keeps no request from its answer and no node from its stop", "[faults]") {
  UnreadPipe pipe;
  SECTION("at a stop") {
    FaultyNode node("", no_news, false, "", {pipe.fd()});
    REQUIRE(node.comes_up());
    check_stop(node);
  }
  SECTION("with something to tell") {
    const std::string fault = GENERATE(as<std::string>(), "call=epoll_wait,hold_ms=60,chance=0.1",
                                       "call=accept4,error=ENFILE,chance=0.3", "call=recv,error=ENOMEM,chance=0.1");
    INFO(fault);
    FaultyNode node(fault, always(ok("done")), false, "", {pipe.fd()});
    REQUIRE(node.comes_up());
    node.turn_on();
    CHECK(unanswered_on_new(node, 30) == 0);
    CHECK(unanswered_on_one(node, 30) == 0);
    node.turn_off();
    node.program().signal(SIGTERM);
    CHECK(node.program().exit_code(kKill) == 0);
  }
  SECTION("with more to tell than is kept") {
    FaultyNode node("", always(ok("done")), false, "", {pipe.fd(), true});
    REQUIRE(node.comes_up());
    CHECK(unanswered_on_one(node, 500) == 0);
    const std::string counters = counters_of(node);
    CHECK(counter(counters, "log_lines_dropped") > 0);
    const std::string log = pipe.read_until("log_lines_dropped");  // told as soon as the log is read again
    CHECK(log.find("log_lines_dropped") != log.npos);
    node.program().signal(SIGTERM);
    CHECK(node.program().exit_code(kKill) == 0);
  }
}

// Guards against orders that wait for a file: a SIGTERM behind a SIGHUP was not followed before the kill.
TEST_CASE("a configuration that can't be read at once holds up no other order", "[faults]") {
  FaultyNode node("", no_news);
  REQUIRE(node.comes_up());
  const std::string& path = node.config_path();
  const std::string kept = path + ".kept";
  std::filesystem::rename(path, kept);
  REQUIRE(::mkfifo(path.c_str(), 0600) == 0);  // opened for reading it waits for somebody who writes
  node.program().signal(SIGHUP);
  const Fd writer = [&] {  // can be opened at once only while the node waits for it
    for (const TimePoint limit = soon(); TimePoint::clock::now() < limit; std::this_thread::yield())
      if (Fd fd(::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC)); fd) return fd;
    return Fd();
  }();
  REQUIRE(writer);
  SECTION("at a stop") {
    std::filesystem::remove(kept);
    check_stop(node);
  }
  SECTION("nor a later one of the same kind") {
    std::filesystem::rename(kept, path);
    node.program().signal(SIGHUP);
    const TimePoint limit = soon();
    while (counter(counters_of(node), "reloads") != 1 && TimePoint::clock::now() < limit) std::this_thread::yield();
    CHECK(counter(counters_of(node), "reloads") == 1);
    node.program().signal(SIGTERM);
    CHECK(node.program().exit_code(kKill) == 0);
  }
}
