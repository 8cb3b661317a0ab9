#include "net/transactions.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <new>
#include <system_error>

#include "net/socket.h"

namespace troutstage::net {
namespace {

// An id may lie in any of so many entries, from the one that its hash names.
constexpr std::size_t kProbes = 32;
// Ids of open requests that an ended process left behind, and the longest time for which an id can be kept. A
// later time is left from before a restart of the machine.
constexpr std::chrono::seconds kLeftBehindTime{30};
constexpr std::chrono::hours kMaxKeepTime{1};

std::int64_t steady_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

[[noreturn]] void throw_system_error(int error, const std::string& path) {
  throw std::system_error(error, std::generic_category(), "can't use '" + path + "'");
}

// Requests of an ended process may have run.
void take_over(TransactionEntry* entries, std::size_t count) {
  const std::int64_t now = steady_ms();
  constexpr std::int64_t kKeepMs = std::chrono::milliseconds(kLeftBehindTime).count();
  constexpr std::int64_t kMaxMs = std::chrono::milliseconds(kMaxKeepTime).count();
  for (std::size_t i = 0; i < count; ++i) {
    std::int64_t known_until = entries[i].known_until_ms;
    if (known_until == TransactionEntry::kOpen) entries[i].known_until_ms = now + kKeepMs;
    else if (known_until > now + kMaxMs) entries[i].known_until_ms = 0;
  }
}

}  // namespace

TransactionMemory::TransactionMemory(std::size_t entries)
    : entries_(entries), bytes_(entries * sizeof(TransactionEntry)) {
  map(-1);
  own_ = static_cast<TransactionEntry*>(mapped_);
}

TransactionMemory::TransactionMemory(const std::string& path, std::size_t entries, int slot, bool is_alone)
    : entries_(entries), bytes_(2 * entries * sizeof(TransactionEntry)) {
  Fd file;
  const auto open_file = [&] {
    return static_cast<bool>(file = Fd(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600)));
  };
  if (!retry_on_shortage("open", open_file)) throw_system_error(errno, path);
  const off_t size = ::lseek(file.get(), 0, SEEK_END);
  const bool has_other_layout = size != 0 && size != static_cast<off_t>(bytes_);
  if (has_other_layout && !is_alone) throw_system_error(EINVAL, path);
  if (has_other_layout && ::ftruncate(file.get(), 0) != 0) throw_system_error(errno, path);
  // A page that the file system has no room for would end the process when it is first used.
  const auto allocate = [&] {
    const int error = ::posix_fallocate(file.get(), 0, static_cast<off_t>(bytes_));
    errno = error;
    return error == 0;
  };
  if (!retry_on_shortage("posix_fallocate", allocate)) throw_system_error(errno, path);
  map(file.get());
  auto* const tables = static_cast<TransactionEntry*>(mapped_);
  own_ = tables + static_cast<std::size_t>(slot) * entries;
  others_ = tables + static_cast<std::size_t>(1 - slot) * entries;
  take_over(own_, entries);
  if (is_alone) take_over(others_, entries);
}

void TransactionMemory::map(int fd) {
  const int flags = fd < 0 ? MAP_PRIVATE | MAP_ANONYMOUS : MAP_SHARED;
  mapped_ = ::mmap(nullptr, bytes_, PROT_READ | PROT_WRITE, flags, fd, 0);
  if (mapped_ == MAP_FAILED) {
    mapped_ = nullptr;
    throw std::system_error(errno, std::generic_category(), "can't map the table of transactions");
  }
}

TransactionMemory::~TransactionMemory() {
  if (mapped_ != nullptr) ::munmap(mapped_, bytes_);
}

TransactionTable::TransactionTable(const TransactionMemory& memory)
    : own_(memory.own()), others_(memory.others()), mask_(memory.entries() - 1) {}

std::int64_t TransactionTable::known_until(const TransactionEntry* entries, std::uint64_t hash) const {
  for (std::size_t probe = 0; probe < kProbes; ++probe) {
    const TransactionEntry& entry = entries[(hash + probe) & mask_];
    if (entry.id_hash == hash) return entry.known_until_ms;
  }
  return 0;
}

TransactionTable::Claim TransactionTable::claim(std::string_view id, bool is_repeatable,
                                                TransactionEntry*& entry) {
  const std::uint64_t hash = XXH3_64bits(id.data(), id.size()) | 1;  // 0 names no id
  const std::int64_t now = steady_ms();
  const auto refusal = [](std::int64_t until) {
    return until == TransactionEntry::kOpen ? Claim::open : Claim::may_have_run;
  };
  std::lock_guard lock(lock_);
  TransactionEntry* free_entry = nullptr;
  for (std::size_t probe = 0; probe < kProbes; ++probe) {
    TransactionEntry& candidate = own_[(hash + probe) & mask_];
    const std::int64_t until = candidate.known_until_ms;
    if (until > now && candidate.id_hash == hash) return refusal(until);
    if (until <= now && free_entry == nullptr) free_entry = &candidate;
  }
  if (free_entry == nullptr && is_repeatable) return Claim::granted;
  if (free_entry == nullptr) return ++refused_, Claim::full;
  // Writes its own entry first and reads the other process's table then: of two processes that get an id at
  // the same moment, at most one runs its request.
  free_entry->id_hash = hash;
  free_entry->known_until_ms = TransactionEntry::kOpen;
  if (!is_repeatable && others_ != nullptr) {
    const std::int64_t until = known_until(others_, hash);
    if (until > now) return free_entry->known_until_ms = 0, refusal(until);
  }
  entry = free_entry;
  return Claim::granted;
}

void TransactionTable::release(TransactionEntry& entry, std::chrono::milliseconds keep_for) {
  entry.known_until_ms = keep_for.count() > 0 ? steady_ms() + keep_for.count() : 0;
}

}  // namespace troutstage::net
