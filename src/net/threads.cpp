#include "net/threads.h"

#include <pthread.h>

#include <algorithm>
#include <chrono>
#include <exception>
#include <utility>

#include "log/log.h"

namespace troutstage::net {
namespace {

constexpr std::size_t kStackBytes = 256 * 1024;  // reserved; only the pages in use are memory
constexpr std::chrono::milliseconds kIdleTimeout{500};

}  // namespace

struct ThreadPool::ThreadStart {
  ThreadPool& threads;
  std::function<void()> job;
};

// The one that was idle last goes first: taken in turn, none is ever idle for long enough to end, so there
// stay as many as were once needed at the same moment. Each then keeps a cache of memory of its own, and
// wakes whenever the platform stops and continues the process.
bool ThreadPool::run(std::function<void()> job) {
  std::shared_ptr<IdleWorker> seat;
  {
    std::lock_guard held(lock_);
    if (!idle_workers_.empty()) {
      seat = std::move(idle_workers_.back());
      idle_workers_.pop_back();
      seat->job = std::move(job);
    } else if (thread_count_ < max_threads_) {
      ++thread_count_;
    } else {
      return false;
    }
  }
  if (seat) return seat->wake_up.notify_one(), true;
  auto start = std::make_unique<ThreadStart>(ThreadStart{*this, std::move(job)});
  pthread_attr_t small;
  pthread_t thread;
  ::pthread_attr_init(&small);
  ::pthread_attr_setstacksize(&small, kStackBytes);
  ::pthread_attr_setdetachstate(&small, PTHREAD_CREATE_DETACHED);
  const bool started = ::pthread_create(&thread, &small, thread_main, start.get()) == 0;
  ::pthread_attr_destroy(&small);
  if (started) return start.release(), true;
  std::lock_guard held(lock_);
  --thread_count_;
  thread_ended_.notify_all();
  return false;
}

void ThreadPool::finish() {
  std::unique_lock held(lock_);
  is_finishing_ = true;
  for (const auto& seat : idle_workers_) seat->wake_up.notify_one();
  thread_ended_.wait(held, [this] { return thread_count_ == 0; });
  is_finishing_ = false;
}

void* ThreadPool::thread_main(void* given) {
  const std::unique_ptr<ThreadStart> start(static_cast<ThreadStart*>(given));
  start->threads.run_jobs(std::move(start->job));
  return nullptr;
}

void ThreadPool::run_jobs(std::function<void()> job) {
  const auto seat = std::make_shared<IdleWorker>();
  while (job) {
    try {
      job();
    } catch (const std::exception& broke) {  // must not end the process, and with it all that is held
      log::error("thread: {}", broke.what());
    }
    job = nullptr;  // what it holds goes before the next wait
    std::unique_lock held(lock_);
    if (!is_finishing_) {
      idle_workers_.push_back(seat);
      seat->wake_up.wait_for(held, kIdleTimeout, [&] { return seat->job != nullptr || is_finishing_; });
    }
    job = std::exchange(seat->job, nullptr);
    if (job) continue;
    std::erase(idle_workers_, seat);
    --thread_count_;
    thread_ended_.notify_all();
  }
}

}  // namespace troutstage::net
