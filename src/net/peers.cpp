#include "net/peers.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>
#include <system_error>
#include <thread>

#include "core/settings.h"
#include "log/log.h"

namespace troutstage::net {
namespace {

using namespace members;

constexpr int kReceiveBatch = 128;  // datagrams that are read before the time is looked at
constexpr std::chrono::milliseconds kBindRetryInterval{50};
constexpr TenthsOfMs kDay = 24 * 3600 * TenthsOfMs{10000};

std::uint64_t key_of(const sockaddr_in& address) {
  return std::uint64_t{address.sin_addr.s_addr} << 16 | address.sin_port;
}

std::string names(const std::vector<Index>& nodes) {
  std::string all;
  for (Index n : nodes) all += (all.empty() ? "" : ",") + std::to_string(n);
  return all;
}

}  // namespace

std::string MembershipCounters::text() const {
  std::string out;
  const auto lines = [&](std::string_view prefix, const auto& called, const auto& counts) {
    for (std::size_t i = 0; i < counts.size(); ++i)
      if (called[i] != std::string_view("none")) out += fmt::format("{}{} {}\n", prefix, called[i], counts[i].load());
  };
  lines("peers_sent_", kKindNames, sent);
  lines("peers_came_", kKindNames, came);
  lines("peers_dropped_", kDroppedNames, dropped);
  lines("members_", kNoteNames, notes);
  return out;
}

MembershipTransport::MembershipTransport(const Options& start, std::function<void(int)> share) : start_(start), on_share_changed_(std::move(share)) {
  set_addresses(parse_peers(start_.peers));
  const sockaddr_in own = parse_address(start_.listen);
  setup_.node = kNone;
  if (start_.membership.self_by_name) {
    const std::size_t digits = start_.name.find_last_not_of("0123456789") + 1;
    const std::string number = start_.name.substr(digits);
    if (number.empty() || number.size() > 6) throw Malformed("membership.self is \"name\", but the name '" + start_.name + "' ends with no number");
    setup_.node = static_cast<Index>(parse_integer(number, "membership.self"));
  } else if (start_.membership.self >= 0) setup_.node = static_cast<Index>(start_.membership.self);
  else if (const auto at = node_of_address_.find(key_of(own)); at != node_of_address_.end()) setup_.node = at->second;
  if (setup_.node >= addresses_.size())
    throw Malformed("peers do not hold this node: membership.self tells its place among them, from 0 on");
  setup_.roster = static_cast<std::uint32_t>(addresses_.size());
  setup_.cluster = XXH32(start_.membership.cluster.data(), start_.membership.cluster.size(), 1);
  setup_.name = start_.name, setup_.zone = start_.zone;
  if (setup_.name.size() > kMostName) throw Malformed(fmt::format("with membership a name has up to {} bytes", kMostName));
  if (setup_.zone.size() > kMostName) throw Malformed(fmt::format("with membership a zone's name has up to {} bytes", kMostName));
  std::random_device chance;
  setup_.seed = (std::uint64_t{chance()} << 32) + chance();
  setup_.timing = start_.membership.timing;
  setup_.sharing = start_.membership.sharing;
  // A tenth more than the lease, since clocks run at unlike speeds, and what was sent in it counts for the window.
  setup_.sharing.hold = setup_.sharing.lease * 11 / 10 + start_.slow_start_window;
  setup_.life = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
  if (!start_.is_successor && !try_bind())
    throw std::system_error(errno, std::generic_category(), "can't take datagrams on " + start_.listen);
  reported_share_ = 0;
  report_share();
}

MembershipTransport::~MembershipTransport() { stop(); }

TenthsOfMs MembershipTransport::now() const {
  return kDay + std::chrono::duration_cast<std::chrono::microseconds>(TimePoint::clock::now().time_since_epoch()).count() / 100;
}

MembershipTransport::Addresses MembershipTransport::parse_peers(const std::vector<std::string>& peers) const {
  if (peers.empty()) throw Malformed("peers is empty");
  if (peers.size() > kMostNodes) throw Malformed(fmt::format("peers are more than {}", kMostNodes));
  Addresses all;
  std::set<std::uint64_t> seen;
  for (const std::string& one : peers) {
    all.push_back(parse_address(one));
    if (!seen.insert(key_of(all.back())).second) throw Malformed("peers name " + one + " twice");
  }
  return all;
}

void MembershipTransport::set_addresses(Addresses addresses) {
  addresses_ = std::move(addresses);
  node_of_address_.clear();
  for (Index n = 0; n < addresses_.size(); ++n) node_of_address_[key_of(addresses_[n])] = n;
}

void MembershipTransport::check(const std::vector<std::string>& peers) const {
  if (parse_peers(peers).size() <= setup_.node) throw Malformed("peers do not hold this node");
}

void MembershipTransport::move(const std::vector<std::string>& peers) {
  Addresses fresh = parse_peers(peers);
  std::lock_guard held(lock_);
  set_addresses(std::move(fresh));
  decide(NewRoster{static_cast<std::uint32_t>(addresses_.size())});
}

// False: another process of this node has it still.
bool MembershipTransport::try_bind() {
  const sockaddr_in own = parse_address(start_.listen);
  Fd fd(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  if (!fd || ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&own), sizeof own) != 0) return false;
  // What the process before this one left is of the same life; what a killed one left was never there.
  if (!start_.hand_over_to_successor.empty()) {
    std::ifstream in(start_.hand_over_to_successor, std::ios::binary);
    std::stringstream all;
    if (in && start_.is_successor && all << in.rdbuf()) setup_.resumed = all.str();
    ::unlink(start_.hand_over_to_successor.c_str());
  }
  std::lock_guard held(lock_);
  engine_ = std::make_unique<Engine>(setup_, now());
  socket_ = std::move(fd);
  return true;
}

