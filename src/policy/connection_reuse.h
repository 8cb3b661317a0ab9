// When a connection to a backend may carry another request. HTTP/1.1 has no mark that tells whose answer comes on it,
// so a backend that answers twice would have its second copy taken for the answer to the next request.
//
// A connection rests after each answer: briefly, once its backend has proven that nothing comes behind its answers. One
// that was seen to send what nobody asked for gets its connections used once each for a while, and has to prove itself
// anew. It does no I/O and reads no clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>

namespace troutstage::policy {

struct ReuseRules {
  using Span = std::chrono::steady_clock::duration;
  Span cooldown = std::chrono::milliseconds(20);  // at a backend that has proven quiet
  // At one of which nothing is known. Longer than a delayed acknowledgement (40 ms), a hold-up of the backend (150 ms) and
  // a first retransmission (200 ms).
  Span unproven_cooldown = std::chrono::milliseconds(250);
  Span distrusted_cooldown = std::chrono::seconds(1);  // at one that was distrusted and has not proven quiet since
  int proofs = 2;                            // rests of the last two kinds without a byte after which it counts as quiet
  Span distrust_period = std::chrono::seconds(30);
};

class ConnectionReuse {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  using Span = ReuseRules::Span;
  // Names a backend for as long as it lives; never given again.
  using BackendInstanceId = std::uint64_t;

  explicit ConnectionReuse(const ReuseRules& rules) : rules_(rules) {}
  // Nothing came on one of its connections that had rested for so long.
  void record_quiet(BackendInstanceId backend, Span rested, TimePoint now);
  // Bytes came that belong to no request of this node.
  void record_unsolicited_bytes(BackendInstanceId backend, TimePoint now);
  // False: its connections are to be closed after one answer.
  bool may_keep_connections(BackendInstanceId backend, TimePoint now) const;
  // How long a connection has to rest after an answer before it may carry another request.
  Span cooldown(BackendInstanceId backend) const;
  // After how long a rest a look at a connection tells something of its backend.
  Span proving_cooldown(BackendInstanceId backend) const;
  // Drops what was last noted before.
  void forget_before(TimePoint limit);

 private:
  struct Record {
    int proofs = 0;
    bool was_distrusted = false;
    TimePoint distrusted_until, updated_at;
  };
  const ReuseRules rules_;
  std::map<BackendInstanceId, Record> records_;
};

}  // namespace troutstage::policy
