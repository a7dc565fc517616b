/**
 * @file range_type.h
 * Who owns which keys of a service, as the store keeps it, and the orders
 * that carry it to the upstreams.
 */
#ifndef WAXWING_RANGES_RANGE_TYPE_H
#define WAXWING_RANGES_RANGE_TYPE_H

#include "routing/route_type.h"

#include <absl/status/statusor.h>
#include <array>
#include <string_view>
#include <vector>

namespace waxwing {

/// One range of keys and its owner.
struct RangeRow {
  KeyRange Range;
  UpstreamId Owner;                  ///< "" while nobody owns the range
  std::int64_t OwnerStartedAtMs = 0; ///< life of the owner that the grant names
  std::uint64_t Fence = 0;           ///< fencing token of the owner's grants
  std::string Handover;              ///< token of the last holder, "" for none
  bool IsMoving = false; ///< its owner is about to release it: requests wait

  bool operator==(const RangeRow &) const = default;
};

/// All ranges of one service.
/// Invariants: rows are sorted and cover every key once, or there are none;
/// no row's fence is NextFence or above.
struct RangeMap {
  std::uint64_t NextFence = 1;
  std::vector<RangeRow> Rows;
  std::uint64_t Revision = 0; ///< store revision of this value; 0: absent

  /// @return the row that holds @p key, or nullptr
  const RangeRow *find(std::uint16_t key) const;
};

/// @return the map as bytes for the store, without its revision
std::string encodeRangeMap(const RangeMap &map);
/// @return the map, or InvalidArgument when bytes or invariants are broken
absl::StatusOr<RangeMap> decodeRangeMap(const std::string &bytes,
                                        std::uint64_t revision);

/// What an order asks of an upstream.
enum class OrderKind : std::uint8_t { Grant, Release };
inline constexpr std::array<std::string_view, 2> OrderKindNames{"grant",
                                                                "release"};

/// One order to an upstream.
struct RangeOrder {
  std::uint64_t Id = 0; ///< unique within the leader
  OrderKind Kind = OrderKind::Grant;
  UpstreamId Upstream;
  Endpoint Address;
  KeyRange Range;
  std::uint64_t Fence = 0;
  Duration GrantDuration{}; ///< grants: counted by the upstream from arrival
  std::string Handover;     ///< grants only
};

/// What became of an order.
enum class OrderOutcome : std::uint8_t {
  Accepted,     ///< the upstream carried it out
  HigherFence,  ///< refused: the upstream has seen a higher token
  NotDelivered, ///< nothing of it reached the upstream
  Unanswered,   ///< it may be carried out now, later or never
};
inline constexpr std::array<std::string_view, 4> OrderOutcomeNames{
    "accepted", "higher_fence", "not_delivered", "unanswered"};

/// An upstream as the leader of its service sees it.
struct RangeUpstream {
  UpstreamId Id;
  Endpoint Address;
  std::int64_t StartedAtMs = 0;
  int Slots = 1; ///< requests that it processes at a time
  double ProcessingSeconds =
      0.1;                 ///< expected work time of one request there, s
  bool IsEligible = false; ///< may receive and keep keys
};

} // namespace waxwing

#endif
