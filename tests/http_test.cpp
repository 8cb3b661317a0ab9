#include "stand_in.h"

using namespace stand_in;

namespace {

// Two ends of a connection; what is fed is all that ever comes.
struct Pipe {
  Fd here, there;
  explicit Pipe(const std::string& bytes, bool close = true) {
    int ends[2];
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends) == 0);
    here = Fd(ends[0]), there = Fd(ends[1]);
    REQUIRE(write_all(there.get(), bytes, soon()) == IoResult::done);
    if (close) there.reset();
  }
};

std::optional<Request> read_whole(Reader& in, TimePoint limit, BadRequest& bad) {
  auto request = read_request_head(in, limit, bad);
  if (request && !read_body(in, *request, bad, [=] { return limit; }, [](std::size_t) { return true; }))
    request.reset();
  return request;
}

const std::string kHeaders = "X-Txn: t\r\nX-Remaining-Ms: 480\r\n";

}  // namespace

TEST_CASE("a request that is wrong gets one clear status, and nothing of it is guessed", "[http]") {
  const auto [bytes, status] = GENERATE(table<std::string, int>({
      {"", 0},
      {"GET /view HTTP/1.1\r\nX-Txn: t\r\n", 0},
      {"POST /view HTTP/1.1\r\n" + kHeaders + "Content-Length: 5\r\n\r\nabc", 0},
      {"GET /view\r\n\r\n", 400},
      {"GET view HTTP/1.1\r\n\r\n", 400},
      {"GET /view HTTP/2.0\r\n\r\n", 400},
      {"G{}T /view HTTP/1.1\r\n\r\n", 400},
      {"GET /vi\x01w HTTP/1.1\r\n\r\n", 400},
      {"GET /view HTTP/1.1\r\nX-Txn : t\r\n\r\n", 400},
      {"GET /view HTTP/1.1\r\nX-Txn: t\r\n folded\r\n\r\n", 400},
      {"GET /view HTTP/1.1\r\nno colon\r\n\r\n", 400},
      {"GET /view HTTP/1.1\r\nX-Txn: a\nX-Org: b\r\n\r\n", 400},
      {"GET /view HTTP/1.1\r\nX-Remaining-Ms: 480\r\n\r\n", 400},
      {"GET /view HTTP/1.1\r\nX-Txn: t\r\nX-Remaining-Ms: -1\r\n\r\n", 400},
      {"GET /view HTTP/1.1\r\nX-Txn: t\r\nX-Remaining-Ms: 99999999999\r\n\r\n", 400},
      {"GET /view HTTP/1.1\r\n" + kHeaders + "X-Remaining-Ms: 480\r\n\r\n", 400},
      {"GET /view HTTP/1.1\r\n" + kHeaders + "X-Estimate: nan\r\n\r\n", 400},
      {"PUT /view HTTP/1.1\r\n" + kHeaders + "Content-Length: 0\r\n\r\n", 405},
      {"POST /view HTTP/1.1\r\n" + kHeaders + "\r\n", 411},
      {"POST /view HTTP/1.1\r\n" + kHeaders + "Transfer-Encoding: gzip\r\n\r\n", 400},
      {"POST /view HTTP/1.0\r\n" + kHeaders + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
      {"POST /view HTTP/1.1\r\n" + kHeaders + "Transfer-Encoding: chunked\r\n\r\n3\nabc", 400},
      {"POST /view HTTP/1.1\r\n" + kHeaders + "Transfer-Encoding: chunked\r\n\r\n2;a\nb\r\nab\r\n0\r\n\r\n", 400},
      {"POST /view HTTP/1.1\r\n" + kHeaders + "Transfer-Encoding: chunked\r\n\r\n2000001\r\n", 413},
      {"POST /view HTTP/1.1\r\n" + kHeaders + "Transfer-Encoding: chunked\r\n\r\n1ffffffffffffffff\r\n", 400},
      {"POST /view HTTP/1.1\r\n" + kHeaders + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", 400},
      {"POST /view HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
      {"POST /view HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
      {"POST /view HTTP/1.1\r\n" + kHeaders + "Content-Length: +3\r\n\r\nabc", 400},
      {"POST /view HTTP/1.1\r\n" + kHeaders + "Content-Length: 33554433\r\n\r\n", 413},
      {"GET /view HTTP/1.1\r\nX-Long: " + std::string(kMaxHeadBytes, 'a'), 431},
  }));
  Pipe p(bytes);
  Reader in(p.here.get());
  BadRequest bad{-1};
  INFO(bytes.substr(0, 200));
  CHECK_FALSE(read_whole(in, soon(), bad));
  CHECK(bad.status == status);
}

// Guards against headers that are no longer looked at where there are many of those that the node reads.
TEST_CASE("a header is found behind any number of others, whether the node reads these or not", "[http]") {
  const std::string name = GENERATE(as<std::string>(), "Accept", "Connection");
  const std::size_t many = GENERATE(0U, 15U, 16U, 17U, 600U);
  std::string others;
  for (std::size_t i = 0; i < many; ++i) others += name + ": a\r\n";
  const std::string begin = "POST /view HTTP/1.1\r\n" + kHeaders;
  INFO(name << " " << many);
  SECTION("it is read") {
    Pipe p(begin + others + "Content-Length: 3\r\nX-Org: team\r\nConnection: x, close\r\n\r\nabc");
    Reader in(p.here.get());
    BadRequest bad;
    const auto request = read_whole(in, soon(), bad);
    REQUIRE(request);
    CHECK(request->body == "abc");
    CHECK(request->tenant == "team");
    CHECK_FALSE(request->keep_alive);
  }
  SECTION("a second length, or one beside chunks, is refused") {
    const std::string second = GENERATE(as<std::string>(), "Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n");
    Pipe p(begin + "Content-Length: 3\r\n" + others + second + "\r\nabc");
    Reader in(p.here.get());
    BadRequest bad;
    CHECK_FALSE(read_whole(in, soon(), bad));
    CHECK(bad.status == 400);
  }
}

// Guards against a request that hides another behind a bare line end in a header that is forwarded: a backend may let that end a line.
TEST_CASE("a request's header with a control character is refused whatever its name and however it comes", "[http]") {
  const std::string name = GENERATE(as<std::string>(), "X-Pressure", "x-pressure", "X-Txn", "X-Org", "Idempotency-Key", "X-Resent", "X-Estimate",
                                    "X-Remaining-Ms", "Content-Type", "Host", "Connection", "TE", "X-Odd");
  const std::string control = GENERATE(as<std::string>(), "\n", "\n\n", "\r", "\n\r", std::string(1, '\0'), "\x0b", "\x1f", "\x7f");
  const bool comes_in_parts = GENERATE(false, true);
  INFO(name << ", control character " << static_cast<int>(control[0]) << ", in parts " << comes_in_parts);
  const std::string hidden = "POST /pay/x HTTP/1.1\nX-Txn: inner\nContent-Length: 0\n\n";
  const std::string begin = "POST /view HTTP/1.1\r\n" + kHeaders + "Content-Length: 3\r\n" + name + ": a" + control + hidden;
  const std::string end = "\r\n\r\nabc";
  Pipe p(comes_in_parts ? begin : begin + end, false);
  Reader in(p.here.get());
  if (comes_in_parts) {
    in.read_partial_head();
    REQUIRE(write_all(p.there.get(), end, soon()) == IoResult::done);
  }
  BadRequest bad;
  CHECK_FALSE(read_whole(in, soon(), bad));
  CHECK(bad.status == 400);
}

// Guards against the same in the whole node: nothing of such a request reaches a backend.
TEST_CASE("a request that hides another in its load report reaches no backend", "[http]") {
  const std::string hidden = GENERATE(as<std::string>(), "util=0.5\n\nPOST /pay/x HTTP/1.1\nX-Txn: inner\nX-Remaining-Ms: 900\nContent-Length: 0\n\n",
                                      "util=0.5\nTransfer-Encoding: chunked");
  const std::string workload = GENERATE("view", "order", "pay");
  Server backend(always(ok("done")));
  Fleet fleet({backend.address()});
  Visitor visitor(fleet.node);
  CHECK(visitor.ask(replaced(request(workload), "X-Org: a", "X-Pressure: " + hidden)).status == 400);
  CHECK(backend.connections() == 0);
  CHECK(Visitor(fleet.node).ask(replaced(request(workload), "X-Org: a", "X-Pressure: util=0.5")).status == 200);
}

TEST_CASE("a slow sender is told so at the limit", "[http]") {
  Pipe p("GET /view HTTP/1.1\r\nX-Txn", false);
  Reader in(p.here.get());
  BadRequest bad;
  CHECK_FALSE(read_whole(in, soon(1), bad));
  CHECK(bad.status == 408);
}

TEST_CASE("what decisions need is taken out; the rest goes on as it came", "[http]") {
  Pipe p(
      "POST /order/a%20b?x=1&y HTTP/1.1\r\nHost:  h \r\nx-TXN: t1\r\nX-Org: acme\r\nX-REMAINING-MS: 480\r\n"
      "Idempotency-Key: k\r\nX-Resent: 1\r\nX-Estimate: 1500.5\r\nX-Odd: a,  b\r\nConnection: close\r\n"
      "Content-Length: 4\r\n\r\na\r\nbGET /up HTTP/1.1\r\n\r\n");
  Reader in(p.here.get());
  BadRequest bad;
  const auto r = read_whole(in, soon(), bad);
  REQUIRE(r);
  CHECK(r->workload == "order");
  CHECK(r->tenant == "acme");
  CHECK(r->remaining_ms == 480);
  CHECK(r->hint_micros == 1500.5);
  CHECK(r->has_idempotency_key);
  CHECK(r->is_client_retry);
  CHECK_FALSE(r->keep_alive);
  CHECK(format_request_head(*r, 479) + r->body ==
        "POST /order/a%20b?x=1&y HTTP/1.1\r\nHost:  h \r\nx-TXN: t1\r\nX-Org: acme\r\nIdempotency-Key: k\r\n"
        "X-Resent: 1\r\nX-Estimate: 1500.5\r\nX-Odd: a,  b\r\nContent-Length: 4\r\nX-Remaining-Ms: "
        "479\r\n\r\na\r\nb");
  const auto next = read_whole(in, soon(), bad);
  REQUIRE(next);
  CHECK(next->target == kReadyPath);
}

TEST_CASE("answers in every framing, and what is wrong with them", "[http]") {
  const auto [bytes, got, body] = GENERATE(table<std::string, ReadResult, std::string>({
      {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", ReadResult::whole, "abc"},
      {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", ReadResult::whole, "abc"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nX-T: 1\r\n\r\n",
       ReadResult::whole, "abc"},
      {"HTTP/1.0 200 OK\r\n\r\nabc", ReadResult::whole, "abc"},
      {"HTTP/1.1 204 No Content\r\n\r\n", ReadResult::whole, ""},
      {"", ReadResult::nothing, ""},
      {"HTTP/1.1 200", ReadResult::cut, ""},
      {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", ReadResult::cut, ""},
      {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", ReadResult::cut, ""},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\na", ReadResult::cut, ""},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", ReadResult::malformed, ""},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", ReadResult::malformed, ""},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", ReadResult::malformed, ""},
      {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", ReadResult::malformed, ""},
      {"SSH-2.0-x\r\n\r\n", ReadResult::malformed, ""},
      {"HTTP/1.1 2000 OK\r\n\r\n", ReadResult::malformed, ""},
      {"HTTP/1.1 101 Switch\r\n\r\n", ReadResult::malformed, ""},
      {"HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n", ReadResult::too_large, ""},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffff0\r\n", ReadResult::too_large, ""},
      {"HTTP/1.1 200 OK\r\n\r\n" + std::string(kMaxShortAnswerBytes + 1, 'a'), ReadResult::too_large, ""},
  }));
  Pipe p(bytes);
  Reader in(p.here.get());
  Response r;
  INFO(bytes.substr(0, 200));
  CHECK(read_response(in, soon(), r) == got);
  CHECK((got != ReadResult::whole || r.body == body));
}

TEST_CASE("an answer that is spoilt is told from its first bytes, not at the time limit", "[http]") {
  // The connection stays open, and nothing more comes on it.
  const auto [bytes, got] = GENERATE(table<std::string, ReadResult>({
      {std::string("\0\x17\xf3noise", 8), ReadResult::malformed},
      {"HTTQ", ReadResult::malformed},
      {"HTTP/1.1 200 OK\nContent-Length: 3\n\nabc", ReadResult::malformed},
      {"HTTP/1.1 200 OK\r\nX-Endless: " + std::string(kMaxHeadBytes, 'a'), ReadResult::too_large},
      {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc", ReadResult::too_large},
      {"HTTP/1.1 200 OK\r\nContent-Le", ReadResult::stalled},
      {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", ReadResult::stalled},
      {"HTTP/1.1 200 OK\r\n\r\nabc", ReadResult::stalled},
  }));
  Pipe p(bytes, false);
  Reader in(p.here.get(), milliseconds(30));
  Response r;
  INFO(bytes.substr(0, 200));
  CHECK(read_response(in, soon(), r) == got);
}

TEST_CASE("a load report that can't be read spoils no answer, and interim heads come to an end", "[http]") {
  const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n",
                    answer =
                        "HTTP/1.1 200 OK\r\nX-Pressure: \x01=;\x02"
                        "\r\nContent-Length: 3\r\n\r\nabc";
  std::string many;
  for (int i = 0; i < 20; ++i) many += interim;
  for (const auto& [bytes, got] :
       {std::pair(interim + answer, ReadResult::whole), std::pair(many + answer, ReadResult::malformed)}) {
    Pipe p(bytes);
    Reader in(p.here.get());
    Response r;
    CHECK(read_response(in, soon(), r) == got);
    CHECK((got != ReadResult::whole || r.body == "abc"));
  }
}

// Guards against a good answer that is given up, or not, by how the bytes of its load report are cut.
TEST_CASE("a load report with a bare line end spoils no answer however it comes", "[http]") {
  const std::string report = GENERATE(as<std::string>(), "util\n", "\nContent-Length: 9", "a\rb\rc", "\n\n", "a\n\rb", std::string(2000, '\n'));
  const std::string bytes = "HTTP/1.1 200 OK\r\nx-pressure: " + report + "\r\nContent-Length: 3\r\n\r\nabc";
  const std::string_view head = std::string_view(bytes).substr(0, bytes.find("\r\n\r\n") + 2);
  for (std::size_t cut = 3; cut < head.size(); ++cut) {
    INFO("cut at " << cut);
    REQUIRE(is_head_prefix(head.substr(0, cut), 0, MessageKind::response));
    REQUIRE(is_head_prefix(head, cut - 3, MessageKind::response));
  }
  Pipe p(bytes);
  Reader in(p.here.get());
  Response r;
  CHECK(read_response(in, soon(), r) == ReadResult::whole);
  CHECK(r.body == "abc");
}

// Guards against the same excuse for any other line of an answer, or for a request.
TEST_CASE("a bare line end outside of an answer's load report can't become a head", "[http]") {
  const auto [bytes, kind] = GENERATE(table<std::string, MessageKind>({
      {"HTTP/1.1 200 OK\nX-Pressure: a", MessageKind::response},
      {"HTTP/1.1 200 OK\r\nX-Pressures: a\n", MessageKind::response},
      {"HTTP/1.1 200 OK\r\nX-Pressure\n: a", MessageKind::response},
      {"HTTP/1.1 200 OK\r\nX-Pressure: a\n\r\nX-Odd: b\n", MessageKind::response},
      {"GET /view HTTP/1.1\r\nX-Pressure: a\n", MessageKind::request},
  }));
  INFO(bytes);
  CHECK_FALSE(is_head_prefix(bytes, 0, kind));
}

TEST_CASE("only an answer that says so was turned away", "[http]") {
  const auto [bytes, turned_away] = GENERATE(table<std::string, bool>({
      {"HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", true},
      {"HTTP/1.1 504 No\r\nx-turned-away: 1\r\nContent-Length: 0\r\n\r\n", true},
      {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", false},
      {"HTTP/1.1 500 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", false},
  }));
  Pipe p(bytes);
  Reader in(p.here.get());
  Response r;
  REQUIRE(read_response(in, soon(), r) == ReadResult::whole);
  CHECK(r.turned_away == turned_away);
}

TEST_CASE("a configuration is read whole or refused with what is wrong", "[http]") {
  const Config c = config(list(3, true, {}), "127.0.0.1:1");
  CHECK(c.settings.seed == 0x2a);
  CHECK(c.settings.workloads.size() == 3);
  CHECK(c.settings.workloads[1].semantics == Semantics::idempotency_keyed);
  CHECK(c.settings.connect_timeout == 2500);
  CHECK(c.names.zones.size() == 1);
  CHECK_THROWS_AS(read_config("{"), Malformed);
  CHECK_THROWS_AS(read_config("{\"settings\":{}}"), Malformed);
  CHECK_THROWS_AS(read_config("{\"limits\":{\"sockets\":3},\"settings\":{}}"), Malformed);
  CHECK_THROWS_AS(parse_address("localhost:80"), Malformed);
  CHECK_THROWS_AS(parse_address("127.0.0.1:99999"), Malformed);
}

TEST_CASE("a body's reading goes on after a wait that ended, wherever that was", "[http]") {
  const std::string bytes = "3\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n";
  int ends[2];
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends) == 0);
  const Fd here(ends[0]), there(ends[1]);
  Reader in(here.get());
  Body body(Framing::chunked, 0, 100);
  std::string got;
  for (const char c : bytes) {
    REQUIRE_FALSE(body.whole());
    while (body.next(in, TimePoint::clock::now(), got) == ReadResult::whole) {
    }
    REQUIRE(write_all(there.get(), std::string_view(&c, 1), soon()) == IoResult::done);
  }
  while (!body.whole()) REQUIRE(body.next(in, soon(), got) == ReadResult::whole);
  CHECK(got == "abcde");
}
