/**
 * @file team_config_base.h
 * Typed configuration of a team: services, upstreams, failure domains, tiers
 * and callers.
 */
#ifndef WAXWING_CONFIG_TEAM_CONFIG_BASE_H
#define WAXWING_CONFIG_TEAM_CONFIG_BASE_H

#include "core/endpoint_type.h"
#include "core/id_type.h"
#include "core/time_type.h"

#include <absl/status/statusor.h>
#include <map>
#include <memory>
#include <string>

namespace waxwing {

struct DomainConfig {
  bool IsTakenOut = false;
};

struct TierConfig {
  int Weight = 1;
  std::size_t QueueLimit = 64; ///< largest number of queued requests
};

struct CallerConfig {
  TierId Tier;
  /// SHA-256 of the caller's API key, in lower-case hexadecimal.
  std::string KeySha256;
};

struct ServiceConfig {
  bool IsDividedByKey = false;
  std::uint32_t ShardCount = 0;   ///< 0 unless divided by key
  int Slots = 4;                  ///< concurrent requests of one warm upstream
  int ColdSlots = 1;              ///< concurrent requests of one cold upstream
  Duration WarmUp{};              ///< time from cold to warm
  Duration Timeout{};             ///< default deadline of a request
  bool ChecksOrders = true;       ///< upstreams reject outdated grant orders
  Duration IdempotencyLifetime{}; ///< how long idempotency keys are remembered
};

struct UpstreamConfig {
  ServiceId Service;
  Endpoint Address;
  DomainId Domain;
  bool IsDrained = false;
};

/// Configuration of one team.
/// Invariant: each tier, service and domain that an entry refers to exists.
/// Ids of services and upstreams include the team's name: "team/name".
struct TeamConfig {
  TeamId Team;
  std::map<DomainId, DomainConfig> Domains;
  std::map<TierId, TierConfig> Tiers;
  std::map<CallerId, CallerConfig> Callers;
  std::map<ServiceId, ServiceConfig> Services;
  std::map<UpstreamId, UpstreamConfig> Upstreams;
};

/// A team's stored text and its revision.
struct TeamDocument {
  TeamId Team;
  Revision Rev;
  std::string Text;
  bool operator==(const TeamDocument &) const = default;
};

/// Parses a team's stored text and checks its values and references.
/// @return the configuration, or InvalidArgument with team, line, section, key
///   and the allowed values
absl::StatusOr<TeamConfig> parseTeamConfig(const TeamId &team,
                                           const std::string &text);

/// @return "team/name"
template <class Id> Id qualify(const TeamId &team, const std::string &name) {
  return Id(team.Value + "/" + name);
}

/// The team configurations in use on one VM.
/// Invariant: a team's revision never decreases.
class Configuration {
public:
  /// Parses a document and uses it if it is newer than the current one.
  /// @return whether it was newer; InvalidArgument if it is newer but invalid,
  ///   in which case the current one stays in use
  absl::StatusOr<bool> apply(const TeamDocument &document);

  const std::map<TeamId, TeamConfig> &teams() const { return Teams; }
  const std::map<TeamId, TeamDocument> &documents() const { return Documents; }
  /// @return whether no document has been applied yet
  bool isEmpty() const { return Documents.empty(); }

private:
  std::map<TeamId, TeamConfig> Teams;
  std::map<TeamId, TeamDocument> Documents;
};

} // namespace waxwing

#endif
