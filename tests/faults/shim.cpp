// A library for LD_PRELOAD that makes chosen system calls of a program fail, or holds them up, by a plan and
// a seed.
//
// TROUTSTAGE_FAULTS holds rules separated by ';', each of them fields separated by ',':
//   call=recv|peek|send|poll|ppoll|epoll_wait|epoll_ctl|accept4|socket|connect|ftruncate|pthread_create|cond_clockwait|
//        tcp_info|fionread|rdhup|arrival
//   error=EINTR      the error that the call returns with; without it the call is made
//   hold_ms=150      the calling thread stands still for so long first
//   hold_after_ms=90 it does after the call, which found something: bytes, an event or a connection (recv,
//                    ppoll, epoll_wait and accept4 alone)
//   says=0           what the system tells: how long ago the last bytes came, in ms (tcp_info), how many bytes
//                    are unread (fionread), whether the other side has closed (rdhup: 0, poll() hides it), or that
//                    nothing is there (epoll_wait: 0)
//   gap_ms=8,each_bytes=65536  (call=arrival) after each 64 KiB that were read from a connection the next bytes come 8 ms
//                    later, whether or not the other side has sent them: until then nothing tells of them
//   chance=0.05      of each such call, or
//   nth=7            only of the seventh; times=3: and of the two after it
//   while=PATH       only while that file exists
//   every_ms=700,for_ms=120  only in a window of 120 ms, once in each 700 ms of the clock
// TROUTSTAGE_FAULTS_SEED seeds the chances; TROUTSTAGE_FAULTS_LOG names a file that gets a line for each
// fault, with its time, process and thread. "peek" is a recv() that leaves the bytes where they are, "recv"
// any other; "tcp_info" is a getsockopt() for what the system knows of a connection, "fionread" an ioctl() for
// the bytes that are unread, "rdhup" a poll() for the other side's close.
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

