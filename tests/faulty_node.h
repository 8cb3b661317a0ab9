// One process of the program with the shim for failing calls, before one backend, and what its clients saw.
#pragma once

#include "fault_fleet.h"

namespace faulty_node {

using namespace fault_fleet;

inline constexpr int kTimeLimit = 1000;                 // milliseconds: the longest that the settings name
inline constexpr milliseconds kKill{kTimeLimit + 700};  // the earliest SIGKILL after SIGTERM
inline constexpr milliseconds kHoldUp{150};             // for so long a process may stand still
inline constexpr milliseconds kClientSlack{60};         // a client waits for so much longer than it says
inline constexpr const char* kSystemTellsNothing = "call=tcp_info,error=ENOPROTOOPT";  // of when a connection's bytes came

inline constexpr const char* kSystemTellsInPart = "call=tcp_info,says=0";  // a round trip, and 0 for all times

// Where a process's log goes, and whether it tells of single requests too.
struct LogTo {
  int fd = -1;  // -1: the test's own standard error
  bool verbose = false;
};

// One process with the shim, before one backend. Its faults happen while the switch is on, standing ones always.
class FaultyNode {
 public:
  explicit FaultyNode(const std::string& faults, Server::Handler handler = always(ok("done")),
                      bool on_at_start = false, const std::string& standing_faults = "", const LogTo& log_to = {}, bool may_cancel = true)
      : backend_(std::move(handler)), discovery_(no_news), switch_("") {
    if (!on_at_start) turn_off();
    {
      const Fd fd = listen_on(parse_address("127.3.0.1:0"));
      address_ = "127.3.0.1:" + std::to_string(port_of(fd.get()));
    }
    auto json = nlohmann::json::parse(
        config_text(list(1, true, {backend_.address()}), discovery_.address(), 256, address_));
    for (auto& workload : json["settings"]["workloads"]) workload["time-limit"] = kTimeLimit * 1000;
    json["settings"]["bounds"]["cancel"] = may_cancel;
    file_.write(json.dump());
    std::string rules = standing_faults.empty() ? "" : standing_faults + ";";
    std::istringstream given(faults);
    for (std::string rule; std::getline(given, rule, ';');) rules += rule + ",while=" + switch_.path() + ";";
    program_ = std::make_unique<Program>(
        file_,
        std::vector<std::string>{std::string("LD_PRELOAD=") + TROUTSTAGE_FAULT_SHIM,
                                 "TROUTSTAGE_FAULTS=" + rules, "ASAN_OPTIONS=verify_asan_link_order=0"},
        -1, log_to.verbose, log_to.fd);
  }
  void turn_on() { switch_.write(""); }
  void turn_off() { std::filesystem::remove(switch_.path()); }
  bool comes_up() const { return becomes_ready(address_); }
  const std::string& address() const { return address_; }
  Program& program() { return *program_; }
  Server& backend() { return backend_; }
  const std::string& config_path() const { return file_.path(); }

 private:
  Server backend_, discovery_;
  File switch_, file_{""};
  std::string address_;
  std::unique_ptr<Program> program_;
};

// Killed as early as the terms allow; how many of these got no answer before.
inline int unanswered_at_kill(FaultyNode& node, TimePoint told, const std::vector<std::unique_ptr<Visitor>>& visitors) {
  std::this_thread::sleep_until(told + kKill);
  node.program().signal(SIGKILL);
  node.program().exit_code();
  return static_cast<int>(std::count_if(visitors.begin(), visitors.end(), [](const auto& visitor) {
    Response r;
    return visitor->receive(r) != ReadResult::whole;
  }));
}

// How many of so many requests got no answer: each on a new connection, or all on one.
inline int unanswered_on_new(const FaultyNode& node, int requests) {
  int unanswered = 0;
  for (int i = 0; i < requests; ++i) {
    const Fd fd = new_socket();
    Reader in(fd.get());
    Response r;
    if (connect_to(fd.get(), parse_address(node.address()), soon()) != IoResult::done ||
        write_all(fd.get(), request("view", "x", kTimeLimit), soon()) != IoResult::done ||
        read_response(in, soon(kTimeLimit + 500), r) != ReadResult::whole)
      ++unanswered;
  }
  return unanswered;
}
inline int unanswered_on_one(const FaultyNode& node, int requests) {
  const Fd fd = new_socket();
  Reader in(fd.get());
  if (connect_to(fd.get(), parse_address(node.address()), soon()) != IoResult::done) return requests;
  for (int i = 0; i < requests; ++i) {
    Response r;
    if (write_all(fd.get(), request("view", "x", kTimeLimit), soon()) != IoResult::done ||
        read_response(in, soon(kTimeLimit + 500), r) != ReadResult::whole || !r.keep_alive)
      return requests - i;
  }
  return 0;
}

}  // namespace faulty_node
