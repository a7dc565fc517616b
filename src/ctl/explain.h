/**
 * @file explain.h
 * Reconstructs what happened to one request from the logs of all VMs: the
 * decisions on it, and the state that the VMs knew when they made them.
 */
#ifndef WAXWING_CTL_EXPLAIN_H
#define WAXWING_CTL_EXPLAIN_H

#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing {

/// A structured log line of waxwing-node.
struct LogLine {
  std::string Time; ///< timestamp; lexical order is chronological
  std::string Vm;
  std::string Event;
  std::map<std::string, std::string> Fields; ///< all other fields, by name
  std::string Text;                          ///< the line from "time=" on

  /// @return value of a field of Fields, "" when it is absent
  std::string field(const std::string &name) const;
};

/// @param text one line; anything before "time=" is ignored
/// @return nullopt when the line lacks a time, VM or event
std::optional<LogLine> parseLogLine(std::string_view text);

/// Appends the structured log lines of @p in to @p lines; skips other lines.
void readLog(std::istream &in, std::vector<LogLine> &lines);

/// @return a report on the request for the operator, "" when no line names it
std::string explainRequest(const std::string &id, std::vector<LogLine> lines);

} // namespace waxwing

#endif
