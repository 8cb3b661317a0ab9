// Rare orders of events at a node's connections, each made to happen every time. docs/races.md lists them.
#include "net/exchange.h"
#include "stand_in.h"

using namespace stand_in;

namespace {

// Attempts can't be cancelled, and connections may take as long as TCP needs to try twice more.
std::string without_cancel(const std::string& known, const std::string& discovery) {
  const std::string text = replaced(config_text(known, discovery), R"("cancel":true)", R"("cancel":false)");
  return replaced(text, R"("connect-timeout":250000)", R"("connect-timeout":5000000)");
}

}  // namespace

TEST_CASE("where attempts can't be cancelled, none begins after its client has gone", "[races]") {
  Deaf late;
  Server discovery(no_news);
  Node node(read_config(without_cancel(list(1, true, {late.address()}), discovery.address())));
  node.start();
  {
    Visitor visitor(node);
    visitor.send(request("pay", "x", 3900));
    while (node.counters().handed_off == 0) std::this_thread::yield();
  }
  while (node.counters().client_gone == 0) std::this_thread::yield();
  late.hear();
  node.stop({});  // once the attempt has ended
  CHECK(late.requests() == 0);
  CHECK(node.counters().ended[static_cast<std::size_t>(Ended::withdrawn)] == 1);
}

TEST_CASE("where attempts can't be cancelled, no copy begins once another has answered", "[races]") {
  Deaf late;
  Flag copied;
  Server first([&](const Server::Call&) { return copied.await(), ok("first"); });
  Server discovery(no_news);
  Node node(read_config(without_cancel(list(1, true, {first.address(), late.address()}), discovery.address())));
  node.start();
  Visitor visitor(node);
  visitor.send(request("view", "x", 30000));
  // One of the two is tried first, and the other gets the copy.
  while (node.counters().handed_off < 2) std::this_thread::yield();
  copied.set();
  Response response;
  REQUIRE(visitor.receive(response) == Got::whole);
  CHECK(response.body == "first");
  late.hear();
  node.stop({});
  CHECK(late.requests() == 0);
}

TEST_CASE("a request whose client has gone before it is read is not sent", "[races]") {
  // The thread that watches clients' sockets may run later than the one that sends.
  Server backend(always(ok("")));
  Server discovery(no_news);
  Node node(config(list(1, true, {backend.address()}), discovery.address()));
  constexpr int kClients = 40;
  for (int i = 0; i < kClients; ++i) {
    Visitor visitor(node);
    visitor.send(request("view"));
  }
  node.start();
  const Counters& counters = node.counters();
  while (counters.client_gone + counters.succeeded + counters.rejected < kClients) std::this_thread::yield();
  node.stop({});
  CHECK(backend.calls() == 0);
}

TEST_CASE("the end of a peer is seen behind bytes that nobody has read", "[races]") {
  int ends[2];
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends) == 0);
  Fd here(ends[0]), there(ends[1]);
  CHECK_FALSE(peer_has_closed(here.get()));
  REQUIRE(write_all(there.get(), "half a line", soon()) == Io::done);
  CHECK_FALSE(peer_has_closed(here.get()));
  there.reset();
  CHECK(peer_has_closed(here.get()));
}
