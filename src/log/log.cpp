#include "log/log.h"

#include <spdlog/async_logger.h>
#include <spdlog/details/thread_pool.h>
#include <spdlog/logger.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "log/stderr_sink.h"

namespace troutstage::log {
namespace {

std::atomic<Format> format_wanted{Format::text};

spdlog::level::level_enum its(Level level) {
  constexpr spdlog::level::level_enum kLevels[] = {spdlog::level::debug, spdlog::level::info, spdlog::level::warn, spdlog::level::err};
  return kLevels[static_cast<int>(level)];
}

// Lines of the background's queue; each takes some 400 bytes.
constexpr std::size_t kQueuedLines = 512;

// Made at the first use and never taken down: threads may log to the very end.
struct Output {
  std::shared_ptr<StderrSink> sink = std::make_shared<StderrSink>();
  spdlog::logger foreground{"troutstage", sink};
  std::shared_ptr<spdlog::details::thread_pool> writer;
  std::shared_ptr<spdlog::async_logger> background;
  std::atomic<spdlog::logger*> in_use{&foreground};

  Output() {
    foreground.set_level(spdlog::level::info);
    foreground.set_pattern("%E.%e %l %v");
  }
};

Output& output() {
  static Output* const one = new Output;
  return *one;
}

spdlog::logger& logger() { return *output().in_use.load(); }

// Bytes that are no UTF-8 came from outside, and must not cost the line.
std::string quoted(std::string_view text) {
  return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string one_line(std::string text) {
  std::replace(text.begin(), text.end(), '\n', ' ');  // what came from outside can't forge a line
  return text;
}

}  // namespace

void set_least(Level least) { logger().set_level(its(least)); }

void set_format(Format format) {
  format_wanted = format;
  logger().set_pattern(format == Format::json ? R"({"time":%E.%e,"level":"%l",%v})" : "%E.%e %l %v");
}

void write_in_background() {
  Output& out = output();
  if (out.background) return;
  out.writer = std::make_shared<spdlog::details::thread_pool>(kQueuedLines, 1);
  out.sink->tell_of_losses_in(*out.writer);
  out.background = std::make_shared<spdlog::async_logger>("troutstage", out.sink, out.writer,
                                                          spdlog::async_overflow_policy::overrun_oldest);
  out.background->set_level(out.foreground.level());
  out.in_use = out.background.get();
}

bool flush(std::chrono::milliseconds patience) {
  const std::uint64_t before = output().sink->flushes();
  logger().flush();
  return output().sink->await_flush_after(before, patience);
}

std::uint64_t lines_dropped() { return output().sink->lines_lost(); }

bool wanted(Level level) { return logger().should_log(its(level)); }

void write(Level level, std::string_view text) {
  if (format_wanted == Format::json) logger().log(its(level), "\"message\":{}", quoted(text));
  else logger().log(its(level), one_line(std::string(text)));
}

void event(std::string_view name, Fields fields, Level level) {
  if (!wanted(level)) return;
  const bool json = format_wanted == Format::json;
  std::string out = json ? "\"event\":" + quoted(name) : std::string(name);
  for (const auto& [key, value] : fields)
    std::visit(
        [&, key = key](const auto& v) {
          using V = std::decay_t<decltype(v)>;
          if constexpr (std::is_same_v<V, std::string_view>) out += json ? fmt::format(",\"{}\":{}", key, quoted(v)) : fmt::format(" {}={}", key, v);
          else out += json ? fmt::format(",\"{}\":{}", key, v) : fmt::format(" {}={}", key, v);
        },
        value);
  logger().log(its(level), json ? out : one_line(std::move(out)));
}

}  // namespace troutstage::log
