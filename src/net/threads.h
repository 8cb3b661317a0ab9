// Threads with small stacks that are used again.
#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace troutstage::net {

class ThreadPool {
 public:
  explicit ThreadPool(std::size_t most) : max_threads_(most) {}
  ~ThreadPool() { finish(); }
  // False: no thread is to be had. What a job throws is logged and ends only that job.
  bool run(std::function<void()> job);
  void finish();  // waits until every job is done

 private:
  // Where a thread waits for its next job. Whoever calls it has a share, since it may be gone meanwhile.
  struct IdleWorker {
    std::condition_variable wake_up;
    std::function<void()> job;
  };
  struct ThreadStart;

  static void* thread_main(void* start);
  void run_jobs(std::function<void()> job);

  const std::size_t max_threads_;
  std::mutex lock_;
  std::condition_variable thread_ended_;
  std::vector<std::shared_ptr<IdleWorker>> idle_workers_;  // the one that has been idle the longest first
  std::size_t thread_count_ = 0;
  bool is_finishing_ = false;
};

}  // namespace troutstage::net
