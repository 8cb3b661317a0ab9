// The membership engine: its datagrams, its views, and whole fleets of it on the laboratory's virtual clock.
#include <catch2/catch.hpp>
#include <random>

#include "core/settings.h"
#include "lab/explore.h"
#include "lab/members_world.h"
#include "members/engine.h"

using namespace troutstage;
using namespace troutstage::members;
using lab::Fault;

namespace {

std::string probe_from(Index from, std::uint64_t life, std::uint32_t cluster = 7) {
  return encode(Message{{cluster, from, life, 0, 0, kNoAge}, Probe{1, false, false, {}}});
}
Engine engine(Index node, std::uint32_t roster, std::uint64_t life = 1780000000000) {
  Setup s;
  s.node = node, s.roster = roster, s.cluster = 7, s.life = life, s.name = "n" + std::to_string(node), s.zone = "a", s.seed = 1;
  return Engine(s, 1000);
}
lab::Scenario scenario(std::uint32_t nodes, double seconds, std::vector<Fault> faults) {
  lab::Scenario sc;
  sc.nodes = nodes, sc.seconds = seconds, sc.faults = std::move(faults);
  return sc;
}
std::vector<Index> upto(Index from, Index to) {
  std::vector<Index> all;
  for (Index n = from; n < to; ++n) all.push_back(n);
  return all;
}

}  // namespace

TEST_CASE("a change of a large fleet comes back as it was, packed", "[members]") {
  Change c{0, formed_number(5000, 3), 300, {}, {}, {}};
  for (Index n = 0; n < 300; ++n) c.added.push_back({n, 1780000000000 + std::uint64_t{n} * 13, "node-" + std::to_string(n), "zone-" + std::to_string(n % 5)});
  const std::string bytes = encode(c);
  CHECK(bytes.size() < 4000);
  const auto back = decode_change(bytes);
  REQUIRE(back);
  const auto view = apply({}, *back);
  REQUIRE(view);
  CHECK(view->members == c.added);
  CHECK(view->majority() == 151);
  const auto next = apply(*view, {view->number, view->number + 1, 300, {7}, {9}, {{11, 1790000000000, "again", "z"}}});
  REQUIRE(next);
  CHECK(next->members.size() == 298);
  CHECK(next->has(11, 1790000000000));
  CHECK_FALSE(apply(*view, {view->number + 5, view->number + 6, 300, {7}, {}, {}}));
  CHECK_FALSE(apply(*next, {next->number, next->number + 1, 300, {7}, {}, {}}));  // no member any more
}

TEST_CASE("each member has six watchers, or all others, and a change moves few of them", "[members]") {
  View v{1, 64, {}};
  for (Index n = 0; n < 64; ++n) v.members.push_back({n, 1, "", ""});
  const Rings rings(64);
  const auto before = rings.watchers(v);
  for (const auto& w : before) CHECK(w.size() == Rings::kRings);
  View less = v;
  less.members.erase(less.members.begin() + 5);
  const auto after = rings.watchers(less);
  int moved = 0;
  for (std::size_t i = 0; i < after.size(); ++i) moved += after[i] != before[i < 5 ? i : i + 1];
  CHECK(moved <= 12);
  v.members.resize(3);
  for (const auto& w : rings.watchers(v)) CHECK(w.size() == 2);
}

TEST_CASE("what has no effect is dropped by cause", "[members]") {
  Engine e = engine(0, 5);
  const auto dropped = [&](Index from, const std::string& bytes) { return e.decide(2000, Came{from, bytes}).dropped; };
  CHECK(dropped(1, probe_from(1, 50)) == Dropped::none);
  CHECK(dropped(1, probe_from(1, 49)) == Dropped::old_life);
  CHECK(dropped(1, probe_from(2, 50)) == Dropped::sender);
  CHECK(dropped(1, probe_from(1, 50, 8)) == Dropped::cluster);
  CHECK(dropped(1, std::string(300, 'x')) == Dropped::too_long);
  CHECK(dropped(1, "") == Dropped::unreadable);
  CHECK(dropped(1, probe_from(1, 50).substr(0, 12)) == Dropped::unreadable);
  std::string other = probe_from(1, 50);
  other[1] = 9;  // the version
  CHECK(dropped(1, other) == Dropped::version);
  CHECK(e.view().number == 0);
}

