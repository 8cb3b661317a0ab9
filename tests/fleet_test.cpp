// The membership among processes of the program, with faults between them.
#include "rig.h"

using rig::await;
using rig::Link;

namespace {

std::vector<std::uint64_t> numbers(const rig::Fleet& fleet) {
  std::vector<std::uint64_t> all;
  for (std::size_t n = 0; n < fleet.size(); ++n) all.push_back(fleet.number(n));
  return all;
}

}  // namespace

TEST_CASE("lost datagrams, a cut link and a short pause change no view", "[fleet]") {
  rig::Fleet fleet(5);
  fleet.await_one_view(5);
  const auto before = numbers(fleet);
  SECTION("three in ten of all are lost, some come twice or late") {
    fleet.relays().set_all({false, 0.3, 0.1, 20});
    fleet.await_probes(fleet.all_but({}), 150);
    for (std::size_t n = 0; n < fleet.size(); ++n)
      for (std::size_t k = 0; k < fleet.size(); ++k) CHECK(rig::Fleet::state(fleet.members(n), k) != "dead");
  }
  SECTION("one direction of one link") {
    fleet.relays().set(1, 3, {true, 0, 0, 0});
    fleet.await_probes(fleet.all_but({}), 100);
    CHECK(fleet.counter(1, "members_accused") == 0);
    CHECK(fleet.counter(3, "members_accused") == 0);
  }
  SECTION("a process is stopped for less than is tolerated") {
    for (std::size_t n : {4, 0}) {
      fleet.pause(n);
      std::this_thread::sleep_for(stand_in::milliseconds(700));
      fleet.go_on(n);
      fleet.await_probes(fleet.all_but({}), 40);
    }
  }
  CHECK(numbers(fleet) == before);
  fleet.check_clients();
}

TEST_CASE("a node that hears nothing but is heard is removed once, knows it, and comes back in one change", "[fleet]") {
  rig::Fleet fleet(5);
  fleet.await_one_view(5);
  const std::uint64_t before = fleet.number(0);
  for (std::size_t n = 0; n < 4; ++n) fleet.relays().set(n, 4, {true, 0, 0, 0});
  fleet.await_one_view(4, {4});
  CHECK(fleet.number(0) == before + 1);
  await([&] { return !fleet.members(4)["in_majority"].get<bool>(); }, "it knows");
  CHECK(fleet.number(4) == before);
  fleet.await_probes(fleet.all_but({4}), 60);
  CHECK(fleet.number(0) == before + 1);
  CHECK(rig::Fleet::state(fleet.members(1), 4) == "dead");
  for (std::size_t n = 0; n < 4; ++n) fleet.relays().set(n, 4, {});
  fleet.await_one_view(5);
  CHECK(fleet.number(0) == before + 2);
  fleet.check_clients();
}

TEST_CASE("a process stopped for long is removed, accuses nobody on waking and comes back", "[fleet]") {
  rig::Fleet fleet(5);
  fleet.await_one_view(5);
  const std::uint64_t before = fleet.number(0);
  fleet.pause(2);
  fleet.await_one_view(4, {2});
  CHECK(fleet.number(0) == before + 1);
  const std::uint64_t accused = fleet.counter(0, "members_accused");
  fleet.go_on(2);
  fleet.await_one_view(5);
  CHECK(fleet.number(0) == before + 2);
  CHECK(fleet.counter(2, "members_accused") == 0);
  CHECK(fleet.counter(0, "members_accused") == accused);

  // All but one at once: who is left has nobody to agree with, and nobody accuses anybody afterwards.
  const auto all = numbers(fleet);
  std::vector<std::uint64_t> said;
  for (std::size_t n = 0; n < 5; ++n) said.push_back(fleet.counter(n, "members_accused"));
  for (std::size_t n = 1; n < 5; ++n) fleet.pause(n);
  await([&] { return !fleet.members(0)["in_majority"].get<bool>(); }, "the one left knows");
  for (std::size_t n = 1; n < 5; ++n) fleet.go_on(n);
  fleet.await_one_view(5);
  CHECK(numbers(fleet) == all);
  for (std::size_t n = 0; n < 5; ++n) CHECK(fleet.counter(n, "members_accused") == said[n]);
  fleet.check_clients();
}

