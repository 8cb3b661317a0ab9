// Long answers that a backend of good will writes slowly, and those that stop: real processes.
#include <fmt/format.h>

#include <future>

#include "faulty_node.h"

using namespace faulty_node;

namespace {

enum class Form { length, chunked, to_end };

struct Manner {
  std::string name;
  std::size_t first_bytes, piece_bytes;  // with the head, and then at a time
  int first_pause_ms, pause_ms;
  std::size_t whole_bytes;
  int limit_ms;
};

std::string body_of(std::size_t size) {
  std::string bytes(size, ' ');
  for (std::size_t i = 0; i < size; ++i) bytes[i] = static_cast<char>('a' + i * i % 25);
  return bytes;
}

// Waits for as long as it says, or until the backend ends.
void pause(const Server::Call& call, int ms) {
  for (const TimePoint until = soon(ms); TimePoint::clock::now() < until && !call.server.stopping();)
    std::this_thread::sleep_for(std::min<TimePoint::duration>(milliseconds(5), until - TimePoint::clock::now()));
}

Server::Handler writes(const Manner& manner, Form framing, const std::string& body) {
  return [=](const Server::Call& call) {
    std::string head = "HTTP/1.1 200 OK\r\n";
    if (framing == Form::length) head += fmt::format("Content-Length: {}\r\n", body.size());
    if (framing == Form::chunked) head += "Transfer-Encoding: chunked\r\n";
    const auto framed = [&](std::string_view piece) {
      return framing != Form::chunked || piece.empty() ? std::string(piece) : fmt::format("{:x}\r\n{}\r\n", piece.size(), piece);
    };
    std::string_view left = body;
    if (write_all(call.fd, head + "\r\n" + framed(left.substr(0, manner.first_bytes)), soon()) != IoResult::done) return std::string();
    left.remove_prefix(manner.first_bytes);
    pause(call, manner.first_pause_ms);
    while (!left.empty() && !call.server.stopping()) {
      const std::string_view piece = left.substr(0, manner.piece_bytes);
      if (write_all(call.fd, framed(piece), soon()) != IoResult::done) return std::string();
      left.remove_prefix(piece.size());
      if (!left.empty()) pause(call, manner.pause_ms);
    }
    if (framing == Form::chunked) write_all(call.fd, "0\r\n\r\n", soon());
    return std::string();
  };
}

// A request whose first part is read at once, and whose rest comes over `rest_ms`.
struct SlowUpload {
  std::string workload;
  bool is_chunked;
  int limit_ms, rest_ms;
};

// Sends it, and returns the body of its answer; empty: it has not come whole.
std::string answer_to(const std::string& address, const SlowUpload& upload, std::size_t answer_bytes) {
  constexpr std::size_t kPieces = 20, kPieceBytes = 5000;
  const auto framed = [&upload](const std::string& piece) {
    return upload.is_chunked ? fmt::format("{:x}\r\n{}\r\n", piece.size(), piece) : piece;
  };
  const std::string first(kMaxBufferedRequestBytes, 'x'), piece(kPieceBytes, 'y');
  const std::string framing = upload.is_chunked ? "Transfer-Encoding: chunked"
                                                : fmt::format("Content-Length: {}", first.size() + kPieces * piece.size());
  const std::string head = fmt::format("POST /{0}/x HTTP/1.1\r\nX-Txn: {0}-{1}\r\nIdempotency-Key: k\r\nX-Remaining-Ms: {2}\r\n{3}\r\n\r\n",
                                       upload.workload, upload.is_chunked, upload.limit_ms, framing);
  const Fd fd = new_socket();
  if (connect_to(fd.get(), parse_address(address), soon()) != IoResult::done) return "";
  write_all(fd.get(), head + framed(first), soon());
  const TimePoint began = TimePoint::clock::now();
  for (std::size_t i = 1; i <= kPieces; ++i) {
    std::this_thread::sleep_until(began + milliseconds(upload.rest_ms) * i / kPieces);
    write_all(fd.get(), framed(piece) + (upload.is_chunked && i == kPieces ? "0\r\n\r\n" : ""), soon());
  }
  Reader in(fd.get());
  Response r;
  const bool is_whole = read_response(in, soon(), r, 2 * answer_bytes) == ReadResult::whole && r.status == 200;
  return is_whole ? r.body : "";
}

}  // namespace

