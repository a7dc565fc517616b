/**
 * @file peer_message_type.h
 * Datagrams between VMs. Each can be lost: the next hello shows what is
 * missing.
 */
#ifndef WAXWING_PEERS_PEER_MESSAGE_TYPE_H
#define WAXWING_PEERS_PEER_MESSAGE_TYPE_H

#include "ranges/range_type.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace waxwing {

/// From each VM to the leader, a few times per second.
struct PeerHello {
  VmId Vm;
  std::uint64_t VmsHash = 0; ///< hashVms() of the list that it has
  /// Revision of each service's range map that it has; 0: none.
  std::map<ServiceId, std::uint64_t> MapRevisions;
  /// Keys that were asked for since the last hello, one entry a request.
  std::map<ServiceId, std::vector<std::uint16_t>> Keys;
};

/// The leader's answer to a hello.
struct PeerReply {
  std::uint64_t Term = 0; ///< revision of the leader's key
  std::vector<VmId> Vms;  ///< sorted; empty when the hash was equal
};

/// Rows of a range map, from the leader.
struct PeerRanges {
  ServiceId Service;
  std::uint64_t Revision = 0;
  /// Revision that the rows change; 0: they are part of the whole map.
  std::uint64_t Base = 0;
  std::uint64_t NextFence = 0;
  std::uint32_t Part = 0;  ///< number of this part of the whole map
  std::uint32_t Parts = 1; ///< parts that make the whole map
  std::vector<RangeRow> Rows;
};

using PeerMessage = std::variant<PeerHello, PeerReply, PeerRanges>;

/// @return bytes of one datagram
std::string encodePeerMessage(const PeerMessage &message);
/// @return the message, or InvalidArgument when it cannot be read
absl::StatusOr<PeerMessage> decodePeerMessage(const std::string &bytes);

/// @return a digest that equal lists share
std::uint64_t hashVms(const std::vector<VmId> &vms);

} // namespace waxwing

#endif
