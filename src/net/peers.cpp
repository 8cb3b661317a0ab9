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

constexpr int kReceiveBatch = 128;  // datagrams that are read before the time is checked
constexpr std::chrono::milliseconds kBindRetryInterval{50};
// The time of the engine is the steady clock plus this offset.
constexpr TenthsOfMs kDay = 24 * 3600 * TenthsOfMs{10000};

std::uint64_t key_of(const sockaddr_in& address) {
  return std::uint64_t{address.sin_addr.s_addr} << 16 | address.sin_port;
}

std::string join(const std::vector<Index>& nodes) {
  std::string joined;
  for (Index node : nodes) joined += (joined.empty() ? "" : ",") + std::to_string(node);
  return joined;
}

}  // namespace

std::string MembershipCounters::text() const {
  std::string lines;
  const auto add_lines = [&](std::string_view prefix, const auto& count_names, const auto& counts) {
    for (std::size_t i = 0; i < counts.size(); ++i)
      if (count_names[i] != std::string_view("none"))
        lines += fmt::format("{}{} {}\n", prefix, count_names[i], counts[i].load());
  };
  add_lines("peers_sent_", kKindNames, sent);
  add_lines("peers_came_", kKindNames, received);
  add_lines("peers_dropped_", kDroppedNames, dropped);
  add_lines("members_", kNoteNames, notes);
  return lines;
}

MembershipTransport::MembershipTransport(const Options& options, std::function<void(int)> on_share_changed)
    : options_(options), on_share_changed_(std::move(on_share_changed)) {
  set_addresses(parse_peers(options_.peers));
  const sockaddr_in own_address = parse_address(options_.listen);
  setup_.node = kNone;
  if (options_.membership.self_by_name) {
    const std::size_t digits_at = options_.name.find_last_not_of("0123456789") + 1;
    const std::string number = options_.name.substr(digits_at);
    if (number.empty() || number.size() > 6)
      throw Malformed("membership.self is \"name\", but the name '" + options_.name +
                      "' ends with no number");
    setup_.node = static_cast<Index>(parse_integer(number, "membership.self"));
  } else if (options_.membership.self >= 0) setup_.node = static_cast<Index>(options_.membership.self);
  else if (const auto own_entry = node_of_address_.find(key_of(own_address));
           own_entry != node_of_address_.end())
    setup_.node = own_entry->second;
  if (setup_.node >= addresses_.size())
    throw Malformed(
        "peers do not contain this node; set membership.self to its index in peers, counted from 0");
  setup_.roster = static_cast<std::uint32_t>(addresses_.size());
  setup_.cluster = XXH32(options_.membership.cluster.data(), options_.membership.cluster.size(), 1);
  setup_.name = options_.name, setup_.zone = options_.zone;
  if (setup_.name.size() > kMostName)
    throw Malformed(fmt::format("with membership on, a name has at most {} bytes", kMostName));
  if (setup_.zone.size() > kMostName)
    throw Malformed(fmt::format("with membership on, the name of a zone has at most {} bytes", kMostName));
  std::random_device random_device;
  setup_.seed = (std::uint64_t{random_device()} << 32) + random_device();
  setup_.timing = options_.membership.timing;
  setup_.sharing = options_.membership.sharing;
  // Capacity that a change of the view frees is used only after this time: the old leases have to expire (a
  // tenth is added, since clocks run at different speeds), and sends made under them count for the length of
  // the slow-start window.
  setup_.sharing.hold = setup_.sharing.lease * 11 / 10 + options_.slow_start_window;
  setup_.life = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                               std::chrono::system_clock::now().time_since_epoch())
                                               .count());
  if (!options_.is_successor && !try_bind())
    throw std::system_error(errno, std::generic_category(), "can't receive datagrams on " + options_.listen);
  reported_share_ = 0;
  report_share();
}

MembershipTransport::~MembershipTransport() { stop(); }

TenthsOfMs MembershipTransport::now() const {
  return kDay +
         std::chrono::duration_cast<std::chrono::microseconds>(TimePoint::clock::now().time_since_epoch())
                 .count() /
             100;
}

