/**
 * @file membership_type.h
 * Plain data of membership: what is known of each VM's controller, the
 * messages that spread it, and the events and actions of the state machine.
 */
#ifndef WAXWING_MEMBERSHIP_MEMBERSHIP_TYPE_H
#define WAXWING_MEMBERSHIP_MEMBERSHIP_TYPE_H

#include "core/time_type.h"
#include "membership/vm_list_type.h"

#include <array>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace waxwing {

/// A later state takes precedence over an earlier one of the same version.
enum class MemberState : std::uint8_t {
  New,       ///< listed by the platform, not heard of yet
  Live,      ///< said so itself
  Leaving,   ///< said so itself, or the platform lists it as leaving
  Suspected, ///< silent towards a member that is linked to it
  Dead,      ///< did not refute the suspicion in time
};

/// What is known of one VM's controller.
/// Invariant: only the member itself raises Version, others raise State.
struct MemberEntry {
  VmId Vm;
  Incarnation Process;
  std::uint64_t Version = 0; ///< 0: known from the platform's list only
  MemberState State = MemberState::New;
  DomainId Domain;
  std::string Region;          ///< empty while unknown
  Endpoint Link;               ///< where it takes links
  bool IsStoreFailing = false; ///< watched the store in vain
  bool operator==(const MemberEntry &) const = default;
};

/// Periods and bounds, from the settings table. Heartbeat and Suspicion hold
/// for a small group; a large one stretches both, see heartbeatStretch().
struct MembershipParameters {
  Duration Heartbeat;      ///< between heartbeats on one link
  Duration Suspicion;      ///< silence after which a member is suspected
  Duration DeadAfter;      ///< unrefuted suspicion ends in Dead after this
  Duration Retry;          ///< between attempts to reach dead members
  Duration Forget;         ///< a dead member that is not listed is dropped
  std::size_t MeshVms = 0; ///< full mesh up to this many VMs
  std::size_t Links = 0;   ///< links that one process opens beyond that
};

/// A chosen member without a link for longer, in spite of attempts, is
/// suspected; one whose link was lost, after MembershipParameters::Suspicion.
constexpr Duration ConnectPatience = seconds(1);

/// Heartbeats are at most this much rarer in a large group than in a small
/// one.
constexpr std::int64_t MaxStretch = 10;

/// Parts of a digest; a difference names the part to compare.
constexpr std::size_t DigestBuckets = 32;
using BucketDigests = std::array<std::uint64_t, DigestBuckets>;

// Messages.

/// Sent on each link every heartbeat.
struct Heartbeat {
  Duration Period{};         ///< the next one follows within this
  std::uint64_t Members = 0; ///< digest of the member table
  std::uint64_t Items = 0;   ///< digest of documents and records
};
/// Entries that the receiver may lack.
struct MembersUpdate {
  std::vector<MemberEntry> Entries;
};
/// Asks for the entries of all parts that differ.
struct MembersSyncRequest {
  BucketDigests Buckets{};
};

using MembershipMessage =
    std::variant<Heartbeat, MembersUpdate, MembersSyncRequest>;

// Events.

struct MembershipTick {};
/// The platform's list, which lags and may be wrong.
struct VmListUpdated {
  std::vector<ListedVm> Vms;
};
/// A link to this controller opened and its hello arrived.
struct MemberLinked {
  VmId Vm;
  Incarnation Process;
};
/// The last link to this controller is gone.
struct MemberUnlinked {
  VmId Vm;
};
/// Any message proves that its sender lives.
struct MemberActivity {
  VmId From;
};
struct MembershipMessageReceived {
  VmId From;
  MembershipMessage Message;
};
/// This process is shutting down.
struct ShutdownStarted {};
/// How watching the store goes.
struct StoreWatchStatus {
  bool IsFailing = false;
};

using MembershipEvent =
    std::variant<MembershipTick, VmListUpdated, MemberLinked, MemberUnlinked,
                 MemberActivity, MembershipMessageReceived, ShutdownStarted,
                 StoreWatchStatus>;

// Actions.

struct SendMembership {
  VmId To;
  MembershipMessage Message;
};
/// Send the heartbeat, to which the relay adds its digest.
struct SendHeartbeat {
  std::vector<VmId> To;
  Heartbeat Message;
};
/// Keep links to exactly these open, besides accepted ones.
struct SetLinkTargets {
  std::map<VmId, Endpoint> Targets;
};
/// The link is silent; a new one may work.
struct CloseLink {
  VmId To;
};
/// The view of who lives changed.
struct MembersChanged {};

using MembershipAction =
    std::variant<SendMembership, SendHeartbeat, SetLinkTargets, CloseLink,
                 MembersChanged>;

} // namespace waxwing

#endif
