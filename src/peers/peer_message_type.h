/**
 * @file peer_message_type.h
 * Datagrams between the VMs, their readers (VMs that read the store for others
 * of their failure domain) and the leader. Any datagram may be lost; the next
 * hello (regular report) of a VM shows its parent, which is its reader or the
 * leader, what that VM lacks. News that must not depend on a leader or on the
 * store go from VM to VM.
 */
#ifndef WAXWING_PEERS_PEER_MESSAGE_TYPE_H
#define WAXWING_PEERS_PEER_MESSAGE_TYPE_H

#include "core/endpoint_type.h"
#include "distribution/change_history.h"
#include "peers/candidacy.h"
#include "ranges/range_type.h"
#include "routing/limit_permits.h"
#include "routing/upstream_limits.h"
#include "traffic/crash_report_type.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace waxwing {

/// Parts of the store that are read and distributed separately.
enum class FeedId : std::uint8_t {
  Operators, ///< configuration and failure domains taken out
  Upstreams, ///< entries of the running upstreams
};
inline constexpr std::size_t FeedCount = 2;
/// Store revision of each feed's state, indexed by FeedId; 0: not loaded.
using FeedRevisions = std::array<std::uint64_t, FeedCount>;

/// A VM as it describes itself to others.
struct VmInfo {
  Candidate Vm;
  /// Address for datagrams; the same TCP port accepts relayed requests.
  Endpoint Address;
  /// The VM can open connections to upstreams.
  bool HasLinks = true;

  bool operator==(const VmInfo &) const = default;
};

/// Additional report of a reader to the leader.
struct ReaderReport {
  Duration StoreAge{};           ///< as StoreReport::Age
  std::vector<VmInfo> Followers; ///< VMs that report to it, by name
};

/// A time in which the store answered the sender or VMs that it heard of,
/// without an outage.
struct StoreServiceReport {
  Duration SinceAge{}; ///< time since its begin
  Duration UntilAge{}; ///< time since its end
};

/// Maximum number of leaving upstreams in a hello.
inline constexpr std::size_t MaxReportedLeaving = 256;

/// Maximum number of upstreams with limits in a hello or a reply.
inline constexpr std::size_t MaxReportedLimits = 64;

/// Report of a VM to its parent, sent a few times per second.
struct PeerHello {
  Candidate Sender;
  bool HasLinks = true;       ///< as in VmInfo
  std::uint64_t ListHash = 0; ///< hashVmList() of the sender's list of VMs
  /// Revision of the sender's range map of each service; 0: none.
  std::map<ServiceId, std::uint64_t> MapRevisions;
  /// Keys of the requests since the last hello, one entry per request.
  std::map<ServiceId, std::vector<std::uint16_t>> Keys;
  FeedRevisions StoreRevisions{};
  std::optional<ReaderReport> Report; ///< nullopt if the sender is no reader
  /// Upstream processes that announced that they leave; at most
  /// MaxReportedLeaving.
  std::vector<UpstreamProcess> Leaving;
  /// CrasherDetector::digest() of the sender; nullopt from VMs of versions that
  /// detect no crashes.
  std::optional<std::uint64_t> CrashDigest;
  std::vector<LimitNotice> Limits; ///< at most MaxReportedLimits
  /// Revisions of the newest changes that the sender knows to exist.
  FeedRevisions NewestChanges{};
  /// Sender's time of sending, µs on its own clock; 0 from earlier versions.
  std::int64_t SentAtUs = 0;
  std::optional<StoreServiceReport> StoreService;
};

/// The VMs known to the leader.
struct VmList {
  std::vector<VmInfo> Vms;      ///< sorted by name
  std::vector<VmId> Successors; ///< successors of the leader, best first

  bool operator==(const VmList &) const = default;
};

/// The leader, as recorded in the leader key in the store.
struct LeaderInfo {
  VmId Name;              ///< empty if there is no leader
  Endpoint Address;       ///< UDP address for messages of other VMs
  std::uint64_t Term = 0; ///< revision of the leader key; 0 if none
};

/// Who reads the store for a VM, as decided by the leader.
struct ReaderAssignment {
  bool IsReader = false; ///< the VM itself reads for others
  VmId Reader;           ///< empty if the VM reads for itself only
  Endpoint Address;      ///< of Reader
};

/// State of the store as known to a reader.
struct StoreReport {
  /// Time since the reader's state was known to be complete. Earlier versions
  /// send the time since the store last answered them.
  Duration Age{};
  /// Time since the end of the store's last outage that the reader noticed;
  /// nullopt if there was none.
  std::optional<Duration> RecoveredAge;
  FeedRevisions Revisions{};
};

/// A parent's reply to a hello; also sent when a leadership ends.
struct PeerReply {
  LeaderInfo Leader;
  /// The leader's list of VMs; nullopt when the VM that sent the hello has it.
  std::optional<VmList> List;
  bool IsLeaving = false; ///< the leadership of Leader.Term has just ended
  std::optional<ReaderAssignment> Assignment; ///< from the leader only
  std::optional<StoreReport> Store;           ///< from a reader only
  std::vector<LimitNotice> Limits;            ///< at most MaxReportedLimits
  /// Revisions of the newest changes that the sender knows to exist.
  FeedRevisions NewestChanges{};
  /// PeerHello::SentAtUs of the hello that this replies to; 0 if there is none.
  std::int64_t HelloSentAtUs = 0;
  std::optional<StoreServiceReport> StoreService;
};

/// Changes of the store, from a reader.
struct PeerStoreUpdate {
  FeedId Feed = FeedId::Operators;
  ChangeBatch Batch;
};

/// An update of a service's range map, sent by the leader.
struct PeerRangeUpdate {
  ServiceId Service;
  std::uint64_t Revision = 0; ///< revision of the map after the update
  /// Revision of the map to which Rows must be applied; 0: Rows are a part of
  /// the complete map.
  std::uint64_t Base = 0;
  std::uint64_t NextFence = 0; ///< RangeMap::NextFence after the update
  std::uint32_t Part = 0;      ///< index of this part of the complete map
  std::uint32_t Parts = 1;     ///< number of parts of the complete map
  std::vector<RangeRow> Rows;
};

/// Crashes of upstreams under requests. A VM passes on to some others what it
/// did not know.
struct PeerCrashNews {
  CrashNews News;
  /// News is all that the sender knows, and it wants what it lacks.
  bool IsComplete = false;
};

/// Asks the VM in charge of an upstream for a permit to send one request there.
struct PeerPermitAsk {
  UpstreamProcess Process;
  double PerS = 0; ///< limit of the process as known to the sender, requests/s
};

struct PeerPermitAnswer {
  UpstreamProcess Process;
  PermitAnswer Answer;
};

/// VMs of earlier versions ignore types that they do not know, and elements
/// behind those that they know.
using PeerMessage =
    std::variant<PeerHello, PeerReply, PeerRangeUpdate, PeerStoreUpdate,
                 PeerCrashNews, PeerPermitAsk, PeerPermitAnswer>;

/// @return the content of one datagram
std::string encodePeerMessage(const PeerMessage &message);
/// @return the message, or InvalidArgument when it is malformed
absl::StatusOr<PeerMessage> decodePeerMessage(const std::string &bytes);

/// @return a hash by which a VM and the leader compare their lists of VMs
std::uint64_t hashVmList(const VmList &list);

} // namespace waxwing

#endif
