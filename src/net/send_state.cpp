#include "net/send_state.h"

// Not <netinet/tcp.h>, whose tcp_info lacks the window.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstddef>

namespace troutstage::net {

std::optional<SendState> send_state(int fd) {
  tcp_info info{};
  socklen_t size = sizeof info;
  constexpr std::size_t kNeededSize = offsetof(tcp_info, tcpi_snd_wnd) + sizeof info.tcpi_snd_wnd;
  if (::getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || size < kNeededSize) return std::nullopt;
  return SendState{info.tcpi_bytes_acked, info.tcpi_snd_wnd};
}

}  // namespace troutstage::net
