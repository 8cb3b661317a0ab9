// Why a client's connection was closed, as one value for the log and the counters.
#pragma once

#include <array>
#include <string_view>

namespace troutstage::net {

enum class CloseReason {
  // the client closed or reset the connection, between requests or before its answer
  by_client,
  // nothing arrived for as long as the connection may be idle
  idle,
  // closed to free capacity for other connections
  room,
  // this node shuts down or drains
  stopping,
  // the last answer announced the close
  last_answer,
  // a request was refused, and the next one can't be found or would be refused too
  bad_request,
  // an answer could not be written, or not to its end
  answer_cut,
};
// Names in the log and in the counters, in the order of CloseReason.
inline constexpr std::array<std::string_view, 7> kCloseReasonNames = {
    "by_client", "idle", "room", "stopping", "last_answer", "bad_request", "answer_cut"};

}  // namespace troutstage::net
