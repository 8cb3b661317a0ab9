#include "lab/members_world.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <nlohmann/json.hpp>
#include <queue>
#include <random>

#include "core/settings.h"
#include "lab/baselines.h"

namespace troutstage::lab {

using namespace members;

namespace {

constexpr TenthsOfMs kSecond = 10000, kStart = 24 * 3600 * kSecond;
constexpr std::uint64_t kWallMs = 1780000000000;  // of the virtual clock's start
constexpr std::size_t kSocketHolds = 200;         // datagrams that a paused process finds when it goes on
constexpr double kDisturbed = 12;                 // seconds for which a node that was disturbed may still be missed

using Json = nlohmann::json;
constexpr std::pair<std::string_view, Fault::Kind> kKinds[] = {
    {"loss", Fault::Kind::loss},       {"twice", Fault::Kind::twice},     {"delay", Fault::Kind::delay},
    {"cut_link", Fault::Kind::cut_link}, {"cut_in", Fault::Kind::cut_in}, {"cut_out", Fault::Kind::cut_out},
    {"split", Fault::Kind::split},     {"pause", Fault::Kind::pause},     {"crash", Fault::Kind::crash},
    {"slow", Fault::Kind::slow},       {"leave", Fault::Kind::leave},     {"lost_zone", Fault::Kind::lost_zone}};

// A source of chance of its own for each use, so that a new one does not move the others.
class Chance {
 public:
  Chance(std::uint64_t seed, std::string_view name) : random_(static_cast<std::uint_fast64_t>(XXH64(name.data(), name.size(), seed))) {}
  double real() { return static_cast<double>(random_() - std::knuth_b::min()) / (static_cast<double>(std::knuth_b::max()) + 1); }
  double between(double a, double b) { return a + (b - a) * real(); }
  std::uint32_t below(std::uint32_t n) { return static_cast<std::uint32_t>(real() * n); }
  double exponential(double mean) { return -mean * std::log(1 - real()); }

 private:
  std::knuth_b random_;
};

TenthsOfMs tenths_of(double seconds) { return static_cast<TenthsOfMs>(std::llround(seconds * kSecond)); }

struct Machine {
  std::unique_ptr<Engine> engine;
  std::unique_ptr<Baseline> baseline;
  std::uint64_t life = 0, run = 0;  // run: of its process, by which what was for an earlier one is known
  bool live = false, paused = false, leaving = false;
  std::deque<std::pair<Index, std::string>> held;  // datagrams of a paused process
  std::uint64_t number = 0, incarnation = 0, sent = 0;
  TenthsOfMs disturbed_until = -1, paused_at = 0;
  int links_cut = 0;
};

struct Due {
  TenthsOfMs at;
  std::uint64_t order;
  enum class What { pulse, datagram, fault_on, fault_off, sample } what;
  Index node = kNone, from = kNone;
  std::uint64_t run = 0;
  std::size_t fault = 0;
  std::string bytes{};
  bool operator>(const Due& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
};

class World {
 public:
  World(const Scenario& sc, const std::function<void(const std::string&)>& log)
      : sc_(sc), log_(log), network_(sc.seed, "network"), machines_(sc.nodes), seeds_(sc.seed, "engines") {}

  Outcome run() {
    for (Index n = 0; n < sc_.nodes; ++n) start(n);
    push({kStart + kSecond / 20, 0, Due::What::sample});
    // They come together first; the faults' times count from there.
    const TenthsOfMs patience = kStart + 60 * kSecond;
    while (!due_.empty() && due_.top().at < patience && !(due_.top().at > kStart + 2 * kSecond && one_view())) next();
    if (sc_.policy == Policy::agreed && !one_view()) broken("never one view at the start");
    out_.together_s = static_cast<double>(now_ - kStart) / kSecond;
    zero_ = now_;
    counting_ = true;
    out_.datagrams = out_.bytes = out_.views = out_.suspicions = out_.refuted = 0;
    for (Machine& m : machines_) m.sent = 0;
    for (std::size_t i = 0; i < sc_.faults.size(); ++i) {
      const Fault& f = sc_.faults[i];
      push({zero_ + tenths_of(f.from), 0, Due::What::fault_on, kNone, kNone, 0, i, {}});
      if (f.until > f.from) push({zero_ + tenths_of(f.until), 0, Due::What::fault_off, kNone, kNone, 0, i, {}});
    }
    const TenthsOfMs end = zero_ + tenths_of(sc_.seconds);
    while (!due_.empty() && due_.top().at <= end) next();
    const TenthsOfMs settled = end + tenths_of(sc_.settle);
    while (!due_.empty() && due_.top().at <= settled && !one_view()) next();
    out_.one_view = one_view();
    if (sc_.policy == Policy::agreed && sc_.settle > 0 && !out_.one_view) {
      std::string all;
      for (Index n = 0; n < sc_.nodes && n < 40; ++n)
        if (machines_[n].live)
          all += fmt::format(" n{}:{}/{}{}", n, machines_[n].engine->view().number, machines_[n].engine->view().members.size(),
                             machines_[n].engine->status(now_).in_majority ? "" : "-");
      broken("not one view again after the faults:" + all);
    }
    out_.steps = step_;
    out_.node_seconds = static_cast<double>(now_ - zero_) / kSecond * sc_.nodes;
    for (const Machine& m : machines_) out_.most_sent = std::max(out_.most_sent, m.sent);
    return out_;
  }

