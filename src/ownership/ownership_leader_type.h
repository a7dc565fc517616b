/**
 * @file ownership_leader_type.h
 * Parameters, events and actions of the ownership state machine, of which each
 * controller runs one for each service.
 */
#ifndef WAXWING_OWNERSHIP_OWNERSHIP_LEADER_TYPE_H
#define WAXWING_OWNERSHIP_OWNERSHIP_LEADER_TYPE_H

#include "core/store_revision_type.h"
#include "ownership/ownership_record_base.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace waxwing {

/// What must confirm the record revision before grants are renewed.
/// Production uses WitnessMajority; the benchmark compares it with the others.
enum class ConfirmationPolicy : std::uint8_t {
  WitnessMajority, ///< the store, or a majority of the record's members
  StoreOnly,       ///< only the store
  Unconfirmed,     ///< no confirmation; unsafe
};

/// Deliberate faults for tests, which must detect each of them. Never set in
/// production.
struct OwnershipFaults {
  bool HasNoDriftBound = false;   ///< waits do not allow for clock drift
  bool KeepsToken = false;        ///< a move keeps the fencing token
  bool SkipsTakeoverWait = false; ///< ignores grants of earlier leaders
  bool RewritesBlindly = false;   ///< writes again after a lost response
  bool IgnoresFence = false;      ///< witnesses also confirm old revisions
  /// A new leader waits only for the confirmations by the last former members.
  bool ForgetsFormerMemberSets = false;
  /// Takes what a restored store holds for the newest state.
  bool IgnoresRestorations = false;
  /// Upstreams count the grant term from receipt.
  bool HasDeadlineFromReceipt = false;
};

/// Periods, timeouts and bounds of ownership, from the settings.
struct OwnershipParameters {
  Duration Heartbeat; ///< period of renewals and of confirmations
  /// Validity of a grant, counted from the upstream's last reported clock
  /// reading.
  Duration GrantTerm;
  Duration ConfirmationTerm; ///< validity of a confirmation, from its request
  Duration Suspicion;        ///< time without messages until suspicion
  std::int64_t DriftPpm = 0; ///< maximum rate difference between two clocks
  ConfirmationPolicy Policy = ConfirmationPolicy::WitnessMajority;
  OwnershipFaults Faults;

  /// Ticks come at least every half heartbeat, so that with 3/4 the work is
  /// done on the second tick at the latest and not on the third.
  /// @return minimum time between renewals and between confirmation rounds
  Duration renewalPeriod() const { return Heartbeat * 3 / 4; }
  /// @return time to wait on this clock so that at least @p span passes on any
  ///   other clock
  Duration withMaxDrift(Duration span) const {
    return Faults.HasNoDriftBound ? span : addClockDrift(span, DriftPpm);
  }
};

/// An upstream according to the configuration and the VM list.
struct UpstreamDefinition {
  UpstreamId Id;
  DomainId Domain;
  bool IsLeaving = false; ///< drained, leaving, or its failure domain taken out
  bool ChecksOrders = true; ///< rejects orders with an older stamp
  bool operator==(const UpstreamDefinition &) const = default;
};

/// A service according to the configuration in force.
struct ServiceDefinition {
  std::uint32_t ShardCount = 0;
  std::vector<UpstreamDefinition> Upstreams;
  bool operator==(const ServiceDefinition &) const = default;
};

/// A live controller according to membership.
struct ControllerMember {
  RecordMember Member;
  bool IsSuspected = false;
};

// Events.

/// Time passed. Sent at least every half heartbeat.
struct Tick {};
/// Result of the action ReadRecord.
struct RecordRead {
  std::uint64_t Operation = 0;
  bool IsAnswered = false; ///< false: no response, the result is unknown
  Revision StoreRevision;  ///< for the next compare-and-swap; 0: no record
  std::optional<OwnershipRecord> Record;
  StoreEpoch Epoch = 0; ///< the store's epoch at the response
};
/// Result of a compare-and-swap; Unknown when no response arrived.
enum class WriteOutcome : std::uint8_t { Applied, Conflict, Unknown };
/// Result of the action WriteRecord.
struct RecordWritten {
  std::uint64_t Operation = 0;
  WriteOutcome Outcome = WriteOutcome::Unknown;
  Revision StoreRevision; ///< revision after the write, if Applied
};
/// Another controller published a record that is known to be in the store.
struct RecordReceived {
  OwnershipRecord Record;
};
/// An upstream responded to an order or a query.
struct UpstreamAnswered {
  GrantAnswer Answer;
};
/// A message arrived from another controller's state machine for this service.
struct PeerMessageReceived {
  RecordMember From;
  OwnershipMessage Message;
};
/// The service's definition changed, by the configuration or the VM list.
struct ServiceChanged {
  ServiceDefinition Definition;
};
/// The set or state of live controllers changed.
struct ControllersChanged {
  std::vector<ControllerMember> Members;
};
/// Request rates of hot keys as reported by routers, requests per second.
struct HotKeysReported {
  std::map<KeyHash, double> Rates;
};

using OwnershipEvent =
    std::variant<Tick, RecordRead, RecordWritten, RecordReceived,
                 UpstreamAnswered, PeerMessageReceived, ServiceChanged,
                 ControllersChanged, HotKeysReported>;

// Actions.

/// Reads the record from the store.
struct ReadRecord {
  std::uint64_t Operation = 0;
};
/// Writes the record to the store by compare-and-swap.
struct WriteRecord {
  std::uint64_t Operation = 0;
  Revision Expected; ///< required store revision; 0: no record
  OwnershipRecord Record;
};
/// Sends a grant order to an upstream.
struct SendOrder {
  UpstreamId To;
  GrantOrder Order;
};
/// Asks an upstream which grants it holds and for its clock reading.
struct QueryUpstream {
  UpstreamId To;
};
/// Sends a message to the controller of another VM.
struct SendPeerMessage {
  VmId To;
  OwnershipMessage Message;
};
/// Publishes a written record to routers and controllers. Emitted when the new
/// owners have accepted the grants of moved units, or one heartbeat period
/// after the write at the latest.
struct PublishRecord {
  OwnershipRecord Record;
};

using OwnershipAction =
    std::variant<ReadRecord, WriteRecord, SendOrder, QueryUpstream,
                 SendPeerMessage, PublishRecord>;

} // namespace waxwing

#endif
