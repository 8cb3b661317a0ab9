// Threads with small stacks that are used again.
#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace troutstage::net {

class Threads {
 public:
  explicit Threads(std::size_t most) : most_(most) {}
  ~Threads() { finish(); }
  // False: no thread is to be had. What a job throws is logged and ends only that job.
  bool run(std::function<void()> job);
  void finish();  // waits until every job is done

 private:
  // Where a thread waits for its next job. Whoever calls it has a share, since it may be gone meanwhile.
  struct Seat {
    std::condition_variable called;
    std::function<void()> job;
  };
  struct Start;

  static void* enter(void* start);
  void work(std::function<void()> job);

  const std::size_t most_;
  std::mutex lock_;
  std::condition_variable fewer_;
  std::vector<std::shared_ptr<Seat>> idle_;  // the one that has been idle the longest first
  std::size_t all_ = 0;
  bool finishing_ = false;
};

}  // namespace troutstage::net
