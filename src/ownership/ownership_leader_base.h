/**
 * @file ownership_leader_base.h
 * The ownership state machine of one service in one controller: leads when
 * the record names it, witnesses otherwise. No I/O, no clock, no threads.
 */
#ifndef WAXWING_OWNERSHIP_OWNERSHIP_LEADER_BASE_H
#define WAXWING_OWNERSHIP_OWNERSHIP_LEADER_BASE_H

#include "ownership/ownership_leader_type.h"

#include "ownership/ownership_record_cmd.h"

#include <random>
#include <span>

namespace waxwing {

/// See docs/DESIGN.md, "Ownership".
class OwnershipLeader {
public:
  OwnershipLeader(ServiceId service, RecordMember self, OwnershipTerms terms,
                  std::uint64_t seed);

  /// Takes one event.
  /// @param now this process's clock, never before an earlier now
  /// @return what to do, in this order
  std::vector<OwnershipAction> handle(const OwnershipEvent &event, Time now);

  /// @return whether the newest known record names this process its leader
  bool isLeader() const;
  /// @return whether this process leads and may act on the record now
  bool isConfirmed(Time) const { return isLeader(); }
  /// @return whether all rights given by earlier leaders have ended
  bool isQuietOver(Time) const { return isLeader(); }
  /// @return the newest record known, absent before the first read
  const std::optional<OwnershipRecord> &record() const { return Record; }

private:
  struct UpstreamState {
    UpstreamDefinition Definition;
    std::optional<Incarnation> Current; ///< of its last answer
    UpstreamTime Reading;               ///< of its last answer
    Time AnsweredAt;                    ///< when that answer arrived
    GrantSet Sent;                      ///< set of the last order
    GrantStamp SentStamp;
    bool IsAcknowledged = false; ///< Sent was accepted by Current
  };

  void on(const Tick &, Time now);
  void on(const RecordRead &event, Time now);
  void on(const RecordWritten &event, Time now);
  void on(const UpstreamAnswered &event, Time now);
  void on(const PeerSaid &event, Time now);
  void on(const ServiceChanged &event, Time now);
  void on(const ControllersChanged &event, Time now);
  void on(const HotKeysReported &event, Time now);

  void readRecord();
  void writeRecord(std::span<const RecordCommand> commands);
  void assignUnowned();
  void renewGrants(Time now);
  GrantSet grantSetOf(const UpstreamId &upstream) const;

  ServiceId Service;
  RecordMember Self;
  OwnershipTerms Terms;
  std::mt19937_64 Random;
  ServiceDefinition Definition;
  std::vector<ControllerMember> Controllers;
  std::optional<OwnershipRecord> Record;
  Revision StoreRevision;
  std::map<UpstreamId, UpstreamState> Upstreams;
  std::uint64_t NextOperation = 1;
  std::optional<std::uint64_t> PendingOperation;
  std::optional<OwnershipRecord> PendingRecord;
  std::vector<OwnershipAction> Actions;
};

} // namespace waxwing

#endif
