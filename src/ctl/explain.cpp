/**
 * @file explain.cpp
 * Log lines that contain the request id are the decisions on the request. They
 * determine the VMs, upstreams and services concerned. Log lines that report
 * the state of those VMs, upstreams and services show what the VMs knew when
 * they decided.
 */
#include "ctl/explain.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <iterator>
#include <set>
#include <tuple>

namespace waxwing {
namespace {

/// Events that report the state of a VM.
constexpr std::array<std::string_view, 9> VmStateEvents{
    "start",          "config",         "evacuation", "leader",  "store_lost",
    "store_regained", "store_restored", "vms",        "draining"};
/// Events that report what a VM knows about the state of an upstream or
/// service.
constexpr std::array<std::string_view, 8> SubjectStateEvents{
    "upstream",      "upstream_gone",
    "upstream_dead", "ranges_written",
    "order",         "upstream_removal_doubtful",
    "ranges",        "upstream_listed_again"};

bool contains(const auto &names, std::string_view name) {
  return std::ranges::find(names, name) != names.end();
}

/// VMs, upstreams and services that the decisions on a request name.
struct RequestSubjects {
  std::set<std::string> Vms;
  std::set<std::string> Upstreams;
  std::set<std::string> Services;

  void add(const LogLine &line) {
    Vms.insert(line.Vm);
    if (const std::string upstream = line.field("upstream"); !upstream.empty())
      Upstreams.insert(upstream);
    if (const std::string service = line.field("service"); !service.empty())
      Services.insert(service);
  }

  /// @return whether @p line reports a state that may explain the decisions.
  ///   Lines of the leader's events apply to all VMs, other lines to the VM
  ///   that wrote them.
  bool isRelevant(const LogLine &line) const {
    const bool isLeaderEvent = line.Event == "order" ||
                               line.Event == "ranges_written" ||
                               line.Event == "upstream_dead";
    if (!isLeaderEvent && !Vms.contains(line.Vm))
      return false;
    if (contains(VmStateEvents, line.Event))
      return true;
    if (!contains(SubjectStateEvents, line.Event))
      return false;
    const std::string upstream = line.field("upstream");
    return upstream.empty() ? Services.contains(line.field("service"))
                            : Upstreams.contains(upstream);
  }
};

/// @return the lines, indented, or "none"
std::string formatLines(const std::vector<const LogLine *> &lines) {
  std::string out;
  for (const LogLine *line : lines)
    out += "  " + line->Text + "\n";
  return out.empty() ? "  none\n" : out;
}

/// Describes the result of the request by its last decision.
std::string describeOutcome(const std::vector<const LogLine *> &decisions) {
  const LogLine &last = *decisions.back();
  const auto failed =
      std::ranges::count(decisions, "attempt_failed", [](const LogLine *line) {
        return std::string_view(line->Event);
      });
  if (last.Event == "refused") {
    const bool mayHaveRun = last.field("may_have_run") != "0";
    return fmt::format(
        "answered {} by {} itself after {} ms: {}; failed attempts: {}; "
        "{}\n",
        last.field("status"), last.Vm, last.field("age_ms"),
        last.field("reason"), failed,
        mayHaveRun ? "it may have run" : "it has not run");
  }
  if (last.Event == "answered")
    return fmt::format("answered {} by upstream {} after {} ms; failed "
                       "attempts: {}\n",
                       last.field("status"), last.field("upstream"),
                       last.field("total_ms"), failed);
  if (last.Event == "caller_left")
    return fmt::format("the caller closed the connection after {} ms\n",
                       last.field("waited_ms"));
  if (last.Event == "request_cut")
    return fmt::format("{} closed the connection without a complete answer "
                       "after {} ms: {}\n",
                       last.Vm, last.field("age_ms"), last.field("reason"));
  return fmt::format("no final event; the last one is '{}'\n", last.Event);
}

} // namespace

std::string LogLine::field(const std::string &name) const {
  const auto it = Fields.find(name);
  return it == Fields.end() ? "" : it->second;
}

std::optional<LogLine> parseLogLine(std::string_view text) {
  const auto begin = text.find("time=");
  if (begin == std::string_view::npos)
    return std::nullopt;
  text.remove_prefix(begin);
  while (!text.empty() && (text.back() == '\r' || text.back() == ' '))
    text.remove_suffix(1);
  LogLine line;
  line.Text = text;
  while (!text.empty()) {
    const std::string_view word = text.substr(0, text.find(' '));
    text.remove_prefix(std::min(word.size() + 1, text.size()));
    const auto equals = word.find('=');
    if (equals == std::string_view::npos)
      continue;
    const std::string name(word.substr(0, equals));
    const std::string value(word.substr(equals + 1));
    if (name == "time")
      line.Time = value;
    else if (name == "vm")
      line.Vm = value;
    else if (name == "event")
      line.Event = value;
    else
      line.Fields.emplace(name, value);
  }
  if (line.Vm.empty() || line.Event.empty())
    return std::nullopt;
  return line;
}

void readLog(std::istream &in, std::vector<LogLine> &lines) {
  for (std::string text; std::getline(in, text);)
    if (auto line = parseLogLine(text))
      lines.push_back(*std::move(line));
}

std::string explainRequest(const std::string &id, std::vector<LogLine> lines) {
  std::ranges::stable_sort(lines, {}, &LogLine::Time);
  std::vector<const LogLine *> decisions;
  RequestSubjects subjects;
  for (const LogLine &line : lines)
    if (line.field("request") == id) {
      decisions.push_back(&line);
      subjects.add(line);
    }
  if (decisions.empty())
    return "";
  const std::string &first = decisions.front()->Time;
  const std::string &last = decisions.back()->Time;
  // Last line of each state before the first decision, keyed by VM, event,
  // upstream, and service or domain.
  std::map<std::tuple<std::string, std::string, std::string, std::string>,
           const LogLine *>
      lastStates;
  std::vector<const LogLine *> changes;
  for (const LogLine &line : lines) {
    if (line.Time > last || !subjects.isRelevant(line))
      continue;
    if (line.Time >= first)
      changes.push_back(&line);
    else
      lastStates[{line.Vm, line.Event, line.field("upstream"),
                  line.field("service") + line.field("domain")}] = &line;
  }
  std::vector<const LogLine *> stateBefore;
  std::ranges::transform(lastStates, std::back_inserter(stateBefore),
                         [](const auto &entry) { return entry.second; });
  std::ranges::stable_sort(stateBefore, {},
                           [](const LogLine *line) { return line->Time; });
  return fmt::format("request {}: {}state before:\n{}decisions:\n{}"
                     "changes of state meanwhile:\n{}",
                     id, describeOutcome(decisions), formatLines(stateBefore),
                     formatLines(decisions), formatLines(changes));
}

} // namespace waxwing
