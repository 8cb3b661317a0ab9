#include "net/answer_body.h"

#include <algorithm>

#include "net/http.h"
#include "net/node_limits.h"

namespace troutstage::net {
namespace {

// The first bytes of an answer need no further reservation: the exchange has reserved them.
constexpr std::size_t kFirstBytes = kMaxPieceBytes;
// Room behind the longest short answer, so that the piece that exceeds it fits as well.
constexpr std::size_t kMaxFirstBlockBytes = kMaxShortAnswerBytes + kMaxPieceBytes;
constexpr std::size_t kBlockBytes = 64 * 1024;
// The longest part of an answer that is kept.
constexpr std::size_t kMaxKeptBytes = 1 << 20;

}  // namespace

std::string* AnswerBody::room() {
  if (blocks_.empty()) {
    grow_to(blocks_.emplace_back(), kFirstBytes);
    capacity_ = kFirstBytes;
    return &blocks_.back();
  }
  std::string& last = blocks_.back();
  if (last.size() + kMaxPieceBytes <= last.capacity()) return &last;
  if (blocks_.size() == 1 && is_first_block_ && last.capacity() < kMaxFirstBlockBytes)
    return grow_first_block() ? &last : nullptr;
  if (capacity_ + kBlockBytes > kMaxKeptBytes || !further_memory_.take(kBlockBytes)) return nullptr;
  capacity_ += kBlockBytes;
  grow_to(blocks_.emplace_back(), kBlockBytes);
  return &blocks_.back();
}

bool AnswerBody::grow_first_block() {
  std::string& block = blocks_.front();
  const std::size_t grown = std::min(2 * block.capacity(), kMaxFirstBlockBytes);
  if (!first_block_memory_.take(grown - block.capacity())) return false;
  grow_to(block, grown);
  capacity_ = grown;
  return true;
}

std::size_t AnswerBody::size() const {
  std::size_t sum = 0;
  for (const std::string& block : blocks_) sum += block.size();
  return sum;
}

void AnswerBody::pop_front() {
  blocks_.pop_front();
  if (std::exchange(is_first_block_, false)) first_block_memory_.give_back_all();
  else further_memory_.give_back(kBlockBytes);
}

void AnswerBody::clear() {
  while (!empty()) pop_front();
}

}  // namespace troutstage::net
