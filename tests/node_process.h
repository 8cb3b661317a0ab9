// One process of the program before some backends, ready when the object is made.
#pragma once

#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <numeric>

#include "stand_in.h"

namespace node_process {

using namespace stand_in;

struct Terms {
  bool may_cancel = true;
  int due_ms = 2000, longest_limit_ms = 1000;
  std::string faults = {};  // for the shim (tests/faults); empty: it is not loaded
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
    start(addresses, terms);
  }
  explicit Process(const std::vector<std::string>& backends, const Terms& terms = {}) { start(backends, terms); }
  const std::string& address() const { return address_; }
  pid_t id() const { return program_->id(); }
  // Requests that its own backends have taken.
  int calls() const {
    return std::accumulate(backends_.begin(), backends_.end(), 0, [](int sum, const auto& backend) { return sum + backend->calls(); });
  }
  void reload(bool may_cancel) const {
    auto json = json_;
    json["settings"]["bounds"]["cancel"] = may_cancel;
    const std::string next = file_.path() + ".next";
    std::ofstream(next) << json.dump();
    std::filesystem::rename(next, file_.path());
    ::kill(program_->id(), SIGHUP);
  }

 private:
  void start(const std::vector<std::string>& addresses, const Terms& terms) {
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
    json_ = json;
    file_.write(json.dump());
    std::vector<std::string> variables;
    if (!terms.faults.empty())
      variables = {std::string("LD_PRELOAD=") + TROUTSTAGE_FAULT_SHIM, "TROUTSTAGE_FAULTS=" + terms.faults, "ASAN_OPTIONS=verify_asan_link_order=0"};
    program_ = std::make_unique<Program>(file_, variables);
    REQUIRE(becomes_ready(address_));
  }

  nlohmann::json json_;
  std::vector<std::unique_ptr<Server>> backends_;
  Server discovery_{no_news};
  File file_{""};
  std::string address_;
  std::unique_ptr<Program> program_;
};

}  // namespace node_process
