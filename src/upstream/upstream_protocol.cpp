/**
 * @file upstream_protocol.cpp
 * Encodes and decodes grant orders, and classifies the outcome of exchanges.
 */
#include "upstream/upstream_protocol.h"

#include "table/reasons.h"

#include <absl/status/status.h>
#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace waxwing {
namespace {

using Json = nlohmann::json;

/// Reasons that an upstream may state in its refusal; each proves that the
/// request was not executed.
constexpr std::array UpstreamRefusals{
    Reason::UpstreamShed, Reason::UpstreamDraining, Reason::UpstreamCold,
    Reason::WrongToken,   Reason::GrantLapsed,      Reason::DeadlinePassed};

Json encodeGrantSet(const GrantSet &set) {
  Json units = Json::array();
  for (const GrantedUnit &unit : set.Units) {
    const auto *shard = std::get_if<ShardId>(&unit.Unit);
    const std::uint64_t number =
        shard != nullptr ? shard->Value : std::get<KeyHash>(unit.Unit).Value;
    units.push_back({shard != nullptr ? 0 : 1, number, unit.Fence.Value});
  }
  Json excluded = Json::array();
  for (const KeyHash &key : set.Excluded)
    excluded.push_back(key.Value);
  return Json::array({units, excluded});
}

GrantSet decodeGrantSet(const Json &json) {
  GrantSet set;
  for (const Json &row : json.at(0)) {
    const auto number = row.at(1).get<std::uint64_t>();
    const OwnedUnit unit =
        row.at(0).get<int>() == 0
            ? OwnedUnit(ShardId(static_cast<std::uint32_t>(number)))
            : OwnedUnit(KeyHash(number));
    set.Units.push_back({unit, FencingToken(row.at(2).get<std::uint64_t>())});
  }
  for (const Json &key : json.at(1))
    set.Excluded.emplace_back(key.get<std::uint64_t>());
  return set;
}

std::optional<GrantSet> decodeOptionalGrantSet(const Json &json) {
  return json.is_null() ? std::nullopt : std::optional(decodeGrantSet(json));
}

Json encodeOptionalGrantSet(const std::optional<GrantSet> &set) {
  return set ? encodeGrantSet(*set) : Json();
}

UpstreamTime decodeUpstreamTime(const Json &json) {
  return UpstreamTime(Duration(json.get<std::int64_t>()));
}

/// @return the result of @p decode, or InvalidArgument when it throws
template <class F>
auto decodeOrError(const char *what, F &&decode)
    -> absl::StatusOr<decltype(decode())> {
  try {
    return std::forward<F>(decode)();
  } catch (const std::exception &error) {
    return absl::InvalidArgumentError(std::string(what) + ": " + error.what());
  }
}

} // namespace

std::string formatUnit(const OwnedUnit &unit) {
  if (const auto *shard = std::get_if<ShardId>(&unit))
    return "shard:" + std::to_string(shard->Value);
  return "key:" + std::to_string(std::get<KeyHash>(unit).Value);
}

