/**
 * @file home_lease_driver.h
 * Runs the home lease manager of each service that this controller leads, and
 * forwards lease requests, responses and home assignments between routers and
 * leaders.
 */
#ifndef WAXWING_CONTROLLER_HOME_LEASE_DRIVER_H
#define WAXWING_CONTROLLER_HOME_LEASE_DRIVER_H

#include "config/team_config_base.h"
#include "controller/link_manager.h"
#include "traffic/home_lease_manager_base.h"

#include <functional>
#include <map>

namespace waxwing {

/// Runs one home lease manager for each service. A home is the router that
/// holds the lease on an upstream's slots or on a partition of a service's
/// idempotency keys. Used on the decision thread only.
class HomeLeaseDriver {
public:
  /// Returns the leadership of a service as known to this controller.
  using LeadershipLookup =
      std::function<ServiceLeadership(const ServiceId &service, Time now)>;

  HomeLeaseDriver(RecordMember self, LinkManager &links,
                  LeadershipLookup lookup);

  /// Updates, from the configuration in force, for which upstreams and
  /// partitions of each service a home lease is given.
  void setConfiguration(const Configuration &config, Time now);
  void tick(Time now);
  void on(const LinkMessageReceived &received, Time now);

private:
  void onMessage(const LinkHello &from, const HomeLeaseRequest &request,
                 Time now);
  void onMessage(const LinkHello &from, const HomeLeaseResponse &response,
                 Time now);
  void onMessage(const LinkHello &from, const HomesUpdate &update, Time now);
  /// Sends the assignment of homes to all routers and controllers if it is
  /// newer than the one known here.
  void publish(const HomesUpdate &update);
  void sendKnownHomes(const LinkHello &peer);
  void send(SendLinkMessage message) {
    Links.commands().push(std::move(message));
  }

  RecordMember Self;
  LinkManager &Links;
  LeadershipLookup LeadershipOf;
  std::map<ServiceId, HomeLeaseManager> LeaseManagers;
  std::map<ServiceId, HomesUpdate> Homes; ///< newest known assignment of homes
};

} // namespace waxwing

#endif
