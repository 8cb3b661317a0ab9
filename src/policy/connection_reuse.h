// Decides when a connection to a backend may carry another request. HTTP/1.1 does not mark which request an
// answer belongs to: if a backend sent its answer twice, the second copy would be taken for the answer to the
// next request.
//
// A connection stays unused for a cooldown after each answer. The cooldown is short once the backend has
// proven that it sends nothing after its answers. If a backend sends unsolicited bytes, each of its
// connections is used only once for some time, and the backend has to prove itself again. The class does no
// I/O and reads no clock. It is not thread-safe.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>

namespace troutstage::policy {

// The times and counts that ConnectionReuse works by.
struct ReuseRules {
  using Duration = std::chrono::steady_clock::duration;
  Duration cooldown = std::chrono::milliseconds(20);  // at a backend that has proven quiet
  // At a backend of which nothing is known. Longer than a delayed acknowledgement (40 ms), a stall of the
  // backend (150 ms) and a first retransmission (200 ms).
  Duration unproven_cooldown = std::chrono::milliseconds(250);
  // At a backend that has sent unsolicited bytes and has not proven quiet since.
  Duration distrusted_cooldown = std::chrono::seconds(1);
  // A backend has proven quiet after this many of the two longer cooldowns without a byte.
  int proofs = 2;
  Duration distrust_period = std::chrono::seconds(30);  // no reuse for this time after unsolicited bytes
};

class ConnectionReuse {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  using Duration = ReuseRules::Duration;
  // Identifies a backend from its start to its end; never used again.
  using BackendInstanceId = std::uint64_t;

  explicit ConnectionReuse(const ReuseRules& rules) : rules_(rules) {}
  // Replaces the rules. What is known of the backends stays.
  void set_rules(const ReuseRules& rules) { rules_ = rules; }
  // No byte arrived on a connection that was idle for `idle_time`. Has no effect if `idle_time` is shorter
  // than proving_cooldown().
  void record_quiet(BackendInstanceId backend, Duration idle_time, TimePoint now);
  // Bytes arrived that belong to no request of this node.
  void record_unsolicited_bytes(BackendInstanceId backend, TimePoint now);
  // False: connections to the backend have to be closed after one answer.
  bool may_keep_connections(BackendInstanceId backend, TimePoint now) const;
  // How long a connection stays unused after an answer before it may carry another request.
  Duration cooldown(BackendInstanceId backend) const;
  // How long a connection has to be idle before its silence counts as a proof that the backend is quiet.
  Duration proving_cooldown(BackendInstanceId backend) const;
  // Drops the records that were last updated before `limit`.
  void forget_before(TimePoint limit);

 private:
  struct Record {
    int proofs = 0;
    bool was_distrusted = false;
    TimePoint distrusted_until, updated_at;
  };
  ReuseRules rules_;
  std::map<BackendInstanceId, Record> records_;
};

}  // namespace troutstage::policy
