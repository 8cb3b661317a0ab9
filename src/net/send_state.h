// What the system reports of the bytes that were sent on a connection.
#pragma once

#include <cstdint>
#include <optional>

namespace troutstage::net {

struct SendState {
  std::uint64_t acknowledged_bytes = 0;  // by the peer's machine, since the connection was established
  std::uint64_t peer_window = 0;         // how many unacknowledged bytes the peer's machine accepts now
};
// Nothing if the system does not report all of it.
std::optional<SendState> send_state(int fd);

}  // namespace troutstage::net
