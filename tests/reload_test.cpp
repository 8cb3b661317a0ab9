// Settings that change under a node: requests under way, and a stop soon after.
#include <nlohmann/json.hpp>

#include "faulty_node.h"

using namespace faulty_node;

namespace {

using Edit = std::function<void(nlohmann::json&)>;

// Puts a changed configuration in the place of the file, in one step.
void edit_file(const std::string& path, const Edit& edit) {
  nlohmann::json text = nlohmann::json::parse(std::ifstream(path));
  edit(text);
  std::ofstream(path + ".new") << text.dump();
  std::filesystem::rename(path + ".new", path);
}

Edit sets_cancel(bool may_cancel) {
  return [may_cancel](nlohmann::json& text) { text["settings"]["bounds"]["cancel"] = may_cancel; };
}

// Sets the time limit of all workloads but the first.
Edit sets_other_limits(int limit_ms) {
  return [limit_ms](nlohmann::json& text) {
    auto& workloads = text["settings"]["workloads"];
    for (std::size_t i = 1; i < workloads.size(); ++i) workloads[i]["time-limit"] = limit_ms * 1000;
  };
}

void drop_other_workloads(nlohmann::json& text) {
  auto& workloads = text["settings"]["workloads"];
  workloads.erase(workloads.begin() + 1, workloads.end());
}

void await_reloads(const FaultyNode& node, int count) {
  const std::string line = "\nreloads " + std::to_string(count) + "\n";
  const TimePoint limit = soon();
  while (Visitor(node.address()).ask("GET /counters HTTP/1.1\r\n\r\n").body.find(line) == std::string::npos)
    REQUIRE(TimePoint::clock::now() < limit);
}

// Sends requests to a backend that hangs, and waits until it has them.
std::vector<std::unique_ptr<Visitor>> hanging_requests(FaultyNode& node, const std::vector<std::string>& workloads, int limit_ms) {
  std::vector<std::unique_ptr<Visitor>> visitors;
  for (const std::string& workload : workloads) {
    visitors.push_back(std::make_unique<Visitor>(node.address()));
    visitors.back()->send(request(workload, "x", limit_ms));
  }
  const TimePoint limit = soon();
  while (node.backend().calls() < static_cast<int>(workloads.size())) {
    REQUIRE(TimePoint::clock::now() < limit);
    std::this_thread::yield();
  }
  return visitors;
}

}  // namespace

// Guards against a stop that is planned by the time limits of workloads that a reload took away or changed, and finds the kill.
TEST_CASE("a stop after a reload ends before the kill that follows the time limits of the new settings", "[ops]") {
  struct Row {
    std::string name;
    std::vector<Edit> reloads;
  };
  const auto row = GENERATE(values<Row>({{"workloads vanish", {sets_other_limits(6000), drop_other_workloads}},
                                         {"limits fall", {sets_other_limits(3000), sets_other_limits(kTimeLimit)}},
                                         {"in a row", {sets_other_limits(2000), sets_other_limits(6000), sets_other_limits(kTimeLimit)}}}));
  // With SIGTERM right behind the last SIGHUP the new settings are applied while the node stops.
  const bool awaits_last_reload = GENERATE(true, false);
  INFO(row.name << ", the last reload is awaited " << awaits_last_reload);
  FaultyNode node("", no_news);
  REQUIRE(node.comes_up());
  int reloads = 0;
  for (std::size_t i = 0; i + 1 < row.reloads.size(); ++i) {
    edit_file(node.config_path(), row.reloads[i]);
    node.program().signal(SIGHUP);
    await_reloads(node, ++reloads);
  }
  const auto visitors = hanging_requests(node, {"view", "view", "pay", "order"}, 3000);
  edit_file(node.config_path(), row.reloads.back());
  node.program().signal(SIGHUP);
  if (awaits_last_reload) await_reloads(node, ++reloads);
  const TimePoint told = TimePoint::clock::now();
  node.program().signal(SIGTERM);
  CHECK(unanswered_at_kill(node, told, visitors) == 0);
}

