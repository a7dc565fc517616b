/**
 * @file hot_key_sketch_test.cpp
 * The sketch finds hot keys and its rates never exceed the true ones.
 */
#include "traffic/hot_key_sketch_base.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwing {
namespace {

constexpr Time Start{seconds(1)};

TEST(HotKeySketch, FindsHotKeyAmongMany) {
  HotKeySketch sketch;
  sketch.takeRates(Start);
  for (std::uint64_t n = 0; n < 20'000; ++n) {
    sketch.add(KeyHash(n));
    if (n % 4 == 0)
      sketch.add(KeyHash(1'000'000));
  }
  const auto rates = sketch.takeRates(Start + seconds(10));
  ASSERT_TRUE(rates.contains(KeyHash(1'000'000)));
  EXPECT_GT(rates.at(KeyHash(1'000'000)), 400);
  EXPECT_LE(rates.at(KeyHash(1'000'000)), 500);
}

RC_GTEST_PROP(HotKeySketch, RatesNeverExceedTrueRates,
              (const std::vector<std::uint8_t> &keys)) {
  HotKeySketch sketch;
  sketch.takeRates(Start);
  std::map<KeyHash, double> truth;
  for (const std::uint8_t key : keys) {
    sketch.add(KeyHash(key));
    ++truth[KeyHash(key)];
  }
  for (const auto &[key, rate] : sketch.takeRates(Start + seconds(1)))
    RC_ASSERT(rate <= truth[key]);
}

} // namespace
} // namespace waxwing
