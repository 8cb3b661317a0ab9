// Log lines on standard error, through spdlog: a time, a level and a text made with fmt, or an event with its fields.
#pragma once

#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <string_view>
#include <utility>
#include <variant>

namespace troutstage::log {

enum class Level { debug, info, warning, error };
enum class Format { text, json };

void set_least(Level least);
void set_format(Format format);  // json: an object a line, with the keys time, level and message, or event and its fields
bool wanted(Level level);
void write(Level level, std::string_view text);

// From here on lines are queued and written by a thread of their own: whoever logs never waits for the reader of the
// log. A full queue drops its oldest line. Call it once, before other threads log. Throws std::system_error where no
// thread is to be had for the moment; it may be called again then.
void write_in_background();
// Waits until all queued lines are written, no longer than `patience`. False: some may not be.
bool flush(std::chrono::milliseconds patience);
// Lines that were dropped from the full queue or that could not be written, since the start.
std::uint64_t lines_dropped();

using Value = std::variant<std::int64_t, std::uint64_t, double, bool, std::string_view>;
using Fields = std::initializer_list<std::pair<std::string_view, Value>>;
// As text: the event's name, and name=value for each field.
void event(std::string_view name, Fields fields, Level level = Level::info);

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