 private:
  void push(Due d) {
    d.order = ++order_;
    due_.push(std::move(d));
  }
  double at() const { return static_cast<double>(now_ - zero_) / kSecond; }
  [[noreturn]] void broken(const std::string& what) const {
    std::string text = fmt::format("{} (seed {}, step {}, at {:.3f} s)", what, sc_.seed, step_, at());
    for (const std::string& line : recent_) text += "\n  " + line;
    throw Broken(text);
  }
  void tell(const std::string& line) {
    const std::string whole = fmt::format("{:9.3f} {}", at(), line);
    recent_.push_back(whole);
    if (recent_.size() > 40) recent_.pop_front();
    if (log_) log_(whole);
  }

  void start(Index n) {
    Machine& m = machines_[n];
    m.run = ++runs_;
    m.life = kWallMs + static_cast<std::uint64_t>(now_ - kStart) / 10 + n % 7;
    m.live = true, m.paused = m.leaving = false, m.number = 0;
    m.held.clear();
    const std::uint64_t seed = static_cast<std::uint64_t>(seeds_.real() * 4e9) + 1;
    if (sc_.policy == Policy::agreed) {
      Setup s;
      s.node = n, s.roster = sc_.nodes, s.cluster = 7, s.life = m.life;
      s.name = fmt::format("n{}", n), s.zone = fmt::format("z{}", n * sc_.zones / sc_.nodes);
      s.seed = seed;
      s.timing = sc_.timing, s.sharing = sc_.sharing;
      m.engine = std::make_unique<Engine>(s, now_);
    } else if (sc_.policy == Policy::heartbeats) {
      m.baseline = std::make_unique<Heartbeats>(n, sc_.nodes, m.life, now_);
    } else {
      m.baseline = std::make_unique<PlainSwim>(n, sc_.nodes, m.life, seed, now_);
    }
    push({now_ + static_cast<TenthsOfMs>(seeds_.real() * 500), 0, Due::What::pulse, n, kNone, m.run, 0, {}});
  }

  void next() {
    Due d = due_.top();
    due_.pop();
    now_ = d.at;
    ++step_;
    const std::uint64_t words[] = {out_.trace, static_cast<std::uint64_t>(now_), static_cast<std::uint64_t>(d.what), d.node,
                                   XXH64(d.bytes.data(), d.bytes.size(), 0)};
    out_.trace = XXH64(words, sizeof words, 0);
    switch (d.what) {
      case Due::What::pulse: return pulse(d);
      case Due::What::datagram: return datagram(d);
      case Due::What::fault_on: return turn(sc_.faults[d.fault], true);
      case Due::What::fault_off: return turn(sc_.faults[d.fault], false);
      case Due::What::sample: return sample();
    }
  }

  void pulse(const Due& d) {
    Machine& m = machines_[d.node];
    if (!m.live || m.run != d.run) return;
    if (!m.paused) give(d.node, Pulse{});
    if (!m.live) return;
    push({now_ + sc_.timing.pulse + tenths_of(slowness(d.node) / 1000), 0, Due::What::pulse, d.node, kNone, d.run, 0, {}});
  }
  void datagram(const Due& d) {
    Machine& m = machines_[d.node];
    if (!m.live) return;
    if (m.paused) {
      if (m.held.size() < kSocketHolds) m.held.push_back({d.from, d.bytes});
      return;
    }
    give(d.node, Came{d.from, d.bytes});
  }
  double slowness(Index n) {
    double mean = 0;
    for (const Fault* f : on_)
      if (f->kind == Fault::Kind::slow && concerns(*f, n)) mean += f->amount;
    return mean > 0 ? network_.exponential(mean) : 0;
  }

