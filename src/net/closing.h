// Why a client's connection ended, as one value for the log and the counters.
#pragma once

#include <array>
#include <string_view>

namespace troutstage::net {

enum class CloseReason {
  by_client,    // it ended or broke it, between requests or before its answer
  idle,         // nothing came on it for as long as it may stay
  room,         // closed to make room for others
  stopping,     // this node stops or drains
  last_answer,  // its last answer said that it would be
  bad_request,  // what came on it can't be told apart any more
  answer_cut,   // an answer could not be written, or not to its end
};
inline constexpr std::array<std::string_view, 7> kCloseReasonNames = {
    "by_client", "idle", "room", "stopping", "last_answer", "bad_request", "answer_cut"};

}  // namespace troutstage::net