MembershipTransport::Addresses MembershipTransport::parse_peers(const std::vector<std::string>& peers) const {
  if (peers.empty()) throw Malformed("peers is empty");
  if (peers.size() > kMostNodes) throw Malformed(fmt::format("peers has more than {} entries", kMostNodes));
  Addresses addresses;
  std::set<std::uint64_t> seen;
  for (const std::string& peer : peers) {
    addresses.push_back(parse_address(peer));
    if (!seen.insert(key_of(addresses.back())).second) throw Malformed("peers contains " + peer + " twice");
  }
  return addresses;
}

void MembershipTransport::set_addresses(Addresses addresses) {
  addresses_ = std::move(addresses);
  node_of_address_.clear();
  for (Index node = 0; node < addresses_.size(); ++node) node_of_address_[key_of(addresses_[node])] = node;
}

void MembershipTransport::check(const std::vector<std::string>& peers) const {
  if (parse_peers(peers).size() <= setup_.node) throw Malformed("peers do not contain this node");
}

void MembershipTransport::move(const std::vector<std::string>& peers) {
  Addresses new_addresses = parse_peers(peers);
  std::lock_guard lock(lock_);
  set_addresses(std::move(new_addresses));
  run_engine(NewRoster{static_cast<std::uint32_t>(addresses_.size())});
}

bool MembershipTransport::try_bind() {
  const sockaddr_in own_address = parse_address(options_.listen);
  Fd fd(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  if (!fd || ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&own_address), sizeof own_address) != 0)
    return false;
  // With the snapshot of its predecessor this process continues as the same member. A snapshot left by a
  // killed process is ignored and removed.
  if (!options_.snapshot_path.empty()) {
    std::ifstream in(options_.snapshot_path, std::ios::binary);
    std::stringstream snapshot;
    if (in && options_.is_successor && snapshot << in.rdbuf()) setup_.resumed = snapshot.str();
    ::unlink(options_.snapshot_path.c_str());
  }
  std::lock_guard lock(lock_);
  engine_ = std::make_unique<Engine>(setup_, now());
  socket_ = std::move(fd);
  return true;
}

void MembershipTransport::run() {
  TimePoint next_heartbeat = TimePoint::clock::now();
  const auto heartbeat_interval = std::chrono::microseconds(setup_.timing.pulse * 100);
  while (!stopped_) {
    if (is_handing_over_) return write_snapshot_and_close();
    int fd = -1;
    {
      std::lock_guard lock(lock_);
      fd = socket_.get();
    }
    if (fd < 0) {
      std::this_thread::sleep_for(kBindRetryInterval);
      if (try_bind()) log::info("membership goes on in this process");
      continue;
    }
    const TimePoint now_at = TimePoint::clock::now();
    if (now_at >= next_heartbeat) {
      next_heartbeat = std::max(next_heartbeat + heartbeat_interval, now_at + heartbeat_interval / 2);
      std::lock_guard lock(lock_);
      if (engine_) run_engine(Pulse{});
    } else {
      const auto wait_ms =
          std::chrono::duration_cast<std::chrono::milliseconds>(next_heartbeat - now_at).count() + 1;
      pollfd poll_fd{fd, POLLIN, 0};
      if (::poll(&poll_fd, 1, static_cast<int>(wait_ms)) <= 0) continue;
    }
    receive();
    report_share();
  }
  if (is_handing_over_) write_snapshot_and_close();
}

// Reads at most one batch, so that timers run however many datagrams arrive.
void MembershipTransport::receive() {
  char bytes[kMostDatagram + 1];
  for (int n = 0; n < kReceiveBatch; ++n) {
    std::lock_guard lock(lock_);
    if (!socket_) return;
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t received_size = ::recvfrom(socket_.get(), bytes, sizeof bytes, MSG_DONTWAIT,
                                             reinterpret_cast<sockaddr*>(&from), &size);
    if (received_size < 0) {
      if (errno == EINTR) continue;
      return;
    }
    const auto drop = [&](Dropped reason) { ++counters_.dropped[static_cast<std::size_t>(reason)]; };
    const auto sender = node_of_address_.find(key_of(from));
    if (sender == node_of_address_.end()) {
      drop(Dropped::unknown_address);
      continue;
    }
    if (received_size > static_cast<ssize_t>(kMostDatagram)) {
      drop(Dropped::too_long);
      continue;
    }
    run_engine(Came{sender->second, std::string_view(bytes, static_cast<std::size_t>(received_size))});
  }
}