  void give(Index n, const MemberEvent& event) {
    Machine& m = machines_[n];
    if (!m.engine) {
      std::vector<Send> sends;
      m.baseline->step(now_, event, sends);
      for (Send& s : sends) carry(n, s);
      for (Index gone : m.baseline->removed())
        if (counting_ && machines_[gone].live) ++out_.false_removals;
      return;
    }
    const Output& output = m.engine->decide(now_, event);
    for (const Send& s : output.sends) {
      if (s.bytes.size() > kMostDatagram) broken(fmt::format("n{} sent {} bytes", n, s.bytes.size()));
      if (kKindNames[s.kind] == std::string_view("offered")) count_accepted(n, s.bytes);
      carry(n, s);
    }
    for (const Note& note : output.notes) {
      if (note.what == Note::What::suspected) ++out_.suspicions;
      if (note.what == Note::What::refuted) ++out_.refuted;
      if (log_ || note.what == Note::What::view_accepted || note.what == Note::What::formed || note.what == Note::What::accused)
        tell(fmt::format("n{} {} {} view {}/{} came [{}] died [{}] left [{}]", n, kNoteNames[static_cast<std::size_t>(note.what)],
                         note.node == kNone ? std::string() : fmt::format("n{}", note.node), note.number, note.size,
                         fmt::join(note.came, ","), fmt::join(note.died, ","), fmt::join(note.left, ",")));
    }
    check_view(n);
    if (sc_.nodes <= 16) check_parts();
  }

  // --- what must hold
  void check_view(Index n) {
    Machine& m = machines_[n];
    const View& v = m.engine->view();
    if (v.number == m.number) return;
    // One that begins anew, as another life, holds nothing.
    if (const std::uint64_t incarnation = m.engine->status(now_).incarnation; v.number == 0 && incarnation > m.incarnation) {
      m.number = 0, m.incarnation = incarnation;
      return tell(fmt::format("n{} begins anew", n));
    }
    if (v.number < m.number) broken(fmt::format("view numbers only rise: n{} went from {} to {}", n, m.number, v.number));
    const auto [at, fresh] = views_.try_emplace(v.number, v);
    if (!fresh && !(at->second == v)) broken(fmt::format("one set a view number: n{} holds another under {}", n, v.number));
    if (fresh) {
      ++out_.views;
      check_majority(n, v);
      check_removed(v);
    }
    m.number = v.number;
  }
  void count_accepted(Index n, const std::string& bytes) {
    const auto read = decode(bytes, 7);
    const Offered& o = std::get<Offered>(std::get<Message>(read).body);
    if (!o.accepted) return;
    const std::uint64_t number = o.base == 0 ? o.ballot : o.base + 1;
    accepted_[number][o.ballot].insert(n);
  }
  // By the words that went over the wire, and the one who asked for them.
  void check_majority(Index by, const View& v) {
    std::size_t most = 0;
    for (auto& [ballot, nodes] : accepted_[v.number]) {
      const Index asked = ballot == v.number ? static_cast<Index>(ballot >> 12 & 0x7ff) : static_cast<Index>((ballot & 0xfff) - 1);
      std::set<Index> all = nodes;
      all.insert(asked);
      most = std::max(most, all.size());
    }
    most = std::max<std::size_t>(most, 1);
    if (most < sc_.nodes / 2 + 1)
      broken(fmt::format("nothing changes without a majority: n{} holds view {} that {} have accepted", by, v.number, most));
  }
  void check_removed(const View& v) {
    const auto before = views_.find(v.number - 1);
    if (before == views_.end()) return;
    for (const Member& old : before->second.members) {
      const Machine& m = machines_[old.node];
      if (v.find(old.node) != nullptr) continue;
      if (m.live && !m.leaving && m.life == old.life) {
        ++out_.false_removals;
        if (now_ > m.disturbed_until && m.links_cut <= 1)
          broken(fmt::format("no live, reachable, timely node leaves an agreed view: n{} left {}", old.node, v.number));
      }
    }
  }
  void check_parts() {
    double sum = 0;
    for (const Machine& m : machines_)
      if (m.live) sum += m.engine->part(now_);
    part_sum_ = sum;
    if (sum > 1 + 1e-9) broken(fmt::format("the parts of all never exceed the whole: {:.4f}", sum));
  }

