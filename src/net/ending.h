// The result of one HTTP exchange with a backend, and its mapping to the Ending that the balancer learns
// from. No other place maps results.
#pragma once

#include <array>
#include <string_view>

#include "decide.h"

namespace troutstage::net {

// How the exchange of one hand-off ended. The names are those of the counters and the log.
enum class ExchangeResult {
  answered,          // status 200 and the whole body, or as much of a long body as is buffered before it
                     // is forwarded
  answered_error,    // a complete answer with any other status
  turned_away,       // the backend states that it did not process the request (X-Turned-Away: 1)
  no_room,           // this node had no descriptor, port or thread for it
  not_connected,     // the connection was refused, or not established in time
  cut_before_sent,   // the connection broke, time ran out or an answer came before the last byte of the
                     // request was written
  cut_after_sent,    // the connection broke after the whole request was written, before any byte of an answer
  answer_cut,        // the connection broke in the middle of the answer
  answer_malformed,  // the answer is not valid HTTP, or exceeds the size limit
  timed_out,         // no complete answer before the deadline
  source_broke,      // the rest of a streamed request body could not be read from the client
  recalled_unsent,   // cancelled by this node before the last byte of the request was written
  recalled,          // cancelled by this node after the last byte was written
  withdrawn,         // not sent in time: the send conditions no longer hold (the backend is leaving, or the
                     // deduplication window of an earlier attempt has passed), or the client's time is over
};
// Texts of the enumerators, in the same order. Counters, logs and tools use them.
inline constexpr std::array<std::string_view, 14> kExchangeResultNames = {
    "answered",        "answered_error", "turned_away",     "no_room",          "not_connected",
    "cut_before_sent", "cut_after_sent", "answer_cut",      "answer_malformed",
    "timed_out",       "source_broke",   "recalled_unsent", "recalled",         "withdrawn"};

// The Ending that the balancer is given for a result. A request is reported as not executed only if this is
// proven: its last byte was not written, or the backend itself states that it did not process the request.
inline Ending classify_result(ExchangeResult result) {
  switch (result) {
    case ExchangeResult::answered: return Ending::succeeded;
    case ExchangeResult::answered_error: return Ending::error;
    case ExchangeResult::turned_away: return Ending::turned_away;
    case ExchangeResult::not_connected:
    case ExchangeResult::cut_before_sent: return Ending::unreachable;
    case ExchangeResult::cut_after_sent:
    case ExchangeResult::answer_cut:
    case ExchangeResult::answer_malformed: return Ending::broken;
    case ExchangeResult::timed_out: return Ending::timed_out;
    case ExchangeResult::recalled: return Ending::recalled;
    case ExchangeResult::no_room:
    case ExchangeResult::source_broke:
    case ExchangeResult::recalled_unsent:
    case ExchangeResult::withdrawn: return Ending::never_sent;
  }
  return Ending::broken;
}

}  // namespace troutstage::net
