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

constexpr Tenths kNow = 24 * 3600 * Tenths{10000};
constexpr std::uint64_t kLife = 1780000000000;

struct Letter {
  Index from, to;
  std::string bytes;
  bool operator<(const Letter& o) const { return std::tie(from, to, bytes) < std::tie(o.from, o.to, o.bytes); }
};

struct World {
  std::vector<Engine> engines;
  std::vector<Letter> letters;  // sorted: what is under way, each any number of times until it is dropped for good
  int proposed = 0, doubled = 0;
  bool crashed = false;
};

class Explorer {
 public:
  explicit Explorer(const Exploration& what) : what_(what) {}

  Explored run() {
    World start;
    View view{formed_number(5000, 0), what_.nodes, {}};
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
    visit(start, 0);
    return out_;
  }

 private:
  Engine fresh(Index n, std::uint64_t life) const {
    Setup s;
    s.node = n, s.roster = what_.nodes, s.cluster = 7, s.life = life, s.name = fmt::format("n{}", n), s.zone = "a", s.seed = n + 1;
    return Engine(s, kNow);
  }

  // Only words on changes are explored: probes and the like come and go without them.
  void give(World& w, Index n, const MemberEvent& event) const {
    const Output& out = w.engines[n].decide(kNow, event);
    for (const Send& s : out.sends) {
      const std::string_view kind = kKindNames[s.kind];
      if (kind != "prepare" && kind != "promise" && kind != "offer" && kind != "offered" && kind != "commit" && kind != "fetch" && kind != "piece") continue;
      Letter l{n, s.to, s.bytes};
      const auto at = std::lower_bound(w.letters.begin(), w.letters.end(), l);
      if (at == w.letters.end() || l < *at) w.letters.insert(at, std::move(l));  // the same word again is one doubled
    }
  }

  std::uint64_t mark(const World& w) const {
    std::vector<std::uint64_t> all{static_cast<std::uint64_t>(w.proposed), static_cast<std::uint64_t>(w.doubled), w.crashed};
    for (const Engine& e : w.engines) all.push_back(e.agreeing());
    for (const Letter& l : w.letters) all.push_back(XXH64(l.bytes.data(), l.bytes.size(), l.from * 64 + l.to));
    return XXH64(all.data(), all.size() * sizeof all[0], 3);
  }

  void check(const World& w) {
    bool any = false;
    for (const Engine& e : w.engines) {
      const View& v = e.view();
      if (v.number <= base_) continue;
      any = true;
      // Over all runs from here, not only in this state: what a node held once and forgot counts as well.
      for (const Engine& o : w.engines)
        if (o.view().number == v.number && !(o.view() == v)) broken("one set a view number");
      const auto held = held_.find(v.number);
      if (held != held_.end() && !(held->second == v)) broken("one set a view number, also for who has crashed since");
    }
    if (any) ++out_.agreed;
  }
  [[noreturn]] void broken(const std::string& what) const {
    std::string text = fmt::format("{} (exploration at {} nodes, after {} steps)", what, what_.nodes, path_.size());
    for (const std::string& step : path_) text += "\n  " + step;
    throw Broken(text);
  }

  // The deepest first; a state that was met with as many steps left is not gone through again.
  void visit(const World& w, int depth) {
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
    const auto go = [&](const std::string& step, const World& next) {
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
    if (what_.crash && !w.crashed) {
      for (Index n = 0; n < what_.nodes; ++n) {
        World next = w;
        next.crashed = true;
        const View had = next.engines[n].view();
        std::vector<Engine> engines;
        for (Index k = 0; k < what_.nodes; ++k) engines.push_back(k == n ? fresh(n, kLife + 100) : Engine(w.engines[k]));
        next.engines = std::move(engines);
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