  // --- the network
  bool concerns(const Fault& f, Index n) const { return f.nodes.empty() || std::find(f.nodes.begin(), f.nodes.end(), n) != f.nodes.end(); }
  bool in(const Fault& f, Index n) const { return std::find(f.nodes.begin(), f.nodes.end(), n) != f.nodes.end(); }

  void carry(Index from, const Send& s) {
    ++machines_[from].sent;
    ++out_.datagrams;
    out_.bytes += s.bytes.size();
    double delay = network_.exponential(sc_.delay_ms), pass = 1, twice = 0;
    for (const Fault* f : on_) switch (f->kind) {
        case Fault::Kind::loss: if (concerns(*f, from) || concerns(*f, s.to)) pass *= 1 - f->amount; break;
        case Fault::Kind::twice: twice = std::max(twice, f->amount); break;
        case Fault::Kind::delay: delay += network_.exponential(f->amount); break;
        case Fault::Kind::cut_link: if (f->nodes[0] == from && f->nodes[1] == s.to) return; break;
        case Fault::Kind::cut_in: if (in(*f, s.to)) return; break;
        case Fault::Kind::cut_out: if (in(*f, from)) return; break;
        case Fault::Kind::split: if (in(*f, from) != in(*f, s.to)) return; break;
        case Fault::Kind::slow: if (in(*f, s.to)) delay += network_.exponential(f->amount); break;
        default: break;
      }
    if (pass < 1 && network_.real() >= pass) return;
    push({now_ + tenths_of(delay / 1000), 0, Due::What::datagram, s.to, from, 0, 0, s.bytes});
    if (twice > 0 && network_.real() < twice)
      push({now_ + tenths_of((delay + network_.exponential(200)) / 1000), 0, Due::What::datagram, s.to, from, 0, 0, s.bytes});
  }

  void turn(const Fault& f, bool on) {
    tell(fmt::format("{} {}", on ? "on: " : "off:", text(f)));
    if (on) on_.push_back(&f);
    else std::erase(on_, &f);
    const TenthsOfMs end = zero_ + tenths_of(std::max(f.until, f.from) + kDisturbed);
    const bool disturbs = f.kind != Fault::Kind::loss && f.kind != Fault::Kind::twice && f.kind != Fault::Kind::delay && f.kind != Fault::Kind::cut_link;
    // In a split either side may be the one that the others go on without.
    if (f.kind == Fault::Kind::split)
      for (Machine& m : machines_) m.disturbed_until = std::max(m.disturbed_until, end);
    for (Index n : f.nodes) {
      Machine& m = machines_[n];
      if (disturbs) m.disturbed_until = std::max(m.disturbed_until, end);
      if (f.kind == Fault::Kind::cut_link) m.links_cut += 1;  // it stays counted: what it brought may come late
      switch (f.kind) {
        case Fault::Kind::pause:
          if (on) m.paused_at = m.paused ? m.paused_at : now_, m.paused = true;
          else go_on(n);
          break;
        case Fault::Kind::crash:
        case Fault::Kind::lost_zone:
          if (on && m.live) {
            m.live = false, m.engine.reset(), m.baseline.reset(), m.held.clear();
            if (counting_) crashed_[n] = {now_, m.life, -1};
          } else if (!on && !m.live) {
            start(n);
          }
          break;
        case Fault::Kind::leave:
          if (on && m.live && m.engine) {
            m.leaving = true;
            give(n, Leave{});
          } else if (!on) {
            m.live = false, m.engine.reset();
            start(n);
          }
          break;
        default: break;
      }
    }
  }
  void go_on(Index n) {
    Machine& m = machines_[n];
    if (!m.paused) return;
    m.paused = false;
    auto held = std::move(m.held);
    m.held.clear();
    for (auto& [from, bytes] : held)
      if (m.live) give(n, Came{from, bytes});
    // One that wakes accuses nobody.
    if (m.live && m.engine && m.engine->accuses_any() && !held.empty() && now_ - m.paused_at > sc_.timing.late() + 2 * sc_.timing.pulse) broken(fmt::format("n{} accuses on waking", n));
  }