void MembershipTransport::run() {
  TimePoint next = TimePoint::clock::now();
  const auto pulse = std::chrono::microseconds(setup_.timing.pulse * 100);
  while (!stopped_) {
    if (is_handing_over_) return write_snapshot_and_close();
    int fd = -1;
    {
      std::lock_guard held(lock_);
      fd = socket_.get();
    }
    if (fd < 0) {
      std::this_thread::sleep_for(kBindRetryInterval);
      if (try_bind()) log::info("membership goes on in this process");
      continue;
    }
    const TimePoint at = TimePoint::clock::now();
    if (at >= next) {
      next = std::max(next + pulse, at + pulse / 2);
      std::lock_guard held(lock_);
      if (engine_) decide(Pulse{});
    } else {
      const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(next - at).count() + 1;
      pollfd polled{fd, POLLIN, 0};
      if (::poll(&polled, 1, static_cast<int>(wait)) <= 0) continue;
    }
    receive();
    report_share();
  }
  if (is_handing_over_) write_snapshot_and_close();
}

// However much comes, time goes on between batches.
void MembershipTransport::receive() {
  char bytes[kMostDatagram + 1];
  for (int n = 0; n < kReceiveBatch; ++n) {
    std::lock_guard held(lock_);
    if (!socket_) return;
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t got = ::recvfrom(socket_.get(), bytes, sizeof bytes, MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 0) {
      if (errno == EINTR) continue;
      return;
    }
    const auto drop = [&](Dropped why) { ++counters_.dropped[static_cast<std::size_t>(why)]; };
    const auto place = node_of_address_.find(key_of(from));
    if (place == node_of_address_.end()) { drop(Dropped::unknown_address); continue; }
    if (got > static_cast<ssize_t>(kMostDatagram)) { drop(Dropped::too_long); continue; }
    decide(Came{place->second, std::string_view(bytes, static_cast<std::size_t>(got))});
  }
}

