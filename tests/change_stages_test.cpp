/**
 * @file change_stages_test.cpp
 * Sums of the longest times of the stages of a change.
 */
#include "table/change_stages.h"

#include <array>
#include <gtest/gtest.h>
#include <ranges>

namespace waxwing {
namespace {

/// A size of fleet, and the shortest bounds that deployments of it have.
struct FleetSize {
  int VmCount = 0;
  Duration DrainBound{};
  Duration ContactTime{};
};
constexpr std::array<FleetSize, 3> FleetSizes{
    FleetSize{10, milliseconds(2000), seconds(3)},
    FleetSize{81, milliseconds(2500), seconds(3)},
    FleetSize{295, milliseconds(3000), seconds(4)}};
/// An upstream gets the request within this time after its first byte is sent.
constexpr Duration Transit = milliseconds(10);
constexpr Duration CalmRoundTrip = milliseconds(20);
/// Packets wait for up to half a second on the link of a VM in touch.
constexpr Duration SlowRoundTrip = milliseconds(500);

Duration boundOf(ChangeWay way, const FleetSize &size) {
  const bool isAfterCut =
      way == ChangeWay::LinksBack || way == ChangeWay::LinksBackAlone;
  return isAfterCut ? size.ContactTime : size.DrainBound;
}

// DRAIN: the delay before a reader's next watch, the age that its followers
// accept and their own call were longer together than the bound.
TEST(ChangeStages, EachWayIsShorterThanTheBound) {
  for (const FleetSize &size : FleetSizes)
    for (std::size_t n = 0; n < ChangeWayCount; ++n) {
      const auto way = static_cast<ChangeWay>(n);
      EXPECT_LT(
          longestTime(way, size.VmCount, size.DrainBound, CalmRoundTrip, true) +
              Transit,
          boundOf(way, size))
          << "way " << n << ", " << size.VmCount << " VMs";
    }
}

// DRAIN: the same on a link on which packets wait. Fleets of few VMs have links
// that are a hundred times as fast.
TEST(ChangeStages, EachWayIsShorterThanTheBoundOnASlowLink) {
  for (const FleetSize &size : FleetSizes | std::views::drop(1))
    for (const ChangeWay way :
         {ChangeWay::Reader, ChangeWay::OwnWatch, ChangeWay::LostReader,
          ChangeWay::CutWatch, ChangeWay::LinksBack})
      EXPECT_LT(longestTime(way, size.VmCount, size.DrainBound, SlowRoundTrip,
                            false) +
                    Transit,
                boundOf(way, size))
          << "way " << static_cast<int>(way) << ", " << size.VmCount << " VMs";
}

} // namespace
} // namespace waxwing