  void sample() {
    push({now_ + kSecond / 20, 0, Due::What::sample});
    if (sc_.policy == Policy::agreed) check_parts();
    for (auto at = crashed_.begin(); at != crashed_.end();) {
      auto& [n, c] = *at;
      std::size_t has = 0, all = 0;
      for (Index k = 0; k < sc_.nodes; ++k) {
        const Machine& m = machines_[k];
        if (!m.live || m.paused || k == n) continue;
        ++all;
        has += m.engine ? m.engine->view().has(n, c.life) : m.baseline->listed()[n];
      }
      if (c.first < 0 && has < all) c.first = now_;
      const bool back = machines_[n].live;
      if (has == 0 && !back) {
        out_.removal_s.push_back(static_cast<double>(now_ - c.at) / kSecond);
        out_.first_removal_s.push_back(static_cast<double>(c.first - c.at) / kSecond);
      }
      if (has == 0 || back) at = crashed_.erase(at);
      else ++at;
    }
    if (!counting_ || now_ - sampled_ < kSecond) return;
    sampled_ = now_;
    Outcome::Sample s;
    s.at = at_(), s.part_sum = part_sum_;
    for (Index n = 0; n < sc_.nodes; ++n) {
      Machine& m = machines_[n];
      if (!m.live) continue;
      ++s.live;
      if (!m.engine) continue;
      if (sc_.nodes <= 100) {
        const Status st = m.engine->status(now_);
        if (st.incarnation < m.incarnation) broken(fmt::format("incarnations only rise: n{}", n));
        m.incarnation = st.incarnation;
        s.in_majority += st.in_majority;
      }
      if (m.engine->view().number > s.number) s.number = m.engine->view().number, s.members = m.engine->view().members.size();
    }
    out_.samples.push_back(s);
  }
  double at_() const { return at(); }

  bool one_view() const {
    if (sc_.policy != Policy::agreed) return true;
    const View* first = nullptr;
    std::size_t live = 0;
    for (const Machine& m : machines_) {
      if (!m.live) continue;
      if (m.paused) return false;
      ++live;
      const View& v = m.engine->view();
      if (first == nullptr) first = &v;
      if (v.number == 0 || v.number != first->number) return false;
    }
    if (first == nullptr || live < sc_.nodes / 2 + 1) return true;
    if (first->members.size() != live) return false;
    for (const Member& member : first->members)
      if (!machines_[member.node].live || machines_[member.node].life > member.life) return false;
    return true;
  }

