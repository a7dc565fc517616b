/**
 * @file order_book_base.h
 * The orders of one leader (or deputy) to each upstream, and what the
 * upstreams answered.
 */
#ifndef WAXWING_OWNERSHIP_ORDER_BOOK_BASE_H
#define WAXWING_OWNERSHIP_ORDER_BOOK_BASE_H

#include "ownership/ownership_leader_type.h"

namespace waxwing {

/// What is known of one upstream, and the last order to it.
struct UpstreamOrders {
  UpstreamDefinition Definition;
  std::optional<Incarnation> Current; ///< of its newest answer
  UpstreamTime Reading;               ///< greatest told by Current
  Time AnsweredAt;                    ///< when Reading arrived
  Time AliveSince;                    ///< it has answered since without a pause
  Revision HeldRecord;    ///< of the stamp that Current told to hold
  bool HasReport = false; ///< Current told its set since begin()
  GrantSet Granted;       ///< what it should hold
  GrantSet Sent;          ///< set of the order SentStamp
  GrantStamp SentStamp;
  bool IsAcknowledged = false; ///< Current accepted SentStamp
  Revision LeastStamp;         ///< orders must carry this revision at least
  Time NextSend;
  Time RightsEnd; ///< when every right that this process gave ends
};

/// Orders go out under increasing stamps. Each extends rights by the grant
/// term from the upstream's own reading.
class OrderBook {
public:
  OrderBook(ServiceId service, const OwnershipParameters &terms)
      : Service(std::move(service)), Parameters(terms) {}

  /// Takes the upstreams of the configuration; others are leaving.
  void define(const std::vector<UpstreamDefinition> &definitions, Time now);
  /// Begins a new sequence of orders as the member with index @p member.
  /// @param isFirst false when this process sent orders until now, so that
  ///   upstreams have had the time to answer
  void begin(const OwnershipRecord &record, std::size_t member, bool isFirst,
             Time now);
  /// Notes owners that the configuration does not name.
  void addOwners(const OwnershipRecord &record, Time now);
  /// Sets what an upstream should hold.
  void grant(const UpstreamId &to, GrantSet set, Time now);
  /// Makes the next order to an upstream carry at least this revision.
  void raiseStamp(const UpstreamId &to, Revision record, Time now);

  /// Takes an answer.
  /// @return the set told, when it is news of this upstream's process
  const GrantSet *take(const GrantAnswer &answer, Time now);

  /// Sends what is due to each upstream.
  /// @param isConfirmed whether orders may be based on @p record
  void sendDue(Revision record, bool isConfirmed, Time now,
               std::vector<OwnershipAction> &actions);
  /// The same for one upstream.
  void sendDue(const UpstreamId &to, Revision record, bool isConfirmed,
               Time now, std::vector<OwnershipAction> &actions);

  const std::map<UpstreamId, UpstreamOrders> &upstreams() const {
    return Upstreams;
  }
  const UpstreamOrders *find(const UpstreamId &id) const;
  /// @return whether it has answered within the suspicion time
  bool isAlive(const UpstreamOrders &upstream, Time now) const {
    return upstream.Current &&
           now <= upstream.AnsweredAt + Parameters.Suspicion;
  }
  /// @return whether it has had the time to answer and did not
  bool isLost(const UpstreamOrders &upstream, Time now) const {
    return now > std::max(upstream.AnsweredAt, BeganAt) + Parameters.Suspicion;
  }
  /// @return whether each upstream acknowledged what it should hold
  bool isSettled(Time now) const;
  Time rightsEnd(const UpstreamId &id) const;

private:
  void send(UpstreamOrders &upstream, Revision record, bool isConfirmed,
            Time now, std::vector<OwnershipAction> &actions);
  GrantStamp nextStamp(const UpstreamOrders &upstream, Revision record) const;

  ServiceId Service;
  OwnershipParameters Parameters;
  std::map<UpstreamId, UpstreamOrders> Upstreams;
  std::size_t Member = 0;
  Time BeganAt;
};

} // namespace waxwing

#endif
