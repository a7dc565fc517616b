/**
 * @file membership_type.h
 * Data types of membership: the entry of each VM's controller, the messages
 * that spread entries, and the events and actions of the state machine.
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

/// State of a member. Of two entries with the same version the one with the
/// greater state is newer.
enum class MemberState : std::uint8_t {
  New,       ///< in the platform's list, no entry received yet
  Live,      ///< announced by the member itself
  Leaving,   ///< the member announced its shutdown
  Suspected, ///< another member received nothing from it for too long
  Dead,      ///< did not refute the suspicion in time
};

/// What is known about one VM's controller.
/// Invariant: only the member itself raises Version; other members raise only
/// State.
struct MemberEntry {
  VmId Vm;
  Incarnation Process;
  std::uint64_t Version = 0; ///< 0: known only from the platform's list
  MemberState State = MemberState::New;
  DomainId Domain;
  std::string Region;          ///< empty while unknown
  Endpoint Link;               ///< where its controller accepts links
  bool IsStoreFailing = false; ///< its controller's watch of the store fails
  bool operator==(const MemberEntry &) const = default;
};

/// Periods and bounds, from the settings table. HeartbeatPeriod and
/// SuspicionTimeout are the values for a small group; a large one lengthens
/// both by a factor, see Membership::heartbeatPeriodFactor().
struct MembershipParameters {
  Duration HeartbeatPeriod;    ///< between heartbeats on one link
  Duration SuspicionTimeout;   ///< time without messages until suspicion
  Duration DeadTimeout;        ///< from Suspected to Dead without refutation
  Duration RetryPeriod;        ///< between attempts to reach dead members
  Duration ForgetTimeout;      ///< until an unlisted dead member is removed
  std::size_t FullMeshVms = 0; ///< up to this many VMs, each links to all
  std::size_t Links = 0;       ///< links that a process opens in a larger group
};

/// A link target that cannot be connected for this time is suspected. When an
/// existing link was lost, MembershipParameters::SuspicionTimeout applies
/// instead.
constexpr Duration ConnectTimeout = seconds(1);

/// Maximum factor between the heartbeat period of a large group and that of a
/// small one.
constexpr std::int64_t MaxHeartbeatPeriodFactor = 10;

/// Number of parts of the member digest. Only parts that differ are exchanged.
constexpr std::size_t DigestBuckets = 32;
using BucketDigests = std::array<std::uint64_t, DigestBuckets>;

// Messages.

/// Sent periodically on each link.
struct Heartbeat {
  Duration Period{};         ///< time until the sender's next heartbeat
  std::uint64_t Members = 0; ///< digest of the sender's member entries
  std::uint64_t Items = 0;   ///< digest of configuration documents and records
};
/// Entries that may be new to the receiver.
struct MembersUpdate {
  std::vector<MemberEntry> Entries;
};
/// Requests the entries in all digest parts that differ from the receiver's.
struct MembersSyncRequest {
  BucketDigests Buckets{};
};

using MembershipMessage =
    std::variant<Heartbeat, MembersUpdate, MembersSyncRequest>;

// Events.

/// Time passed; sent periodically.
struct MembershipTick {};
/// The platform's list of VMs was read. It may be late or wrong.
struct VmListUpdated {
  std::vector<ListedVm> Vms;
};
/// A link to the controller of VM Vm was opened and its hello message arrived.
struct MemberLinked {
  VmId Vm;
  Incarnation Process;
};
/// The last link to the controller of VM Vm was closed.
struct MemberUnlinked {
  VmId Vm;
};
/// A message of any kind arrived, which proves that its sender is alive.
struct MemberActivity {
  VmId From;
};
/// A membership message arrived.
struct MembershipMessageReceived {
  VmId From;
  MembershipMessage Message;
};
/// This process begins to shut down.
struct ShutdownStarted {};
/// Whether this process's watch of the store fails.
struct StoreWatchStatus {
  bool IsFailing = false;
};

using MembershipEvent =
    std::variant<MembershipTick, VmListUpdated, MemberLinked, MemberUnlinked,
                 MemberActivity, MembershipMessageReceived, ShutdownStarted,
                 StoreWatchStatus>;

// Actions.

/// Sends a membership message to one member.
struct SendMembership {
  VmId To;
  MembershipMessage Message;
};
/// Sends the heartbeat to the members in To. The relay fills in Items.
struct SendHeartbeat {
  std::vector<VmId> To;
  Heartbeat Message;
};
/// Keeps outgoing links open to exactly these members.
struct SetLinkTargets {
  std::map<VmId, Endpoint> Targets;
};
/// Closes a link on which nothing arrives, so that a new one is opened.
struct CloseLink {
  VmId To;
};
/// The set of known members or one of their entries changed.
struct MembersChanged {};

using MembershipAction =
    std::variant<SendMembership, SendHeartbeat, SetLinkTargets, CloseLink,
                 MembersChanged>;

} // namespace waxwing

#endif
