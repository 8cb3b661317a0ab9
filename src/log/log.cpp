#include "log/log.h"

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>

namespace troutstage::log {
namespace {

std::atomic<Level> least_wanted{Level::info};
constexpr std::string_view kNames[] = {"debug", "info", "warning", "error"};

}  // namespace

void set_least(Level least) { least_wanted = least; }
bool wanted(Level level) { return level >= least_wanted.load(); }

void write(Level level, std::string_view text) {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
  std::string out =
      fmt::format("{}.{:03} {} {}", ms / 1000, ms % 1000, kNames[static_cast<int>(level)], text);
  std::replace(out.begin(), out.end(), '\n', ' ');  // what came from outside can't forge a line
  out += '\n';
  // One write for a line, so that lines of two threads don't mix; a log that can't be written is given up.
  [[maybe_unused]] const auto written = ::write(STDERR_FILENO, out.data(), out.size());
}

}  // namespace troutstage::log