TEST_CASE("the reader bears whatever comes", "[members]") {
  Engine e = engine(0, 9);
  std::knuth_b random(77);
  const std::vector<Body> bodies{Probe{3, true, true, {{News::What::suspect, 0, 5, 1, 2}}}, Ack{1, 2, true, {}}, Ask{1, 200},
                                 Hello{1, true, "n", "z"}, Welcome{1, 2, true, true, 100000}, Statement{1, Statement::What::vouches, 900, 1, 1, "a", "b"},
                                 Heard{1}, Prepare{1, 2}, Promise{1, 2, 3, 4, 5}, Offer{0, 9, 9, 9, 900000, "zzz"}, Offered{1, 2, 3, true},
                                 Commit{9, 9}, Fetch{true, 0, 1, 1U << 31}, Piece{1, 70000, 5, "abc", true}};
  TenthsOfMs now = 2000;
  for (int round = 0; round < 40000; ++round) {
    std::string bytes = encode(Message{{7, 1 + static_cast<Index>(random() % 8), 10 + random() % 3, 0, random() % 4, 0}, bodies[random() % bodies.size()]});
    for (std::uint64_t n = random() % 4; n > 0; --n) bytes[random() % bytes.size()] = static_cast<char>(random());
    if (random() % 5 == 0) bytes.resize(random() % (bytes.size() + 1));
    now += static_cast<TenthsOfMs>(random() % 20);
    for (const Send& s : e.decide(now, Came{1 + static_cast<Index>(random() % 8), bytes}).sends) REQUIRE(s.bytes.size() <= kMostDatagram);
    if (round % 50 == 0)
      for (const Send& s : e.decide(now, Pulse{}).sends) REQUIRE(s.bytes.size() <= kMostDatagram);
  }
  CHECK(e.view().number == 0);  // nobody agreed on anything
}

TEST_CASE("a node's part: its own for good, and of the rest while it knows that its view is the newest", "[members]") {
  Sharing sharing;
  Parts p(sharing);
  CHECK(p.part(0, 0, 10) == Approx(0.05));
  p.installed(1000, 70, true, 10);
  CHECK(p.part(1000, 1000, 10) == Approx(0.05));  // what it takes may still be in use by those who had it
  const TenthsOfMs later = 1000 + sharing.hold;
  CHECK(p.part(later, later, 10) == Approx(0.1));
  CHECK(p.part(later + sharing.lease, later, 10) == Approx(0.05));
  p.installed(later, 71, true, 5);
  CHECK(p.part(later + 1, later + 1, 10) == Approx(0.1));  // those who are out may not know it yet
  const TenthsOfMs freed = later + sharing.hold;
  CHECK(p.part(freed, freed, 10) == Approx(0.15));
  p.installed(freed + 1, 72, true, 10);
  CHECK(p.part(freed + 1, freed + 1, 10) == Approx(0.1));  // more: at once
  p.installed(freed + 2, 80, true, 5);  // it knows nothing of those between
  CHECK(p.part(freed + 2, freed + 2, 10) == Approx(0.05));
  p.installed(freed + 3, 81, false, 5);
  CHECK(p.part(freed + 2 * sharing.hold, freed + 2 * sharing.hold, 10) == Approx(0.05));
}

TEST_CASE("the same seed is the same run, step for step, and another is not", "[members]") {
  const auto a = lab::run(lab::drawn(42, 7, 20)), b = lab::run(lab::drawn(42, 7, 20)), c = lab::run(lab::drawn(43, 7, 20));
  CHECK(a.trace == b.trace);
  CHECK(a.steps == b.steps);
  CHECK(a.trace != c.trace);
}

TEST_CASE("drawn mixtures of faults break no invariant", "[members]") {
  for (std::uint64_t seed = 1; seed <= 25; ++seed) REQUIRE_NOTHROW(lab::run(lab::drawn(seed, 3 + static_cast<std::uint32_t>(seed % 9), 20)));
}

