// The program's sub-commands.
#include <malloc.h>
#include <signal.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <system_error>

#include "config/config.h"
#include "lab/command.h"
#include "log/log.h"
#include "migrate/migrate.h"
#include "net/node.h"
#include "ops/door.h"
#include "ops/figures.h"

namespace {

namespace options = boost::program_options;
using namespace troutstage;

constexpr std::string_view kVersion = "0.3.0";
constexpr std::chrono::milliseconds kLogPatience{150};  // at the end, for lines that are not written yet

std::string environment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

std::string config_path(const options::variables_map& given) {
  return given.count("config") ? given["config"].as<std::string>() : environment("RELAY_CONFIG");
}

Config load(const options::variables_map& given) {
  const std::string path = config_path(given);
  if (path.empty()) throw Malformed("no configuration: give --config FILE or set RELAY_CONFIG");
  const std::string text = read_file(path);
  Config config = [&] {
    try {
      return read_config(text);
    } catch (const Malformed& wrong) {
      throw Malformed("configuration '" + path + "': " + wrong.what());
    }
  }();
  const auto over = [&](std::string& value, const char* variable, const char* option, bool may_lack = false) {
    if (const std::string told = environment(variable); !told.empty()) value = told;
    if (given.count(option)) value = given[option].as<std::string>();
    if (value.empty() && !may_lack) throw Malformed(std::string(option) + " is not set");
  };
  over(config.name, "RELAY_NAME", "name");
  over(config.listen, "RELAY_LISTEN", "listen");
  over(config.discovery, "RELAY_DISCOVERY", "discovery");
  over(config.mgmt, "RELAY_MGMT", "mgmt", true);
  net::parse_address(config.listen);
  net::parse_address(config.discovery);
  if (const std::string fleet = given.count("fleet") ? given["fleet"].as<std::string>() : environment("TROUTSTAGE_FLEET"); !fleet.empty()) {
    try {
      config.fleet = read_fleet(read_file(fleet));
    } catch (const Malformed& wrong) {
      throw Malformed("fleet file '" + fleet + "': " + wrong.what());
    }
    if (config.fleet.membership.enabled) config.own_descriptors += net::MembershipTransport::kDescriptors;
  }
  if (!config.mgmt.empty()) net::parse_address(config.mgmt), config.own_descriptors += ops::Door::kDescriptors;
  if (const std::string passed = environment("RELAY_PASSED_SOCKET"); !passed.empty()) {
    const std::int64_t fd = parse_integer(passed, "RELAY_PASSED_SOCKET");
    if (fd < 3 || fd > 1000000) throw Malformed("RELAY_PASSED_SOCKET is out of range");
    config.passed_socket = static_cast<int>(fd);
    config.scratch = environment("TMPDIR");
    if (config.scratch.empty()) config.scratch = "/tmp";
  }
  return config;
}

// What operators ask and order, as the node understands it.
class Desk : public ops::Operated {
 public:
  explicit Desk(net::Node& node) : node_(node) {}
  bool ready() override { return node_.ready(); }
  bool drain() override { return node_.drain(); }
  bool activate() override { return node_.activate(); }
  std::string metrics() override { return ops::figures_text(node_.metrics()); }
  std::optional<std::string> members() override { return node_.members(); }

