/**
 * @file node_log.h
 * Structured log lines on standard output: bounded in rate and memory, and
 * never waiting for the reader.
 */
#ifndef WAXWING_NODE_NODE_LOG_H
#define WAXWING_NODE_NODE_LOG_H

#include "core/time_type.h"

#include <cstdint>
#include <fmt/format.h>
#include <string>
#include <string_view>

namespace waxwing {

/// How much a line is worth when not all can be written.
enum class LineWeight : std::uint8_t {
  Routine, ///< a decision of a request that goes well
  Notable, ///< a failure, refusal or repeat
  State,   ///< a change of belief; written at any rate
};

/// Prepares standard output. @param linesPerSecond bound for all weights but
///   State; Routine lines get half of it
void openLog(const std::string &vm, const std::string &level,
             int linesPerSecond);
/// @return true when a line of this weight may be written now
bool admitLine(LineWeight weight, Time now);
/// Writes one line of key=value pairs.
void writeLine(std::string_view event, const std::string &pairs);
/// Writes what waits, as far as the reader takes it.
void flushLog();
/// @return lines dropped since the start
std::uint64_t droppedLines();
/// @return @p text cut to 120 bytes and with quotes, spaces and control
///   bytes replaced, so that no input can forge a line
std::string logSafe(std::string_view text);

/// Writes a line when its weight admits it.
template <class... Args>
void logLine(LineWeight weight, Time now, std::string_view event,
             fmt::format_string<Args...> format, Args &&...args) {
  if (admitLine(weight, now))
    writeLine(event, fmt::format(format, std::forward<Args>(args)...));
}

} // namespace waxwing

#endif
