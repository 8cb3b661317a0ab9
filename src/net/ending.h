// Every way in which a hand-off's connection can end, as one value; and the one place that tells the
// decisions what it means.
#pragma once

#include <array>
#include <string_view>

#include "decide.h"

namespace troutstage::net {

enum class ExchangeResult {
  answered,          // 200 and the whole body
  answered_error,    // any other whole answer
  turned_away,       // an answer that says it was not looked at
  no_room,           // this node has no descriptor or thread left for it
  not_connected,     // refused, or never came up
  cut_before_sent,   // broke, or time ran out, before the last byte was written
  cut_after_sent,    // broke with no byte of an answer
  answer_cut,        // broke in the middle of the answer
  answer_malformed,  // what came is no HTTP, or is longer than any answer
  answer_stalled,    // it had begun and did not go on, on a connection that stays open
  timed_out,         // nothing came while this node waited
  source_broke,      // what the client still had to send of its body did not come
  recalled_unsent,   // recalled before the last byte was written
  recalled,          // recalled after that
  withdrawn,         // it may not begin any more: its backend leaves, or what it repeats may have run too long ago
};
inline constexpr std::array<std::string_view, 15> kExchangeResultNames = {
    "answered",        "answered_error",  "turned_away", "no_room",          "not_connected",
    "cut_before_sent", "cut_after_sent",  "answer_cut",  "answer_malformed", "answer_stalled",
    "timed_out",       "source_broke",    "recalled_unsent", "recalled", "withdrawn"};

// Told as never run is only what is proven so: the last byte was not written, or the backend says it.
inline Ending classify_result(ExchangeResult ended) {
  switch (ended) {
    case ExchangeResult::answered: return Ending::succeeded;
    case ExchangeResult::answered_error: return Ending::error;
    case ExchangeResult::turned_away: return Ending::turned_away;
    case ExchangeResult::not_connected:
    case ExchangeResult::cut_before_sent: return Ending::unreachable;
    case ExchangeResult::cut_after_sent:
    case ExchangeResult::answer_cut:
    case ExchangeResult::answer_malformed:
    case ExchangeResult::answer_stalled: return Ending::broken;
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