// Guards against attempts that nobody ends: the thread that has to answer runs the attempt, and newer settings bar its cancellation.
TEST_CASE("requests under way are answered before the kill though a reload changes whether attempts may be cancelled", "[ops]") {
  const bool may_cancel = GENERATE(true, false);
  const int reloads = GENERATE(1, 2);
  INFO("cancel " << may_cancel << " at first, reloads " << reloads);
  FaultyNode node("", no_news, false, "", {}, may_cancel);
  REQUIRE(node.comes_up());
  const auto visitors = hanging_requests(node, {"view", "order", "pay"}, 6000);
  for (int i = 1; i <= reloads; ++i) {
    edit_file(node.config_path(), sets_cancel((i % 2 == 1) != may_cancel));
    node.program().signal(SIGHUP);
    await_reloads(node, i);
  }
  const TimePoint told = TimePoint::clock::now();
  node.program().signal(SIGTERM);
  CHECK(unanswered_at_kill(node, told, visitors) == 0);
}

// Guards against the same where nothing stops: an attempt goes on for a client that has left.
TEST_CASE("an attempt is ended as its client leaves though a reload has barred cancels meanwhile", "[ops]") {
  const std::string workload = GENERATE("view", "order", "pay");
  Flag reached, ended;
  Server discovery(no_news), backend([&](const Server::Call& call) {
    reached.set();
    if (call.server.ended(call)) ended.set();
    return std::string();
  });
  const File file(config_text(list(1, true, {backend.address()}), discovery.address()));
  // An attempt whose answer would be worth nothing ends by itself.
  edit_file(file.path(), [](nlohmann::json& text) {
    for (auto& one : text["settings"]["workloads"]) one["due-time"] = one["time-limit"] = 60'000'000;
  });
  const auto node = std::make_unique<Node>(read_config(read_file(file.path())));
  node->start();
  Visitor visitor(*node);
  visitor.send(request(workload, "x", 60000));
  reached.await();
  edit_file(file.path(), sets_cancel(false));
  node->reload(file.path());
  CHECK(node->counters().reloads == 1);
  visitor.leave();
  ended.await();
}

// Guards against connections that are used for as long as the first settings said: their backend closes them sooner, and loses a request.
TEST_CASE("connections to backends are retired by the keepalive of the newest settings", "[ops]") {
  constexpr milliseconds kIdle{700};  // longer than half of the new keepalive, and far below the first one
  Server discovery(no_news), backend(always(ok("done")));
  const File file(config_text(list(1, true, {backend.address()}), discovery.address()));
  const auto node = std::make_unique<Node>(read_config(read_file(file.path())));
  node->start();
  const bool reloads = GENERATE(false, true);
  if (reloads) {
    edit_file(file.path(), [](nlohmann::json& text) { text["settings"]["bounds"]["keepalive"] = 1'000'000; });
    node->reload(file.path());
  }
  Visitor visitor(*node);
  for (int i = 0; i < 3; ++i) {
    CHECK(visitor.ask(request("view")).status == 200);
    std::this_thread::sleep_for(kIdle);
  }
  CHECK(backend.connections() == (reloads ? 3 : 1));
}

// Guards against the answer of a second copy that waits until the first attempt ends by itself, which newer settings bar from being cancelled.
TEST_CASE("the answer of a second attempt is passed on at once though a reload has barred cancels meanwhile", "[ops]") {
  Flag reached;
  std::atomic<int> calls{0};
  const auto first_hangs = [&](const Server::Call& call) {
    if (calls++ > 0) return ok("the second one");
    reached.set();
    return no_news(call);
  };
  Server one(first_hangs), other(first_hangs), discovery(no_news);
  const File file(config_text(list(1, true, {one.address(), other.address()}), discovery.address()));
  const auto node = std::make_unique<Node>(read_config(read_file(file.path())));
  node->start();
  Visitor visitor(*node);
  visitor.send(request("view", "", 12000));
  const TimePoint sent = TimePoint::clock::now();
  reached.await();
  edit_file(file.path(), sets_cancel(false));
  node->reload(file.path());
  Response r;
  REQUIRE(visitor.receive(r) == ReadResult::whole);
  CHECK(r.body == "the second one");
  CHECK(TimePoint::clock::now() - sent < milliseconds(6000));
}