TEST_CASE("in no order of words, lost, doubled or late, do two nodes hold unlike views of one number", "[members]") {
  const auto three = lab::explore({3, 7, 2, 1, true, 1000000});
  CHECK(three.whole);
  CHECK(three.states > 5000);
  CHECK(three.agreed > 1000);
  const auto four = lab::explore({4, 6, 2, 1, true, 1000000});
  CHECK(four.whole);
  CHECK(four.states > 1000);
}

TEST_CASE("views formed anew follow one another, whoever forms them and whoever has lost the majority", "[members]") {
  const auto one_loses = lab::explore({3, 6, 2, 1, true, 1000000, 1, false});
  CHECK(one_loses.whole);
  CHECK(one_loses.formed > 1000);
  const auto all_lost = lab::explore({3, 6, 0, 1, true, 1000000, 2, true});
  CHECK(all_lost.whole);
  CHECK(all_lost.formed > 50000);
}

TEST_CASE("a crash is agreed on within three seconds, a lost zone is one change", "[members]") {
  const auto crash = lab::run(scenario(64, 10, {{Fault::Kind::crash, 1, 0, {17}, 0}}));
  REQUIRE(crash.removal_s.size() == 1);
  CHECK(crash.removal_s[0] < 3);
  CHECK(crash.false_removals == 0);
  const auto zone = lab::run(scenario(60, 10, {{Fault::Kind::lost_zone, 1, 0, upto(20, 40), 0}}));
  CHECK(zone.removal_s.size() == 20);
  CHECK(zone.views == 1);
}

TEST_CASE("loss of three in ten, one cut link and short pauses take nobody out; heartbeats take many", "[members]") {
  const std::vector<Fault> faults{{Fault::Kind::loss, 0, 40, {}, 0.3}, {Fault::Kind::cut_link, 5, 35, {1, 2}, 0}, {Fault::Kind::pause, 10, 11, {4}, 0}};
  lab::Scenario sc = scenario(12, 40, faults);
  const auto agreed = lab::run(sc);
  CHECK(agreed.false_removals == 0);
  CHECK(agreed.samples.back().number == agreed.samples.front().number);
  sc.policy = lab::Policy::heartbeats;
  CHECK(lab::run(sc).false_removals > 0);
}

TEST_CASE("the checker sees what it is there to see", "[members]") {
  // Without time for what is freed to age out, the parts of two halves that don't hear each other add up to more.
  lab::Scenario sc = scenario(9, 30, {{Fault::Kind::split, 3, 28, {5, 6, 7, 8}, 0}});
  sc.timing.lost = 400000;
  REQUIRE_NOTHROW(lab::run(sc));
  sc.sharing.hold = 0;
  REQUIRE_THROWS_AS(lab::run(sc), lab::Broken);
}

TEST_CASE("two hundred nodes that start at once are one view in seconds", "[members]") {
  // Who has the lowest number was heard of only by chance: 8 s at 200 nodes, 36 s at 1,000, and never at 1,200.
  const auto start = lab::run(scenario(200, 2, {}));
  CHECK(start.together_s < 5);
  CHECK(start.views == 0);
}

TEST_CASE("seven in ten restarted at once come together again by themselves", "[members]") {
  const auto o = lab::run(scenario(10, 20, {{Fault::Kind::crash, 2, 8, upto(3, 10), 0}}));
  CHECK(o.one_view);
  CHECK(o.samples.back().members == 10);
}

TEST_CASE("a scenario that can't be is refused in one line", "[members]") {
  CHECK_THROWS_AS(lab::read_scenario("{\"nodes\": 0}"), Malformed);
  CHECK_THROWS_AS(lab::read_scenario("{\"node\": 5}"), Malformed);
  CHECK_THROWS_AS(lab::read_scenario("{\"faults\": [{\"kind\": \"flood\"}]}"), Malformed);
  CHECK_THROWS_AS(lab::read_scenario("{\"faults\": [{\"kind\": \"crash\"}]}"), Malformed);
  CHECK_THROWS_AS(lab::read_scenario("{\"faults\": [{\"kind\": \"loss\", \"amount\": 2}]}"), Malformed);
  CHECK_THROWS_AS(lab::read_scenario("{"), Malformed);
  CHECK(lab::read_scenario("{\"nodes\": 5, \"faults\": [{\"kind\": \"cut_in\", \"nodes\": [3], \"from\": 1, \"until\": 9}]}").faults.size() == 1);
}
