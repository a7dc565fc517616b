/**
 * @file node_log.h
 * Structured log on standard output, with limited rate and memory. It never
 * blocks on a slow reader.
 */
#ifndef WAXWING_NODE_NODE_LOG_H
#define WAXWING_NODE_NODE_LOG_H

#include "core/time_type.h"

#include <cstdint>
#include <fmt/format.h>
#include <string>
#include <string_view>

namespace waxwing {

/// Priority of a log line for rate limiting.
enum class LogPriority : std::uint8_t {
  Routine,     ///< normal processing of a request
  Failure,     ///< a failure, refusal or retry
  StateChange, ///< a state change; exempt from the rate limit
};

/// Initializes logging to standard output.
/// @param linesPerSecond rate limit for routine and failure lines; half of the
///   limit applies to each kind
void initLog(const std::string &vm, const std::string &level,
             int linesPerSecond);
/// @return true if the rate limit allows a line now; otherwise that line is
///   counted as dropped
bool isLogLineAllowed(LogPriority priority, Time now);
/// Logs one line of key=value pairs, without rate limit.
void writeLogLine(std::string_view event, const std::string &pairs);
/// Writes buffered lines as far as possible without blocking.
void flushLog();
/// @return number of lines dropped since the start
std::uint64_t droppedLineCount();
/// @return @p text truncated to 120 bytes, with quotes, spaces, equals signs
///   and non-printable bytes replaced, so that input cannot forge log fields
std::string sanitizeForLog(std::string_view text);

/// Logs a line of key=value pairs if the rate limit allows it.
template <class... Args>
void logLine(LogPriority priority, Time now, std::string_view event,
             fmt::format_string<Args...> format, Args &&...args) {
  if (isLogLineAllowed(priority, now))
    writeLogLine(event, fmt::format(format, std::forward<Args>(args)...));
}

} // namespace waxwing

#endif