TEST_CASE("a killed process is removed in one change; its name comes back as another life, whatever the old one sent", "[fleet]") {
  rig::Fleet fleet(5);
  fleet.await_one_view(5);
  const std::uint64_t before = fleet.number(0), life = rig::Fleet::incarnation(fleet.members(0), 3);
  fleet.kill(3);
  fleet.await_one_view(4, {3});
  CHECK(fleet.number(0) == before + 1);
  CHECK(rig::Fleet::state(fleet.members(1), 3) == "dead");
  const auto old = fleet.relays().sent_by(3);
  REQUIRE_FALSE(old.empty());
  const auto replay = [&] {
    for (const auto& [to, bytes] : old) fleet.relays().inject(3, to, bytes);
  };
  replay();
  fleet.await_probes(fleet.all_but({3}), 40);
  CHECK(fleet.number(0) == before + 1);  // nothing that it said brings it back
  fleet.start(3);
  fleet.await_one_view(5);
  CHECK(rig::Fleet::incarnation(fleet.members(0), 3) > life);
  const auto now = numbers(fleet);
  const std::uint64_t dropped = fleet.counter(0, "peers_dropped_old_life");
  replay();
  await([&] { return fleet.counter(0, "peers_dropped_old_life") > dropped; }, "what the old life sent is dropped");
  fleet.await_probes(fleet.all_but({}), 40);
  CHECK(numbers(fleet) == now);

  // Told to stop it leaves, and is not missed first.
  CHECK(fleet.terminate(1) == 0);
  fleet.await_one_view(4, {1});
  CHECK(rig::Fleet::state(fleet.members(0), 1) == "left");
  fleet.check_clients();
}

TEST_CASE("in a partition the minority keeps its view and its own part; healed, there is one view again", "[fleet]") {
  rig::Fleet fleet(9);
  fleet.await_one_view(9);
  const auto part = [&](std::size_t n) { return fleet.members(n)["part"].get<double>(); };
  const auto sum = [&] {
    double all = 0;
    for (std::size_t n = 0; n < 9; ++n) all += part(n);
    return all;
  };
  await([&] { return part(0) > 0.11 && part(8) > 0.11; }, "each has its ninth");
  const auto before = numbers(fleet);
  const std::set<std::size_t> minority{5, 6, 7, 8};
  fleet.relays().cut_between(minority, true);
  fleet.await_one_view(5, minority);
  for (std::size_t n : minority) {
    await([&] { return !fleet.members(n)["in_majority"].get<bool>(); }, "the minority knows");
    CHECK(fleet.number(n) == before[n]);
    CHECK(part(n) == Approx(1.0 / 18));
  }
  CHECK(sum() <= 1.0001);
  // What the minority had is used by the others once the minority can't be using it any more.
  await([&] { return part(0) > 0.155; }, "the majority takes what was freed");
  CHECK(sum() <= 1.0001);
  for (std::size_t n : minority) CHECK(part(n) == Approx(1.0 / 18));
  fleet.relays().cut_between(minority, false);
  fleet.await_one_view(9);
  CHECK(sum() <= 1.0001);
  fleet.check_clients();
}

TEST_CASE("six of nine killed at once and started again come to one view by themselves", "[fleet]") {
  rig::Fleet fleet(9);
  fleet.await_one_view(9);
  const std::uint64_t before = fleet.number(0);
  for (std::size_t n = 3; n < 9; ++n) fleet.kill(n);
  await([&] { return !fleet.members(0)["in_majority"].get<bool>() && !fleet.members(2)["in_majority"].get<bool>(); }, "the rest know");
  CHECK(fleet.number(0) == before);
  CHECK(fleet.members(0)["view"]["size"] == 9);
  CHECK(fleet.members(0)["part"].get<double>() == Approx(1.0 / 18));
  for (std::size_t n = 3; n < 9; ++n) fleet.start(n);
  fleet.await_one_view(9);
  CHECK(fleet.number(0) > before);
  fleet.check_clients();
}

TEST_CASE("a successor on a passed socket is the same member, and new peers are taken up without a restart", "[fleet]") {
  rig::Fleet fleet(4, 3);
  fleet.await_one_view(3, {3});
  fleet.pass_listener(1);
  fleet.await_one_view(3, {3});
  const std::uint64_t before = fleet.number(0), life = rig::Fleet::incarnation(fleet.members(0), 1);
  CHECK(fleet.upgrade(1) == 0);
  fleet.await_one_view(3, {3});
  fleet.await_probes({0, 1, 2}, 30);
  CHECK(fleet.number(0) == before);
  CHECK(rig::Fleet::incarnation(fleet.members(0), 1) == life);

  fleet.list_all();
  fleet.start(3);
  fleet.await_one_view(4);
  fleet.check_clients();
}

