/**
 * @file dispatcher_base.h
 * Decides where and when attempts go: owners, homes, slots, tiers, warm-up
 * and hedges. A state machine without I/O inside RouterCore.
 */
#ifndef WAXWING_TRAFFIC_DISPATCHER_BASE_H
#define WAXWING_TRAFFIC_DISPATCHER_BASE_H

#include "traffic/dispatcher_type.h"

#include <absl/container/flat_hash_map.h>
#include <memory>
#include <random>

namespace waxwing {

/// Every submitted request is followed by one DispatchStart or one
/// DispatchRefuse, unless it is withdrawn first; hedges follow the start.
class Dispatcher {
public:
  /// @param self this router's VM
  Dispatcher(VmId self, std::uint64_t seed);

  void configure(std::shared_ptr<const Configuration> config, Time now);
  void setOwners(std::shared_ptr<const OwnershipRecord> owners, Time now);

  /// See RouterCore::leaseHomes().
  void leaseHomes(Incarnation process, const Endpoint &forward);
  void setHomes(std::shared_ptr<const HomesUpdate> homes, Time now);
  void takeLeases(const HomeAnswer &answer, Time now);
  /// The router shuts down: its homes are given back as they fall idle.
  void leaveHomes();

  void submit(const DispatchRequest &request, Time now);
  /// The request needs no (further) attempt; does nothing when unknown.
  void withdraw(RequestId request, Time now);
  /// Returns an attempt's slot and learns from its end.
  /// @param why None when the upstream answered
  void endAttempt(AttemptId attempt, Reason why, Time now);
  void tick(Time now);

  /// @return decisions made since the last call, in their order
  std::vector<DispatchDecision> takeDecisions();

private:
  struct Attempt {
    RequestId Request;
    UpstreamId Upstream;
    Time StartedAt;
  };

  std::variant<UpstreamTarget, Reason> choose(const DispatchRequest &request);
  std::variant<UpstreamTarget, Reason>
  chooseOwner(const TeamConfig &team, const DispatchRequest &request) const;
  const TeamConfig *findTeam(const TeamId &team) const;

  VmId Self;
  std::mt19937_64 Random;
  std::shared_ptr<const Configuration> Config;
  absl::flat_hash_map<ServiceId, std::shared_ptr<const OwnershipRecord>> Owners;
  absl::flat_hash_map<AttemptId, Attempt> Attempts;
  absl::flat_hash_map<UpstreamId, int> InFlight;
  std::uint64_t NextAttempt = 1;
  std::vector<DispatchDecision> Decisions;
};

} // namespace waxwing

#endif
