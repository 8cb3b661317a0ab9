#include "net/sibling.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cerrno>
#include <new>
#include <system_error>

namespace troutstage::net {
namespace {

constexpr std::size_t kPageBytes = 4096, kSlotBytes = 256;  // a slot for each process, after the bytes that are locked
static_assert(sizeof(Usage) <= kSlotBytes && std::atomic<std::int64_t>::is_always_lock_free);

[[noreturn]] void throw_system_error(const std::string& path) {
  throw std::system_error(errno, std::generic_category(), "can't use '" + path + "'");
}

}  // namespace

ProcessPair::ProcessPair(const std::string& folder, const std::string& node) {
  std::string name = node;
  for (char& c : name)
    if (c == '/') c = '_';
  const std::string path = folder + "/troutstage-" + name;
  if (!retry_on_shortage("open", [&] {
        return static_cast<bool>(lock_file_ = Fd(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600)));
      }))
    throw_system_error(path);
  if (!retry_on_shortage("ftruncate", [&] { return ::ftruncate(lock_file_.get(), kPageBytes) == 0; })) throw_system_error(path);
  slot_ = try_lock_slot(0) ? 0 : 1;
  if (slot_ == 1 && !try_lock_slot(1))
    throw std::runtime_error("two processes of node '" + node + "' are running already");
  shared_page_ = ::mmap(nullptr, kPageBytes, PROT_READ | PROT_WRITE, MAP_SHARED, lock_file_.get(), 0);
  if (shared_page_ == MAP_FAILED) throw_system_error(path);
  const auto slot = [this](int place) { return static_cast<char*>(shared_page_) + kSlotBytes * (1 + place); };
  // Whatever a dead process left in it counts no more.
  Usage* mine = new (slot(slot_)) Usage{};
  shared_usage_ = std::make_unique<SharedUsage>(mine, reinterpret_cast<const Usage*>(slot(1 - slot_)));
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

// Locks of the open file, not of the process: another thread's close can't lose them.
struct flock slot_lock(int place) {
  struct flock byte {};
  byte.l_type = F_WRLCK;
  byte.l_whence = SEEK_SET;
  byte.l_start = place;
  byte.l_len = 1;
  return byte;
}

}  // namespace

bool ProcessPair::try_lock_slot(int place) {
  struct flock byte = slot_lock(place);
  bool locked = false;
  const auto is_told = [&] {
    locked = ::fcntl(lock_file_.get(), F_OFD_SETLK, &byte) == 0;
    return locked || errno == EAGAIN || errno == EACCES;
  };
  if (!retry_on_shortage("fcntl", is_told))
    throw std::system_error(errno, std::generic_category(), "can't lock a node's place");
  return locked;
}

ProcessPair::LockState ProcessPair::slot_lock_state(int place) const {
  struct flock byte = slot_lock(place);
  if (::fcntl(lock_file_.get(), F_OFD_GETLK, &byte) != 0) return LockState::unknown;
  return byte.l_type == F_UNLCK ? LockState::free : LockState::locked;
}

}  // namespace troutstage::net
