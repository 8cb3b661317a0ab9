#include "net/threads.h"

#include <pthread.h>

#include <algorithm>
#include <chrono>
#include <exception>
#include <utility>

#include "log/log.h"

namespace troutstage::net {
namespace {

constexpr std::size_t kStack = 256 * 1024;  // reserved; only the pages in use are memory
constexpr std::chrono::milliseconds kIdle{500};

}  // namespace

struct Threads::Start {
  Threads& threads;
  std::function<void()> job;
};

// The one that was idle last goes first: taken in turn, none is ever idle for long enough to end, so there
// stay as many as were once needed at the same moment. Each then keeps a cache of memory of its own, and
// wakes whenever the platform stops and continues the process.
bool Threads::run(std::function<void()> job) {
  std::shared_ptr<Seat> seat;
  {
    std::lock_guard held(lock_);
    if (!idle_.empty()) {
      seat = std::move(idle_.back());
      idle_.pop_back();
      seat->job = std::move(job);
    } else if (all_ < most_) {
      ++all_;
    } else {
      return false;
    }
  }
  if (seat) return seat->called.notify_one(), true;
  auto start = std::make_unique<Start>(Start{*this, std::move(job)});
  pthread_attr_t small;
  pthread_t thread;
  ::pthread_attr_init(&small);
  ::pthread_attr_setstacksize(&small, kStack);
  ::pthread_attr_setdetachstate(&small, PTHREAD_CREATE_DETACHED);
  const bool started = ::pthread_create(&thread, &small, enter, start.get()) == 0;
  ::pthread_attr_destroy(&small);
  if (started) return start.release(), true;
  std::lock_guard held(lock_);
  --all_;
  fewer_.notify_all();
  return false;
}

void Threads::finish() {
  std::unique_lock held(lock_);
  finishing_ = true;
  for (const auto& seat : idle_) seat->called.notify_one();
  fewer_.wait(held, [this] { return all_ == 0; });
  finishing_ = false;
}

void* Threads::enter(void* given) {
  const std::unique_ptr<Start> start(static_cast<Start*>(given));
  start->threads.work(std::move(start->job));
  return nullptr;
}

void Threads::work(std::function<void()> job) {
  const auto seat = std::make_shared<Seat>();
  while (job) {
    try {
      job();
    } catch (const std::exception& broke) {  // must not end the process, and with it all that is held
      log::error("thread: {}", broke.what());
    }
    job = nullptr;  // what it holds goes before the next wait
    std::unique_lock held(lock_);
    if (!finishing_) {
      idle_.push_back(seat);
      seat->called.wait_for(held, kIdle, [&] { return seat->job != nullptr || finishing_; });
    }
    job = std::exchange(seat->job, nullptr);
    if (job) continue;
    std::erase(idle_, seat);
    --all_;
    fewer_.notify_all();
  }
}

}  // namespace troutstage::net
