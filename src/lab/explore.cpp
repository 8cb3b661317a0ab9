#include "lab/explore.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

#include "lab/members_world.h"

namespace troutstage::lab {

using namespace members;

namespace {

constexpr TenthsOfMs kNow = 24 * 3600 * TenthsOfMs{10000};
constexpr std::uint64_t kLife = 1780000000000, kAgain = 200000;  // milliseconds between a node's two lives
constexpr TenthsOfMs kLostAfter = 400000;  // past the time in which a majority counts as lost
constexpr TenthsOfMs kMeanwhile = 23000;   // goes by elsewhere at the least: attempts begun before are over, no majority is lost
constexpr std::uint64_t kBase = 5000;  // when the first view was formed, before any life

struct Letter {
  Index from, to;
  std::string bytes;
  bool operator<(const Letter& o) const { return std::tie(from, to, bytes) < std::tie(o.from, o.to, o.bytes); }
};

struct World {
  std::vector<Engine> engines;
  std::vector<Letter> letters;  // sorted: what is under way, each any number of times until it is dropped for good
  int proposed = 0, doubled = 0, formed = 0;
  bool crashed = false;
  std::vector<char> lost;  // by node: time has gone by there in which it knew of no majority
  std::vector<TenthsOfMs> clock;
  std::set<std::uint64_t> chosen;  // what a majority has stood by at one moment
  std::uint64_t dead_stood_by = 0;  // the one that crashed: it stands by nothing else any more
};

class Explorer {
 public:
  explicit Explorer(const Exploration& what) : what_(what) {}

  Explored run() {
    World start;
    View view{formed_number(kBase, 0), what_.nodes, {}};
    for (Index n = 0; n < what_.nodes; ++n) view.members.push_back({n, kLife + n, fmt::format("n{}", n), "a"});
    const std::string bytes = encode(whole(view));
    for (Index n = 0; n < what_.nodes; ++n) {
      start.engines.push_back(fresh(n, kLife + n));
      const Index other = (n + 1) % what_.nodes;
      start.engines[n].decide(kNow, Came{other, encode(Message{{7, other, kLife + other, 0, view.number, 1}, Piece{XXH64(bytes.data(), bytes.size(), 0),
                                         static_cast<std::uint32_t>(bytes.size()), 0, bytes.substr(0, kMostPiece), true}})});
      if (start.engines[n].view().number != view.number) throw Broken("the exploration can't start: its view does not fit one piece");
    }
    base_ = view.number;
    start.chosen.insert(base_);
    start.lost.resize(what_.nodes), start.clock.resize(what_.nodes, kNow);
    for (Index n = 0; n < what_.nodes && what_.lost; ++n) {
      start.lost[n] = true, start.clock[n] += kLostAfter;
      give(start, n, Pulse{});
    }
    visit(start, 0);
    return out_;
  }

 private:
  Engine fresh(Index n, std::uint64_t life) const {
    Setup s;
    s.node = n, s.roster = what_.nodes, s.cluster = 7, s.life = life, s.name = fmt::format("n{}", n), s.zone = "a", s.seed = n + 1;
    return Engine(s, kNow);
  }

  std::uint64_t life(const World& w, Index n) const {
    return w.engines[n].status(kNow).incarnation;
  }

  // Only words on changes are explored: probes and the like come and go without them.
  void give(World& w, Index n, const MemberEvent& event) {
    const Output& out = w.engines[n].decide(w.clock[n], event);
    for (const Send& s : out.sends) {
      const std::string_view kind = kKindNames[s.kind];
      if (kind != "prepare" && kind != "promise" && kind != "offer" && kind != "offered" && kind != "commit" && kind != "fetch" && kind != "piece") continue;
      Letter l{n, s.to, s.bytes};
      const auto at = std::lower_bound(w.letters.begin(), w.letters.end(), l);
      if (at == w.letters.end() || l < *at) w.letters.insert(at, std::move(l));  // the same word again is one doubled
    }
  }

  std::uint64_t mark(const World& w) const {
    std::vector<std::uint64_t> all{static_cast<std::uint64_t>(w.proposed), static_cast<std::uint64_t>(w.doubled), w.crashed,
                                   static_cast<std::uint64_t>(w.formed)};
    for (const char lost : w.lost) all.push_back(static_cast<std::uint64_t>(lost));
    for (const TenthsOfMs at : w.clock) all.push_back(static_cast<std::uint64_t>(at));
    all.push_back(w.dead_stood_by);
    all.insert(all.end(), w.chosen.begin(), w.chosen.end());
    for (const Engine& e : w.engines) all.push_back(e.agreeing());
    for (const Letter& l : w.letters) all.push_back(XXH64(l.bytes.data(), l.bytes.size(), l.from * 64 + l.to));
    return XXH64(all.data(), all.size() * sizeof all[0], 3);
  }

