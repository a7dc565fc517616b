/**
 * @file peer_message_type.h
 * Datagrams between VMs. Each can be lost: the next hello shows what is
 * missing.
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

/// From each VM to the leader, a few times per second.
struct PeerHello {
  Candidate Sender;
  std::uint64_t ListHash = 0; ///< hashVmList() of the list that it has
  /// Revision of each service's range map that it has; 0: none.
  std::map<ServiceId, std::uint64_t> MapRevisions;
  /// Keys that were asked for since the last hello, one entry a request.
  std::map<ServiceId, std::vector<std::uint16_t>> Keys;
};

/// The VMs as the leader knows them.
struct VmList {
  std::vector<VmId> Vms;        ///< sorted
  std::vector<VmId> Successors; ///< of the leader, best first

  bool operator==(const VmList &) const = default;
};

/// The leader's answer to a hello, and its last message.
struct PeerReply {
  std::uint64_t Term = 0;     ///< revision of the leader's key
  std::optional<VmList> List; ///< nullopt when the hash was equal
  bool IsLeaving = false;     ///< its leadership has just ended
};

/// Rows of a range map, from the leader.
struct PeerRangeUpdate {
  ServiceId Service;
  std::uint64_t Revision = 0;
  /// Revision that the rows change; 0: they are part of the whole map.
  std::uint64_t Base = 0;
  std::uint64_t NextFence = 0;
  std::uint32_t Part = 0;  ///< number of this part of the whole map
  std::uint32_t Parts = 1; ///< parts that make the whole map
  std::vector<RangeRow> Rows;
};

using PeerMessage = std::variant<PeerHello, PeerReply, PeerRangeUpdate>;

/// @return bytes of one datagram
std::string encodePeerMessage(const PeerMessage &message);
/// @return the message, or InvalidArgument when it cannot be read
absl::StatusOr<PeerMessage> decodePeerMessage(const std::string &bytes);

/// @return a digest that equal lists share
std::uint64_t hashVmList(const VmList &list);

} // namespace waxwing

#endif
