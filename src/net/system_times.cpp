#include "net/system_times.h"

#include <sys/socket.h>

#include <exception>
#include <string>
#include <thread>

#include "log/log.h"
#include "net/socket.h"

namespace troutstage::net {
namespace {

using std::chrono::milliseconds;

// Two different pauses: neither a constant nor a clock that runs at another rate fits both.
constexpr milliseconds kPauses[] = {milliseconds(35), milliseconds(70)};
// Time limit for each step of the check.
constexpr milliseconds kStepTimeout{250};

struct Connection {
  Fd sender, receiver;
};

Connection connect_to_itself() {
  const Fd listener = listen_on(parse_address("127.0.0.1:0"));
  const sockaddr_in address = parse_address("127.0.0.1:" + std::to_string(port_of(listener.get())));
  const TimePoint limit = TimePoint::clock::now() + kStepTimeout;
  Connection connection{new_socket(), Fd()};
  if (!connection.sender || connect_to(connection.sender.get(), address, limit) != IoResult::done) return {};
  if (wait_readable(listener.get(), limit) != IoResult::done) return {};
  connection.receiver = accept_connection(listener.get()).fd;
  return connection;
}

// Sends a byte, reads it after a pause, and compares how long ago the byte arrived, as the system reports,
// with this process's clock. The bounds hold however long this thread is stalled.
bool reports_pause(const Connection& connection, milliseconds pause) {
  const TimePoint sent_after = TimePoint::clock::now();
  if (write_all(connection.sender.get(), "x", sent_after + kStepTimeout) != IoResult::done) return false;
  if (wait_readable(connection.receiver.get(), sent_after + kStepTimeout) != IoResult::done) return false;
  const TimePoint arrived_before = TimePoint::clock::now();
  std::this_thread::sleep_for(pause);
  std::string byte;
  if (read_some(connection.receiver.get(), byte, TimePoint::clock::now() + kStepTimeout) != IoResult::done)
    return false;
  const TimePoint asked_after = TimePoint::clock::now();
  const auto reported_ago = time_since_last_receive(connection.receiver.get());
  const TimePoint reported_before = TimePoint::clock::now();
  return reported_ago && *reported_ago >= asked_after - arrived_before - kSystemTimesTolerance &&
         *reported_ago <= reported_before - sent_after + kSystemTimesTolerance;
}

}  // namespace

bool system_times_are_true() {
  try {
    const Connection connection = connect_to_itself();
    if (!connection.sender || !connection.receiver) return false;
    for (const milliseconds pause : kPauses)
      if (!reports_pause(connection, pause)) return false;
    return true;
  } catch (const std::exception& failure) {
    log::warning("the check of the system's TCP_INFO times failed: {}", failure.what());
    return false;
  }
}

}  // namespace troutstage::net
