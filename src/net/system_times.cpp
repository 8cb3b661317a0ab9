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

// Two different pauses: a constant or a clock that runs at another rate does not fit both.
constexpr milliseconds kPauses[] = {milliseconds(35), milliseconds(70)};
constexpr milliseconds kPatience{250};  // for each step of the check

struct Connection {
  Fd sender, receiver;
};

Connection connect_to_itself() {
  const Fd listener = listen_on(parse_address("127.0.0.1:0"));
  const sockaddr_in address = parse_address("127.0.0.1:" + std::to_string(port_of(listener.get())));
  const Moment limit = Moment::clock::now() + kPatience;
  Connection connection{new_socket(), Fd()};
  if (!connection.sender || connect_to(connection.sender.get(), address, limit) != Io::done) return {};
  if (wait_readable(listener.get(), limit) != Io::done) return {};
  connection.receiver = accept_from(listener.get()).fd;
  return connection;
}

// Sends a byte, reads it, and asks after a pause how long ago it came. The bounds hold however long this thread is held up.
bool tells_pause(const Connection& connection, milliseconds pause) {
  const Moment sent_after = Moment::clock::now();
  if (write_all(connection.sender.get(), "x", sent_after + kPatience) != Io::done) return false;
  if (wait_readable(connection.receiver.get(), sent_after + kPatience) != Io::done) return false;
  const Moment had_come = Moment::clock::now();
  std::this_thread::sleep_for(pause);
  std::string byte;
  if (read_some(connection.receiver.get(), byte, Moment::clock::now() + kPatience) != Io::done) return false;
  const Moment asked_after = Moment::clock::now();
  const auto told_ago = since_last_bytes(connection.receiver.get());
  const Moment told_before = Moment::clock::now();
  return told_ago && *told_ago >= asked_after - had_come - kSystemTimesStep &&
         *told_ago <= told_before - sent_after + kSystemTimesStep;
}

}  // namespace

bool system_times_are_true() {
  try {
    const Connection connection = connect_to_itself();
    if (!connection.sender || !connection.receiver) return false;
    for (const milliseconds pause : kPauses)
      if (!tells_pause(connection, pause)) return false;
    return true;
  } catch (const std::exception& broke) {
    log::warning("the system's times can't be checked: {}", broke.what());
    return false;
  }
}

}  // namespace troutstage::net