// The lock is held. Whatever the engine might throw on what came from outside must not end the thread: without it the
// node would be missed.
void MembershipTransport::decide(const MemberEvent& event) {
  if (!engine_ || !socket_) return;
  const Output* decided = nullptr;
  try {
    decided = &engine_->decide(now(), event);
  } catch (const std::exception& broke) {
    log::error("members: {}", broke.what());
    return;
  }
  const Output& out = *decided;
  if (std::holds_alternative<Came>(event)) {
    if (out.dropped != Dropped::none) ++counters_.dropped[static_cast<std::size_t>(out.dropped)];
    else ++counters_.came[out.came];
  }
  for (const Send& s : out.sends) {
    if (s.to >= addresses_.size()) continue;
    ++counters_.sent[s.kind];
    ::sendto(socket_.get(), s.bytes.data(), s.bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
             reinterpret_cast<const sockaddr*>(&addresses_[s.to]), sizeof(sockaddr_in));
  }
  for (const Note& n : out.notes) {
    ++counters_.notes[static_cast<std::size_t>(n.what)];
    const std::string_view what = kNoteNames[static_cast<std::size_t>(n.what)];
    if (n.what == Note::What::view_accepted)
      log::event(what, {{"number", n.number}, {"size", std::uint64_t{n.size}}, {"came", names(n.came)}, {"dead", names(n.died)}, {"left", names(n.left)}});
    else if (n.node != kNone)
      log::event(what, {{"peer", std::uint64_t{n.node}}, {"number", n.number}});
    else
      log::event(what, {{"number", n.number}, {"size", std::uint64_t{n.size}}});
  }
}

void MembershipTransport::report_share() {
  int nodes = 0;
  {
    std::lock_guard held(lock_);
    // Before it has an engine, its own part for good.
    const double part = engine_ ? engine_->part(now())
                                : setup_.sharing.reserve / static_cast<double>(std::max<std::size_t>(1, addresses_.size()));
    nodes = part > 1e-6 ? static_cast<int>(std::ceil(1 / part - 1e-9)) : 1000000;
    if (nodes == reported_share_) return;
    reported_share_ = nodes;
  }
  on_share_changed_(nodes);
}

void MembershipTransport::leave() {
  std::lock_guard held(lock_);
  decide(Leave{});
}

bool MembershipTransport::has_left() const {
  std::lock_guard held(lock_);
  return !engine_ || engine_->status(now()).has_left;
}

void MembershipTransport::write_snapshot_and_close() {
  std::lock_guard held(lock_);
  if (!engine_) return;
  const std::string part = start_.hand_over_to_successor + ".part";
  {
    std::ofstream out(part, std::ios::binary);
    out << engine_->snapshot() << std::flush;
    out.close();
    // Half a file in its place would be taken for the whole.
    if (!out || std::rename(part.c_str(), start_.hand_over_to_successor.c_str()) != 0) {
      log::warning("members: can't write '{}', the successor joins anew", part);
      ::unlink(part.c_str());
    }
  }
  socket_.reset();
}

void MembershipTransport::stop() { stopped_ = true; }

std::string MembershipTransport::json() const {
  using Json = nlohmann::ordered_json;
  static constexpr std::string_view kStates[] = {"alive", "suspect", "dead", "left"};
  std::lock_guard held(lock_);
  if (!engine_) return Json{{"self", start_.name}, {"zone", start_.zone}, {"in_majority", false}, {"view", {{"number", 0}, {"size", 0}}}, {"members", Json::array()}}.dump() + "\n";
  const Status st = engine_->status(now());
  Json all = Json::array();
  for (const Known& k : st.known)
    all.push_back({{"name", k.name}, {"zone", k.zone}, {"state", kStates[static_cast<int>(k.state)]}, {"incarnation", k.incarnation}});
  return Json{{"self", start_.name},
              {"zone", start_.zone},
              {"incarnation", st.incarnation},
              {"in_majority", st.in_majority},
              {"view", {{"number", engine_->view().number}, {"size", engine_->view().members.size()}}},
              {"part", st.part},
              {"members", all}}
             .dump() +
         "\n";
}

}  // namespace troutstage::net
