// Settings that change under a node, and a stop soon after.
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