 private:
  net::Node& node_;
};

// Signals are waited for in serve(); threads that start later have them blocked. Blocked before the configuration is read:
// an order to read it anew, or to tell the counters, would otherwise end a node that is starting.
sigset_t block_signals() {
  sigset_t signals;
  ::sigemptyset(&signals);
  for (int s : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) ::sigaddset(&signals, s);
  ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  ::signal(SIGPIPE, SIG_IGN);
  return signals;
}

int next_signal(const sigset_t& signals) {
  int got = 0;
  while (::sigwait(&signals, &got) != 0) {  // a wait that fails is no order to end
  }
  return got;
}

// Whoever serves must not wait for the reader of the log.
void log_in_background() {
  const auto starts = [] {
    try {
      log::write_in_background();
      return true;
    } catch (const std::system_error& failed) {
      errno = failed.code().value() == EAGAIN ? ENOMEM : failed.code().value();
      return false;
    }
  };
  if (!net::retry_on_shortage("pthread_create", starts)) throw std::runtime_error("can't start the thread for the log");
}

int serve(const Config& config, const std::string& path, const sigset_t& signals) {
  // Few arenas: with one for each thread, memory would grow with the threads.
  ::mallopt(M_ARENA_MAX, 2);
  // Blocks of answers go back to the system as soon as they are freed. Left to itself, the allocator raises this
  // threshold with the largest block that it has seen.
  ::mallopt(M_MMAP_THRESHOLD, 64 * 1024);
  ::mallopt(M_TRIM_THRESHOLD, 128 * 1024);
  net::Node node(config);
  Desk desk(node);
  std::optional<ops::Door> door;  // gone before the node: until then it answers
  if (!config.mgmt.empty()) door.emplace(net::parse_address(config.mgmt), desk);
  node.start();
  for (int got = next_signal(signals); got == SIGUSR1 || got == SIGHUP; got = next_signal(signals)) {
    if (got == SIGHUP) node.reload_in_background(path);
    else log::info("{}", node.counters_text());
  }
  node.stop_before_kill();
  log::info("{}", node.counters_text());
  return 0;
}

// Written beside and moved into place: no half of a file is ever found there.
void write_new(const std::string& path, const std::string& text) {
  if (std::filesystem::exists(path)) throw Malformed("'" + path + "' is there already");
  const std::string beside = path + ".part";
  std::ofstream out(beside);
  out << text << std::flush;
  if (!out) throw Malformed("can't write '" + path + "'");
  out.close();
  std::filesystem::rename(beside, path);
}

int migrate_file(const options::variables_map& given) {
  const std::string from = config_path(given);
  if (from.empty()) throw Malformed("no configuration: say migrate OLD, give --config or set RELAY_CONFIG");
  const bool dry = given.count("dry-run") > 0;
  if (!dry && !given.count("to")) throw Malformed("give --to FILE for the new configuration, or --dry-run");
  migrate::Target target;
  if (given.count("nodes")) target.nodes = given["nodes"].as<int>();
  if (given.count("streams")) target.streams = given["streams"].as<int>();
  if (given.count("listen")) net::parse_address(target.listen = given["listen"].as<std::string>());
  const migrate::Migrated to = migrate::migrate(read_file(from), target);
  if (!dry) write_new(given["to"].as<std::string>(), to.text);
  for (const std::string& line : to.changed) std::cerr << "changed  " << line << "\n";
  for (const std::string& line : to.left) std::cerr << "left out " << line << "\n";
  if (dry) std::cerr << "nothing was written; the new file would be:\n";
  if (dry) std::cout << to.text;
  return 0;
}

int run(int argc, char** argv) {
  const std::string command = argc > 1 && argv[1][0] != '-' ? argv[1] : argc > 1 ? "help" : "serve";
  options::options_description all("Options");
  auto add = all.add_options();
  add("config", options::value<std::string>(), "configuration file (else RELAY_CONFIG)");
  add("name", options::value<std::string>(), "the node's name (else RELAY_NAME, else the file's)");
  add("listen", options::value<std::string>(),
      "ADDRESS:PORT for clients (else RELAY_LISTEN, else the file's)");
  add("discovery", options::value<std::string>(),
      "ADDRESS:PORT of discovery (else RELAY_DISCOVERY, else the file's)");
  add("mgmt", options::value<std::string>(),
      "ADDRESS:PORT for operators' calls (else RELAY_MGMT, else the file's, else none)");
  add("fleet", options::value<std::string>(),
      "what nodes do together, a JSON file (else TROUTSTAGE_FLEET, else nothing)");
  add("to", options::value<std::string>(), "migrate: the new configuration's file, which must not exist");
  add("nodes", options::value<int>(), "migrate: how many processes there are, each with a node");
  add("streams", options::value<int>(), "migrate: hand-offs that a connection carries at once");
  add("dry-run", "migrate: write nothing, show what would be written");
  add("log-format", options::value<std::string>(), "text (the default) or json, an object a line");
  add("verbose", "log what happens to single requests too");
  if (command == "help") {
    std::cout << "troutstage serve|check|migrate|lab|version|help [options]\n"
                 "  serve    run a node until SIGTERM; SIGUSR1 logs its counters,\n"
                 "           SIGHUP reads the configuration file anew (the default)\n"
                 "  check    read the configuration and say whether it can be used\n"
                 "  migrate  write the counterpart of a pool's configuration for a node beside each\n"
                 "           client process, and list what it could not carry over\n"
                 "  lab      try what nodes do together on a virtual clock, see troutstage lab help\n"
                 "  version  print the version\n\n"
              << all;
    return 0;
  }
  if (command == "version") {
    std::cout << "troutstage " << kVersion << "\n";
    return 0;
  }
  if (command == "lab") return lab::command(argc - 1, argv + 1);
  if (command != "serve" && command != "check" && command != "migrate")
    throw Malformed("unknown command '" + command + "', see help");
  options::variables_map given;
  options::positional_options_description places;
  if (command == "migrate") places.add("config", 1);
  options::store(options::command_line_parser(std::max(0, argc - 1), argv + std::min(1, argc))
                     .options(all).positional(places).run(),
                 given);
  constexpr std::pair<std::string_view, log::Format> kFormats[] = {{"text", log::Format::text}, {"json", log::Format::json}};
  if (given.count("log-format")) log::set_format(parse_enum(given["log-format"].as<std::string>(), kFormats, "log format"));
  if (given.count("verbose")) log::set_least(log::Level::debug);
  if (command == "migrate") return migrate_file(given);
  const sigset_t signals = command == "serve" ? block_signals() : sigset_t{};
  if (command == "serve") log_in_background();
  const Config config = load(given);
  for (const std::string& line : config.unused) log::warning("not followed: {}", line);
  if (command == "serve") return serve(config, config_path(given), signals);
  std::cout << "configuration can be used: " << config.name << " on " << config.listen << ", "
            << config.settings.workloads.size() << " workloads\n";
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  int code = 2;
  try {
    code = run(argc, argv);
  } catch (const std::exception& wrong) {
    std::cerr << "troutstage: " << wrong.what() << std::endl;
  }
  log::flush(kLogPatience);
  return code;
}
