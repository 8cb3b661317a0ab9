// A fleet of processes of the program on loopback. Each ordered pair of nodes has a relay of its own, by which what
// one sends the other can be lost, doubled, delayed or cut; clients ask through the nodes meanwhile, and the stand-in
// backends keep count of what ran.
#pragma once

#include <fcntl.h>
#include <poll.h>

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <queue>
#include <random>
#include <set>

#include "members/wire.h"
#include "stand_in.h"

namespace rig {

using namespace stand_in;
using Json = nlohmann::json;

inline constexpr int kPatience = 60000;  // milliseconds, for what must come about

template <class Condition>
void await(Condition condition, const std::string& what) {
  const TimePoint limit = soon(kPatience);
  while (!condition()) {
    INFO(what);
    REQUIRE(TimePoint::clock::now() < limit);
    std::this_thread::sleep_for(milliseconds(20));
  }
}

inline Fd udp_socket(const std::string& at = "127.0.0.1:0") {
  Fd fd(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  const sockaddr_in address = parse_address(at);
  REQUIRE(::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
  return fd;
}
// What a node listens on has a loopback address of the node's own: on the one that clients and relays connect from, a
// port that was free a moment ago may be theirs by the time the node starts.
inline std::string own_address(std::size_t n, bool datagrams) {
  const std::string address = "127.1.0." + std::to_string(n + 1);
  const Fd fd = datagrams ? udp_socket(address + ":0") : listen_on(parse_address(address + ":0"));
  return address + ":" + std::to_string(port_of(fd.get()));
}

// What happens to datagrams from one node to another.
struct Link {
  bool cut = false;
  double loss = 0, twice = 0;
  int delay_ms = 0;  // up to; so they also overtake one another
};

class Relays {
 public:
  explicit Relays(std::size_t nodes) : nodes_(nodes), sockets_(nodes * nodes), links_(nodes * nodes) {
    for (std::size_t n = 0; n < nodes; ++n) at_.push_back(parse_address(own_address(n, true)));
    for (std::size_t i = 0; i < nodes; ++i)
      for (std::size_t j = 0; j < nodes; ++j)
        if (i != j) sockets_[i * nodes + j] = udp_socket();
    thread_.run([this] { run(); });
  }
  ~Relays() {
    stop_ = true;
    thread_.finish();
  }
  std::string listen(std::size_t n) const { return address_text(at_[n]); }
  std::string peer(std::size_t from, std::size_t to) const {
    return from == to ? listen(to) : "127.0.0.1:" + std::to_string(port_of(sockets_[from * nodes_ + to].get()));
  }
  void set(std::size_t from, std::size_t to, const Link& link) {
    std::lock_guard held(lock_);
    links_[from * nodes_ + to] = link;
  }
  void set_all(const Link& link) {
    std::lock_guard held(lock_);
    for (Link& l : links_) l = link;
  }
  void cut_between(const std::set<std::size_t>& side, bool cut) {
    std::lock_guard held(lock_);
    for (std::size_t i = 0; i < nodes_; ++i)
      for (std::size_t j = 0; j < nodes_; ++j)
        if (side.count(i) != side.count(j)) links_[i * nodes_ + j].cut = cut;
  }
  // The last datagrams that a node sent to each other, and a way to send whatever to a node as if from another.
  std::vector<std::pair<std::size_t, std::string>> sent_by(std::size_t n) const {
    std::lock_guard held(lock_);
    std::vector<std::pair<std::size_t, std::string>> all;
    for (const auto& [to, bytes] : kept_[n]) all.push_back({to, bytes});
    return all;
  }
  void inject(std::size_t as, std::size_t to, const std::string& bytes) const {
    ::sendto(sockets_[to * nodes_ + as].get(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&at_[to]), sizeof(sockaddr_in));
  }

 private:
  struct Late {
    TimePoint at;
    std::size_t from, to;
    std::string bytes;
    bool operator>(const Late& o) const { return at > o.at; }
  };
  void run() {
    std::vector<pollfd> polled;
    for (const Fd& fd : sockets_)
      if (fd) polled.push_back({fd.get(), POLLIN, 0});
    std::priority_queue<Late, std::vector<Late>, std::greater<>> late;
    std::mt19937 random(5);
    const auto chance = [&] { return static_cast<double>(random()) / 4294967296.0; };
    while (!stop_) {
      ::poll(polled.data(), polled.size(), late.empty() ? 20 : 1);
      for (std::size_t at = 0; at < sockets_.size(); ++at) {
        if (!sockets_[at]) continue;
        const std::size_t from = at / nodes_, to = at % nodes_;
        char bytes[2048];
        for (ssize_t got; (got = ::recv(sockets_[at].get(), bytes, sizeof bytes, MSG_DONTWAIT)) >= 0;) {
          std::lock_guard held(lock_);
          auto& kept = kept_[from];
          kept.push_back({to, std::string(bytes, static_cast<std::size_t>(got))});
          if (kept.size() > 400) kept.pop_front();
          const Link& l = links_[at];
          if (l.cut || chance() < l.loss) continue;
          for (int copies = chance() < l.twice ? 2 : 1; copies > 0; --copies)
            late.push({TimePoint::clock::now() + milliseconds(l.delay_ms > 0 ? static_cast<int>(chance() * l.delay_ms) : 0), from, to,
                       std::string(bytes, static_cast<std::size_t>(got))});
        }
      }
      for (; !late.empty() && late.top().at <= TimePoint::clock::now(); late.pop()) inject(late.top().from, late.top().to, late.top().bytes);
    }
  }

  const std::size_t nodes_;
  std::vector<sockaddr_in> at_;
  std::vector<Fd> sockets_;  // by who sends to it and for whom
  mutable std::mutex lock_;
  std::vector<Link> links_;
  mutable std::map<std::size_t, std::deque<std::pair<std::size_t, std::string>>> kept_;
  std::atomic<bool> stop_{false};
  ThreadPool thread_{1};
};

// Counts what ran, by the invocation's id.
class Backends {
 public:
  Server::Handler handler() {
    return [this](const Server::Call& call) {
      const auto head = parse_head(call.head);
      std::lock_guard held(lock_);
      if (call.head.starts_with("POST /pay")) ++ran_[std::string(head->value("X-Txn"))];
      ++all_;
      return ok("done");
    };
  }
  int most_runs() const {
    std::lock_guard held(lock_);
    int most = 0;
    for (const auto& [id, times] : ran_) most = std::max(most, times);
    return most;
  }
  int all() const {
    std::lock_guard held(lock_);
    return all_;
  }

 private:
  mutable std::mutex lock_;
  std::map<std::string, int> ran_;
  int all_ = 0;
};

class Fleet {
 public:
  // Only the first `listed` are among the peers and started at first; 0: all.
  explicit Fleet(std::size_t nodes, std::size_t listed = 0)
      : listed_(listed == 0 ? nodes : listed), relays_(nodes), backend_(backends_.handler()), discovery_([this](const Server::Call& call) { return lists(call); }),
        together_("{\"membership\":{\"enabled\":true,\"cluster\":\"rig\",\"roll_call_ms\":500,\"lease_ms\":3000,\"lost_ms\":4000}}") {
    for (std::size_t n = 0; n < nodes; ++n) {
      auto one = std::make_unique<One>();
      one->listen = own_address(n, false), one->mgmt = own_address(n, false);
      ones_.push_back(std::move(one));
    }
    for (std::size_t n = 0; n < nodes; ++n) {
      ones_[n]->file = std::make_unique<File>(text(n));
      if (n < listed_) start(n);
    }
    for (int c = 0; c < 3; ++c) clients_.run([this, c] { ask(static_cast<std::size_t>(c)); });
  }
  ~Fleet() {
    stop_ = true;
    for (auto& one : ones_)
      if (one->program) one->program->signal(SIGCONT);
    clients_.finish();
  }
  // New files, and SIGHUP, for all that run: now all are listed.
  void list_all() {
    listed_ = size();
    for (std::size_t n = 0; n < size(); ++n) {
      ones_[n]->file->write(text(n));
      if (ones_[n]->program) ones_[n]->program->signal(SIGHUP);
    }
  }
  // A second process of a node that has its listener passed to it; the first is told to stop once it is ready.
  int upgrade(std::size_t n) {
    One& one = *ones_[n];
    auto before = std::move(one.program);
    one.mgmt = own_address(n, false);
    start(n);
    await([&] { return !get(n, "/v1/readyz").empty(); }, "the successor is ready");
    ++one.disturbed;
    before->signal(SIGTERM);
    return before->exit_code();
  }
  void pass_listener(std::size_t n) {
    One& one = *ones_[n];
    if (one.program) kill(n);
    one.folder = (std::filesystem::temp_directory_path() / ("troutstage-rig-" + std::to_string(::getpid()))).string();
    std::filesystem::create_directories(one.folder);
    one.listener = Fd(::fcntl(listen_on(parse_address(one.listen)).get(), F_DUPFD_CLOEXEC, 50));
    start(n);
  }
  std::size_t size() const { return ones_.size(); }
  Relays& relays() { return relays_; }
  const Backends& backends() const { return backends_; }

  void start(std::size_t n) {
    One& one = *ones_[n];
    one.program = std::make_unique<Program>(*one.file, std::vector<std::string>{"RELAY_MGMT=" + one.mgmt, "RELAY_NAME=n" + std::to_string(n),
                                                                              "TROUTSTAGE_FLEET=" + together_.path(), "TMPDIR=" + one.folder},
                                            one.listener ? one.listener.get() : -1);
    one.runs = true;
  }
  void kill(std::size_t n) {
    ++ones_[n]->disturbed;
    ones_[n]->runs = false;
    ones_[n]->program->signal(SIGKILL);
    ones_[n]->program->exit_code();
    ones_[n]->program.reset();
  }
  int terminate(std::size_t n) {
    ++ones_[n]->disturbed;
    ones_[n]->runs = false;
    ones_[n]->program->signal(SIGTERM);
    const int code = ones_[n]->program->exit_code();
    ones_[n]->program.reset();
    return code;
  }
  void pause(std::size_t n) {
    ++ones_[n]->disturbed;
    ones_[n]->runs = false;
    ones_[n]->program->signal(SIGSTOP);
  }
  void go_on(std::size_t n) {
    ones_[n]->program->signal(SIGCONT);
    ones_[n]->runs = true;
    ++ones_[n]->disturbed;
  }
  // What a node tells; empty where it does not answer.
  std::string get(std::size_t n, const std::string& path) const {
    Fd fd = new_socket();
    if (connect_to(fd.get(), parse_address(ones_[n]->mgmt), soon(2000)) != IoResult::done) return "";
    Reader in(fd.get());
    Response r;
    write_all(fd.get(), "GET " + path + " HTTP/1.1\r\n\r\n", soon(2000));
    return read_response(in, soon(2000), r) == ReadResult::whole && r.status == 200 ? r.body : "";
  }
  Json members(std::size_t n) const {
    const std::string told = get(n, "/v1/members");
    return told.empty() ? Json{{"view", {{"number", 0}, {"size", 0}}}, {"in_majority", false}, {"part", 0}, {"members", Json::array()}} : Json::parse(told);
  }
  std::uint64_t number(std::size_t n) const { return members(n)["view"]["number"].get<std::uint64_t>(); }
  static std::string state(const Json& members, std::size_t of) {
    for (const Json& m : members["members"])
      if (m["name"] == "n" + std::to_string(of)) return m["state"];
    return "";
  }
  static std::uint64_t incarnation(const Json& members, std::size_t of) {
    for (const Json& m : members["members"])
      if (m["name"] == "n" + std::to_string(of)) return m["incarnation"];
    return 0;
  }
  // Whether these all hold the same view of so many, and know that it is the newest.
  bool agree(const std::vector<std::size_t>& nodes, std::size_t size) const {
    std::set<std::uint64_t> numbers;
    for (std::size_t n : nodes) {
      const Json m = members(n);
      if (m["view"]["size"] != size || !m["in_majority"].get<bool>()) return false;
      numbers.insert(m["view"]["number"].get<std::uint64_t>());
    }
    return numbers.size() == 1;
  }
  std::vector<std::size_t> all_but(const std::set<std::size_t>& these) const {
    std::vector<std::size_t> rest;
    for (std::size_t n = 0; n < size(); ++n)
      if (!these.count(n)) rest.push_back(n);
    return rest;
  }
  void await_one_view(std::size_t view, const std::set<std::size_t>& without = {}) const {
    await([&] { return agree(all_but(without), view); }, "one view of " + std::to_string(view));
  }
  std::uint64_t counter(std::size_t n, const std::string& name) {
    Fd fd = new_socket();
    if (connect_to(fd.get(), parse_address(ones_[n]->listen), soon(2000)) != IoResult::done) return 0;
    Reader in(fd.get());
    Response r;
    write_all(fd.get(), "GET /counters HTTP/1.1\r\nHost: h\r\n\r\n", soon(2000));
    if (read_response(in, soon(2000), r) != ReadResult::whole) return 0;
    const std::size_t at = ("\n" + r.body).find("\n" + name + " ");
    return at == std::string::npos ? 0 : std::stoull(r.body.substr(at + name.size() + 1));
  }
  // Time that nodes have gone through: each of them has sent so many more probes.
  void await_probes(const std::vector<std::size_t>& nodes, std::uint64_t more) {
    std::map<std::size_t, std::uint64_t> from;
    for (std::size_t n : nodes) from[n] = counter(n, "peers_sent_probe");
    await([&] {
      return std::all_of(nodes.begin(), nodes.end(), [&](std::size_t n) { return counter(n, "peers_sent_probe") >= from[n] + more; });
    }, "probes");
  }
  // Clients have got answers meanwhile, each one and only one, and nothing irreversible ran twice.
  void check_clients() {
    const int before = answered_;
    await([&] { return answered_ >= before + 30; }, "clients' answers");
    CHECK(wrong_ == 0);
    CHECK(doubled_ == 0);  // also from a node that was stopped or killed meanwhile
    CHECK(backends_.most_runs() <= 1);
  }

 private:
  struct One {
    ~One() {
      program.reset();
      if (!folder.empty()) std::filesystem::remove_all(folder);
    }
    std::string listen, mgmt, folder;
    Fd listener;
    std::unique_ptr<File> file;
    std::unique_ptr<Program> program;
    std::atomic<bool> runs{false};
    std::atomic<int> disturbed{0};  // stopped, killed or continued so many times
  };
  std::string text(std::size_t n) {
    std::string peers;
    for (std::size_t k = 0; k < listed_; ++k) peers += (k ? ",\"" : "\"") + relays_.peer(n, k) + "\"";
    const std::string listed = list(1, true, {backend_.address()});
    if (n >= listed_) peers += ",\"" + relays_.listen(n) + "\"";
    return replaced(config_text(listed, discovery_.address(), 256, ones_[n]->listen), "{\"name\":\"n0\",",
                    "{\"name\":\"n" + std::to_string(n) + "\",\"peer_listen\":\"" + relays_.listen(n) + "\",\"peers\":[" + peers + "],");
  }
  std::string lists(const Server::Call& call) {
    if (call.head.find("index=") == std::string::npos || call.head.find("index=1") == std::string::npos) return ok(list(1, true, {backend_.address()}));
    return no_news(call);
  }
  void ask(std::size_t c) {
    for (std::size_t turn = c; !stop_; ++turn) {
      One& one = *ones_[turn % size()];
      if (!one.runs) {
        std::this_thread::sleep_for(milliseconds(2));
        continue;
      }
      const int disturbed = one.disturbed;
      Fd fd = new_socket();
      Reader in(fd.get());
      Response r;
      ReadResult got = ReadResult::cut;
      if (connect_to(fd.get(), parse_address(one.listen), soon(500)) == IoResult::done &&
          write_all(fd.get(), request(turn % 2 ? "pay" : "view", "x", 2000), soon(500)) == IoResult::done) {
        got = read_response(in, soon(3000), r);
        // After the one answer there is nothing.
        if (got == ReadResult::whole && peek_socket(fd.get()) == PeekResult::bytes) got = ReadResult::cut, ++doubled_;
      } else if (one.disturbed == disturbed && one.runs) {
        std::this_thread::sleep_for(milliseconds(20));  // it is starting
        continue;
      }
      if (got == ReadResult::whole) ++answered_;
      else if (one.disturbed == disturbed) ++wrong_;
    }
  }

  std::size_t listed_;
  Relays relays_;
  Backends backends_;
  Server backend_, discovery_;
  File together_;
  std::vector<std::unique_ptr<One>> ones_;
  std::atomic<bool> stop_{false};
  std::atomic<int> answered_{0}, wrong_{0}, doubled_{0};
  ThreadPool clients_{3};
};

}  // namespace rig
