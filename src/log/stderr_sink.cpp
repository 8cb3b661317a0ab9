#include "log/stderr_sink.h"

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <cerrno>

namespace troutstage::log {
namespace {

constexpr int kLookAgainMs = 100;  // at a standard error that was opened for writes that don't wait

// False: the system takes no more of it.
bool write_all(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = ::write(STDERR_FILENO, bytes.data(), bytes.size());
    if (n >= 0) {
      bytes.remove_prefix(static_cast<std::size_t>(n));
    } else if (errno == EAGAIN) {
      pollfd polled{STDERR_FILENO, POLLOUT, 0};
      ::poll(&polled, 1, kLookAgainMs);
    } else if (errno != EINTR) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::uint64_t StderrSink::lines_lost() const {
  spdlog::details::thread_pool* const queue = queue_;
  return unwritten_ + (queue == nullptr ? 0 : queue->overrun_counter());
}

bool StderrSink::await_flush_after(std::uint64_t before, std::chrono::milliseconds patience) {
  std::unique_lock held(flush_lock_);
  return flushed_.wait_for(held, patience, [&] { return flushes_ > before; });
}

void StderrSink::sink_it_(const spdlog::details::log_msg& message) {
  tell_of_losses(message);
  write_line(message);
}

void StderrSink::tell_of_losses(const spdlog::details::log_msg& message) {
  const std::uint64_t lost = lines_lost();
  if (lost == told_lost_) return;
  told_lost_ = lost;
  const std::string text = fmt::format("log_lines_dropped={}", lost);
  spdlog::details::log_msg told(message.time, message.source, message.logger_name, spdlog::level::warn, text);
  write_line(told);
}

void StderrSink::write_line(const spdlog::details::log_msg& message) {
  spdlog::memory_buf_t line;
  formatter_->format(message, line);
  if (!write_all(std::string_view(line.data(), line.size()))) ++unwritten_;
}

void StderrSink::flush_() {
  std::lock_guard held(flush_lock_);
  ++flushes_;
  flushed_.notify_all();
}

}  // namespace troutstage::log
