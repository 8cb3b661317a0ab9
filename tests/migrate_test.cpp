#include <fstream>
#include <nlohmann/json.hpp>

#include "migrate/migrate.h"
#include "stand_in.h"

using namespace stand_in;
using migrate::Migrated;

namespace {

std::string old_file(const std::string& listen = "10.0.0.4:8081") {
  return config_text(list(7, true, {"10.1.0.1:80"}), "127.0.0.1:1", 256, listen);
}
Migrated moved(const migrate::Target& target) { return migrate::migrate(old_file(), target); }
bool has(const std::vector<std::string>& lines, const std::string& start) {
  return std::any_of(lines.begin(), lines.end(), [&](const std::string& l) { return l.starts_with(start); });
}
int run_program(const std::string& arguments) {
  const int status = std::system((std::string(TROUTSTAGE_PROGRAM) + " " + arguments).c_str());
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

}  // namespace

TEST_CASE("a pool's file becomes one for a node beside each process", "[migrate]") {
  const Migrated to = moved({500, 100, "127.0.0.1:8081"});
  const Config c = read_config(to.text);
  CHECK(c.listen == "127.0.0.1:8081");
  CHECK(c.settings.nodes == 500);
  CHECK_FALSE(c.settings.is_discovery_on_request);
  CHECK_FALSE(c.settings.may_hedge);
  const Config before = read_config(old_file());
  CHECK(c.settings.workloads == before.settings.workloads);
  CHECK(c.settings.slow_start_multiple == before.settings.slow_start_multiple);
  CHECK(c.descriptors == before.descriptors);
  CHECK(c.unused.size() == 2);  // probes and streams, which sockets don't have
  for (const char* own : {"name", "seed", "known", "settings.rules.ask-within"}) CHECK(has(to.left, own));
  CHECK(nlohmann::json::parse(to.text).count("known") == 0);
  CHECK(moved({500, 100, "127.0.0.1:8081"}).text == to.text);
  CHECK_THROWS_AS(migrate::migrate(to.text, {500, 100, ""}), Malformed);  // it is of the new shape
  CHECK(has(migrate::migrate(replaced(old_file(), "{\"name\"", "{\"odd\":1,\"name\""), {}).left, "odd"));
}

TEST_CASE("what no old file says is left out, so that the new one can't be used before it is said",
          "[migrate]") {
  const Migrated to = moved({});
  for (const char* told : {"listen", "settings.instances", "settings.bounds.streams-per-conn"})
    CHECK(has(to.left, told));
  CHECK_THROWS_WITH(read_config(to.text), "setting instances is missing");
  CHECK_THROWS_AS(migrate::migrate("{\"settings\":{}}", {}), Malformed);
  CHECK_THROWS_AS(migrate::migrate(old_file().substr(0, 300), {}), Malformed);
  CHECK_THROWS_AS(moved({-1, 0, ""}), Malformed);
}

TEST_CASE("the command writes one new file or none", "[migrate]") {
  const File from(old_file());
  const std::string to = from.path() + ".new", call = "migrate " + from.path() + " --to " + to;
  CHECK(run_program(call + " --nodes 9 --dry-run >/dev/null 2>/dev/null") == 0);
  CHECK_FALSE(std::filesystem::exists(to));
  CHECK(run_program(call + " --nodes 9 --listen nowhere 2>/dev/null >/dev/null") == 2);
  CHECK_FALSE(std::filesystem::exists(to));
  CHECK(run_program(call + " --nodes 9 --listen 127.0.0.1:8081 2>/dev/null") == 0);
  CHECK(read_config(read_file(to)).settings.nodes == 9);
  CHECK(run_program(call + " --nodes 8 >/dev/null 2>/dev/null") == 2);  // it is there already
  CHECK(read_config(read_file(to)).settings.nodes == 9);
  CHECK(read_file(from.path()) == old_file());
  std::filesystem::remove(to);
}

TEST_CASE("every setting that the decisions read is checked, and has render-portal's form as its default",
          "[migrate]") {
  const std::string text = old_file();
  CHECK_FALSE(read_config(text).settings.may_probe);
  const auto with = [&](const std::string& what, const std::string& by) {
    return replaced(text, what, by);
  };
  const std::string probes = "\"probes\":false";
  CHECK_THROWS_WITH(read_config(with(probes, probes + ",\"streams-per-conn\":0")),
                    "bounds.streams-per-conn is not over 0");
  CHECK_THROWS_WITH(read_config(with("\"tick\"", "\"costs\":{\"cross-zone\":-1},\"tick\"")),
                    "costs.cross-zone is below 0");
  CHECK(read_config(with("\"tick\"", "\"costs\":{\"handshake\":0.5},\"tick\"")).settings.connect_cost == 0.5);
  CHECK_THROWS_WITH(read_config(with("\"tick\"", "\"report\":{\"how\":\"loudly\"},\"tick\"")),
                    "unknown report.how 'loudly'");
  CHECK_THROWS_WITH(read_config(with("on_request", "sometimes")), "unknown discovery 'sometimes'");
  CHECK(read_config(with(probes, "\"probes\":true")).unused.empty());  // without reports they tell nothing
  CHECK(read_config(with("\"tick\"", "\"report\":{\"how\":\"pull\"},\"tick\"")).unused.empty());
}

TEST_CASE("a node with the new shape's file gets its list, loses discovery and gets it again", "[migrate]") {
  Server backend([](const Server::Call&) { return ok("here"); });
  std::atomic<int> calls{0};
  Server discovery([&](const Server::Call& call) {
    if (calls++ == 0) return std::string("HTTP/1.1 503 Later\r\nContent-Length: 0\r\n\r\n");
    return calls == 2 ? ok(list(1, true, {backend.address()})) : no_news(call);
  });
  Migrated to = migrate::migrate(config_text("[]", discovery.address()), {1, 0, "127.0.0.1:0"});
  Config c = read_config(to.text);
  const auto made = std::make_unique<Node>(std::move(c));
  Node& node = *made;
  node.start();
  Response r;
  const TimePoint end = soon();
  do {
    Visitor visitor(node);
    r = visitor.ask(request("view"));
  } while (r.status != 200 && TimePoint::clock::now() < end);
  CHECK(r.status == 200);
  CHECK(r.body == "here");
  CHECK(calls.load() >= 2);
}