  void check(World& w) {
    // What a majority stands by is newer than all that one has stood by before: else two would go on side by side.
    std::map<std::uint64_t, std::size_t> by;
    for (const Engine& e : w.engines) ++by[e.stands_by()];
    if (w.dead_stood_by != 0 && by[w.dead_stood_by] + 1 == what_.nodes / 2 + 1 && w.dead_stood_by > *w.chosen.rbegin()) w.chosen.insert(w.dead_stood_by);
    for (const auto& [number, nodes] : by) {
      if (nodes < what_.nodes / 2 + 1 || w.chosen.count(number) || number == 0) continue;
      if (number < *w.chosen.rbegin()) broken(fmt::format("a majority stands by view {} after {}", number, *w.chosen.rbegin()));
      w.chosen.insert(number);
    }
    bool any = false, formed = false;
    for (const Engine& e : w.engines) {
      const View& v = e.view();
      if (v.number <= base_) continue;
      if (!w.chosen.count(v.number)) broken(fmt::format("view {} is held and no majority stood by it", v.number));
      any = true;
      formed = formed || formed_at(v.number) != kBase;
      // Over all runs from here, not only in this state: what a node held once and forgot counts as well.
      for (const Engine& o : w.engines)
        if (o.view().number == v.number && !(o.view() == v)) broken("one set a view number");
      const auto held = held_.find(v.number);
      if (held != held_.end() && !(held->second == v)) broken("one set a view number, also for who has crashed since");
    }
    if (any) ++out_.agreed;
    if (formed) ++out_.formed;
  }
  [[noreturn]] void broken(const std::string& what) const {
    std::string text = fmt::format("{} (exploration at {} nodes, after {} steps)", what, what_.nodes, path_.size());
    for (const std::string& step : path_) text += "\n  " + step;
    throw Broken(text);
  }

  // The deepest first; a state that was met with as many steps left is not gone through again.
  void visit(World& w, int depth) {
    check(w);
    const auto [at, is_new] = seen_.try_emplace(mark(w), depth);
    if (!is_new && at->second <= depth) return;
    at->second = depth;
    if (is_new) ++out_.states;
    if (depth == what_.depth) return;
    if (out_.states >= what_.most_states) {
      out_.whole = false;
      return;
    }
    const auto go = [&](const std::string& step, World& next) {
      ++out_.steps;
      path_.push_back(step);
      visit(next, depth + 1);
      path_.pop_back();
    };
    if (w.proposed < what_.proposals) {
      World next = w;
      const Index by = static_cast<Index>(w.proposed) % what_.nodes;
      give(next, by, Propose{{(by + 2) % what_.nodes}});
      ++next.proposed;
      go(fmt::format("n{} proposes", by), next);
    }
    for (std::size_t i = 0; i < w.letters.size(); ++i) {
      const Letter& l = w.letters[i];
      for (const bool stays : {false, true}) {
        if (stays && w.doubled >= what_.doubled) continue;
        World next = w;
        if (stays) ++next.doubled;
        else next.letters.erase(next.letters.begin() + static_cast<std::ptrdiff_t>(i));
        give(next, l.to, Came{l.from, l.bytes});
        const auto read = decode(l.bytes, 7);
        go(fmt::format("n{} hears n{}'s {}{}", l.to, l.from, kKindNames[std::get<Message>(read).body.index()], stays ? ", which comes again" : ""), next);
      }
    }
    for (Index n = 0; n < what_.nodes && what_.forms > 0; ++n) {
      if (!w.lost[n]) {
        World next = w;
        next.lost[n] = true;
        for (Index k = 0; k < what_.nodes; ++k) {
          next.clock[k] += k == n ? kLostAfter : kMeanwhile;
          give(next, k, Pulse{});
        }
        go(fmt::format("n{} loses the majority", n), next);
      } else if (w.formed < what_.forms) {
        // With each one other node, and with all: of whom it takes to have greeted it, whether they are lost or not.
        for (Index other = 0; other <= what_.nodes; ++other) {
          if (other == n) continue;
          FormAnew form;
          for (Index k = 0; k < what_.nodes; ++k)
            if (k == n || other == what_.nodes || (what_.nodes > 3 ? k != other : k == other)) form.together.push_back({k, life(w, k), fmt::format("n{}", k), "a"});
          World next = w;
          give(next, n, form);
          ++next.formed;
          go(fmt::format("n{} forms a view of {} nodes", n, form.together.size()), next);
        }
      }
    }
    if (what_.crash && !w.crashed) {
      for (Index n = 0; n < what_.nodes; ++n) {
        World next = w;
        next.crashed = true;
        const View had = next.engines[n].view();
        std::vector<Engine> engines;
        for (Index k = 0; k < what_.nodes; ++k) engines.push_back(k == n ? fresh(n, kLife + kAgain) : Engine(w.engines[k]));
        next.engines = std::move(engines);
        next.dead_stood_by = w.engines[n].stands_by();
        next.lost[n] = what_.forms > 0;  // it knows of none
        const auto before = held_;
        if (had.number > base_) held_[had.number] = had;
        go(fmt::format("n{} crashes and comes back from nothing", n), next);
        held_ = before;
      }
    }
  }

  const Exploration what_;
  std::uint64_t base_ = 0;
  std::unordered_map<std::uint64_t, int> seen_;
  std::map<std::uint64_t, View> held_;  // on the present path, by who has crashed
  std::vector<std::string> path_;
  Explored out_;
};

}  // namespace

Explored explore(const Exploration& what) { return Explorer(what).run(); }

}  // namespace troutstage::lab
