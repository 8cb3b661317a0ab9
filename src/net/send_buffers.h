// How many bytes a system may hold that a process has written to a connection and that were not sent yet.
#pragma once

#include <cstdint>
#include <string>

namespace troutstage::net {

// The system's limits on send buffers, in bytes. 0: not known.
struct SendBufferLimits {
  std::uint64_t by_itself = 0;   // that the system gives to a connection (tcp_wmem)
  std::uint64_t on_request = 0;  // that a process may ask for with SO_SNDBUF (wmem_max)
};
// Reads the limits of this machine. `sysctl_path`: where the system shows its settings.
SendBufferLimits read_send_buffer_limits(const std::string& sysctl_path = "/proc/sys");

// The largest send buffer that the limits allow, and the piece that may exceed it. A limit that is not known
// counts as the largest default of Linux.
std::uint64_t max_send_buffer_bytes(const SendBufferLimits& limits);

}  // namespace troutstage::net
