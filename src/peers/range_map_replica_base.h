/**
 * @file range_map_replica_base.h
 * A VM's copy of the range maps, built from the leader's datagrams and from
 * the store.
 */
#ifndef WAXWING_PEERS_RANGE_MAP_REPLICA_BASE_H
#define WAXWING_PEERS_RANGE_MAP_REPLICA_BASE_H

#include "peers/peer_message_type.h"

#include <map>
#include <optional>

namespace waxwing {

class RangeMapReplica {
public:
  /// Takes a whole map from the store or the leader's own.
  /// @return true when it is newer than the copy
  bool applyRanges(const ServiceId &service, const RangeMap &map);
  /// Takes a datagram. @return true when the copy became newer
  bool applyRanges(const PeerRangeUpdate &ranges);

  /// @return the newest map, or nullptr when none is known
  const RangeMap *find(const ServiceId &service) const;
  std::map<ServiceId, std::uint64_t> revisions() const;

  /// @return datagrams that bring a copy of @p before to @p after; the whole
  ///   map when @p before is nullptr
  static std::vector<PeerRangeUpdate>
  buildRangeUpdates(const ServiceId &service, const RangeMap *before,
                    const RangeMap &after);

private:
  /// Parts of a whole map that have arrived.
  struct Assembly {
    std::uint64_t Revision = 0;
    std::map<std::uint32_t, std::vector<RangeRow>> Parts;
  };

  std::map<ServiceId, RangeMap> Maps;
  std::map<ServiceId, Assembly> Assemblies;
};

} // namespace waxwing

#endif
