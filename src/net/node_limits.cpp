#include "net/node_limits.h"

#include <algorithm>
#include <bit>

#include "net/socket.h"
#include "net/transactions.h"

namespace troutstage::net {
namespace {

constexpr std::size_t kMebibyte = 1024 * 1024;

// Descriptors that a node needs besides connections: listener, discovery watch, log, disconnect monitor and a
// few to spare; and what each process of a pair needs in addition.
constexpr std::size_t kBaseDescriptors = 10, kPairDescriptors = 4;

// The least number of descriptors for connections whose requests are rejected: one in so many of all
// descriptors.
constexpr std::size_t kMinRejectionReserve = 8, kRejectionDivisor = 16;

// Memory of a process without clients: its program, its own threads, the list of backends and lines of the
// log that wait.
constexpr std::size_t kProcessBytes = 8 * kMebibyte;
// One part in this many of the memory is left for what the allocator can't use again at once.
constexpr std::size_t kSlackDivisor = 8;
// The budget is at least one part in this many of the memory.
constexpr std::size_t kMinBudgetDivisor = 4;

// The table of transaction ids takes up to one part in so many of the budget.
constexpr std::size_t kTransactionDivisor = 16;
constexpr std::size_t kMinTransactionEntries = 4096, kMaxTransactionEntries = 1 << 18;
constexpr std::size_t kSharedTransactionEntries = 1 << 15;

// The part of the budget that clients' connections may use while no thread serves them, and the part of
// connections whose requests are rejected.
constexpr double kConnectionShare = 0.4, kRejectionShare = 0.1;
// The object of a connection and what the system keeps for a socket.
constexpr std::size_t kConnectionObjectBytes = 4 * 1024;
// For both buffers of a socket together.
constexpr std::size_t kMinSocketBytes = 16 * 1024, kMaxSocketBytes = 64 * 1024;
std::size_t process_count(const Config& config) { return config.passed_socket < 0 ? 1 : 2; }

std::size_t memory_budget(const Config& config) {
  const std::size_t memory = config.memory_mb * kMebibyte;
  const std::size_t set_aside =
      std::min(memory, process_count(config) * kProcessBytes + memory / kSlackDivisor);
  return std::max(memory / kMinBudgetDivisor, memory - set_aside);
}

// Both processes of a node map tables of one size, whatever limits each of them was started with.
std::size_t transaction_entries(const Config& config, std::size_t budget) {
  if (process_count(config) > 1) return kSharedTransactionEntries;
  return std::bit_floor(std::clamp(budget / kTransactionDivisor / sizeof(TransactionEntry),
                                   kMinTransactionEntries, kMaxTransactionEntries));
}

// Number of connections, to clients and backends together, for which there are descriptors. If another
// process of this node may run, what each process needs for itself is set aside for both at all times.
std::size_t connections_within(const Config& config, std::size_t rejection_reserve) {
  const std::size_t for_each_process = kBaseDescriptors + config.own_descriptors + rejection_reserve;
  const std::size_t set_aside =
      config.passed_socket < 0 ? for_each_process : 2 * (for_each_process + kPairDescriptors);
  return std::max<std::size_t>(8, config.descriptors - std::min(config.descriptors, set_aside));
}

// Neither clients nor backends get more than two thirds of the connections.
std::size_t largest_side(std::size_t connections) { return std::max<std::size_t>(2, connections / 3 * 2); }

}  // namespace

std::size_t NodeLimits::socket_bytes() const {
  return static_cast<std::size_t>(socket_buffer) * kSocketBytesPerOptionUnit;
}
std::size_t NodeLimits::client_connection_bytes() const { return kConnectionObjectBytes + socket_bytes(); }

NodeLimits divide_limits(const Config& config) {
  NodeLimits limits;
  limits.memory_budget = memory_budget(config);
  limits.transaction_entries = transaction_entries(config, limits.memory_budget);
  limits.memory_budget -= process_count(config) * limits.transaction_entries * sizeof(TransactionEntry);
  const auto part_of_budget = [&](double share) {
    return static_cast<std::size_t>(static_cast<double>(limits.memory_budget) * share);
  };
  const std::size_t least_reserve = std::max(kMinRejectionReserve, config.descriptors / kRejectionDivisor);
  const std::size_t by_descriptors = largest_side(connections_within(config, least_reserve));
  const std::size_t for_connections = part_of_budget(kConnectionShare);
  const std::size_t each = for_connections / by_descriptors;
  const std::size_t socket_bytes =
      std::clamp(each - std::min(each, kConnectionObjectBytes), kMinSocketBytes, kMaxSocketBytes);
  limits.socket_buffer = static_cast<int>(socket_bytes / kSocketBytesPerOptionUnit);
  const std::size_t by_memory = std::max<std::size_t>(2, for_connections / limits.client_connection_bytes());
  // Where memory allows fewer clients than there are descriptors, more of those that come have to be
  // rejected.
  const std::size_t unserved = by_descriptors - std::min(by_descriptors, by_memory);
  limits.rejection_reserve =
      least_reserve + std::min(unserved, part_of_budget(kRejectionShare) / kRejectedConnectionBytes);
  limits.max_connections = connections_within(config, limits.rejection_reserve);
  limits.max_backends = largest_side(limits.max_connections);
  limits.max_clients = std::min(limits.max_backends, by_memory);
  return limits;
}

}  // namespace troutstage::net
