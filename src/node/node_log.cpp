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
constexpr std::size_t MaxWaitingBytes = 262144;
constexpr std::size_t MaxTextBytes = 120;

/// Buffers log lines and writes them to standard output without blocking.
class WaitingSink
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
  std::uint64_t Dropped = 0; ///< lines dropped because the buffer was full

  void writeWaiting() {
    while (!Waiting.empty()) {
      const ssize_t n = ::write(STDOUT_FILENO, Waiting.data(), Waiting.size());
      if (n <= 0)
        return; // the reader is slow; retry at the next flush
      Waiting.erase(0, static_cast<std::size_t>(n));
    }
  }

protected:
  void sink_it_(const spdlog::details::log_msg &message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (Waiting.size() + line.size() > MaxWaitingBytes) {
      ++Dropped;
      return;
    }
    Waiting.append(line.data(), line.size());
  }
  void flush_() override { writeWaiting(); }

private:
  std::string Waiting; ///< the first line may be partly written
};

struct LogState {
  std::shared_ptr<WaitingSink> Sink;
  int LinesPerSecond = 0;
  Time SecondEnds;           ///< end of the current rate limit period
  int Routine = 0;           ///< routine lines in the current second
  int Notable = 0;           ///< failure lines in the current second
  std::uint64_t Dropped = 0; ///< lines above the rate limit
};

LogState &state() {
  static LogState log;
  return log;
}

} // namespace

void openLog(const std::string &vm, const std::string &level,
             int linesPerSecond) {
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  LogState &log = state();
  log.Sink = std::make_shared<WaitingSink>();
  log.LinesPerSecond = linesPerSecond;
  const auto logger = std::make_shared<spdlog::logger>("node", log.Sink);
  logger->set_level(spdlog::level::from_str(level));
  logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%l vm=" + vm + " %v");
  spdlog::set_default_logger(logger);
}

bool admitLine(LineWeight weight, Time now) {
  LogState &log = state();
  if (weight == LineWeight::State)
    return true;
  if (now >= log.SecondEnds) {
    log.SecondEnds = now + seconds(1);
    log.Routine = log.Notable = 0;
  }
  int &used = weight == LineWeight::Routine ? log.Routine : log.Notable;
  if (used >= log.LinesPerSecond / 2) {
    ++log.Dropped;
    return false;
  }
  ++used;
  return true;
}

void writeLine(std::string_view event, const std::string &pairs) {
  spdlog::info("event={} {}", event, pairs);
}

void flushLog() {
  if (state().Sink)
    state().Sink->writeWaiting();
}

std::uint64_t droppedLines() {
  return state().Dropped + (state().Sink ? state().Sink->Dropped : 0);
}

std::string logSafe(std::string_view text) {
  std::string result(text.substr(0, MaxTextBytes));
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
