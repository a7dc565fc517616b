/**
 * @file grant_orders_base.h
 * The grant orders of a leader, or of a deputy (a witness that renews grants in
 * the leader's place), to each upstream, and the responses of the upstreams.
 */
#ifndef WAXWING_OWNERSHIP_GRANT_ORDERS_BASE_H
#define WAXWING_OWNERSHIP_GRANT_ORDERS_BASE_H

#include "ownership/ownership_leader_type.h"

namespace waxwing {

/// State of one upstream and of the last order to it.
struct UpstreamOrders {
  UpstreamDefinition Definition;
  std::optional<Incarnation> Current; ///< incarnation in its newest response
  UpstreamTime Reading;   ///< latest clock reading reported by Current
  Time AnsweredAt;        ///< when Reading arrived
  Time AliveSince;        ///< since when Current responds without interruption
  Revision HeldRecord;    ///< record revision of the grants that Current holds
  bool HasReport = false; ///< Current reported its grants since begin()
  GrantSet Granted;       ///< grants that the upstream should hold
  GrantSet Sent;          ///< grants in the order with SentStamp
  GrantStamp SentStamp;   ///< stamp of the last order
  bool IsAcknowledged = false; ///< Current accepted SentStamp
  /// Minimum record revision of further orders to this upstream.
  Revision MinRecord;
  Time NextSend;
  Time RightsEnd; ///< end of all grants by this process to the upstream
};

/// Sends grant orders with increasing stamps. The deadline of an order is the
/// upstream's last clock reading plus the grant term.
class GrantOrders {
public:
  GrantOrders(ServiceId service, const OwnershipParameters &parameters)
      : Service(std::move(service)), Parameters(parameters) {}

  /// Sets the upstreams of the configuration; all others count as leaving.
  void define(const std::vector<UpstreamDefinition> &definitions, Time now);
  /// Begins a new sequence of orders as the member with index @p member.
  /// @param isFirst false if this process was already sending orders, so that
  ///   upstreams have had enough time to respond
  void begin(const OwnershipRecord &record, std::size_t member, bool isFirst,
             Time now);
  /// Adds owners in @p record that the configuration does not name, as leaving.
  void addOwners(const OwnershipRecord &record, Time now);
  /// Sets the units that an upstream should hold.
  void grant(const UpstreamId &to, GrantSet set, Time now);
  /// Requires at least this record revision in further orders to an upstream.
  void requireRevision(const UpstreamId &to, Revision record, Time now);

  /// Processes a response.
  /// @return the grants that the upstream reported; null if the upstream is
  ///   unknown, or the response is outdated or reports none
  const GrantSet *processAnswer(const GrantAnswer &answer, Time now);

  /// Sends the due order or query to each upstream.
  /// @param isConfirmed whether orders may be sent under @p record
  void sendIfDue(Revision record, bool isConfirmed, Time now,
                 std::vector<OwnershipAction> &actions);
  /// Sends the due order or query to one upstream.
  void sendIfDue(const UpstreamId &to, Revision record, bool isConfirmed,
                 Time now, std::vector<OwnershipAction> &actions);

  const std::map<UpstreamId, UpstreamOrders> &upstreams() const {
    return Upstreams;
  }
  const UpstreamOrders *find(const UpstreamId &id) const;
  /// @return whether the upstream has responded within the suspicion time
  bool isAlive(const UpstreamOrders &upstream, Time now) const {
    return upstream.Current &&
           now <= upstream.AnsweredAt + Parameters.Suspicion;
  }
  /// @return whether the upstream had enough time to respond but did not
  bool isLost(const UpstreamOrders &upstream, Time now) const {
    return now > std::max(upstream.AnsweredAt, BeganAt) + Parameters.Suspicion;
  }
  /// @return whether each live upstream has accepted the grants it should hold
  bool isAllAcknowledged(Time now) const;
  /// @return when all grants by this process to an upstream end
  Time rightsEnd(const UpstreamId &id) const;

private:
  void send(UpstreamOrders &upstream, Revision record, bool isConfirmed,
            Time now, std::vector<OwnershipAction> &actions);
  GrantStamp nextStamp(const UpstreamOrders &upstream, Revision record) const;

  ServiceId Service;
  OwnershipParameters Parameters;
  std::map<UpstreamId, UpstreamOrders> Upstreams;
  std::size_t Member = 0; ///< index of this process in the record
  Time BeganAt;
};

} // namespace waxwing

#endif
