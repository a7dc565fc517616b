/**
 * @file peer_message_type.h
 * Datagrams between the VMs and their leader. Any datagram may be lost; the
 * next hello (regular report) of a VM shows the leader which updates that VM
 * lacks.
 */
#ifndef WAXWING_PEERS_PEER_MESSAGE_TYPE_H
#define WAXWING_PEERS_PEER_MESSAGE_TYPE_H

#include "peers/candidacy.h"
#include "ranges/range_type.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace waxwing {

/// Report of a VM to the leader, sent a few times per second.
struct PeerHello {
  Candidate Sender;
  std::uint64_t ListHash = 0; ///< hashVmList() of the sender's list of VMs
  /// Revision of the sender's range map of each service; 0: none.
  std::map<ServiceId, std::uint64_t> MapRevisions;
  /// Keys of the requests since the last hello, one entry per request.
  std::map<ServiceId, std::vector<std::uint16_t>> Keys;
};

/// The VMs known to the leader.
struct VmList {
  std::vector<VmId> Vms;        ///< sorted
  std::vector<VmId> Successors; ///< successors of the leader, best first

  bool operator==(const VmList &) const = default;
};

/// The leader's reply to a hello; also sent when its leadership ends.
struct PeerReply {
  /// Leadership term: store revision of the leader's key.
  std::uint64_t Term = 0;
  /// The leader's list of VMs; nullopt when the VM that sent the hello has it.
  std::optional<VmList> List;
  bool IsLeaving = false; ///< the sender has just given up leadership
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

using PeerMessage = std::variant<PeerHello, PeerReply, PeerRangeUpdate>;

/// @return the content of one datagram
std::string encodePeerMessage(const PeerMessage &message);
/// @return the message, or InvalidArgument when it is malformed
absl::StatusOr<PeerMessage> decodePeerMessage(const std::string &bytes);

/// @return a hash by which a VM and the leader compare their lists of VMs
std::uint64_t hashVmList(const VmList &list);

} // namespace waxwing

#endif
