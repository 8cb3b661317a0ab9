// Crowds of clients that hold memory of a node for as long as they can, and what the node's process uses meanwhile.
#pragma once

#include <fcntl.h>
#include <fmt/format.h>
#include <poll.h>

#include "stand_in.h"

namespace crowd {

using namespace stand_in;

// What the clients of a crowd do, again and again.
enum class Habit {
  read_slowly,       // a long answer at 80 kB a second
  stop_in_body,      // half of a long body, then nothing
  send_head_slowly,  // a head of 15 kB over 2 s
  many_fields        // a head of some 4,000 fields
};
inline constexpr std::array<Habit, 4> kAllHabits = {Habit::read_slowly, Habit::stop_in_body, Habit::send_head_slowly,
                                                    Habit::many_fields};

// What became of the requests of some clients.
struct Outcomes {
  std::atomic<int> served{0}, refused{0}, failed{0}, late{0}, closed_unanswered{0}, not_connected{0}, closed_between{0};
  // The longest that a client was connecting, and waited for an answer to a request that it had begun to write.
  std::atomic<long> longest_connect_ms{0}, longest_answer_ms{0};
  std::string text() const {
    return fmt::format("{} served, {} refused, {} failed, {} late, {} closed unanswered, {} not connected, {} closed between requests; longest {} ms "
                       "to connect, {} ms to the answer",
                       served.load(), refused.load(), failed.load(), late.load(), closed_unanswered.load(), not_connected.load(),
                       closed_between.load(), longest_connect_ms.load(), longest_answer_ms.load());
  }
  void add(ReadResult got, int status) {
    if (got == ReadResult::whole) ++(status == 200 ? served : status == 503 ? refused : failed);
    else ++(got == ReadResult::late ? late : closed_unanswered);
  }
};

// A backend whose answer to a path with "size=N" is as long as that.
inline std::string answer_of_size(const Server::Call& call) {
  static const std::string bytes(64 << 10, 'x');
  const std::size_t at = call.head.find("size=");
  if (at == call.head.npos) return ok("done");
  std::size_t left = std::stoul(call.head.substr(at + 5));
  if (write_all(call.fd, format_response_head(200, "text/plain", left, true), soon(2000)) != IoResult::done) return "";
  while (left > 0 && !call.server.stopping()) {
    const std::size_t size = std::min(left, bytes.size());
    bool written = false;
    for (int tries = 0; tries < 600 && !written && !call.server.stopping(); ++tries) {
      const ssize_t n = ::send(call.fd, bytes.data(), size, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n > 0) left -= static_cast<std::size_t>(n), written = true;
      else if (errno != EAGAIN) return "";
      else std::this_thread::sleep_for(milliseconds(20));
    }
    if (!written) return "";
  }
  return "";
}

// Resident memory of a process, and the bytes that wait in the queues of its sockets.
class MemoryProbe {
 public:
  explicit MemoryProbe(pid_t process) : process_(process) {}
  std::size_t resident_bytes() const {
    std::ifstream in(fmt::format("/proc/{}/statm", process_));
    std::size_t all = 0, resident = 0;
    in >> all >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  }
  // The longest queues, for a message.
  std::string longest_queues() const {
    std::multimap<std::size_t, std::string, std::greater<>> lines;
    for_each_socket([&](std::size_t queued, const std::string& line) { lines.emplace(queued, line); });
    std::string text;
    for (const auto& [queued, line] : lines)
      if (text.size() < 600) text += fmt::format("\n    {} {}", queued, line.substr(0, 60));
    return text;
  }
  std::size_t queued_bytes() const {
    std::size_t sum = 0;
    for_each_socket([&](std::size_t queued, const std::string&) { sum += queued; });
    return sum;
  }

 private:
  template <typename Use>
  void for_each_socket(Use use) const {
    std::set<std::string> own;
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator(fmt::format("/proc/{}/fd", process_), error)) {
      const std::string target = std::filesystem::read_symlink(entry.path(), error).string();
      if (target.starts_with("socket:[")) own.insert(target.substr(8, target.size() - 9));
    }
    std::ifstream in("/proc/net/tcp");
    std::string line;
    std::getline(in, line);
    // Behind the number of the line: "LOCAL:PORT REMOTE:PORT STATE". Connections that only wait for time to pass belong
    // to no process any more, and there may be tens of thousands of them.
    constexpr std::size_t kStateAt = 2 + 2 * (8 + 1 + 4 + 1);
    constexpr std::string_view kTimeWait = "06";
    while (std::getline(in, line)) {
      if (line.compare(std::min(line.size(), line.find(':') + kStateAt), kTimeWait.size(), kTimeWait) == 0) continue;
      std::istringstream fields(line);
      std::string number, local, remote, state, queues, timer, retransmits, user, timeout, inode;
      fields >> number >> local >> remote >> state >> queues >> timer >> retransmits >> user >> timeout >> inode;
      if (own.count(inode) == 0) continue;
      use(std::stoul(queues.substr(0, 8), nullptr, 16) + std::stoul(queues.substr(9, 8), nullptr, 16), line);
    }
  }

