// How a node divides its limits on descriptors and memory among clients, backends and its own needs.
#pragma once

#include <cstddef>

#include "config/config.h"

namespace troutstage::net {

// The value of SO_RCVBUF and SO_SNDBUF of a connection whose requests are rejected, and its memory in all.
inline constexpr int kRejectedSocketBuffer = 1024;
inline constexpr std::size_t kRejectedConnectionBytes = 6 * 1024;
// Memory of a thread that serves: touched pages of its stack, buffers of the connection that it reads, and
// what its allocator caches.
inline constexpr std::size_t kThreadBytes = 40 * 1024;
// The part of a request's head that is read without a further reservation.
inline constexpr std::size_t kShortHeadBytes = 8 * 1024;
// What an exchange with a backend needs besides its socket: the reader's buffer and the request as it is
// sent.
inline constexpr std::size_t kExchangeBytes = 16 * 1024;

struct NodeLimits {
  // Connections to clients and backends together, and to each of them.
  std::size_t max_connections = 0, max_clients = 0, max_backends = 0;
  // Connections of clients beyond max_clients, whose requests are rejected so that none waits unread.
  std::size_t rejection_reserve = 0;
  // For all that grows with clients; the rest of the memory is for the process itself.
  std::size_t memory_budget = 0;
  // Transaction ids that each process of the node can know at one time; a power of two.
  std::size_t transaction_entries = 0;
  // Value of SO_RCVBUF and SO_SNDBUF of each connection, of which Linux allots twice as much.
  int socket_buffer = 0;

  // Memory that one connection may use for its two socket buffers.
  std::size_t socket_bytes() const;
  // Memory that one connection of a client may use while no thread serves it.
  std::size_t client_connection_bytes() const;
  std::size_t connection_bytes(bool is_within_budget) const {
    return is_within_budget ? client_connection_bytes() : kRejectedConnectionBytes;
  }
  // Of all connections to clients that there may be.
  std::size_t all_connections_bytes() const {
    return max_clients * client_connection_bytes() + rejection_reserve * kRejectedConnectionBytes;
  }
};

NodeLimits divide_limits(const Config& config);

}  // namespace troutstage::net
