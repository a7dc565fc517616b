/**
 * @file config_check.cpp
 * Limits, sums and references of documents.
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

absl::Status checkAddresses(const TeamConfig &config) {
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

absl::Status checkSlots(const TeamConfig &config) {
  for (const auto &[id, service] : config.Services)
    if (service.ColdSlots > service.Slots)
      return absl::InvalidArgumentError(fmt::format(
          "service {}: cold_slots = {} is above slots = {}; an upstream just "
          "started bears no more than a warm one",
          id.Value, service.ColdSlots, service.Slots));
  return absl::OkStatus();
}

/// Shards and their number are fixed while the service exists.
absl::Status checkShards(const TeamConfig &before, const TeamConfig &next) {
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

/// @return whether some upstream of the service may own keys
bool hasOwner(const TeamConfig &config, const ServiceId &service) {
  return std::ranges::any_of(config.Upstreams, [&](const auto &entry) {
    const UpstreamConfig &upstream = entry.second;
    return upstream.Service == service && !upstream.IsDrained &&
           !config.Domains.at(upstream.Domain).IsTakenOut;
  });
}

absl::Status checkOwners(const TeamConfig &before, const TeamConfig &next) {
  for (const auto &[id, service] : next.Services)
    if (service.IsDividedByKey && hasOwner(before, id) && !hasOwner(next, id))
      return absl::FailedPreconditionError(fmt::format(
          "service {} would have no upstream left that may own its keys; add "
          "an upstream, end a drain or take another failure domain back first",
          id.Value));
  return absl::OkStatus();
}

absl::Status checkTeam(const TeamId &team, const std::string &before,
                       const std::string &next) {
  const auto config = parseTeamConfig(team, next);
  if (!config.ok())
    return config.status();
  if (absl::Status status = checkAddresses(*config); !status.ok())
    return status;
  if (absl::Status status = checkSlots(*config); !status.ok())
    return status;
  const auto older = parseTeamConfig(team, before);
  if (!older.ok())
    return absl::OkStatus(); // a faulty text in the store may be repaired
  if (absl::Status status = checkShards(*older, *config); !status.ok())
    return status;
  return checkOwners(*older, *config);
}

} // namespace

absl::Status checkDocument(const DocumentId &document,
                           const std::string &before, const std::string &next) {
  if (next.find('\0') != std::string::npos)
    return absl::InvalidArgumentError("the document holds a NUL byte");
  if (next.size() + HistoryBytes > DocumentBytes)
    return absl::InvalidArgumentError(
        fmt::format("the document would have {} bytes; at most {} are allowed",
                    next.size(), DocumentBytes - HistoryBytes));
  if (document.Kind == DocumentKind::Team)
    return checkTeam(document.Team, before, next);
  return parseTokenConfig(next).status();
}

} // namespace waxwing
