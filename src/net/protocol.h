// Header names and paths of this node's HTTP protocol, and the limits that it sets to messages.
#pragma once

#include <cstddef>
#include <string_view>

#include "policy/answer_delivery.h"

namespace troutstage::net {

inline constexpr std::string_view kTransactionHeader = "X-Txn";
inline constexpr std::string_view kTenantHeader = "X-Org";
inline constexpr std::string_view kRemainingMsHeader = "X-Remaining-Ms";
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";
// "1": the client sends the request again.
inline constexpr std::string_view kResentHeader = "X-Resent";
inline constexpr std::string_view kHostHeader = "Host";
// Expected processing time, in microseconds.
inline constexpr std::string_view kEstimateHeader = "X-Estimate";
// "1" in a response: the backend did not process the request.
inline constexpr std::string_view kTurnedAwayHeader = "X-Turned-Away";
// Not read; may have any value.
inline constexpr std::string_view kPressureHeader = "X-Pressure";
inline constexpr std::string_view kReadyPath = "/up";
inline constexpr std::string_view kCountersPath = "/counters";

// Largest body of an answer that is buffered until it is complete; a longer answer may be forwarded while it
// arrives.
inline constexpr std::size_t kMaxShortAnswerBytes = policy::AnswerDelivery::kMaxShortAnswerBytes;
// Largest body of a request that is buffered whole, so that it can be handed off again; the rest of a longer
// body is streamed.
inline constexpr std::size_t kShortBodyBytes = 16 * 1024;
inline constexpr std::size_t kMaxBufferedRequestBytes = 256 * 1024;
// Largest body of any message.
inline constexpr std::size_t kMaxBodyBytes = 32 * 1024 * 1024;
// The slowest rate at which a client may send a body, in bytes per millisecond.
inline constexpr std::int64_t kMinBytesPerMs = 64;
// Largest head of a message, including its start line.
inline constexpr std::size_t kMaxHeadBytes = 16 * 1024;
// Largest piece of a body that is read at once.
inline constexpr std::size_t kMaxPieceBytes = 8 * 1024;
// Largest number of 1xx responses before an answer.
inline constexpr int kMaxInterimHeads = 8;

}  // namespace troutstage::net
