/**
 * @file range_type.h
 * The range map of a service, which names the owner of each key range and is
 * kept in the store, and the orders by which upstreams get and release ranges.
 * Terms: an owner is the only upstream that may serve a key; a row is one key
 * range with its owner; a grant lets an upstream serve a range for a limited
 * time; a fencing token is a number that only increases, by which upstreams
 * reject older orders; a handover token lets the next owner start warm.
 */
#ifndef WAXWING_RANGES_RANGE_TYPE_H
#define WAXWING_RANGES_RANGE_TYPE_H

#include "core/store_revision_type.h"
#include "routing/route_type.h"

#include <absl/status/statusor.h>
#include <array>
#include <optional>
#include <string_view>
#include <vector>

namespace waxwing {

/// A range of keys and the upstream that owns it.
struct RangeRow {
  KeyRange Range;
  UpstreamId Owner; ///< "" while the range has no owner
  /// Start time of the owner's process, Unix ms.
  std::int64_t OwnerStartedAtMs = 0;
  std::uint64_t Fence = 0; ///< fencing token of the owner's grants
  /// Handover token of the previous owner, with which the owner starts warm; ""
  /// for none.
  std::string Handover;
  /// The owner is about to release the range; requests for its keys are queued.
  bool IsMoving = false;

  bool operator==(const RangeRow &) const = default;
};

/// All key ranges of one service. Invariants: the rows are sorted and cover
/// every key exactly once, or there are no rows; all fencing tokens in use are
/// below NextFence.
struct RangeMap {
  std::uint64_t NextFence = 1; ///< fencing token for the next new grant
  std::vector<RangeRow> Rows;
  StoreRevision Revision = 0; ///< store revision of the map; 0: not stored yet
  StoreEpoch Epoch = 0;       ///< epoch of the store in which it was written

  /// @return the row that holds @p key, or nullptr
  const RangeRow *find(std::uint16_t key) const;
};

/// @return the map encoded for the store, without its revision
std::string encodeRangeMap(const RangeMap &map);
/// @return the map, or InvalidArgument when it is malformed or its rows do not
///   cover every key exactly once
/// @param currentEpoch epoch of a map that names none, written by a build that
///   knows no epochs
absl::StatusOr<RangeMap> decodeRangeMap(const std::string &bytes,
                                        StoreRevision revision,
                                        StoreEpoch currentEpoch = 0);

/// Whether an order gives a range to an upstream or takes it back.
enum class OrderKind : std::uint8_t { Grant, Release };
inline constexpr std::array<std::string_view, 2> OrderKindNames{"grant",
                                                                "release"};

/// An order to an upstream to serve or to give up a range of keys.
struct RangeOrder {
  std::uint64_t Id = 0; ///< unique within one leader
  OrderKind Kind = OrderKind::Grant;
  UpstreamId Upstream;
  Endpoint Address;
  KeyRange Range;
  std::uint64_t Fence = 0; ///< fencing token of the range's grants
  /// Length of the grant, counted from its arrival at the upstream.
  Duration GrantDuration{};
  /// Handover token of the previous owner, with which the upstream starts warm;
  /// only in grants, "" for none.
  std::string Handover;
};

/// Result of an order.
enum class OrderOutcome : std::uint8_t {
  Accepted,     ///< the upstream executed it
  HigherFence,  ///< refused: the upstream has seen a higher fencing token
  NotDelivered, ///< no part of it reached the upstream
  Unanswered,   ///< unknown whether and when the upstream executes it
};
inline constexpr std::array<std::string_view, 4> OrderOutcomeNames{
    "accepted", "higher_fence", "not_delivered", "unanswered"};

/// State of an upstream as known to the leader of its service.
struct RangeUpstream {
  UpstreamId Id;
  Endpoint Address;
  std::int64_t StartedAtMs = 0;   ///< start time of its process, Unix ms
  int Slots = 1;                  ///< requests that it processes concurrently
  double ProcessingSeconds = 0.1; ///< expected processing time of a request, s
  /// Requests/s that it takes from all VMs together, if it named a limit.
  std::optional<double> LimitPerS;
  bool IsEligible = false; ///< may own keys
};

} // namespace waxwing

#endif
