#include "policy/connection_reuse.h"

namespace troutstage::policy {

void ConnectionReuse::record_quiet(BackendInstanceId backend, Duration idle_time, TimePoint now) {
  if (idle_time < proving_cooldown(backend)) return;
  Record& record = records_[backend];
  record.updated_at = now;
  if (record.proofs < rules_.proofs) ++record.proofs;
}

void ConnectionReuse::record_unsolicited_bytes(BackendInstanceId backend, TimePoint now) {
  records_[backend] = {0, true, now + rules_.distrust_period, now};
}

void ConnectionReuse::forget_before(TimePoint limit) {
  std::erase_if(records_, [limit](const auto& entry) { return entry.second.updated_at < limit; });
}

bool ConnectionReuse::may_keep_connections(BackendInstanceId backend, TimePoint now) const {
  const auto record = records_.find(backend);
  return record == records_.end() || now >= record->second.distrusted_until;
}

ConnectionReuse::Duration ConnectionReuse::cooldown(BackendInstanceId backend) const {
  const auto record = records_.find(backend);
  const bool is_proven = record != records_.end() && record->second.proofs >= rules_.proofs;
  return is_proven ? rules_.cooldown : proving_cooldown(backend);
}

ConnectionReuse::Duration ConnectionReuse::proving_cooldown(BackendInstanceId backend) const {
  const auto record = records_.find(backend);
  const bool was_distrusted = record != records_.end() && record->second.was_distrusted;
  return was_distrusted ? rules_.distrusted_cooldown : rules_.unproven_cooldown;
}

}  // namespace troutstage::policy