TEST_CASE("a fleet file that can't be used is told in one line; without one nothing of it runs", "[fleet]") {
  using stand_in::Malformed;
  const auto refused = [](const std::string& membership) {
    try {
      stand_in::read_fleet("{\"membership\":{" + membership + "}}");
    } catch (const Malformed& wrong) {
      return std::string(wrong.what());
    }
    return std::string();
  };
  CHECK(refused("\"enabled\":true").empty());
  CHECK(refused("\"probe_ms\":5") == "membership.probe_ms is not between 50 and 10000");
  CHECK(refused("\"probe\":300") == "unknown key membership.probe");
  CHECK(refused("\"enabled\":1") == "membership.enabled is neither true nor false");
  CHECK(refused("\"self\":\"name\"").empty());
  CHECK(refused("\"self\":\"n0\"") == "membership.self is no number");
  CHECK(refused("\"reserve\":1.5") == "membership.reserve is not between 0 and 1");
  CHECK(refused("\"answer_ms\":300") == "membership.answer_ms is not below membership.probe_ms");
  CHECK(refused("\"lease_ms\":2000") == "membership.lease_ms is below three times membership.roll_call_ms");
  CHECK_THROWS_AS(stand_in::read_fleet("[]"), Malformed);
  CHECK_THROWS_AS(stand_in::read_fleet("{\"membership\":{"), Malformed);

  stand_in::Fleet alone({stand_in::closed_port()});
  CHECK_FALSE(alone.node.members());
  CHECK(alone.node.counters_text().find("peers_") == std::string::npos);

  // Peers that do not hold the node, or name one address twice, are no peers.
  auto config = stand_in::config("{\"version\":1,\"full\":true,\"servers\":[]}", stand_in::closed_port());
  config.fleet.membership.enabled = true;
  config.peer_listen = "127.0.0.1:7";
  config.peers = {"127.0.0.1:8"};
  CHECK_THROWS_AS(stand_in::Node(config), Malformed);
  config.peers = {"127.0.0.1:8", "127.0.0.1:7", "127.0.0.1:8"};
  CHECK_THROWS_AS(stand_in::Node(config), Malformed);
  config.peers = {"127.0.0.1:8", "127.0.0.1:9"};
  config.fleet.membership.self_by_name = true;
  config.name = "node";
  CHECK_THROWS_AS(stand_in::Node(config), Malformed);
  config.name = "n2";  // there is no such place
  CHECK_THROWS_AS(stand_in::Node(config), Malformed);
  config.peers = {};
  CHECK_THROWS_AS(stand_in::Node(config), Malformed);
}

TEST_CASE("noise, truncated and replayed datagrams and other clusters have no effect", "[fleet]") {
  rig::Fleet fleet(3);
  fleet.await_one_view(3);
  const auto before = numbers(fleet);
  std::mt19937 random(3);
  const auto sent = fleet.relays().sent_by(1);
  REQUIRE_FALSE(sent.empty());
  const stand_in::Fd stranger = rig::udp_socket();
  const sockaddr_in to = stand_in::parse_address(fleet.relays().listen(0));
  const auto dropped = [&](const std::string& why) { return fleet.counter(0, "peers_dropped_" + why); };
  for (int round = 0; round < 40; ++round) {
    for (int n = 0; n < 200; ++n) {
      std::string bytes = sent[random() % sent.size()].second;
      switch (random() % 5) {
        case 0: bytes.resize(random() % bytes.size()); break;
        case 1: bytes = std::string(257 + random() % 900, static_cast<char>(random())); break;
        case 2: for (char& c : bytes) c = static_cast<char>(random()); break;
        case 3: bytes[3] = static_cast<char>(bytes[3] + 1); break;  // the cluster
        default: break;  // as it was
      }
      if (n % 4) fleet.relays().inject(1, 0, bytes);
      else ::sendto(stranger.get(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof to);
    }
    std::this_thread::sleep_for(stand_in::milliseconds(5));
  }
  await([&] { return dropped("too_long") > 0 && dropped("unreadable") > 0 && dropped("cluster") > 0 && dropped("unknown_address") > 0; }, "all causes are counted");
  fleet.await_probes(fleet.all_but({}), 30);
  CHECK(numbers(fleet) == before);
  fleet.check_clients();
}