  const pid_t process_;
};

// One client of a crowd. It never waits: step() does what is due, and is called again and again.
class CrowdClient {
 public:
  CrowdClient(sockaddr_in address, Habit habit, std::size_t number, Outcomes& outcomes)
      : address_(address), habit_(habit), number_(number), outcomes_(outcomes) {}
  void step(TimePoint now) {
    if (now < next_step_at_) return;
    switch (phase_) {
      case Phase::apart: return connect(now);
      case Phase::connecting: return await_connection(now);
      case Phase::sending: return send_more(now);
      case Phase::receiving: return receive_more(now);
    }
  }

 private:
  enum class Phase { apart, connecting, sending, receiving };
  static constexpr int kLimit = 2000;
  static constexpr std::size_t kHeadBytes = 15000, kHeadPieces = 40;
  static constexpr milliseconds kHeadPieceInterval{2000 / kHeadPieces};
  // 80 kB a second.
  static constexpr std::size_t kSlowReadBytes = 4000;
  static constexpr milliseconds kSlowReadInterval{50};
  static constexpr milliseconds kConnectTime{1000}, kPauseUnconnected{20}, kSlowReadTime{8000}, kBodyTime{4000};
  static constexpr milliseconds kAnswerTime{kLimit + 500};

  void connect(TimePoint now) {
    fd_ = new_socket();
    constexpr int kSmallBuffer = 16 << 10;
    if (habit_ == Habit::read_slowly) ::setsockopt(fd_.get(), SOL_SOCKET, SO_RCVBUF, &kSmallBuffer, sizeof kSmallBuffer);
    ::fcntl(fd_.get(), F_SETFL, O_NONBLOCK);
    const bool is_begun = ::connect(fd_.get(), reinterpret_cast<const sockaddr*>(&address_), sizeof address_) == 0 || errno == EINPROGRESS;
    if (!is_begun) return leave_unconnected(now);
    phase_ = Phase::connecting;
    until_ = now + kConnectTime;
    await_connection(now);  // on loopback it is there at once, unless the queue is full
  }
  void await_connection(TimePoint now) {
    pollfd polled{fd_.get(), POLLOUT, 0};
    const bool is_over = ::poll(&polled, 1, 0) > 0;
    if (is_over && (polled.revents & (POLLERR | POLLHUP)) == 0) return begin_request(now);
    if (is_over || now >= until_) leave_unconnected(now);
  }
  void leave_unconnected(TimePoint now) {
    ++outcomes_.not_connected;
    leave();
    next_step_at_ = now + kPauseUnconnected;
  }
  void leave() {
    fd_.reset();
    phase_ = Phase::apart;
    number_ += 104729;
  }

  void begin_request(TimePoint now) {
    phase_ = Phase::sending;
    until_ = now + kBodyTime;
    unsent_ = request_head();
    unsent_body_ = habit_ == Habit::stop_in_body ? body_size() / 2 : 0;
    received_.clear();
    send_more(now);
  }
  std::size_t body_size() const { return 300000 + number_ % 19700000; }
  std::string request_head() const {
    if (habit_ == Habit::stop_in_body)
      return fmt::format("POST /order/7 HTTP/1.1\r\nHost: h\r\nX-Txn: {}\r\nX-Remaining-Ms: {}\r\nIdempotency-Key: k\r\nContent-Length: {}\r\n\r\n",
                         next_id(), kLimit, body_size());
    const std::string query = habit_ == Habit::read_slowly ? fmt::format("?size={}", 400000 + number_ % 3600000) : "";
    std::string head = fmt::format("GET /view/7{} HTTP/1.1\r\nHost: h\r\nX-Txn: {}\r\nX-Remaining-Ms: {}\r\n\r\n", query, next_id(), kLimit);
    if (habit_ == Habit::send_head_slowly) head.insert(head.size() - 2, "X-Fill: " + std::string(kHeadBytes - head.size(), 'x') + "\r\n");
    if (habit_ == Habit::many_fields) head.insert(head.size() - 2, short_fields(7000 + number_ % 9 * 1000 - head.size()));
    return head;
  }
  // At least so many bytes.
  static std::string_view short_fields(std::size_t size) {
    constexpr std::string_view kField = "a:\r\n";
    static const std::string fields = [&] {
      std::string all;
      while (all.size() < kHeadBytes + kField.size()) all += kField;
      return all;
    }();
    const std::size_t count = (size + kField.size() - 1) / kField.size();
    return std::string_view(fields).substr(0, count * kField.size());
  }

