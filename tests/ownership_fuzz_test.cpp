/**
 * @file ownership_fuzz_test.cpp
 * Stateful fuzzing of the shipped ownership state machines against the
 * oracle of ownership_simulation.h, and proof that it finds deliberate faults.
 *
 * Longer runs: RC_PARAMS="seed=N max_success=M max_size=S" with
 * --gtest_filter=OwnershipFuzz.HasOneOwnerAndRecovers
 */
#include "ownership_fuzz.h"

#include <gtest/gtest.h>
#include <iostream>

namespace waxwing {
namespace {

/// Histories tried until a deliberate fault must be found.
constexpr int BiteHistories = 6000;

/// Bound on drift in all histories; clocks use almost all of it.
constexpr std::int64_t FuzzDriftPpm = 100'000;

/// The property: no history of failures leads to two owners or loses an
/// acknowledged assignment, and every key is served again afterwards. With
/// a deliberate fault only the first part is judged.
rc::detail::TestResult fuzz(const OwnershipFaults &faults, bool isFaulty,
                            const rc::detail::TestParams &params) {
  std::uint64_t commandsRun = 0;
  const auto property = [&] {
    SimulationConfig config;
    config.Parameters.Faults = faults;
    config.Parameters.DriftPpm = FuzzDriftPpm;
    config.Seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
    config.NonChecking = *rc::gen::inRange<std::size_t>(0, 3);
    const auto commands = *genHistory();
    commandsRun += commands.size();
    const HistoryResult result = runHistory(config, commands);
    RC_LOG(result.Violation + result.Outage);
    RC_ASSERT(result.Violation.empty());
    RC_ASSERT(isFaulty || result.Outage.empty());
  };
  const auto result =
      rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
  rc::detail::printResultMessage(result, std::cout);
  std::cout << "\nseed " << params.seed << ", commands run: " << commandsRun
            << "\n";
  return result;
}

TEST(OwnershipFuzz, HasOneOwnerAndRecovers) {
  const auto result = fuzz({}, false, rc::detail::configuration().testParams);
  EXPECT_TRUE(result.is<rc::detail::SuccessResult>());
}

/// Expects that the same property finds a deliberate fault.
void expectFound(const OwnershipFaults &faults) {
  rc::detail::TestParams params = rc::detail::configuration().testParams;
  params.maxSuccess = BiteHistories;
  const auto result = fuzz(faults, true, params);
  EXPECT_TRUE(result.is<rc::detail::FailureResult>());
}

TEST(OwnershipFuzzBites, NoDriftBound) {
  expectFound({.HasNoDriftBound = true});
}

TEST(OwnershipFuzzBites, TokenNotRaised) { expectFound({.KeepsToken = true}); }

TEST(OwnershipFuzzBites, NoTakeoverWait) {
  expectFound({.SkipsTakeoverWait = true});
}

TEST(OwnershipFuzzBites, BlindRewrite) {
  expectFound({.RewritesBlindly = true});
}

TEST(OwnershipFuzzBites, OldLeaderNotFenced) {
  expectFound({.IgnoresFence = true});
}

TEST(OwnershipFuzzBites, DeadlineFromReceipt) {
  expectFound({.HasDeadlineFromReceipt = true});
}

} // namespace
} // namespace waxwing
