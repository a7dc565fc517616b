/**
 * @file config_check.cpp
 * Checks of a changed document: addresses, slots, shards and owners.
 */
#include "config/config_check_func.h"

#include "config/team_config_base.h"
#include "config/token_config_base.h"

#include <absl/status/status.h>
#include <algorithm>
#include <fmt/format.h>
#include <map>

namespace waxwing {
namespace {

/// Checks that no two upstreams share an address.
absl::Status checkUniqueAddresses(const TeamConfig &config) {
  std::map<Endpoint, std::string> seen;
  for (const auto &[id, upstream] : config.Upstreams) {
    const auto [it, isNew] = seen.try_emplace(upstream.Address, id.Value);
    if (!isNew)
      return absl::InvalidArgumentError(fmt::format(
          "upstreams {} and {} have the same address {}; give each its own",
          it->second, id.Value, formatEndpoint(upstream.Address)));
  }
  return absl::OkStatus();
}

/// Checks that no service has more slots cold than warm.
absl::Status checkColdSlots(const TeamConfig &config) {
  for (const auto &[id, service] : config.Services)
    if (service.ColdSlots > service.Slots)
      return absl::InvalidArgumentError(fmt::format(
          "service {}: cold_slots = {} is above slots = {}; a cold "
          "upstream cannot execute more requests at a time than a warm one",
          id.Value, service.ColdSlots, service.Slots));
  return absl::OkStatus();
}

/// Checks that divided_by_key and the number of shards of existing services
/// stay the same.
absl::Status checkShardsUnchanged(const TeamConfig &before,
                                  const TeamConfig &next) {
  for (const auto &[id, service] : next.Services) {
    const auto it = before.Services.find(id);
    if (it == before.Services.end())
      continue;
    if (it->second.IsDividedByKey != service.IsDividedByKey)
      return absl::FailedPreconditionError(fmt::format(
          "service {}: divided_by_key is fixed once the service exists; "
          "create a service of another name",
          id.Value));
    if (it->second.ShardCount != service.ShardCount)
      return absl::FailedPreconditionError(fmt::format(
          "service {}: shards = {} is fixed once the service exists, not {}; "
          "create a service of another name",
          id.Value, it->second.ShardCount, service.ShardCount));
  }
  return absl::OkStatus();
}

/// @return whether at least one upstream of the service may own keys, being
///   neither drained nor in a failure domain that is taken out
bool hasEligibleOwner(const TeamConfig &config, const ServiceId &service) {
  return std::ranges::any_of(config.Upstreams, [&](const auto &entry) {
    const UpstreamConfig &upstream = entry.second;
    return upstream.Service == service && !upstream.IsDrained &&
           !config.Domains.at(upstream.Domain).IsTakenOut;
  });
}

/// Checks that each service divided by key keeps an upstream that may own keys,
/// if it had one before the change.
absl::Status checkOwnersRemain(const TeamConfig &before,
                               const TeamConfig &next) {
  for (const auto &[id, service] : next.Services)
    if (service.IsDividedByKey && hasEligibleOwner(before, id) &&
        !hasEligibleOwner(next, id))
      return absl::FailedPreconditionError(fmt::format(
          "service {} would have no upstream left that may own its keys; add "
          "an upstream, end a drain or take another failure domain back first",
          id.Value));
  return absl::OkStatus();
}

absl::Status checkTeamDocument(const TeamId &team, const std::string &before,
                               const std::string &next) {
  const auto config = parseTeamConfig(team, next);
  if (!config.ok())
    return config.status();
  if (absl::Status status = checkUniqueAddresses(*config); !status.ok())
    return status;
  if (absl::Status status = checkColdSlots(*config); !status.ok())
    return status;
  const auto older = parseTeamConfig(team, before);
  if (!older.ok())
    return absl::OkStatus(); // lets a change repair an invalid stored document
  if (absl::Status status = checkShardsUnchanged(*older, *config); !status.ok())
    return status;
  return checkOwnersRemain(*older, *config);
}

} // namespace

absl::Status checkDocument(const DocumentId &document,
                           const std::string &before, const std::string &next) {
  if (next.find('\0') != std::string::npos)
    return absl::InvalidArgumentError("the document contains a NUL byte");
  if (next.size() + MaxHistoryBytes > MaxDocumentBytes)
    return absl::InvalidArgumentError(
        fmt::format("the document would have {} bytes; at most {} are allowed",
                    next.size(), MaxDocumentBytes - MaxHistoryBytes));
  if (document.Kind == DocumentKind::Team)
    return checkTeamDocument(document.Team, before, next);
  return parseTokenConfig(next).status();
}

} // namespace waxwing
