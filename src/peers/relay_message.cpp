/**
 * @file relay_message.cpp
 * Each message is one field: numbers separated by spaces, then a name.
 */
#include "peers/relay_message.h"

#include "table/reasons.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <iterator>

namespace waxwing {
namespace {

constexpr std::string_view RequestName = "Waxwing-Relay-Request";
constexpr std::string_view ResultName = "Waxwing-Relay-Result";
/// A field of its own, which VMs of earlier versions do not know.
constexpr std::string_view CallerName = "Waxwing-Relay-Caller";
constexpr std::size_t MaxCallerSize = 64;
constexpr std::size_t RequestNumbers = 6;
constexpr std::size_t ResultNumbers = 6;
/// Longer durations are malformed.
constexpr Duration MaxDuration = std::chrono::hours(24);
constexpr int MinServerError = 500;
constexpr int MaxCount = 1000000;

absl::string_view view(std::string_view text) {
  return {text.data(), text.size()};
}

/// Numbers at the front of a field, and the text behind them.
template <std::size_t Count> struct FieldParts {
  std::array<std::uint64_t, Count> Numbers{};
  std::string Name;
};

/// @return the parts of the only field called @p name, or nullopt
template <std::size_t Count>
std::optional<FieldParts<Count>> readField(const http::Fields &fields,
                                           std::string_view name) {
  const auto isNamed = [&](const auto &field) {
    return absl::EqualsIgnoreCase(field.first, view(name));
  };
  if (std::ranges::count_if(fields, isNamed) != 1)
    return std::nullopt;
  const std::string &value = *http::findField(fields, name);
  const std::vector<absl::string_view> parts =
      absl::StrSplit(value, absl::MaxSplits(' ', Count));
  FieldParts<Count> result;
  for (std::size_t n = 0; n < Count; ++n)
    if (n >= parts.size() || !absl::SimpleAtoi(parts[n], &result.Numbers[n]))
      return std::nullopt;
  if (parts.size() > Count)
    result.Name = std::string(parts[Count]);
  return result;
}

std::optional<Duration> toDuration(std::uint64_t microseconds) {
  if (microseconds > static_cast<std::uint64_t>(MaxDuration.count()))
    return std::nullopt;
  return Duration(static_cast<Duration::rep>(microseconds));
}

std::uint64_t toNumber(Duration duration) {
  return static_cast<std::uint64_t>(
      std::clamp(duration, Duration(), MaxDuration).count());
}

} // namespace

bool isRelayField(std::string_view name) {
  return absl::EqualsIgnoreCase(view(name), view(RequestName)) ||
         absl::EqualsIgnoreCase(view(name), view(ResultName)) ||
         absl::EqualsIgnoreCase(view(name), view(CallerName));
}

void appendRelayRequest(std::string &head, const RelayRequest &request) {
  fmt::format_to(std::back_inserter(head), "{}: {} {} {} {} {} {} {}\r\n",
                 RequestName, request.Number, static_cast<int>(request.Kind),
                 std::clamp(request.Priority, 0, MaxCount),
                 toNumber(request.TargetLatency), toNumber(request.TimeLeft),
                 toNumber(request.CallerTimeLeft), request.Service.Value);
  if (!request.Caller.empty() && request.Caller.size() <= MaxCallerSize)
    fmt::format_to(std::back_inserter(head), "{}: {}\r\n", CallerName,
                   request.Caller);
}

void appendRelayResult(std::string &head, const RelayResult &result) {
  fmt::format_to(std::back_inserter(head), "{}: {} {} {} {} {} {} {}\r\n",
                 ResultName, result.Number, static_cast<int>(result.Execution),
                 static_cast<int>(result.Cause),
                 std::clamp(result.Deliveries, 0, MaxCount),
                 toNumber(result.RetryAfter), result.Upstream.StartedAtMs,
                 result.Upstream.Id.Value);
}

std::optional<RelayRequest> readRelayRequest(const http::Fields &fields) {
  const auto parts = readField<RequestNumbers>(fields, RequestName);
  if (!parts || parts->Name.empty())
    return std::nullopt;
  const auto &[number, kind, priority, target, left, callerLeft] =
      parts->Numbers;
  const auto targetLatency = toDuration(target);
  const auto timeLeft = toDuration(left);
  const auto callerTimeLeft = toDuration(callerLeft);
  if (kind > static_cast<std::uint64_t>(RequestKind::Upload) ||
      priority > MaxCount || !targetLatency || !timeLeft || !callerTimeLeft ||
      left == 0 || callerLeft < left)
    return std::nullopt;
  const std::string *caller = http::findField(fields, CallerName);
  return RelayRequest{
      number,
      ServiceId(parts->Name),
      static_cast<RequestKind>(kind),
      static_cast<int>(priority),
      *targetLatency,
      *timeLeft,
      *callerTimeLeft,
      caller != nullptr && caller->size() <= MaxCallerSize ? *caller : ""};
}

std::optional<RelayResult> readRelayResult(const http::Fields &fields) {
  const auto parts = readField<ResultNumbers>(fields, ResultName);
  if (!parts)
    return std::nullopt;
  const auto &[number, execution, cause, deliveries, retryAfter, startedAtMs] =
      parts->Numbers;
  const auto delay = toDuration(retryAfter);
  if (execution > static_cast<std::uint64_t>(Verdict::MayHaveRun) ||
      cause >= ReasonCount || deliveries > MaxCount || !delay)
    return std::nullopt;
  // The caller gets the status of the cause, which must not blame its request.
  if (static_cast<Verdict>(execution) != Verdict::Ran &&
      reasonInfo(static_cast<Reason>(cause)).HttpStatus < MinServerError)
    return std::nullopt;
  return RelayResult{
      number,
      static_cast<Verdict>(execution),
      static_cast<Reason>(cause),
      static_cast<int>(deliveries),
      *delay,
      {UpstreamId(parts->Name), static_cast<std::int64_t>(startedAtMs)}};
}

} // namespace waxwing