  struct Crashed {
    TenthsOfMs at;
    std::uint64_t life;
    TenthsOfMs first;
  };
  const Scenario& sc_;
  const std::function<void(const std::string&)>& log_;
  Chance network_;
  std::vector<Machine> machines_;
  Chance seeds_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::vector<const Fault*> on_;
  std::map<std::uint64_t, View> views_;
  std::map<std::uint64_t, std::map<std::uint64_t, std::set<Index>>> accepted_;
  std::map<Index, Crashed> crashed_;
  std::deque<std::string> recent_;
  Outcome out_;
  TenthsOfMs now_ = kStart, zero_ = kStart, sampled_ = 0;
  std::uint64_t order_ = 0, step_ = 0, runs_ = 0;
  double part_sum_ = 0;
  bool counting_ = false;
};

}  // namespace

std::string text(const Fault& f) {
  std::string_view name;
  for (const auto& [n, kind] : kKinds)
    if (kind == f.kind) name = n;
  return fmt::format("{} [{}] {:.1f} to {:.1f} s, amount {:.3g}", name, fmt::join(f.nodes, ","), f.from, f.until, f.amount);
}

Scenario read_scenario(const std::string& text) {
  Scenario sc;
  try {
    const Json json = Json::parse(text);
    const auto number = [](const Json& v, const std::string& key, double least, double most) {
      if (!v.is_number()) throw Malformed(key + " is no number");
      const double value = v.get<double>();
      if (!(value >= least && value <= most)) throw Malformed(fmt::format("{} is not between {} and {}", key, least, most));
      return value;
    };
    for (const auto& [key, v] : json.items()) {
      if (key == "nodes") sc.nodes = static_cast<std::uint32_t>(number(v, key, 1, kMostNodes));
      else if (key == "zones") sc.zones = static_cast<std::uint32_t>(number(v, key, 1, 100));
      else if (key == "seconds") sc.seconds = number(v, key, 1, 86400);
      else if (key == "settle") sc.settle = number(v, key, 0, 86400);
      else if (key == "delay_ms") sc.delay_ms = number(v, key, 0, 1000);
      else if (key == "seed") sc.seed = static_cast<std::uint64_t>(number(v, key, 0, 9e15));
      else if (key != "faults") throw Malformed("unknown key '" + key + "'");
    }
    for (std::size_t i = 0; json.contains("faults") && i < json.at("faults").size(); ++i) {
      const Json& one = json.at("faults")[i];
      const std::string at = fmt::format("faults[{}].", i);
      Fault f;
      bool named = false;
      for (const auto& [key, v] : one.items()) {
        if (key == "kind") f.kind = parse_enum(v.get<std::string>(), kKinds, "kind of fault"), named = true;
        else if (key == "from") f.from = number(v, at + key, 0, 86400);
        else if (key == "until") f.until = number(v, at + key, 0, 86400);
        else if (key == "amount") f.amount = number(v, at + key, 0, 60000);
        else if (key == "nodes")
          for (const Json& n : v) f.nodes.push_back(static_cast<Index>(number(n, at + key, 0, sc.nodes - 1)));
        else throw Malformed("unknown key '" + at + key + "'");
      }
      if (!named) throw Malformed(at + "kind is missing");
      const bool whole = f.kind == Fault::Kind::loss || f.kind == Fault::Kind::twice || f.kind == Fault::Kind::delay;
      if (!whole && f.nodes.empty()) throw Malformed(at + "nodes is missing");
      if (f.kind == Fault::Kind::cut_link && f.nodes.size() != 2) throw Malformed(at + "nodes are not two");
      if ((f.kind == Fault::Kind::loss || f.kind == Fault::Kind::twice) && f.amount > 1) throw Malformed(at + "amount is over 1");
      sc.faults.push_back(std::move(f));
    }
  } catch (const Json::exception& wrong) {
    throw Malformed(wrong.what());
  }
  return sc;
}

Scenario drawn(std::uint64_t seed, std::uint32_t nodes, double seconds) {
  Scenario sc;
  sc.seed = seed, sc.nodes = nodes, sc.seconds = seconds;
  sc.zones = std::min<std::uint32_t>(3, nodes);
  Chance chance(seed, "faults");
  sc.delay_ms = chance.between(0.2, 5);
  const auto some = [&](std::uint32_t most) {
    std::vector<Index> all;
    const std::uint32_t count = 1 + chance.below(std::max<std::uint32_t>(1, most));
    for (std::uint32_t i = 0; i < count; ++i)
      if (const Index n = chance.below(nodes); std::find(all.begin(), all.end(), n) == all.end()) all.push_back(n);
    return all;
  };
  const std::uint32_t count = 2 + chance.below(6);
  for (std::uint32_t i = 0; i < count; ++i) {
    Fault f;
    f.kind = kKinds[chance.below(std::size(kKinds))].second;
    f.from = chance.between(0, seconds * 0.7);
    f.until = std::min(seconds, f.from + chance.between(0.2, seconds * 0.5));
    switch (f.kind) {
      case Fault::Kind::loss: f.amount = chance.between(0.02, 0.3); break;
      case Fault::Kind::twice: f.amount = chance.between(0.05, 1); break;
      case Fault::Kind::delay: f.amount = chance.between(1, 40); break;
      case Fault::Kind::slow: f.amount = chance.between(20, 400), f.nodes = some(2); break;
      case Fault::Kind::cut_link:
        f.nodes = {chance.below(nodes), 0};
        f.nodes[1] = (f.nodes[0] + 1 + chance.below(nodes - 1)) % nodes;
        break;
      case Fault::Kind::cut_in:
      case Fault::Kind::cut_out: f.nodes = some(2); break;
      case Fault::Kind::split: f.nodes = some(nodes * 2 / 3); break;
      case Fault::Kind::pause: f.nodes = some(nodes); f.until = std::min(seconds, f.from + (chance.real() < 0.5 ? chance.between(0.2, 1.2) : chance.between(3, 12))); break;
      case Fault::Kind::crash: f.nodes = some(nodes * 7 / 10); break;
      case Fault::Kind::leave: f.nodes = some(2); f.until = std::max(f.until, f.from + 2); break;
      case Fault::Kind::lost_zone: {
        const std::uint32_t zone = chance.below(sc.zones);
        for (Index n = 0; n < nodes; ++n)
          if (n * sc.zones / nodes == zone) f.nodes.push_back(n);
        break;
      }
    }
    sc.faults.push_back(std::move(f));
  }
  return sc;
}

Outcome run(const Scenario& scenario, const std::function<void(const std::string&)>& log) { return World(scenario, log).run(); }

}  // namespace troutstage::lab
