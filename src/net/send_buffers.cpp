#include "net/send_buffers.h"

#include <algorithm>
#include <fstream>

namespace troutstage::net {
namespace {

// The largest send buffer that Linux gives to a connection unless it is configured otherwise.
constexpr std::uint64_t kDefaultBytes = 4 << 20;
// A write may exceed the limit by its last piece.
constexpr std::uint64_t kPieceBytes = 256 << 10;
// Linux allots this multiple of what a process asks for.
constexpr std::uint64_t kAllottedPerRequested = 2;

}  // namespace

SendBufferLimits read_send_buffer_limits(const std::string& sysctl_path) {
  SendBufferLimits limits;
  std::uint64_t smallest = 0, initial = 0, largest = 0;
  if (std::ifstream(sysctl_path + "/net/ipv4/tcp_wmem") >> smallest >> initial >> largest)
    limits.by_itself = largest;
  std::uint64_t requested = 0;
  if (std::ifstream(sysctl_path + "/net/core/wmem_max") >> requested) limits.on_request = requested;
  return limits;
}

std::uint64_t max_send_buffer_bytes(const SendBufferLimits& limits) {
  const std::uint64_t by_itself = limits.by_itself > 0 ? limits.by_itself : kDefaultBytes;
  return std::max({kDefaultBytes, by_itself, kAllottedPerRequested * limits.on_request}) + kPieceBytes;
}

}  // namespace troutstage::net
