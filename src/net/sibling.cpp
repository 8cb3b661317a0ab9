#include "net/sibling.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cerrno>
#include <new>
#include <system_error>

namespace troutstage::net {
namespace {

// The shared page: the process in slot n (0 or 1) locks byte n, and its counts lie at kSlotBytes * (1 + n).
constexpr std::size_t kPageBytes = 4096, kSlotBytes = 256;
static_assert(sizeof(Usage) <= kSlotBytes && std::atomic<std::int64_t>::is_always_lock_free);

[[noreturn]] void throw_system_error(const std::string& path) {
  throw std::system_error(errno, std::generic_category(), "can't use '" + path + "'");
}

}  // namespace

ProcessPair::ProcessPair(const std::string& folder, const std::string& node) {
  std::string file_name = node;
  for (char& c : file_name)
    if (c == '/') c = '_';
  const std::string path = folder + "/troutstage-" + file_name;
  if (!retry_on_shortage("open", [&] {
        return static_cast<bool>(lock_file_ = Fd(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600)));
      }))
    throw_system_error(path);
  if (!retry_on_shortage("ftruncate", [&] { return ::ftruncate(lock_file_.get(), kPageBytes) == 0; }))
    throw_system_error(path);
  slot_ = try_lock_slot(0) ? 0 : 1;
  if (slot_ == 1 && !try_lock_slot(1))
    throw std::runtime_error("two processes of node '" + node + "' are running already");
  shared_page_ = ::mmap(nullptr, kPageBytes, PROT_READ | PROT_WRITE, MAP_SHARED, lock_file_.get(), 0);
  if (shared_page_ == MAP_FAILED) throw_system_error(path);
  const auto counts_at = [this](int slot) {
    return static_cast<char*>(shared_page_) + kSlotBytes * (1 + slot);
  };
  // Clears the counts that an ended process left in this slot.
  Usage* own_counts = new (counts_at(slot_)) Usage{};
  shared_usage_ =
      std::make_unique<SharedUsage>(own_counts, reinterpret_cast<const Usage*>(counts_at(1 - slot_)));
  is_successor_ = is_other_running();
}

ProcessPair::~ProcessPair() {
  if (shared_page_ != nullptr) ::munmap(shared_page_, kPageBytes);
}

bool ProcessPair::is_other_running() {
  const LockState other = slot_lock_state(1 - slot_);
  if (other != LockState::unknown) is_other_running_ = other == LockState::locked;
  shared_usage_->set_paired(is_other_running_);
  return is_other_running_;
}

namespace {

// Describes a write lock on the byte of a slot. Callers use open file description locks, because locks of the
// process would be released when any of its threads closes the file.
struct flock slot_lock(int slot) {
  struct flock byte {};
  byte.l_type = F_WRLCK;
  byte.l_whence = SEEK_SET;
  byte.l_start = slot;
  byte.l_len = 1;
  return byte;
}

}  // namespace

bool ProcessPair::try_lock_slot(int slot) {
  struct flock byte = slot_lock(slot);
  bool locked = false;
  const auto is_determined = [&] {
    locked = ::fcntl(lock_file_.get(), F_OFD_SETLK, &byte) == 0;
    return locked || errno == EAGAIN || errno == EACCES;
  };
  if (!retry_on_shortage("fcntl", is_determined))
    throw std::system_error(errno, std::generic_category(), "can't lock a process slot");
  return locked;
}

ProcessPair::LockState ProcessPair::slot_lock_state(int slot) const {
  struct flock byte = slot_lock(slot);
  if (::fcntl(lock_file_.get(), F_OFD_GETLK, &byte) != 0) return LockState::unknown;
  return byte.l_type == F_UNLCK ? LockState::free : LockState::locked;
}

}  // namespace troutstage::net