// Guards against an answer that is cut at a pause inside its client's limit, where that limit counted from the part of
// the request's body that was read at once.
TEST_CASE("an answer to a body that came slowly may pause until its client's limit, which counts from the last byte", "[answers]") {
  constexpr int kLimit = 2000;
  // Longer than what is kept of an answer, which so begins at once; then one pause, longer than any that is waited for past a limit.
  const Manner manner{"one pause", 1'200'000, 100'000, 1300, 0, 1'300'000, kLimit};
  const Form framing = GENERATE(Form::length, Form::chunked, Form::to_end);
  const bool may_cancel = GENERATE(true, false);
  INFO("framing " << static_cast<int>(framing) << ", cancel " << may_cancel);
  const std::string body = body_of(manner.whole_bytes);
  FaultyNode node("", writes(manner, framing, body), false, "", {}, may_cancel);
  REQUIRE(node.comes_up());
  std::vector<std::future<std::string>> answers;
  for (const char* workload : {"order", "pay"})
    for (const bool is_chunked : {false, true})
      answers.push_back(std::async(std::launch::async, answer_to, node.address(), SlowUpload{workload, is_chunked, kLimit, kLimit + 200}, body.size()));
  for (auto& answer : answers) CHECK((answer.get() == body));
}

TEST_CASE("a long answer that its backend still writes, with pauses or past its request's limit, reaches its client whole", "[answers]") {
  const auto manner = GENERATE(values<Manner>({{"lumps", 30000, 30000, 350, 350, 171311, 1000},
                                               {"lumps, short limit", 30000, 30000, 300, 300, 188924, 772},
                                               {"body after its head", 0, 3000, 400, 20, 123186, 2500},
                                               {"steady", 5000, 1500, 20, 20, 213394, 1000},
                                               {"large", 20000, 14000, 20, 20, 1868940, 800},
                                               {"under 64 KiB, one long pause", 20000, 20000, 600, 20, 60000, 2000}}));
  const Form framing = GENERATE(Form::length, Form::chunked, Form::to_end);
  // Each manner has each workload, and each framing has each of them too.
  static int rows = 0;
  const std::string workload = std::array{"view", "order", "pay"}[static_cast<std::size_t>((rows + rows / 3) % 3)];
  ++rows;
  INFO(manner.name << ", framing " << static_cast<int>(framing) << ", " << workload);
  const std::string body = body_of(manner.whole_bytes);
  FaultyNode node("", writes(manner, framing, body));
  REQUIRE(node.comes_up());
  Visitor visitor(node.address());
  visitor.send(request(workload, "x", manner.limit_ms));
  Response r;
  CHECK(visitor.receive(r, kMaxBodyBytes) == ReadResult::whole);
  CHECK(r.status == 200);
  CHECK((r.body == body));
}

// Guards against a second attempt that waits for the end of a first whose answer has paused.
TEST_CASE("while a safe request's answer pauses another attempt is made, and the first one is not ended for it", "[answers]") {
  std::atomic<int> calls{0};
  const auto first_pauses = [&calls](const Server::Call& call) {
    if (calls++ > 0) return ok("the second one");
    write_all(call.fd, "HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n" + std::string(20000, 'x'), soon());
    return no_news(call);
  };
  Server one(first_pauses), other(first_pauses), discovery(no_news);
  const auto node = std::make_unique<Node>(config(list(1, true, {one.address(), other.address()}), discovery.address()));
  node->start();
  Visitor visitor(*node);
  visitor.send(request("view", "", 2000));
  const TimePoint sent = TimePoint::clock::now();
  Response r;
  REQUIRE(visitor.receive(r) == ReadResult::whole);
  CHECK(r.status == 200);
  CHECK(r.body == "the second one");
  CHECK(TimePoint::clock::now() - sent < milliseconds(1500));
}