namespace {

constexpr std::pair<std::string_view, int> kErrors[] = {{"EINTR", EINTR},
                                                        {"ECONNABORTED", ECONNABORTED},
                                                        {"ENFILE", ENFILE},
                                                        {"EMFILE", EMFILE},
                                                        {"ENOBUFS", ENOBUFS},
                                                        {"ENOMEM", ENOMEM},
                                                        {"EPROTO", EPROTO},
                                                        {"ENETUNREACH", ENETUNREACH},
                                                        {"EADDRNOTAVAIL", EADDRNOTAVAIL},
                                                        {"EHOSTUNREACH", EHOSTUNREACH},
                                                        {"ETIMEDOUT", ETIMEDOUT},
                                                        {"ECONNRESET", ECONNRESET},
                                                        {"EAGAIN", EAGAIN},
                                                        {"ENOSPC", ENOSPC},
                                                        {"EIO", EIO},
                                                        {"EPERM", EPERM},
                                                        {"ENOPROTOOPT", ENOPROTOOPT},
                                                        {"EADDRINUSE", EADDRINUSE}};

struct Rule {
  std::string call, while_path;
  int error = 0;
  int hold_ms = 0, hold_after_ms = 0;
  std::optional<int> says;
  int every_ms = 0, for_ms = 0;  // every_ms 0: at any time
  int gap_ms = 0;
  std::uint64_t each_bytes = 0;
  double chance = 1;
  std::uint64_t nth = 0, times = 1;  // nth 0: any
  std::atomic<std::uint64_t> met{0};
};

struct Plan {
  std::deque<Rule> rules;
  std::uint64_t seed = 1;
  std::atomic<std::uint64_t> drawn{0};
  int log = -1;
};

[[noreturn]] void misuse(const std::string& what) {
  std::fprintf(stderr, "fault shim: %s\n", what.c_str());
  std::_Exit(2);
}

int error_number(const std::string& name) {
  for (const auto& [known, number] : kErrors)
    if (known == name) return number;
  misuse("unknown error '" + name + "'");
}

void read_field(Rule& rule, const std::string& field) {
  const std::size_t equals = field.find('=');
  if (equals == std::string::npos) misuse("no value in '" + field + "'");
  const std::string key = field.substr(0, equals), value = field.substr(equals + 1);
  if (key == "call") rule.call = value;
  else if (key == "while") rule.while_path = value;
  else if (key == "error") rule.error = error_number(value);
  else if (key == "hold_ms") rule.hold_ms = std::atoi(value.c_str());
  else if (key == "hold_after_ms") rule.hold_after_ms = std::atoi(value.c_str());
  else if (key == "says") rule.says = std::atoi(value.c_str());
  else if (key == "gap_ms") rule.gap_ms = std::atoi(value.c_str());
  else if (key == "each_bytes") rule.each_bytes = std::strtoull(value.c_str(), nullptr, 10);
  else if (key == "every_ms") rule.every_ms = std::atoi(value.c_str());
  else if (key == "for_ms") rule.for_ms = std::atoi(value.c_str());
  else if (key == "chance") rule.chance = std::atof(value.c_str());
  else if (key == "nth") rule.nth = std::strtoull(value.c_str(), nullptr, 10);
  else if (key == "times") rule.times = std::strtoull(value.c_str(), nullptr, 10);
  else misuse("unknown key '" + key + "'");
}

Plan* read_plan() {
  auto* plan = new Plan;
  if (const char* seed = std::getenv("TROUTSTAGE_FAULTS_SEED")) plan->seed = std::strtoull(seed, nullptr, 10);
  if (const char* log = std::getenv("TROUTSTAGE_FAULTS_LOG"))
    plan->log = ::open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  const char* told = std::getenv("TROUTSTAGE_FAULTS");
  std::istringstream rules(told == nullptr ? "" : told);
  for (std::string text; std::getline(rules, text, ';');) {
    if (text.empty()) continue;
    Rule& rule = plan->rules.emplace_back();
    std::istringstream fields(text);
    for (std::string field; std::getline(fields, field, ',');) read_field(rule, field);
  }
  return plan;
}

Plan* plan = nullptr;  // none until the program's own initialisation is over
__attribute__((constructor)) void begin() { plan = read_plan(); }

// SplitMix64: the same draws for the same seed, in whatever order the threads come.
double draw(Plan& from) {
  std::uint64_t x = from.seed * 0x9E3779B97F4A7C15u + ++from.drawn * 0xD1B54A32D192ED03u;
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9u;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EBu;
  return static_cast<double>((x ^ (x >> 31)) >> 11) / 9007199254740992.0;
}

bool in_window(const Rule& rule) {
  if (rule.every_ms <= 0) return true;
  timespec now{};
  ::clock_gettime(CLOCK_MONOTONIC, &now);
  const std::int64_t ms = std::int64_t{now.tv_sec} * 1000 + now.tv_nsec / 1000000;
  return ms % rule.every_ms < rule.for_ms;
}

bool applies(Rule& rule, std::string_view call) {
  if (rule.call != call) return false;
  if (!rule.while_path.empty() && ::access(rule.while_path.c_str(), F_OK) != 0) return false;
  if (!in_window(rule)) return false;
  const std::uint64_t n = ++rule.met;
  if (rule.nth > 0) return n >= rule.nth && n < rule.nth + rule.times;
  return draw(*plan) < rule.chance;
}

void note(const Rule& rule, const void* site) {
  if (plan->log < 0) return;
  timespec now{};
  ::clock_gettime(CLOCK_REALTIME, &now);
  char line[192];
  const int size =
      std::snprintf(line, sizeof line, "%s error=%d hold_ms=%d at=%p time=%lld.%03ld process=%d thread=%d\n",
                    rule.call.c_str(), rule.error, std::max(rule.hold_ms, rule.hold_after_ms), site,
                    static_cast<long long>(now.tv_sec), now.tv_nsec / 1000000, ::getpid(), ::gettid());
  [[maybe_unused]] const auto written = ::write(plan->log, line, static_cast<std::size_t>(size));
}

void stand_still_us(std::int64_t us) {
  timespec span{us / 1000000, us % 1000000 * 1000L};
  while (::nanosleep(&span, &span) != 0 && errno == EINTR) {
  }
}
void stand_still(int ms) { stand_still_us(std::int64_t{ms} * 1000); }

// Whether this call is to fail; errno is set then.
bool fails(std::string_view call, const void* site) {
  if (plan == nullptr) return false;
  const int before = errno;
  for (Rule& rule : plan->rules) {
    if (rule.hold_after_ms > 0 || rule.says || !applies(rule, call)) continue;
    note(rule, site);
    if (rule.hold_ms > 0) stand_still(rule.hold_ms);
    if (rule.error == 0) continue;
    errno = rule.error;
    return true;
  }
  errno = before;
  return false;
}

// After a call that found something.
template <class Result>
Result found(std::string_view call, Result result, const void* site) {
  if (plan == nullptr || result <= 0) return result;
  const int error = errno;
  for (Rule& rule : plan->rules) {
    if (rule.hold_after_ms == 0 || !applies(rule, call)) continue;
    note(rule, site);
    stand_still(rule.hold_after_ms);
  }
  errno = error;
  return result;
}

// What the system is made to tell; nothing: what it does.
std::optional<int> says(std::string_view call, const void* site) {
  if (plan == nullptr) return std::nullopt;
  const int error = errno;
  std::optional<int> told;
  for (Rule& rule : plan->rules) {
    if (!rule.says || !applies(rule, call)) continue;
    note(rule, site);
    told = rule.says;
  }
  errno = error;
  return told;
}

// Connections by descriptor: what was read since the last gap, and until when nothing more has come.
struct Flow {
  std::atomic<std::uint64_t> read_bytes{0};
  std::atomic<std::int64_t> empty_until_us{0};
};
std::array<Flow, 4096> flows;

std::int64_t now_us() {
  timespec now{};
  ::clock_gettime(CLOCK_MONOTONIC, &now);
  return std::int64_t{now.tv_sec} * 1000000 + now.tv_nsec / 1000;
}
Flow* flow_of(int fd) { return fd >= 0 && static_cast<std::size_t>(fd) < flows.size() ? &flows[static_cast<std::size_t>(fd)] : nullptr; }
void note_read(int fd, ssize_t bytes, const void* site) {
  Flow* const flow = flow_of(fd);
  if (plan == nullptr || flow == nullptr || bytes <= 0) return;
  for (Rule& rule : plan->rules) {
    if (rule.call != "arrival" || rule.each_bytes == 0) continue;
    if ((flow->read_bytes += static_cast<std::uint64_t>(bytes)) < rule.each_bytes) continue;
    flow->read_bytes = 0;
    if (!applies(rule, "arrival")) continue;
    note(rule, site);
    flow->empty_until_us = now_us() + rule.gap_ms * 1000;
  }
}
// How long the connection stays empty yet; 0: it is not in a gap.
std::int64_t gap_left_us(int fd) {
  const Flow* const flow = flow_of(fd);
  if (flow == nullptr || flow->empty_until_us == 0) return 0;
  return std::max<std::int64_t>(0, flow->empty_until_us - now_us());
}
void begin_flow(int fd) {
  if (Flow* const flow = flow_of(fd)) flow->read_bytes = 0, flow->empty_until_us = 0;
}

template <class Function>
Function* next(const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

}  // namespace

#define HERE __builtin_return_address(0)
#define NEXT(name) static auto* const real = next<decltype(name)>(#name)

extern "C" {

ssize_t recv(int fd, void* into, size_t size, int flags) {
  NEXT(recv);
  if (gap_left_us(fd) > 0) return errno = EAGAIN, -1;
  if (flags & MSG_PEEK) return fails("peek", HERE) ? -1 : real(fd, into, size, flags);
  if (fails("recv", HERE)) return -1;
  const ssize_t result = found("recv", real(fd, into, size, flags), HERE);
  note_read(fd, result, HERE);
  return result;
}
ssize_t send(int fd, const void* from, size_t size, int flags) {
  NEXT(send);
  return fails("send", HERE) ? -1 : real(fd, from, size, flags);
}
int poll(pollfd* polled, nfds_t count, int timeout) {
  NEXT(poll);
  if (fails("poll", HERE)) return -1;
  if (count == 1 && timeout == 0 && (polled->events & POLLIN) != 0 && gap_left_us(polled->fd) > 0) return polled->revents = 0, 0;
  const int result = real(polled, count, timeout);
  const bool asks_of_close = count == 1 && (polled->events & POLLRDHUP) != 0;
  if (result <= 0 || !asks_of_close || says("rdhup", HERE) != 0) return result;
  polled->revents = static_cast<short>(polled->revents & ~POLLRDHUP);
  return polled->revents == 0 ? 0 : result;
}
int ppoll(pollfd* polled, nfds_t count, const timespec* timeout, const sigset_t* mask) {
  NEXT(ppoll);
  if (fails("ppoll", HERE)) return -1;
  const std::int64_t gap_us = count == 1 && (polled->events & POLLIN) != 0 ? gap_left_us(polled->fd) : 0;
  if (gap_us == 0) return found("ppoll", real(polled, count, timeout, mask), HERE);
  const std::int64_t timeout_us = timeout == nullptr ? INT64_MAX : std::int64_t{timeout->tv_sec} * 1000000 + timeout->tv_nsec / 1000;
  stand_still_us(std::min(gap_us, timeout_us));
  if (timeout_us <= gap_us) return polled->revents = 0, 0;
  const std::int64_t left_us = timeout == nullptr ? 0 : timeout_us - gap_us;
  const timespec left{left_us / 1000000, left_us % 1000000 * 1000};
  return found("ppoll", real(polled, count, timeout == nullptr ? nullptr : &left, mask), HERE);
}
int epoll_wait(int fd, epoll_event* events, int most, int timeout) {
  NEXT(epoll_wait);
  if (fails("epoll_wait", HERE)) return -1;
  const int result = real(fd, events, most, timeout);
  if (result <= 0 || says("epoll_wait", HERE) != 0) return found("epoll_wait", result, HERE);
  stand_still(5);  // its caller asks again at once
  return 0;
}
int epoll_ctl(int fd, int what, int of, epoll_event* event) noexcept {
  NEXT(epoll_ctl);
  return fails("epoll_ctl", HERE) ? -1 : real(fd, what, of, event);
}
int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  NEXT(accept4);
  if (fails("accept4", HERE)) return -1;
  const int accepted = real(fd, address, size, flags);
  begin_flow(accepted);
  return found("accept4", accepted, HERE);
}
int getsockopt(int fd, int level, int name, void* value, socklen_t* size) noexcept {
  NEXT(getsockopt);
  const bool asks_of_connection = level == IPPROTO_TCP && name == TCP_INFO;
  if (!asks_of_connection) return real(fd, level, name, value, size);
  if (fails("tcp_info", HERE)) return -1;
  const int result = real(fd, level, name, value, size);
  const auto told = says("tcp_info", HERE);
  if (result != 0 || !told) return result;
  auto* info = static_cast<tcp_info*>(value);
  info->tcpi_last_data_sent = info->tcpi_last_ack_sent = info->tcpi_last_ack_recv = 0;
  info->tcpi_last_data_recv = static_cast<std::uint32_t>(*told);
  return result;
}
int ioctl(int fd, unsigned long what, ...) noexcept {
  va_list arguments;
  va_start(arguments, what);
  void* argument = va_arg(arguments, void*);
  va_end(arguments);
  NEXT(ioctl);
  if (what != FIONREAD) return real(fd, what, argument);
  if (fails("fionread", HERE)) return -1;
  const int result = real(fd, what, argument);
  if (result == 0 && gap_left_us(fd) > 0) *static_cast<int*>(argument) = 0;
  if (const auto told = says("fionread", HERE); result == 0 && told) *static_cast<int*>(argument) = *told;
  return result;
}
int socket(int domain, int type, int protocol) noexcept {
  NEXT(socket);
  if (fails("socket", HERE)) return -1;
  const int made = real(domain, type, protocol);
  begin_flow(made);
  return made;
}
int connect(int fd, const sockaddr* address, socklen_t size) {
  NEXT(connect);
  return fails("connect", HERE) ? -1 : real(fd, address, size);
}
int ftruncate(int fd, off_t size) noexcept {
  NEXT(ftruncate);
  return fails("ftruncate", HERE) ? -1 : real(fd, size);
}
// Held up between its being woken and its having the lock again, as a thread that waits for a processor is.
int pthread_cond_clockwait(pthread_cond_t* condition, pthread_mutex_t* mutex, clockid_t clock,
                           const timespec* until) {
  NEXT(pthread_cond_clockwait);
  const int result = real(condition, mutex, clock, until);
  if (result != ETIMEDOUT || plan == nullptr) return result;
  ::pthread_mutex_unlock(mutex);
  fails("cond_clockwait", HERE);
  ::pthread_mutex_lock(mutex);
  return result;
}
int pthread_create(pthread_t* thread, const pthread_attr_t* attributes, void* (*run)(void*),
                   void* with) noexcept {
  NEXT(pthread_create);
  return fails("pthread_create", HERE) ? errno : real(thread, attributes, run, with);
}

}  // extern "C"
