/**
 * @file range_map_replica_base.h
 * Replica of the range maps on each VM, kept up to date by the leader's
 * datagrams and by reads from the store.
 */
#ifndef WAXWING_PEERS_RANGE_MAP_REPLICA_BASE_H
#define WAXWING_PEERS_RANGE_MAP_REPLICA_BASE_H

#include "peers/peer_message_type.h"

#include <map>
#include <optional>

namespace waxwing {

/// The newest map from key ranges to owners that this VM knows, by service.
class RangeMapReplica {
public:
  /// Replaces the map of @p service by the complete map @p map, if that is
  /// newer.
  /// @return true when the map was replaced
  bool applyRangeMap(const ServiceId &service, const RangeMap &map);
  /// Applies an update from the leader.
  /// @return true when the replica advanced to a newer revision
  bool applyRangeMap(const PeerRangeUpdate &ranges);

  /// @return the newest map, or nullptr when none is known
  const RangeMap *find(const ServiceId &service) const;
  /// @return revision of each service's map; 0 while no complete map is known
  std::map<ServiceId, std::uint64_t> revisions() const;

  /// @return updates that change a replica from @p before to @p after. They
  ///   contain the complete map when @p before is nullptr or too many rows
  ///   differ.
  static std::vector<PeerRangeUpdate>
  buildRangeUpdates(const ServiceId &service, const RangeMap *before,
                    const RangeMap &after);

private:
  /// The parts received so far of a complete range map that spans several
  /// datagrams.
  struct PartialMap {
    std::uint64_t Revision = 0;
    std::map<std::uint32_t, std::vector<RangeRow>> Parts;
  };

  std::map<ServiceId, RangeMap> Maps;
  std::map<ServiceId, PartialMap> PartialMaps;
};

} // namespace waxwing

#endif