std::optional<OwnedUnit> parseUnit(std::string_view text) {
  const auto colon = text.find(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  std::uint64_t n = 0;
  const char *last = text.data() + text.size();
  const auto [end, ec] = std::from_chars(text.data() + colon + 1, last, n);
  if (ec != std::errc() || end != last)
    return std::nullopt;
  if (text.substr(0, colon) == "shard")
    return ShardId(static_cast<std::uint32_t>(n));
  if (text.substr(0, colon) == "key")
    return KeyHash(n);
  return std::nullopt;
}

std::string encodeOrder(const std::optional<GrantOrder> &order) {
  Json json;
  if (order)
    json = {order->Service.Value,
            order->Stamp.Record.Value,
            order->Stamp.Sequence,
            order->Target.Value,
            order->Deadline.time_since_epoch().count(),
            encodeOptionalGrantSet(order->Set)};
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

absl::StatusOr<std::optional<GrantOrder>>
decodeOrder(const std::string &bytes) {
  return decodeOrError("grant order", [&]() -> std::optional<GrantOrder> {
    const Json json = Json::from_cbor(bytes);
    if (json.is_null())
      return std::nullopt;
    return GrantOrder{ServiceId(json.at(0).get<std::string>()),
                      {Revision(json.at(1).get<std::uint64_t>()),
                       json.at(2).get<std::uint64_t>()},
                      Incarnation(json.at(3).get<std::uint64_t>()),
                      decodeUpstreamTime(json.at(4)),
                      decodeOptionalGrantSet(json.at(5))};
  });
}

std::string encodeGrantAnswer(const GrantAnswer &answer) {
  const Json json{answer.From.Value,
                  answer.Current.Value,
                  answer.Reading.time_since_epoch().count(),
                  answer.Held.Record.Value,
                  answer.Held.Sequence,
                  answer.HeldUntil.time_since_epoch().count(),
                  answer.Accepted,
                  encodeOptionalGrantSet(answer.Set)};
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

absl::StatusOr<GrantAnswer> decodeGrantAnswer(const std::string &bytes) {
  return decodeOrError("grant answer", [&] {
    const Json json = Json::from_cbor(bytes);
    return GrantAnswer{UpstreamId(json.at(0).get<std::string>()),
                       Incarnation(json.at(1).get<std::uint64_t>()),
                       decodeUpstreamTime(json.at(2)),
                       {Revision(json.at(3).get<std::uint64_t>()),
                        json.at(4).get<std::uint64_t>()},
                       decodeUpstreamTime(json.at(5)),
                       json.at(6).get<bool>(),
                       decodeOptionalGrantSet(json.at(7))};
  });
}

namespace {

/// @return what an exchange without a complete response proves about the
///   execution of its request
AttemptClassification classifyIncompleteExchange(HttpProgress progress) {
  switch (progress) {
  case HttpProgress::NotConnected:
    return {Reason::ConnectFailed, Verdict::NotRun};
  case HttpProgress::PoolExhausted:
  case HttpProgress::NotSent:
    return {Reason::SendFailed, Verdict::NotRun};
  case HttpProgress::CancelledUnsent:
    return {Reason::Cancelled, Verdict::NotRun};
  case HttpProgress::Sent:
    return {Reason::ConnectionLost, Verdict::MayHaveRun};
  case HttpProgress::ResponseTruncated:
    return {Reason::CutOffAnswer, Verdict::MayHaveRun};
  case HttpProgress::Cancelled:
    return {Reason::Cancelled, Verdict::MayHaveRun};
  case HttpProgress::TimedOut:
    return {Reason::UpstreamTimeout, Verdict::MayHaveRun};
  case HttpProgress::Answered:
    break;
  }
  return {Reason::None, Verdict::Ran};
}

/// @return value of the Retry-After header, or 0 when absent or invalid
Duration readRetryAfter(const HttpHeaders &headers) {
  std::int64_t n = 0;
  const std::string_view text = headers.find("Retry-After");
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), n);
  return ec == std::errc() && n > 0 ? Duration(seconds(n)) : Duration();
}

} // namespace

AttemptClassification classifyUpstreamOutcome(const HttpOutcome &outcome,
                                              std::string_view expectedId) {
  if (outcome.Progress != HttpProgress::Answered)
    return classifyIncompleteExchange(outcome.Progress);
  const HttpHeaders &headers = outcome.Response.Headers;
  if (headers.find(RequestIdHeader) != expectedId)
    return {Reason::CrossedAnswer, Verdict::MayHaveRun};
  const std::string_view refusal = headers.find(RefusalHeader);
  const auto *const it =
      std::ranges::find_if(UpstreamRefusals, [&](Reason reason) {
        return reasonInfo(reason).Name == refusal;
      });
  if (it == UpstreamRefusals.end())
    return {Reason::None, Verdict::Ran};
  return {*it, Verdict::NotRun};
}

AttemptClassification classifyRouterOutcome(const HttpOutcome &outcome,
                                            std::string_view expectedId) {
  if (outcome.Progress != HttpProgress::Answered)
    return classifyIncompleteExchange(outcome.Progress);
  const HttpHeaders &headers = outcome.Response.Headers;
  if (headers.find(RequestIdHeader) != expectedId)
    return {Reason::CrossedAnswer, Verdict::MayHaveRun};
  const auto verdict =
      std::ranges::find(VerdictNames, headers.find(VerdictHeader));
  if (verdict == VerdictNames.end())
    return {Reason::CutOffAnswer, Verdict::MayHaveRun};
  const auto proven = static_cast<Verdict>(verdict - VerdictNames.begin());
  if (proven == Verdict::Ran)
    return {Reason::None, Verdict::Ran};
  const auto info = std::ranges::find(ReasonTable, headers.find(ReasonHeader),
                                      &ReasonInfo::Name);
  const bool isKnown = info != ReasonTable.end() && info->Id != Reason::None;
  const Reason reason = isKnown ? info->Id : Reason::ForwardRefused;
  return {reason, proven, readRetryAfter(headers)};
}

} // namespace waxwing
