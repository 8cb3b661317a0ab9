#include "net/sibling.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cerrno>
#include <new>
#include <system_error>

namespace troutstage::net {
namespace {

constexpr std::size_t kPage = 4096, kSlot = 256;  // a slot for each process, after the bytes that are locked
static_assert(sizeof(Taken) <= kSlot && std::atomic<std::int64_t>::is_always_lock_free);

[[noreturn]] void fail(const std::string& path) {
  throw std::system_error(errno, std::generic_category(), "can't use '" + path + "'");
}

}  // namespace

Sibling::Sibling(const std::string& folder, const std::string& node) {
  std::string name = node;
  for (char& c : name)
    if (c == '/') c = '_';
  const std::string path = folder + "/troutstage-" + name;
  if (!persist("open", [&] {
        return static_cast<bool>(file_ = Fd(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600)));
      }))
    fail(path);
  if (!persist("ftruncate", [&] { return ::ftruncate(file_.get(), kPage) == 0; })) fail(path);
  place_ = take(0) ? 0 : 1;
  if (place_ == 1 && !take(1))
    throw std::runtime_error("two processes of node '" + node + "' are running already");
  page_ = ::mmap(nullptr, kPage, PROT_READ | PROT_WRITE, MAP_SHARED, file_.get(), 0);
  if (page_ == MAP_FAILED) fail(path);
  const auto slot = [this](int place) { return static_cast<char*>(page_) + kSlot * (1 + place); };
  // Whatever a dead process left in it counts no more.
  Taken* mine = new (slot(place_)) Taken{};
  ledger_ = std::make_unique<Ledger>(mine, reinterpret_cast<const Taken*>(slot(1 - place_)));
  successor_ = other_lives();
}

Sibling::~Sibling() {
  if (page_ != nullptr) ::munmap(page_, kPage);
}

bool Sibling::other_lives() {
  const Place other = look(1 - place_);
  if (other != Place::unknown) other_lives_ = other == Place::taken;
  ledger_->set_paired(other_lives_);
  return other_lives_;
}

namespace {

// Locks of the open file, not of the process: another thread's close can't lose them.
struct flock lock_of(int place) {
  struct flock byte {};
  byte.l_type = F_WRLCK;
  byte.l_whence = SEEK_SET;
  byte.l_start = place;
  byte.l_len = 1;
  return byte;
}

}  // namespace

bool Sibling::take(int place) {
  struct flock byte = lock_of(place);
  bool taken = false;
  const auto is_told = [&] {
    taken = ::fcntl(file_.get(), F_OFD_SETLK, &byte) == 0;
    return taken || errno == EAGAIN || errno == EACCES;
  };
  if (!persist("fcntl", is_told))
    throw std::system_error(errno, std::generic_category(), "can't lock a node's place");
  return taken;
}

Sibling::Place Sibling::look(int place) const {
  struct flock byte = lock_of(place);
  if (::fcntl(file_.get(), F_OFD_GETLK, &byte) != 0) return Place::unknown;
  return byte.l_type == F_UNLCK ? Place::free : Place::taken;
}

}  // namespace troutstage::net
