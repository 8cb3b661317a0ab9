// The names of our own protocol, as they stand on the sockets.
#pragma once

#include <cstddef>
#include <string_view>

namespace troutstage::net {

inline constexpr std::string_view kTransactionHeader = "X-Txn";
inline constexpr std::string_view kTenantHeader = "X-Org";
inline constexpr std::string_view kRemainingMsHeader = "X-Remaining-Ms";
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";
inline constexpr std::string_view kResentHeader = "X-Resent";
inline constexpr std::string_view kHostHeader = "Host";
inline constexpr std::string_view kEstimateHeader = "X-Estimate";  // in microseconds
inline constexpr std::string_view kTurnedAwayHeader = "X-Turned-Away";
inline constexpr std::string_view kPressureHeader = "X-Pressure";  // not read; it may hold anything
inline constexpr std::string_view kReadyPath = "/up";
inline constexpr std::string_view kCountersPath = "/counters";

inline constexpr std::size_t kMaxShortAnswerBytes = 64 * 1024;         // an answer's that is kept until it is whole
inline constexpr std::size_t kMaxBufferedRequestBytes = 256 * 1024;        // a request's that can be handed off again
inline constexpr std::size_t kMaxBodyBytes = 32 * 1024 * 1024;  // of any
inline constexpr std::int64_t kMinBytesPerMs = 64;           // bytes that a client sends at the least
inline constexpr std::size_t kMaxHeadBytes = 16 * 1024;
inline constexpr int kMaxInterimHeads = 8;  // 1xx heads before an answer

}  // namespace troutstage::net
