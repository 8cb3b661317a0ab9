#include "policy/connection_reuse.h"

namespace troutstage::policy {

void ConnectionReuse::was_quiet(Life backend, Span rested, Moment now) {
  const auto record = records_.find(backend);
  if (record == records_.end() || rested < rules_.long_rest) return;
  record->second.noted = now;
  if (record->second.proofs < rules_.proofs) ++record->second.proofs;
}

void ConnectionReuse::spoke_unasked(Life backend, Moment now) {
  records_[backend] = {0, now + rules_.distrust, now};
}

void ConnectionReuse::forget_before(Moment limit) {
  std::erase_if(records_, [limit](const auto& one) { return one.second.noted < limit; });
}

bool ConnectionReuse::is_kept(Life backend, Moment now) const {
  const auto record = records_.find(backend);
  return record == records_.end() || now >= record->second.distrusted_until;
}

ConnectionReuse::Span ConnectionReuse::rest(Life backend) const {
  const auto record = records_.find(backend);
  const bool is_suspect = record != records_.end() && record->second.proofs < rules_.proofs;
  return is_suspect ? rules_.long_rest : rules_.rest;
}

}  // namespace troutstage::policy
