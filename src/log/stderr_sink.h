// The end of the log: writes formatted lines to standard error, whatever is behind it, and counts those that are lost.
#pragma once

#include <spdlog/async_logger.h>
#include <spdlog/details/thread_pool.h>
#include <spdlog/sinks/base_sink.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string_view>

namespace troutstage::log {

class StderrSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  // Lines that are dropped from this queue count as lost, and the next line that is written says how many. The queue
  // has to live as long as the sink.
  void tell_of_losses_in(spdlog::details::thread_pool& queue) { queue_ = &queue; }
  std::uint64_t lines_lost() const;
  std::uint64_t flushes() const { return flushes_; }  // how many have ended
  // False: none had ended after the first `before` ones by the end of `patience`.
  bool await_flush_after(std::uint64_t before, std::chrono::milliseconds patience);

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override;

 private:
  void tell_of_losses(const spdlog::details::log_msg& message);
  void write_line(const spdlog::details::log_msg& message);

  std::atomic<spdlog::details::thread_pool*> queue_{nullptr};
  std::atomic<std::uint64_t> unwritten_{0};  // lines that the system did not take
  std::uint64_t told_lost_ = 0;
  std::atomic<std::uint64_t> flushes_{0};
  std::mutex flush_lock_;
  std::condition_variable flushed_;
};

}  // namespace troutstage::log
