// Plays the text files in tests/scenarios; their notation is told in tests/scenarios/NOTATION.md.
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <optional>
#include <set>
#include <sstream>

#include "decide.h"

using namespace troutstage;

namespace {

constexpr TenthsOfMs kMs = 10;
constexpr TenthsOfMs kStart = 10000000;

// One line, split at blanks: bare words in order, and name=value pairs.
struct Line {
  std::vector<std::string> words;
  std::map<std::string, std::string> pairs;
  explicit Line(const std::string& text) {
    std::istringstream in(text);
    for (std::string word; in >> word;) {
      auto equals = word.find('=');
      if (equals == std::string::npos) words.push_back(word);
      else pairs[word.substr(0, equals)] = word.substr(equals + 1);
    }
  }
  const std::string& word(std::size_t i) const { return words.at(i); }
  bool has(const std::string& w) const { return std::find(words.begin(), words.end(), w) != words.end(); }
  double number(const std::string& name, double fallback) const {
    auto found = pairs.find(name);
    return found == pairs.end() ? fallback : std::stod(found->second);
  }
  TenthsOfMs span(const std::string& name, double fallback) const {
    return static_cast<TenthsOfMs>(number(name, fallback) * kMs);
  }
};

const std::map<std::string, Ending> kEndings = {
    {"succeeded", Ending::succeeded}, {"error", Ending::error},          {"turned-away", Ending::turned_away},
    {"timed-out", Ending::timed_out}, {"broken", Ending::broken},        {"unreachable", Ending::unreachable},
    {"recalled", Ending::recalled},   {"never-sent", Ending::never_sent}};

struct Way {  // how a backend answers by itself
  bool silent = false;
  bool lost = false;  // not even a time-out is told
  bool open = false;  // answers on open connections; new ones fail
  Ending ending = Ending::succeeded;
  TenthsOfMs after = 0, probe = 0;
  int resets = 0;  // one hand-off in so many breaks at once
  int hangs = -1;  // those of this workload are never answered
  LoadReport report;   // what a probe's answer brings
};

class Player {
 public:
  void play(const Line& l) {
    const std::string& what = l.word(0);
    if (what == "node") return node(l);
    if (what == "workload") return workload(l);
    if (what == "list") return list(l);
    if (what == "invoke") return invoke(l.word(1), l);
    if (what == "end") return end(l.word(1), std::stoi(l.word(2)), kEndings.at(l.word(3)), l.has("final"));
    if (what == "at") return move_to(kStart + static_cast<TenthsOfMs>(std::stod(l.word(1)) * kMs));
    if (what == "flow") return flow(l);
    if (what == "way") return way(l);
    if (what == "->") return expect(l);
    if (what == "count") return count(l);
    if (what == "reset") return counts_.clear();
    FAIL("unknown line: " << what);
  }

 private:
  // way BACKEND... ENDING: how these answer by themselves from here on.
  void way(const Line& l) {
    const std::string& how = l.words.back();
    const bool silent = how == "silent" || how == "lost";
    for (std::size_t i = 1; i + 1 < l.words.size(); ++i)
      ways_[l.words[i]] = {silent,
                           how == "lost",
                           how == "open",
                           silent || how == "open" ? Ending::succeeded : kEndings.at(how),
                           l.span("after", 10),
                           l.span("probe", 1),
                           static_cast<int>(l.number("resets", 0)),
                           static_cast<int>(l.number("hangs", -1)),
                           {l.number("outstanding", -1), l.number("backlog", -1), l.number("busy", -1),
                            l.number("throughput", -1)}};
  }

  struct Out {
    std::string backend;
    TenthsOfMs until;
  };
  struct Later {
    TenthsOfMs at;
    std::string invocation;
    int number;
    Ending ending;
  };

  void node(const Line& l) {
    s_.seed = 7;
    s_.zone = 0;
    s_.nodes = static_cast<int>(l.number("nodes", 2));
    s_.max_hand_offs = static_cast<int>(l.number("hand-offs", 3));
    s_.is_discovery_on_request = !l.has("pushed");
    s_.may_cancel = true;
    s_.may_probe = l.has("probes");
    s_.cross_zone_cost = l.number("link", 0);
    s_.may_hedge = !l.has("no-copies");
    s_.tick = kMs;
    s_.connect_timeout = 250 * kMs;
    s_.keepalive = 30000 * kMs;
    s_.drain_grace = l.span("grace", 500);
    s_.discovery_retry_within = l.span("ask-within", 10000);
    s_.slow_start_window = l.span("fall", 1000);
    s_.slow_start_duration = l.span("warm", 20000);
    s_.slow_start_multiple = l.number("multiple", 3);
    s_.initial_capacity_share = l.number("cold", 0.12);
  }

