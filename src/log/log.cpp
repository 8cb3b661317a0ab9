#include "log/log.h"

#include <spdlog/logger.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace troutstage::log {
namespace {

std::atomic<Format> format_wanted{Format::text};

spdlog::level::level_enum its(Level level) {
  constexpr spdlog::level::level_enum kLevels[] = {spdlog::level::debug, spdlog::level::info, spdlog::level::warn, spdlog::level::err};
  return kLevels[static_cast<int>(level)];
}

// Made at the first line and never taken down: threads may log to the very end.
spdlog::logger& logger() {
  static spdlog::logger* const one = [] {
    auto* made = new spdlog::logger("troutstage", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    made->set_level(spdlog::level::info);
    made->set_pattern("%E.%e %l %v");
    return made;
  }();
  return *one;
}

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