  void send_more(TimePoint now) {
    static const std::string kBodyPiece(64 << 10, 'x');
    const bool is_slow = habit_ == Habit::send_head_slowly;
    const std::string_view head = std::string_view(unsent_).substr(0, is_slow ? kHeadBytes / kHeadPieces + 1 : unsent_.npos);
    const std::string_view body = std::string_view(kBodyPiece).substr(0, std::min(unsent_body_, kBodyPiece.size()));
    const std::string_view bytes = unsent_.empty() ? body : head;
    const ssize_t n = ::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    const bool has_failed = n < 0 && errno != EAGAIN;
    if (n > 0 && unsent_.empty()) unsent_body_ -= static_cast<std::size_t>(n);
    else if (n > 0) unsent_.erase(0, static_cast<std::size_t>(n));
    const bool is_all = unsent_.empty() && unsent_body_ == 0;
    if (is_all || has_failed || now >= until_) return begin_to_receive(now);
    if (is_slow) next_step_at_ = now + kHeadPieceInterval;
  }
  void begin_to_receive(TimePoint now) {
    phase_ = Phase::receiving;
    answer_by_ = now + kAnswerTime;
    if (habit_ == Habit::read_slowly) until_ = now + kSlowReadTime;
    else if (habit_ != Habit::stop_in_body) until_ = answer_by_;
  }

  void receive_more(TimePoint now) {
    // The client stays until it gets its error, or until it would be closed.
    if (habit_ == Habit::stop_in_body) return polls_readable(fd_.get()) || now >= until_ ? leave() : void();
    char piece[kSlowReadBytes];
    const ssize_t n = ::recv(fd_.get(), piece, sizeof piece, MSG_DONTWAIT);
    const bool has_ended = n == 0 || (n < 0 && errno != EAGAIN);
    if (n > 0) received_.append(piece, static_cast<std::size_t>(n));
    if (habit_ == Habit::read_slowly) return judge_slow_reading(now, has_ended);
    if (is_answer_whole()) return judge_whole_answer(now);
    if (has_ended || now >= until_) outcomes_.add(has_ended ? ReadResult::cut : ReadResult::late, 0), leave();
  }
  void judge_slow_reading(TimePoint now, bool has_ended) {
    next_step_at_ = now + kSlowReadInterval;
    if (received_.size() > kSlowReadBytes) received_.resize(kSlowReadBytes);  // only its begin is looked at
    const bool is_late = received_.empty() && now > answer_by_;
    if (!is_late && !has_ended && now < until_) return;
    if (is_late) ++outcomes_.late;
    else outcomes_.add(received_.empty() ? ReadResult::cut : ReadResult::whole, status());
    leave();
  }
  void judge_whole_answer(TimePoint now) {
    const TimePoint came_at = now - time_since_last_receive(fd_.get()).value_or(milliseconds(0));
    outcomes_.add(came_at <= answer_by_ ? ReadResult::whole : ReadResult::late, status());
    leave();
  }
  int status() const { return received_.size() < 12 ? 0 : std::atoi(received_.substr(9, 3).c_str()); }
  bool is_answer_whole() const {
    const std::size_t head_end = received_.find("\r\n\r\n");
    if (head_end == received_.npos) return false;
    static constexpr std::string_view kLength = "Content-Length: ";
    const std::size_t length_at = received_.find(kLength);
    const std::size_t length = length_at < head_end ? std::stoul(received_.substr(length_at + kLength.size())) : 0;
    return received_.size() >= head_end + 4 + length;
  }
  static std::string next_id() {
    static std::atomic<int> sent{0};
    return fmt::format("crowd-{}", sent++);
  }

  const sockaddr_in address_;
  const Habit habit_;
  std::size_t number_;  // another one for each request: sizes follow from it
  Outcomes& outcomes_;
  Phase phase_ = Phase::apart;
  Fd fd_;
  TimePoint next_step_at_, until_, answer_by_;
  std::string unsent_, received_;
  std::size_t unsent_body_ = 0;
};

