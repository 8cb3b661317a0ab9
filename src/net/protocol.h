// The names of our own protocol, as they stand on the sockets.
#pragma once

#include <cstddef>
#include <string_view>

namespace troutstage::net {

inline constexpr std::string_view kTransaction = "X-Txn";
inline constexpr std::string_view kTenant = "X-Org";
inline constexpr std::string_view kRemaining = "X-Remaining-Ms";
inline constexpr std::string_view kLabel = "Idempotency-Key";
inline constexpr std::string_view kRepeat = "X-Resent";
inline constexpr std::string_view kHost = "Host";
inline constexpr std::string_view kHint = "X-Estimate";  // in microseconds
inline constexpr std::string_view kTurnedAway = "X-Turned-Away";
inline constexpr std::string_view kLoad = "X-Pressure";  // not read; it may hold anything
inline constexpr std::string_view kReadyPath = "/up";
inline constexpr std::string_view kCountersPath = "/counters";

inline constexpr std::size_t kMostBody = 64 * 1024;         // an answer's that is kept until it is whole
inline constexpr std::size_t kMostKept = 256 * 1024;        // a request's that can be handed off again
inline constexpr std::size_t kLongestBody = 32 * 1024 * 1024;  // of any
inline constexpr std::int64_t kSlowestPerMs = 64;           // bytes that a client sends at the least
inline constexpr std::size_t kMostHead = 16 * 1024;
inline constexpr int kMostInterim = 8;  // 1xx heads before an answer

}  // namespace troutstage::net
