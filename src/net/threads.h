// A bounded pool of detached threads with small stacks. Idle threads are reused, and end after a timeout.
#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "net/memory_budget.h"

namespace troutstage::net {

// Thread-safe. The destructor waits until every job has ended. If a memory budget is given, each thread
// reserves its memory there for as long as the thread exists.
class ThreadPool {
 public:
  explicit ThreadPool(std::size_t max_threads, MemoryBudget* memory = nullptr)
      : max_threads_(max_threads), memory_(memory) {}
  ~ThreadPool() { finish(); }
  // Runs `job` on an idle thread or on a new one and returns at once. Returns false if the pool has its
  // maximum of busy threads, no memory is left for one more, or the system creates no thread. A
  // std::exception from a job is logged and ends only that job.
  bool run(std::function<void()> job);
  // Waits until every job is done and every thread has ended. The pool may be used again after that. Must not
  // be called from a job.
  void finish();

 private:
  // Where an idle thread waits for its next job. run() shares ownership with the thread, because the thread
  // may wake up by itself, do the job and end before run() has notified it.
  struct IdleWorker {
    std::condition_variable wake_up;
    std::function<void()> job;
  };
  struct ThreadStart;

  static void* thread_main(void* arguments);
  void run_jobs(std::function<void()> job);

  // Called with lock_ held.
  bool reserve_thread();
  void forget_thread();

  const std::size_t max_threads_;
  MemoryBudget* const memory_;
  std::mutex lock_;
  std::condition_variable thread_ended_;
  std::vector<std::shared_ptr<IdleWorker>> idle_workers_;  // longest idle first
  std::size_t thread_count_ = 0;
  bool is_finishing_ = false;
};

}  // namespace troutstage::net
