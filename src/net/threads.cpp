#include "net/threads.h"

#include <pthread.h>

#include <chrono>
#include <exception>

#include "log/log.h"

namespace troutstage::net {
namespace {

constexpr std::size_t kStack = 256 * 1024;  // reserved; only the pages in use are memory
constexpr std::chrono::seconds kIdle{5};

}  // namespace

bool Threads::run(std::function<void()> job) {
  std::lock_guard held(lock_);
  jobs_.push_back(std::move(job));
  if (idle_ >= jobs_.size()) {
    has_job_.notify_one();
    return true;
  }
  pthread_attr_t small;
  pthread_t thread;
  ::pthread_attr_init(&small);
  ::pthread_attr_setstacksize(&small, kStack);
  ::pthread_attr_setdetachstate(&small, PTHREAD_CREATE_DETACHED);
  const bool started = all_ < most_ && ::pthread_create(&thread, &small, enter, this) == 0;
  ::pthread_attr_destroy(&small);
  if (started) ++all_;
  else jobs_.pop_back();
  return started;
}

void Threads::finish() {
  std::unique_lock held(lock_);
  finishing_ = true;
  has_job_.notify_all();
  fewer_.wait(held, [this] { return all_ == 0; });
  finishing_ = false;
}

void* Threads::enter(void* self) {
  static_cast<Threads*>(self)->work();
  return nullptr;
}

void Threads::work() {
  std::unique_lock held(lock_);
  for (;;) {
    if (jobs_.empty()) {
      ++idle_;
      const bool more = has_job_.wait_for(held, kIdle, [this] { return !jobs_.empty() || finishing_; });
      --idle_;
      if (!more || jobs_.empty()) break;
    }
    std::function<void()> job = std::move(jobs_.front());
    jobs_.pop_front();
    held.unlock();
    try {
      job();
    } catch (const std::exception& broke) {  // must not end the process, and with it all that is held
      log::error("thread: {}", broke.what());
    }
    job = nullptr;  // what it holds goes before the next wait
    held.lock();
  }
  --all_;
  fewer_.notify_all();
}

}  // namespace troutstage::net