// No exception of the engine on received data may end the thread: without its heartbeats the other nodes
// would take this node for dead.
void MembershipTransport::run_engine(const MemberEvent& event) {
  if (!engine_ || !socket_) return;
  const Output* output = nullptr;
  try {
    output = &engine_->decide(now(), event);
  } catch (const std::exception& error) {
    log::error("members: {}", error.what());
    return;
  }
  const Output& out = *output;
  if (std::holds_alternative<Came>(event)) {
    if (out.dropped != Dropped::none) ++counters_.dropped[static_cast<std::size_t>(out.dropped)];
    else ++counters_.received[out.came];
  }
  for (const Send& datagram : out.sends) {
    if (datagram.to >= addresses_.size()) continue;
    ++counters_.sent[datagram.kind];
    ::sendto(socket_.get(), datagram.bytes.data(), datagram.bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
             reinterpret_cast<const sockaddr*>(&addresses_[datagram.to]), sizeof(sockaddr_in));
  }
  for (const Note& note : out.notes) {
    ++counters_.notes[static_cast<std::size_t>(note.what)];
    const std::string_view what = kNoteNames[static_cast<std::size_t>(note.what)];
    if (note.what == Note::What::view_accepted)
      log::event(what, {{"number", note.number},
                        {"size", std::uint64_t{note.size}},
                        {"came", join(note.came)},
                        {"dead", join(note.died)},
                        {"left", join(note.left)}});
    else if (note.node != kNone)
      log::event(what, {{"peer", std::uint64_t{note.node}}, {"number", note.number}});
    else log::event(what, {{"number", note.number}, {"size", std::uint64_t{note.size}}});
  }
}

void MembershipTransport::report_share() {
  int nodes = 0;
  {
    std::lock_guard lock(lock_);
    // Without an engine, the reserved part of this node only.
    const double part =
        engine_ ? engine_->part(now())
                : setup_.sharing.reserve / static_cast<double>(std::max<std::size_t>(1, addresses_.size()));
    nodes = part > 1e-6 ? static_cast<int>(std::ceil(1 / part - 1e-9)) : 1000000;
    if (nodes == reported_share_) return;
    reported_share_ = nodes;
  }
  on_share_changed_(nodes);
}

void MembershipTransport::leave() {
  std::lock_guard lock(lock_);
  run_engine(Leave{});
}

bool MembershipTransport::has_left() const {
  std::lock_guard lock(lock_);
  return !engine_ || engine_->status(now()).has_left;
}

void MembershipTransport::write_snapshot_and_close() {
  std::lock_guard lock(lock_);
  if (!engine_) return;
  const std::string partial_path = options_.snapshot_path + ".part";
  {
    std::ofstream out(partial_path, std::ios::binary);
    out << engine_->snapshot() << std::flush;
    out.close();
    // Written to another file and renamed, since a partly written file would be read as a whole snapshot.
    if (!out || std::rename(partial_path.c_str(), options_.snapshot_path.c_str()) != 0) {
      log::warning("members: can't write '{}'; the successor joins as a new member", partial_path);
      ::unlink(partial_path.c_str());
    }
  }
  socket_.reset();
}

void MembershipTransport::stop() { stopped_ = true; }

std::string MembershipTransport::json() const {
  using Json = nlohmann::ordered_json;
  static constexpr std::string_view kStates[] = {"alive", "suspect", "dead", "left"};
  std::lock_guard lock(lock_);
  if (!engine_)
    return Json{{"self", options_.name},
                {"zone", options_.zone},
                {"in_majority", false},
                {"view", {{"number", 0}, {"size", 0}}},
                {"members", Json::array()}}
               .dump() +
           "\n";
  const Status status = engine_->status(now());
  Json member_list = Json::array();
  for (const Known& known : status.known)
    member_list.push_back({{"name", known.name},
                           {"zone", known.zone},
                           {"state", kStates[static_cast<int>(known.state)]},
                           {"incarnation", known.incarnation}});
  return Json{{"self", options_.name},
              {"zone", options_.zone},
              {"incarnation", status.incarnation},
              {"in_majority", status.in_majority},
              {"view", {{"number", engine_->view().number}, {"size", engine_->view().members.size()}}},
              {"part", status.part},
              {"members", member_list}}
             .dump() +
         "\n";
}

}  // namespace troutstage::net
