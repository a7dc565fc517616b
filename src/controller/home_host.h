/**
 * @file home_host.h
 * Runs the home lessor of each service that this controller leads, and
 * carries questions, answers and published homes between routers and
 * leaders.
 */
#ifndef WAXWING_CONTROLLER_HOME_HOST_H
#define WAXWING_CONTROLLER_HOME_HOST_H

#include "config/team_config_base.h"
#include "controller/link_port.h"
#include "traffic/home_lease_manager_base.h"

#include <functional>
#include <map>

namespace waxwing {

/// Used on the decision thread only.
class HomeHost {
public:
  /// Tells who leads a service, as this controller knows it.
  using Lead =
      std::function<ServiceLeadership(const ServiceId &service, Time now)>;

  HomeHost(RecordMember self, LinkPort &links, Lead lead);

  /// The configuration in force changed.
  void define(const Configuration &config, Time now);
  void tick(Time now);
  void on(const LinkReceived &received, Time now);

private:
  void onMessage(const LinkHello &from, const HomeLeaseRequest &ask, Time now);
  void onMessage(const LinkHello &from, const HomeLeaseResponse &answer,
                 Time now);
  void onMessage(const LinkHello &from, const HomesUpdate &update, Time now);
  /// Passes newer homes on to routers and other controllers.
  void publish(const HomesUpdate &update);
  void greet(const LinkHello &peer);
  void send(LinkSend message) { Links.commands().push(std::move(message)); }

  RecordMember Self;
  LinkPort &Links;
  Lead LeadershipOf;
  std::map<ServiceId, HomeLeaseManager> Lessors;
  std::map<ServiceId, HomesUpdate> Homes; ///< newest known
};

} // namespace waxwing

#endif
