#include "net/threads.h"

#include <pthread.h>

#include <algorithm>
#include <chrono>
#include <exception>
#include <utility>

#include "log/log.h"
#include "net/node_limits.h"

namespace troutstage::net {
namespace {

constexpr std::size_t kStackBytes = 256 * 1024;  // address space; only pages that are used take memory
constexpr std::chrono::milliseconds kIdleTimeout{500};

}  // namespace

struct ThreadPool::ThreadStart {
  ThreadPool& pool;
  std::function<void()> job;
};

// Reuses the thread that became idle last. If idle threads took turns, none would be idle for long enough to
// end, and the pool would keep as many threads as were ever needed at the same time. Each of them would keep
// a malloc cache of its own, and would wake up whenever the platform stops and continues the process.
bool ThreadPool::run(std::function<void()> job) {
  std::shared_ptr<IdleWorker> worker;
  {
    std::lock_guard lock(lock_);
    if (!idle_workers_.empty()) {
      worker = std::move(idle_workers_.back());
      idle_workers_.pop_back();
      worker->job = std::move(job);
    } else if (!reserve_thread()) {
      return false;
    }
  }
  if (worker) return worker->wake_up.notify_one(), true;
  auto start = std::make_unique<ThreadStart>(ThreadStart{*this, std::move(job)});
  pthread_attr_t attributes;
  pthread_t thread;
  ::pthread_attr_init(&attributes);
  ::pthread_attr_setstacksize(&attributes, kStackBytes);
  ::pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
  const bool started = ::pthread_create(&thread, &attributes, thread_main, start.get()) == 0;
  ::pthread_attr_destroy(&attributes);
  if (started) return start.release(), true;
  std::lock_guard lock(lock_);
  forget_thread();
  return false;
}

bool ThreadPool::reserve_thread() {
  if (thread_count_ >= max_threads_) return false;
  if (memory_ != nullptr && !memory_->take(MemoryUse::threads, kThreadBytes)) return false;
  ++thread_count_;
  return true;
}

void ThreadPool::forget_thread() {
  --thread_count_;
  if (memory_ != nullptr) memory_->give_back(MemoryUse::threads, kThreadBytes);
  thread_ended_.notify_all();
}

void ThreadPool::finish() {
  std::unique_lock lock(lock_);
  is_finishing_ = true;
  for (const auto& worker : idle_workers_) worker->wake_up.notify_one();
  thread_ended_.wait(lock, [this] { return thread_count_ == 0; });
  is_finishing_ = false;
}

void* ThreadPool::thread_main(void* arguments) {
  const std::unique_ptr<ThreadStart> start(static_cast<ThreadStart*>(arguments));
  start->pool.run_jobs(std::move(start->job));
  return nullptr;
}

void ThreadPool::run_jobs(std::function<void()> job) {
  const auto worker = std::make_shared<IdleWorker>();
  while (job) {
    try {
      job();
    } catch (const std::exception& error) {  // must not end the process, which has open invocations
      log::error("thread: {}", error.what());
    }
    job = nullptr;  // releases what the job captured before the next wait
    std::unique_lock lock(lock_);
    if (!is_finishing_) {
      idle_workers_.push_back(worker);
      worker->wake_up.wait_for(lock, kIdleTimeout, [&] { return worker->job != nullptr || is_finishing_; });
    }
    job = std::exchange(worker->job, nullptr);
    if (job) continue;
    std::erase(idle_workers_, worker);
    forget_thread();
  }
}

}  // namespace troutstage::net