  void workload(const Line& l) {
    Workload w;
    w.semantics = l.has("redoable")   ? Semantics::idempotent
                  : l.has("labelled") ? Semantics::idempotency_keyed
                                      : Semantics::non_idempotent;
    w.deduplication_scope = l.has("zone") ? DeduplicationScope::zone : l.has("cell") ? DeduplicationScope::cell : DeduplicationScope::all;
    w.deduplication_window = l.span("window", 2000);
    w.latency_objective = l.span("due", 600);
    w.time_limit = l.span("limit", 1500);
    w.billing_value = l.number("value", 1);
    w.late_value_share = l.number("overdue", 0);
    s_.workloads.push_back(w);
  }

  // list FORM, then backends as name/zone/cell, each with `:stopping`, `:deleted` or `:MS` (its start).
  void list(const Line& l) {
    FleetList f;
    f.form = l.word(1) == "full"     ? ListForm::full
             : l.word(1) == "delta"  ? ListForm::delta
             : l.word(1) == "cached" ? ListForm::cached
                                     : ListForm::failed;
    for (std::size_t i = 2; i < l.words.size(); ++i) {
      std::istringstream in(l.words[i]);
      std::string name, zone, cell, mark;
      std::getline(in, name, '/');
      std::getline(in, zone, '/');
      std::getline(in, cell, ':');
      std::getline(in, mark);
      ListEntry e;
      e.backend = index(backends_, name);
      e.machine_kind = 0;
      e.zone = static_cast<Index>(std::stoul(zone));
      e.cell = std::stol(cell);
      if (mark == "stopping") e.availability = Availability::stopping;
      else if (mark == "deleted") e.availability = Availability::deleted;
      else if (!mark.empty()) e.started_at = kStart + std::stol(mark) * kMs;
      f.entries.push_back(e);
    }
    tell(f);
  }

  void invoke(const std::string& name, const Line& l) {
    Arrival a;
    a.invocation = index(invocations_, name);
    a.workload = static_cast<Index>(l.number("workload", 0));
    a.valid_until = now_ + l.span("limit", static_cast<double>(s_.workloads.at(a.workload).time_limit) / kMs);
    a.hint = static_cast<double>(l.span("hint", 0));
    a.is_client_retry = l.has("repeat");
    limits_[name] = a.valid_until;
    workloads_[name] = static_cast<int>(a.workload);
    if (l.number("leaves", 0) > 0) later_.push_back({now_ + l.span("leaves", 0), name, -1, {}});
    tell(a);
  }

  void end(const std::string& name, int number, Ending ending, bool is_final) {
    const Out out = outs_.at(name).at(number);
    HandOffEnded e{index(invocations_, name), number, ending, is_final || ending == Ending::succeeded, 0};
    e.elapsed = now_ - sent_.at({name, number});
    ended_.insert({name, number});
    if (ending == Ending::succeeded) ++idle_[out.backend];
    tell(e);
  }

  // flow N every=MS: invocations one after another; backends answer in their ways, or not at all.
  void flow(const Line& l) {
    const int n = std::stoi(l.word(1));
    for (int i = 0; i < n; ++i) {
      invoke("f" + std::to_string(flowed_++), l);
      move_to(now_ + l.span("every", 10));
    }
    seen_.clear();
  }

  // Lets time pass: timers, time-outs and the backends' own answers come in their order.
  void move_to(TenthsOfMs to) {
    for (;;) {
      TenthsOfMs next = to;
      std::size_t first = later_.size();
      for (std::size_t i = 0; i < later_.size(); ++i)
        if (later_[i].at < next || (later_[i].at == next && first == later_.size()))
          next = later_[i].at, first = i;
      if (!timers_.empty() && *timers_.begin() <= next && *timers_.begin() <= to) {
        now_ = std::max(now_, *timers_.begin());
        timers_.erase(timers_.begin());
        tell(TimerDue{});
      } else if (first < later_.size()) {
        const Later end_now = later_[first];
        later_.erase(later_.begin() + static_cast<std::ptrdiff_t>(first));
        now_ = std::max(now_, end_now.at);
        if (end_now.invocation.empty())
          answer_probe(static_cast<Index>(end_now.number));
        else if (end_now.number < 0) tell(ClientGone{index(invocations_, end_now.invocation)});
        else if (ended_.count({end_now.invocation, end_now.number}) == 0)
          end(end_now.invocation, end_now.number, end_now.ending, false);
      } else {
        now_ = to;
        return;
      }
    }
  }

  void answer_probe(Index backend) {
    const Way& way = ways_[backends_[backend]];
    tell(ProbeEnded{backend, true, way.probe, way.report});
  }

  void tell(const Event& event) {
    if (!decider_) decider_.emplace(s_, now_);
    const std::vector<Action> actions = decider_->decide(now_, event);
    for (const Action& a : actions) note(a);
  }

