/**
 * @file node_log.cpp
 * spdlog sink that buffers lines in memory until the event loop writes them.
 */
#include "node/node_log.h"

#include <algorithm>
#include <cctype>
#include <fcntl.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace waxwing {
namespace {

/// Maximum size of the buffer for lines that are not yet written.
constexpr std::size_t MaxBufferedBytes = 262144;
constexpr std::size_t MaxSanitizedBytes = 120;

/// Buffers log lines and writes them to standard output without blocking.
class BufferedStdoutSink
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
  /// Number of lines dropped because the buffer was full.
  std::uint64_t DroppedLineCount = 0;

  void writeBuffered() {
    while (!Buffer.empty()) {
      const ssize_t n = ::write(STDOUT_FILENO, Buffer.data(), Buffer.size());
      if (n <= 0)
        return; // the reader is slow; retry at the next flush
      Buffer.erase(0, static_cast<std::size_t>(n));
    }
  }

protected:
  void sink_it_(const spdlog::details::log_msg &message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (Buffer.size() + line.size() > MaxBufferedBytes) {
      ++DroppedLineCount;
      return;
    }
    Buffer.append(line.data(), line.size());
  }
  void flush_() override { writeBuffered(); }

private:
  std::string Buffer; ///< unwritten lines; part of the first may be written
};

/// Logger and rate limit counters of the process.
struct LogState {
  std::shared_ptr<BufferedStdoutSink> Sink;
  int LinesPerSecond = 0;
  Time SecondEnds;          ///< end of the second whose lines are counted
  int RoutineLineCount = 0; ///< routine lines in the current second
  int FailureLineCount = 0; ///< failure lines in the current second
  /// Number of lines dropped because of the rate limit.
  std::uint64_t DroppedLineCount = 0;
};

LogState &state() {
  static LogState log;
  return log;
}

} // namespace

void initLog(const std::string &vm, const std::string &level,
             int linesPerSecond) {
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  LogState &log = state();
  log.Sink = std::make_shared<BufferedStdoutSink>();
  log.LinesPerSecond = linesPerSecond;
  const auto logger = std::make_shared<spdlog::logger>("node", log.Sink);
  logger->set_level(spdlog::level::from_str(level));
  logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%l vm=" + vm + " %v");
  spdlog::set_default_logger(logger);
}

bool isLogLineAllowed(LogPriority priority, Time now) {
  LogState &log = state();
  if (priority == LogPriority::StateChange)
    return true;
  if (now >= log.SecondEnds) {
    log.SecondEnds = now + seconds(1);
    log.RoutineLineCount = log.FailureLineCount = 0;
  }
  int &used = priority == LogPriority::Routine ? log.RoutineLineCount
                                               : log.FailureLineCount;
  if (used >= log.LinesPerSecond / 2) {
    ++log.DroppedLineCount;
    return false;
  }
  ++used;
  return true;
}

void writeLogLine(std::string_view event, const std::string &pairs) {
  spdlog::info("event={} {}", event, pairs);
}

void flushLog() {
  if (state().Sink)
    state().Sink->writeBuffered();
}

std::uint64_t droppedLineCount() {
  return state().DroppedLineCount +
         (state().Sink ? state().Sink->DroppedLineCount : 0);
}

std::string sanitizeForLog(std::string_view text) {
  std::string result(text.substr(0, MaxSanitizedBytes));
  std::ranges::replace_if(
      result,
      [](char c) {
        return !std::isprint(static_cast<unsigned char>(c)) || c == ' ' ||
               c == '"' || c == '=';
      },
      '_');
  return result;
}

} // namespace waxwing