// Clients with one habit, or with all of them in turn, at one address, until the object ends. One thread plays all of
// them: with one each, they would take the processor from the program under test and from the clients that are timed.
class Crowd {
 public:
  Crowd(const std::string& address, int clients, const std::vector<Habit>& habits) {
    const sockaddr_in to = parse_address(address);
    for (std::size_t n = 0; n < static_cast<std::size_t>(clients); ++n)
      clients_.push_back(std::make_unique<CrowdClient>(to, habits[n % habits.size()], n * 7919, outcomes_));
    thread_ = std::thread([this] { play(); });
  }
  ~Crowd() {
    over_ = true;
    thread_.join();
  }
  const Outcomes& outcomes() const { return outcomes_; }

 private:
  void play() {
    while (!over_) {
      for (auto& client : clients_) client->step(TimePoint::clock::now());
      std::this_thread::sleep_for(milliseconds(5));
    }
  }
  Outcomes outcomes_;
  std::vector<std::unique_ptr<CrowdClient>> clients_;
  std::atomic<bool> over_{false};
  std::thread thread_;
};

// A client that asks on a new connection, or on one that it keeps, again and again; every answer is timed.
class OrdinaryClient {
 public:
  OrdinaryClient(std::string address, bool keeps_connection, std::string workload = "view")
      : address_(std::move(address)), workload_(std::move(workload)), thread_([this, keeps_connection] {
          while (!over_) {
            keeps_connection ? ask_on_kept() : ask_on_new();
            std::this_thread::sleep_for(milliseconds(30));
          }
        }) {}
  ~OrdinaryClient() { finish(); }
  void finish() {
    over_ = true;
    if (thread_.joinable()) thread_.join();
  }
  const Outcomes& outcomes() const { return outcomes_; }

 private:
  static constexpr int kLimit = 1000;
  void ask_on_new() {
    const std::string message = request(workload_, "x", kLimit);
    const Fd fd = new_socket();
    if (!connects(fd)) ++outcomes_.not_connected;
    else ask(fd, message, false);
  }
  bool connects(const Fd& fd) {
    const TimePoint begun = TimePoint::clock::now();
    const bool is_connected = connect_to(fd.get(), parse_address(address_), soon(1000)) == IoResult::done;
    note_longest(outcomes_.longest_connect_ms, begun);
    return is_connected;
  }
  // Only this client's thread writes it.
  static void note_longest(std::atomic<long>& longest_ms, TimePoint begun) {
    const long took_ms = std::chrono::duration_cast<milliseconds>(TimePoint::clock::now() - begun).count();
    longest_ms = std::max(longest_ms.load(), took_ms);
  }
  // The node may close a kept connection between requests. One that was under way then is sent once more on a new
  // connection, under the id that it had: if the node had read it, a request that must not run twice fails there.
  void ask_on_kept() {
    const std::string message = request(workload_, "x", kLimit);
    for (int tries = 0; tries < 2; ++tries) {
      const bool is_used = kept_ && is_reusable(kept_.get());
      if (!is_used) {
        kept_ = new_socket();
        if (!connects(kept_)) {
          ++outcomes_.not_connected;
          return;
        }
      }
      const Answer answer = ask(kept_, message, is_used);
      if (answer != Answer::last_on_connection && answer != Answer::closed_before) return;
      kept_.reset();
      if (answer == Answer::last_on_connection) return;
      ++outcomes_.closed_between;
    }
  }
  enum class Answer { keeps_connection, last_on_connection, closed_before };
  Answer ask(const Fd& fd, const std::string& message, bool is_used) {
    Reader in(fd.get());
    Response r;
    const TimePoint begun = TimePoint::clock::now();
    const bool is_written = write_all(fd.get(), message, soon(1000)) == IoResult::done;
    const ReadResult got = is_written ? read_response(in, soon(kLimit + 500), r) : ReadResult::nothing;
    note_longest(outcomes_.longest_answer_ms, begun);
    if (is_used && (got == ReadResult::nothing || got == ReadResult::cut) && in.read_bytes() == 0) return Answer::closed_before;
    outcomes_.add(got, r.status);
    return got == ReadResult::whole && r.keep_alive ? Answer::keeps_connection : Answer::last_on_connection;
  }

  const std::string address_, workload_;
  Outcomes outcomes_;
  Fd kept_;
  std::atomic<bool> over_{false};
  std::thread thread_;
};

}  // namespace crowd