  void note(const Action& a) {
    if (a.what == ActionKind::set_timer) timers_.insert(std::max(a.at, now_ + 1));
    if (a.what == ActionKind::probe) {
      ++counts_["probe"];
      later_.push_back({now_ + ways_[backends_.at(a.backend)].probe, "", static_cast<int>(a.backend), {}});
    }
    if (a.what == ActionKind::watch_discovery) seen_.push_back("watch"), ++counts_["watch"];
    if (a.what == ActionKind::cancel && ended_.count({invocations_.at(a.invocation), a.number}) == 0)
      later_.push_back({now_ + 1, invocations_.at(a.invocation), a.number, Ending::recalled});
    const bool sends = a.what == ActionKind::hand_off;
    if (!sends && a.what != ActionKind::reject && a.what != ActionKind::give_up) return;
    const std::string name = invocations_.at(a.invocation);
    INFO("invocation " << name);
    REQUIRE(answered_.count(name) == 0);
    REQUIRE(now_ < limits_.at(name));
    if (sends) {
      const std::string backend = backends_.at(a.backend);
      const int number = static_cast<int>(outs_[name].size());
      outs_[name].push_back({backend, a.at});
      sent_[{name, number}] = now_;
      REQUIRE(a.at <= limits_.at(name));
      auto way = ways_.find(backend);
      if (way == ways_.end() || !way->second.lost) later_.push_back({a.at, name, number, Ending::timed_out});
      const bool fails = way != ways_.end() && way->second.open && idle_[backend] == 0;
      if (idle_[backend] > 0) --idle_[backend];
      if (fails) ++counts_["unconnected"];
      if (way != ways_.end() && way->second.resets > 0 && ++handed_off_ % way->second.resets == 0)
        later_.push_back({now_ + kMs, name, number, Ending::broken});
      if (way != ways_.end() && !way->second.silent && way->second.hangs != workloads_[name])
        later_.push_back(
            {now_ + way->second.after, name, number, fails ? Ending::unreachable : way->second.ending});
      ++counts_[backend];
      seen_.push_back("hand-off " + name + " " + backend);
    } else {
      answered_.insert(name);
      const std::string answer = a.what == ActionKind::reject ? "reject" : "give-up";
      ++counts_[answer];
      seen_.push_back(answer + " " + name);
    }
  }

  // `-> nothing`, or the next thing done; backends may be given as a|b.
  void expect(const Line& l) {
    if (l.word(1) == "nothing") {
      CHECK(seen_ == std::deque<std::string>{});
      return;
    }
    REQUIRE_FALSE(seen_.empty());
    const Line got(seen_.front());
    seen_.pop_front();
    for (std::size_t i = 1; i < l.words.size(); ++i) {
      const std::string have = i - 1 < got.words.size() ? got.words[i - 1] : "";
      CHECK(("|" + l.words[i] + "|").find("|" + have + "|") != std::string::npos);
    }
  }

  // count THING[|THING] least=N most=N: hand-offs to backends, or answers of a kind, since the last reset.
  void count(const Line& l) {
    std::istringstream names(l.word(1));
    int sum = 0;
    for (std::string name; std::getline(names, name, '|');) sum += counts_[name];
    INFO(l.word(1) << ": " << sum);
    CHECK((sum >= l.number("least", 0) && sum <= l.number("most", 1e9)));
  }

  static Index index(std::vector<std::string>& names, const std::string& name) {
    auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end()) found = names.insert(names.end(), name);
    return static_cast<Index>(found - names.begin());
  }

  Settings s_;
  std::optional<Decider> decider_;
  TenthsOfMs now_ = kStart;
  std::vector<std::string> backends_, invocations_;
  std::map<std::string, std::vector<Out>> outs_;
  std::map<std::string, TenthsOfMs> limits_;
  std::map<std::string, int> workloads_;
  std::map<std::pair<std::string, int>, TenthsOfMs> sent_;
  std::set<std::pair<std::string, int>> ended_;
  std::set<std::string> answered_;
  std::map<std::string, Way> ways_;
  std::map<std::string, int> counts_, idle_;
  std::multiset<TenthsOfMs> timers_;
  std::vector<Later> later_;
  std::deque<std::string> seen_;
  int flowed_ = 0, handed_off_ = 0;
};

}  // namespace

TEST_CASE("scenarios", "[scenario]") {
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(TROUTSTAGE_SCENARIOS))
    if (entry.path().extension() == ".txt") files.push_back(entry.path());
  std::sort(files.begin(), files.end());
  REQUIRE_FALSE(files.empty());
  for (const auto& file : files) {
    DYNAMIC_SECTION(file.stem().string()) {
      std::ifstream in(file);
      Player player;
      int number = 0;
      for (std::string text; std::getline(in, text);) {
        ++number;
        text = text.substr(0, text.find('#'));
        if (text.find_first_not_of(' ') == std::string::npos) continue;
        INFO("line " << number << ": " << text);
        player.play(Line(text));
      }
    }
  }
}
