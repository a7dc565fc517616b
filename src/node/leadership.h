/**
 * @file leadership.h
 * The leader's duties under its lease in the store: range maps are written
 * there, grants and releases go to upstreams.
 */
#ifndef WAXWING_NODE_LEADERSHIP_H
#define WAXWING_NODE_LEADERSHIP_H

#include "node/call_client.h"
#include "node/node_clock.h"
#include "node/store_health.h"
#include "ranges/range_leader_base.h"
#include "routing/route_table.h"
#include "routing/upstream_table.h"
#include "settings/node_settings_base.h"

#include <array>

namespace waxwing {

struct LeadershipCounters {
  std::uint64_t OrdersSent = 0;
  std::array<std::uint64_t, OrderOutcomeNames.size()> Outcomes{};
  std::uint64_t MapsWritten = 0;
  std::uint64_t Elections = 0; ///< attempts of this VM
};

class Leadership {
public:
  Leadership(boost::asio::io_context &loop, const NodeSettings &settings,
             CallClient &calls, StoreHealth &health, UpstreamTable &upstreams);

  /// @return true when some service needs a leader
  bool isWanted() const { return !Divided.empty(); }
  bool isLeading() const { return Term != 0; }
  bool isElecting() const { return IsElecting; }
  /// Opens a lease and writes the leader's key if there is none.
  void tryLead(const VmId &self, const Endpoint &address);
  /// Services, upstreams or evacuations have changed.
  void onBeliefsChanged(const RouteTable &config);
  /// A request for @p key arrived at some VM.
  void recordKeyRequest(const ServiceId &service, std::uint16_t key);
  /// Stops at once and ends the lease, so that another VM can lead.
  void resign(std::string_view why);

  const LeadershipCounters &counters() const { return Counters; }
  std::uint64_t storeCalls() const { return StoreCalls; }

  /// Leadership began; the argument is the revision of the leader's key.
  std::function<void(std::uint64_t)> OnLeading;
  std::function<void()> OnEnded;
  /// A service's map was stored: the one before, and the new one.
  std::function<void(const ServiceId &, const RangeMap &, const RangeMap &)>
      OnMap;

private:
  /// A call without an answer for this long counts as unanswered.
  static constexpr Duration CallTimeout = milliseconds(1500);

  void storeCall(const platform::HttpCall &call, CallClient::Callback callback,
                 Duration timeout = CallTimeout);
  /// Calls @p what after a pause if this leadership still lasts.
  void retryLater(std::function<void()> what);
  bool isLeaseValid(Time now) const { return now < LeaseValidUntil; }
  void writeLeaderKey(const VmId &self, const Endpoint &address);
  void keepLease();
  void end(std::string_view why);
  void loadMaps();
  void lead();
  void runService(const ServiceId &service, RangeLeader &ranges, Time now);
  void writeMap(const ServiceId &service, const RangeMap &map);
  void readMap(const ServiceId &service);
  void publish(const ServiceId &service, const RangeMap &map);
  void sendOrder(const ServiceId &service, const RangeOrder &order);
  void onOrder(const ServiceId &service, const RangeOrder &order,
               const CallResult &result);
  std::vector<RangeUpstream> rangeUpstreams(const ServiceId &service,
                                            const RangeMap &map, Time now);
  void noteRefusal(const RangeOrder &order, Time now);
  void markUpstreamDead(const RangeOrder &order, Time now,
                        std::string_view why);

  boost::asio::io_context &Loop;
  CallClient &Calls;
  StoreHealth &Health;
  UpstreamTable &Upstreams;
  Endpoint Store;
  RangeTimings Terms;
  Duration LeaseTerm;
  DeadlineTimer KeepTimer;
  DeadlineTimer LeadTimer;

  std::uint64_t Lease = 0; ///< 0: none
  Time LeaseValidUntil;    ///< the store keeps it at least until then
  std::uint64_t Term = 0;  ///< revision of the leader's key; 0: not leading
  bool IsElecting = false;
  bool AreMapsLoaded = false;
  std::map<ServiceId, RangeMap> Maps; ///< as stored last
  std::map<ServiceId, RangeLeader> Leaders;
  std::set<ServiceId> Divided; ///< services divided by key
  /// First refusal of a connection in a row, by upstream and life.
  std::map<std::pair<UpstreamId, std::int64_t>, Time> RefusedSince;
  std::set<std::pair<UpstreamId, std::int64_t>> DeadLives;
  LeadershipCounters Counters;
  std::uint64_t StoreCalls = 0;
};

} // namespace waxwing

#endif
