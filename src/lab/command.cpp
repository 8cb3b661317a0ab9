#include "lab/command.h"

#include <fmt/format.h>
#include <sys/resource.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "config/config.h"
#include "lab/explore.h"
#include "lab/members_world.h"

namespace troutstage::lab {
namespace {

namespace options = boost::program_options;
using Json = nlohmann::ordered_json;

constexpr std::pair<std::string_view, Policy> kPolicies[] = {
    {"agreed", Policy::agreed}, {"heartbeats", Policy::heartbeats}, {"swim", Policy::swim}};
constexpr std::string_view kDays[] = {"drawn", "crash", "zone", "calm", "loss", "pauses"};

// The days by which the policies are compared. `amount`: the share lost, for those that lose.
Scenario day(std::string_view name, std::uint64_t seed, std::uint32_t nodes, double seconds, double amount) {
  if (name == "drawn") return drawn(seed, nodes, seconds);
  Scenario sc;
  sc.seed = seed, sc.nodes = nodes, sc.seconds = seconds, sc.settle = 0;
  sc.zones = 5;
  const auto pick = [&](std::uint64_t n) { return static_cast<Index>((seed * 7919 + n * 104729) % nodes); };
  if (amount > 0) sc.faults.push_back({Fault::Kind::loss, 0, seconds, {}, amount});
  if (name == "crash") {
    sc.faults.push_back({Fault::Kind::crash, 1, 0, {pick(1)}, 0});
  } else if (name == "zone") {
    Fault f{Fault::Kind::lost_zone, 1, 0, {}, 0};
    for (Index n = 0; n < nodes; ++n)
      if (n * sc.zones / nodes == 2) f.nodes.push_back(n);
    sc.faults.push_back(f);
  } else if (name == "pauses") {
    // One in ten stands still now and then, for up to a second.
    for (double at = 1; at < seconds - 2; at += 2) {
      Fault f{Fault::Kind::pause, at, at + 0.3 + 0.07 * (static_cast<int>(at) % 10), {}, 0};
      for (std::uint64_t n = 0; n < std::max<std::uint32_t>(1, nodes / 10); ++n)
        if (const Index one = pick(n * 31 + static_cast<std::uint64_t>(at)); std::find(f.nodes.begin(), f.nodes.end(), one) == f.nodes.end())
          f.nodes.push_back(one);
      sc.faults.push_back(f);
    }
  }
  return sc;
}

double quantile(std::vector<double> all, double q) {
  if (all.empty()) return -1;
  std::sort(all.begin(), all.end());
  return all[std::min(all.size() - 1, static_cast<std::size_t>(q * static_cast<double>(all.size())))];
}

void write_whole(const std::filesystem::path& path, const std::string& text) {
  const std::filesystem::path part = path.string() + ".part";
  std::ofstream out(part);
  out << text << std::flush;
  if (!out) throw Malformed("can't write '" + path.string() + "'");
  out.close();
  std::filesystem::rename(part, path);
}

// The members of the newest view and who knows the majority, over the first run's time.
void plot(const std::filesystem::path& folder, const Outcome& o) {
  std::string rows = "# seconds live in_majority members part_sum\n";
  for (const auto& s : o.samples)
    rows += fmt::format("{:.1f} {} {} {} {:.4f}\n", s.at, s.live, s.in_majority, s.members, s.part_sum);
  write_whole(folder / "members.dat", rows);
  write_whole(folder / "members.gp",
              "set terminal svg size 900,420 background '#ffffff'\nset output 'members.svg'\nset xlabel 'seconds'\n"
              "set ylabel 'nodes'\nset y2label 'sum of all parts'\nset y2tics\nset y2range [0:1.05]\nset key bottom right\n"
              "plot 'members.dat' using 1:2 with steps lw 2 title 'live', '' using 1:4 with steps lw 2 title 'in the newest view', "
              "'' using 1:3 with steps lw 2 title 'know a majority', '' using 1:5 axes x1y2 with steps dt 2 title 'sum of parts'\n");
}

int members(int argc, char** argv) {
  options::options_description all("troutstage lab members [options]");
  auto add = all.add_options();
  add("nodes", options::value<std::uint32_t>()->default_value(9), "how many, 3 to 2000");
  add("seed", options::value<std::uint64_t>()->default_value(1), "the first seed: the same seed is the same run, step for step");
  add("seeds", options::value<std::uint64_t>()->default_value(1), "how many seeds, one after the other");
  add("seconds", options::value<double>()->default_value(30), "how long the faults last");
  add("day", options::value<std::string>()->default_value("drawn"), "drawn (a mixture from the seed), crash, zone, calm, loss or pauses");
  add("loss", options::value<double>()->default_value(0), "share of all datagrams lost, on the days other than drawn");
  add("scenario", options::value<std::string>(), "a file of faults in place of a day (see docs/membership.md)");
  add("policy", options::value<std::string>()->default_value("agreed"), "agreed, or a baseline: heartbeats, swim");
  add("baseline", "the same days with both baselines as well");
  add("report", options::value<std::string>(), "a folder for report.json and a plot's data; gnuplot draws members.svg there");
  add("verbose", "print what happens");
  add("help", "this");
  options::variables_map given;
  options::store(options::command_line_parser(argc, argv).options(all).run(), given);
  if (given.count("help")) {
    std::cout << all;
    return 0;
  }
  const auto nodes = given["nodes"].as<std::uint32_t>();
  const auto seed = given["seed"].as<std::uint64_t>(), seeds = given["seeds"].as<std::uint64_t>();
  const auto seconds = given["seconds"].as<double>(), loss = given["loss"].as<double>();
  const auto name = given["day"].as<std::string>();
  if (nodes < 3 || nodes > troutstage::members::kMostNodes) throw Malformed("--nodes is not between 3 and 2000");
  if (seeds < 1 || seeds > 1000000) throw Malformed("--seeds is not between 1 and 1000000");
  if (!(seconds >= 1 && seconds <= 86400)) throw Malformed("--seconds is not between 1 and 86400");
  if (!(loss >= 0 && loss < 1)) throw Malformed("--loss is not between 0 and 1");
  if (std::find(std::begin(kDays), std::end(kDays), name) == std::end(kDays)) throw Malformed("unknown day '" + name + "'");
  std::vector<Policy> policies{parse_enum(given["policy"].as<std::string>(), kPolicies, "policy")};
  if (given.count("baseline")) policies = {Policy::agreed, Policy::heartbeats, Policy::swim};
  std::optional<Scenario> told;
  if (given.count("scenario")) {
    const auto path = given["scenario"].as<std::string>();
    try {
      told = read_scenario(read_file(path));
    } catch (const Malformed& wrong) {
      throw Malformed("scenario '" + path + "': " + wrong.what());
    }
  }
  std::function<void(const std::string&)> log;
  if (given.count("verbose")) log = [](const std::string& line) { std::cout << line << "\n"; };

  Json report = Json::array();
  int code = 0;
  for (const Policy policy : policies) {
    const auto began = std::chrono::steady_clock::now();
    std::vector<double> together, removal, first;
    Outcome sum;
    std::uint64_t done = 0, broken = 0;
    double bytes_s = 0, seen = 0;
    for (std::uint64_t s = seed; s < seed + seeds; ++s) {
      Scenario sc = told ? *told : day(name, s, nodes, seconds, loss);
      if (!told || seeds > 1) sc.seed = s;
      sc.policy = policy;
      try {
        const Outcome o = run(sc, log);
        if (done == 0 && given.count("report") && policy == policies.front()) {
          std::filesystem::create_directories(given["report"].as<std::string>());
          plot(given["report"].as<std::string>(), o);
        }
        ++done;
        together.push_back(o.together_s);
        removal.insert(removal.end(), o.removal_s.begin(), o.removal_s.end());
        first.insert(first.end(), o.first_removal_s.begin(), o.first_removal_s.end());
        sum.steps += o.steps, sum.views += o.views, sum.suspicions += o.suspicions, sum.refuted += o.refuted;
        sum.false_removals += o.false_removals, sum.datagrams += o.datagrams;
        sum.most_sent = std::max(sum.most_sent, o.most_sent);
        sum.trace ^= o.trace;
        bytes_s += static_cast<double>(o.bytes) / o.node_seconds, seen += static_cast<double>(o.datagrams) / o.node_seconds;
      } catch (const Broken& what) {
        ++broken, code = 1;
        std::cerr << "broken: " << what.what() << "\n";
      }
    }
    const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    rusage use{};
    ::getrusage(RUSAGE_SELF, &use);
    std::string_view called;
    for (const auto& [n, p] : kPolicies)
      if (p == policy) called = n;
    const double runs = static_cast<double>(std::max<std::uint64_t>(1, done));
    const Json one{{"policy", called}, {"day", told ? "scenario" : name}, {"nodes", told ? told->nodes : nodes}, {"loss", loss},
                   {"seeds", done}, {"broken", broken}, {"steps", sum.steps},
                   {"together_s", {{"p50", quantile(together, 0.5)}, {"p99", quantile(together, 0.99)}}},
                   {"removal_s", {{"count", removal.size()}, {"p50", quantile(removal, 0.5)}, {"p99", quantile(removal, 0.99)}, {"first_p50", quantile(first, 0.5)}}},
                   {"false_removals", sum.false_removals}, {"suspicions", sum.suspicions}, {"refuted", sum.refuted}, {"views_a_run", static_cast<double>(sum.views) / runs},
                   {"bytes_a_node_a_second", bytes_s / runs}, {"datagrams_a_node_a_second", seen / runs}, {"trace", fmt::format("{:016x}", sum.trace)},
                   {"real_seconds", took}, {"peak_mb", static_cast<double>(use.ru_maxrss) / 1024}};
    std::cout << one.dump() << std::endl;
    report.push_back(one);
  }
  if (given.count("report")) {
    const std::filesystem::path folder = given["report"].as<std::string>();
    std::filesystem::create_directories(folder);
    write_whole(folder / "report.json", report.dump(2) + "\n");
    std::cerr << "plot: cd " << folder.string() << " && gnuplot members.gp\n";
  }
  return code;
}

int explore_all(int argc, char** argv) {
  options::options_description all("troutstage lab explore [options]");
  auto add = all.add_options();
  add("nodes", options::value<std::uint32_t>()->default_value(3), "3 or 4");
  add("depth", options::value<int>()->default_value(9), "steps, 1 to 60");
  add("forms", options::value<int>()->default_value(0), "times that a node which has lost the majority forms a view anew, 0 to 3");
  add("proposals", options::value<int>()->default_value(2), "changes that are proposed, each by another node, 1 to 3");
  add("doubled", options::value<int>()->default_value(1), "messages that come twice, 0 to 5");
  add("lost", "all have lost the majority from the start, for --forms");
  add("no-crash", "no node crashes and comes back");
  add("help", "this");
  options::variables_map given;
  options::store(options::command_line_parser(argc, argv).options(all).run(), given);
  if (given.count("help")) {
    std::cout << all;
    return 0;
  }
  Exploration what{given["nodes"].as<std::uint32_t>(), given["depth"].as<int>(), given["proposals"].as<int>(), given["doubled"].as<int>(), given.count("no-crash") == 0, 20000000, given["forms"].as<int>(), given.count("lost") > 0};
  if (what.nodes < 3 || what.nodes > 4) throw Malformed("--nodes is not 3 or 4");
  if (what.depth < 1 || what.depth > 60) throw Malformed("--depth is not between 1 and 60");
  if (what.proposals < 0 || what.proposals > 3) throw Malformed("--proposals is not between 0 and 3");
  if (what.forms < 0 || what.forms > 3) throw Malformed("--forms is not between 0 and 3");
  if (what.doubled < 0 || what.doubled > 5) throw Malformed("--doubled is not between 0 and 5");
  const auto began = std::chrono::steady_clock::now();
  try {
    const Explored o = explore(what);
    std::cout << Json{{"nodes", what.nodes}, {"depth", what.depth}, {"proposals", what.proposals}, {"doubled", what.doubled}, {"crash", what.crash}, {"forms", what.forms}, {"lost", what.lost},
                      {"states", o.states}, {"steps", o.steps}, {"agreed", o.agreed}, {"formed", o.formed}, {"whole", o.whole},
                      {"real_seconds", std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count()}}.dump() << "\n";
    return 0;
  } catch (const Broken& what_broke) {
    std::cerr << "broken: " << what_broke.what() << "\n";
    return 1;
  }
}

}  // namespace

int command(int argc, char** argv) {
  const std::string_view what = argc > 1 ? argv[1] : "help";
  if (what == "members") return members(argc - 1, argv + 1);
  if (what == "explore") return explore_all(argc - 1, argv + 1);
  if (what != "help" && what != "--help") throw Malformed("unknown laboratory '" + std::string(what) + "', see troutstage lab help");
  std::cout << "troutstage lab members [options]   the membership of many nodes on a virtual clock; --help tells more\n"
               "troutstage lab explore [options]   every order of the words on a change of the view, at 3 or 4 nodes\n";
  return 0;
}

}  // namespace troutstage::lab
