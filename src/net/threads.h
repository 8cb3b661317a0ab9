// Threads with small stacks that are used again.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

namespace troutstage::net {

class Threads {
 public:
  explicit Threads(std::size_t most) : most_(most) {}
  ~Threads() { finish(); }
  // False: no thread is to be had. What a job throws is logged and ends only that job.
  bool run(std::function<void()> job);
  void finish();  // waits until every job is done

 private:
  static void* enter(void* self);
  void work();

  const std::size_t most_;
  std::mutex lock_;
  std::condition_variable has_job_, fewer_;
  std::deque<std::function<void()>> jobs_;
  std::size_t all_ = 0, idle_ = 0;
  bool finishing_ = false;
};

}  // namespace troutstage::net
