/**
 * @file ownership_leader_type.h
 * Events and actions of the ownership state machine that each controller
 * runs for each service.
 */
#ifndef WAXWING_OWNERSHIP_OWNERSHIP_LEADER_TYPE_H
#define WAXWING_OWNERSHIP_OWNERSHIP_LEADER_TYPE_H

#include "ownership/ownership_record_base.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace waxwing {

/// What a renewal has to be confirmed by. All but WitnessMajority stand for
/// alternatives that the benchmark compares.
enum class ConfirmationPolicy : std::uint8_t {
  WitnessMajority, ///< the store or a majority of the record's members
  StoreOnly,       ///< the store alone
  Unconfirmed,     ///< nothing; unsafe
};

/// Deliberate faults, each of which the fuzz test must find. Never set in
/// production.
struct OwnershipFaults {
  bool HasNoDriftBound = false;   ///< waits ignore that clocks drift
  bool KeepsToken = false;        ///< a move does not raise the token
  bool SkipsTakeoverWait = false; ///< rights by earlier leaders count as ended
  bool RewritesBlindly = false;   ///< a lost answer leads to a second write
  bool IgnoresFence = false;      ///< witnesses confirm old revisions
  bool ForgetsFormer = false;     ///< only the last former members count
  bool HasDeadlineFromReceipt = false; ///< upstreams count the term themselves
};

/// Parameters and bounds, from the settings table.
struct OwnershipParameters {
  Duration Heartbeat;        ///< between renewals and between confirmations
  Duration GrantTerm;        ///< a grant ends this long after its reading
  Duration ConfirmationTerm; ///< validity of a confirmation from its request
  Duration Suspicion;        ///< silence after which a peer is suspected
  std::int64_t DriftPpm = 0; ///< bound on the relative rate of two clocks
  ConfirmationPolicy Policy = ConfirmationPolicy::WitnessMajority;
  OwnershipFaults Faults;

  /// @return time until the next renewal or round: a tick comes at least
  ///   every half heartbeat, and none may slip to the third
  Duration renewalPeriod() const { return Heartbeat * 3 / 4; }
  /// @return a wait here that covers @p span by any other clock
  Duration covering(Duration span) const {
    return Faults.HasNoDriftBound ? span : addClockDrift(span, DriftPpm);
  }
};

/// An upstream as the configuration and the VM list describe it.
struct UpstreamDefinition {
  UpstreamId Id;
  DomainId Domain;
  bool IsLeaving = false;   ///< drained, leaving, or its domain taken out
  bool ChecksOrders = true; ///< refuses orders with an older stamp
  bool operator==(const UpstreamDefinition &) const = default;
};

/// The service as the configuration in force describes it.
struct ServiceDefinition {
  std::uint32_t ShardCount = 0;
  std::vector<UpstreamDefinition> Upstreams;
  bool operator==(const ServiceDefinition &) const = default;
};

/// A live controller as membership sees it.
struct ControllerMember {
  RecordMember Member;
  bool IsSuspected = false;
};

// Events.

/// Time passed; sent at least every half heartbeat.
struct Tick {};
/// Answer to ReadRecord.
struct RecordRead {
  std::uint64_t Operation = 0;
  bool IsAnswered = false; ///< false: no answer, nothing is known
  Revision StoreRevision;  ///< for the next compare-and-swap; 0: absent
  std::optional<OwnershipRecord> Record;
};
/// How a compare-and-swap ended.
enum class WriteOutcome : std::uint8_t { Applied, Conflict, Unknown };
/// Answer to WriteRecord.
struct RecordWritten {
  std::uint64_t Operation = 0;
  WriteOutcome Outcome = WriteOutcome::Unknown;
  Revision StoreRevision; ///< after the write when Applied
};
/// Another controller published a record that it knows to be written.
struct RecordReceived {
  OwnershipRecord Record;
};
/// An upstream answered an order or a query.
struct UpstreamAnswered {
  GrantAnswer Answer;
};
/// A message of another controller's state machine for the same service.
struct PeerMessageReceived {
  RecordMember From;
  OwnershipMessage Message;
};
/// The configuration in force or the VM list changed.
struct ServiceChanged {
  ServiceDefinition Definition;
};
/// Membership's view changed.
struct ControllersChanged {
  std::vector<ControllerMember> Members;
};
/// Request rates of units that routers found to be hot, per second.
struct HotKeysReported {
  std::map<KeyHash, double> Rates;
};

using OwnershipEvent =
    std::variant<Tick, RecordRead, RecordWritten, RecordReceived,
                 UpstreamAnswered, PeerMessageReceived, ServiceChanged,
                 ControllersChanged, HotKeysReported>;

// Actions.

struct ReadRecord {
  std::uint64_t Operation = 0;
};
struct WriteRecord {
  std::uint64_t Operation = 0;
  Revision Expected; ///< store revision that must be current; 0: absent
  OwnershipRecord Record;
};
struct SendOrder {
  UpstreamId To;
  GrantOrder Order;
};
/// Ask an upstream what it holds and what its clock reads.
struct QueryUpstream {
  UpstreamId To;
};
struct SendPeerMessage {
  VmId To;
  OwnershipMessage Message;
};
/// Tell routers and controllers of a written record, once its moved units
/// were granted or this took longer than a heartbeat.
struct PublishRecord {
  OwnershipRecord Record;
};

using OwnershipAction =
    std::variant<ReadRecord, WriteRecord, SendOrder, QueryUpstream,
                 SendPeerMessage, PublishRecord>;

} // namespace waxwing

#endif
