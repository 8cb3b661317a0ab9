// Log lines: a time, a level and a text made with fmt, each written whole to standard error.
#pragma once

#include <fmt/format.h>

#include <string_view>

namespace troutstage::log {

enum class Level { debug, info, warning, error };

void set_least(Level least);
bool wanted(Level level);
void write(Level level, std::string_view text);

template <class... Args>
void line(Level level, fmt::format_string<Args...> format, Args&&... args) {
  if (wanted(level)) write(level, fmt::format(format, std::forward<Args>(args)...));
}
template <class... Args>
void debug(fmt::format_string<Args...> format, Args&&... args) {
  line(Level::debug, format, std::forward<Args>(args)...);
}
template <class... Args>
void info(fmt::format_string<Args...> format, Args&&... args) {
  line(Level::info, format, std::forward<Args>(args)...);
}
template <class... Args>
void warning(fmt::format_string<Args...> format, Args&&... args) {
  line(Level::warning, format, std::forward<Args>(args)...);
}
template <class... Args>
void error(fmt::format_string<Args...> format, Args&&... args) {
  line(Level::error, format, std::forward<Args>(args)...);
}

}  // namespace troutstage::log
