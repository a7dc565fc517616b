/**
 * @file change_stages.h
 * Longest times of the stages by which a change of the store reaches a VM. Each
 * way from the store's acknowledgement to the VM is a sum of stages, and must
 * stay below the time for which an upstream that leaves still serves.
 */
#ifndef WAXWING_TABLE_CHANGE_STAGES_H
#define WAXWING_TABLE_CHANGE_STAGES_H

#include "core/time_type.h"

#include <algorithm>
#include <string_view>

namespace waxwing {

/// Delay between a watch of the upstreams that returned changes and the next
/// one, on readers. Upstreams change in large numbers.
inline constexpr Duration UpstreamBatchDelay = milliseconds(500);
/// VMs without a reader read each change themselves, so their delay grows with
/// the number of VMs to limit the load on the store, up to a limit.
inline constexpr Duration BatchDelayPerVm = milliseconds(6);
inline constexpr Duration MaxBatchDelayForVms = milliseconds(450);
/// Limits on the age at which a VM reads the store itself rather than rely on
/// its reader. The list of a reader is up to 0.65 s old, and reports come every
/// 0.4 s.
inline constexpr Duration LeastMaxListAge = milliseconds(1200);
inline constexpr Duration GreatestMaxListAge = milliseconds(2000);
/// Time that is left for the VM's own read, over a link on which packets wait.
inline constexpr Duration OwnReadTime = milliseconds(1300);
/// Own calls begin at a random time within this delay when the VM that read for
/// this one and others is lost.
inline constexpr Duration MaxResumeDelay = milliseconds(100);
/// Interval of the hellos of a VM to its parent.
inline constexpr Duration HelloInterval = milliseconds(400);
/// The same for readers, which pass on what they gather.
inline constexpr Duration ReaderHelloInterval = milliseconds(200);
inline constexpr Duration WorkInterval = milliseconds(100);
/// A pending watch returns a change within this time after another VM has it.
inline constexpr Duration WatchDeliveryTimeout = milliseconds(300);
/// Interval of the opening packets of a connection to the store.
inline constexpr Duration StoreConnectInterval = milliseconds(300);
/// Delay after a failed call to the store, doubled once by further ones.
inline constexpr Duration InitialRetryDelay = milliseconds(100);
/// Upstream entries that expired while the store was unavailable reappear
/// within 2 s after the store's return. An entry that is still missing then
/// belongs to a lost upstream.
inline constexpr Duration EntryReappearTimeout = milliseconds(2200);

/// @param bound within which a change must be acted on
/// @return age at which a VM reads the store itself
constexpr Duration maxListAge(Duration bound) {
  return std::clamp(bound - OwnReadTime, LeastMaxListAge, GreatestMaxListAge);
}

/// @return delay between two watches of a VM that reads for itself only
constexpr Duration ownBatchDelay(int vmCount) {
  return UpstreamBatchDelay +
         std::min(MaxBatchDelayForVms, BatchDelayPerVm * vmCount);
}

/// What fails on the way of a change.
enum class ChangeWay : std::uint8_t {
  Reader,         ///< nothing
  OwnWatch,       ///< the VM has no reader
  LostUpdate,     ///< the reader's datagram
  LostReader,     ///< the reader, before its next watch
  CutWatch,       ///< the connection of the VM's own watch
  SilentWatch,    ///< the same, without an end
  LinksBack,      ///< the VM was cut off; counted from the return of its links
  LinksBackAlone, ///< the same, and no other VM can be reached
};
inline constexpr std::size_t ChangeWayCount = 8;

/// @return the longest time of @p way
/// @param bound within which a change must be acted on
/// @param roundTrip to the store, and to other VMs
/// @param isPacketLost a packet that opens a connection is lost as well
constexpr Duration longestTime(ChangeWay way, int vmCount, Duration bound,
                               Duration roundTrip, bool isPacketLost) {
  const Duration call =
      2 * roundTrip + (isPacketLost ? StoreConnectInterval : Duration());
  const Duration regain =
      2 * InitialRetryDelay + StoreConnectInterval + 2 * roundTrip;
  switch (way) {
  case ChangeWay::Reader:
    return UpstreamBatchDelay + call + roundTrip;
  case ChangeWay::OwnWatch:
    return ownBatchDelay(vmCount) + call;
  case ChangeWay::LostUpdate:
    return UpstreamBatchDelay + call + HelloInterval + roundTrip;
  case ChangeWay::LostReader:
    return maxListAge(bound) + MaxResumeDelay + call;
  case ChangeWay::CutWatch:
    return ownBatchDelay(vmCount) + InitialRetryDelay + call;
  case ChangeWay::SilentWatch:
    return UpstreamBatchDelay + ReaderHelloInterval + HelloInterval +
           WatchDeliveryTimeout + WorkInterval + 2 * roundTrip + call;
  case ChangeWay::LinksBack:
    return regain + HelloInterval + roundTrip;
  case ChangeWay::LinksBackAlone:
    return regain + EntryReappearTimeout;
  }
  return Duration::max();
}

} // namespace waxwing

#endif
