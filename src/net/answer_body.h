// The part of an answer's body that a node keeps, in blocks whose memory is reserved before it is used.
#pragma once

#include <cstddef>
#include <deque>
#include <string>

#include "net/memory_budget.h"

namespace troutstage::net {

// Not thread-safe.
class AnswerBody {
 public:
  explicit AnswerBody(MemoryBudget& budget)
      : first_block_memory_(budget, MemoryUse::hand_offs), further_memory_(budget, MemoryUse::answers) {}
  // A string that one piece of up to kMaxPieceBytes may be appended to. Null: no more is kept, since the
  // budget has no memory left or the longest part of an answer that may be kept has been reached.
  std::string* room();
  std::size_t size() const;  // bytes that are kept
  bool empty() const { return blocks_.empty(); }
  const std::string& front() const { return blocks_.front(); }  // the first bytes that were not removed yet
  void pop_front();                                             // removes front(), and frees its memory
  void clear();

 private:
  bool grow_first_block();

  // The first block grows up to the longest short answer, so that such an answer lies in one piece.
  std::deque<std::string> blocks_;
  std::size_t capacity_ = 0;
  MemoryBudget::Reservation first_block_memory_, further_memory_;
  bool is_first_block_ = true;  // front() is the first block
};

}  // namespace troutstage::net
