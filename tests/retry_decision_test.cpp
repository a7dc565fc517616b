/**
 * @file retry_decision_test.cpp
 * Enumerates how an attempt can end and checks whether the request is sent
 * again and what its caller is told: a request that must not run twice is
 * never sent after it may have run, and no status promises "not run" then.
 */
#include "routing/retry_decision.h"

#include "table/reasons.h"

#include <gtest/gtest.h>

namespace waxwing {
namespace {

constexpr std::array AllKinds{RequestKind::Idempotent,
                              RequestKind::NonIdempotent, RequestKind::Download,
                              RequestKind::Upload};

/// How far an attempt got, and what its end proves.
struct AttemptEnd {
  const char *Name;
  bool IsDelivered;   ///< a byte of the request was written
  bool IsNotExecuted; ///< the upstream stated that it did not run the request
  Reason Cause;
};

constexpr std::array AttemptEnds{
    AttemptEnd{"nothing written", false, true, Reason::ConnectFailed},
    AttemptEnd{"written in part", true, false, Reason::ConnectionLost},
    AttemptEnd{"written", true, false, Reason::ConnectionLost},
    AttemptEnd{"head seen", true, false, Reason::CutOffAnswer},
    AttemptEnd{"body seen in part", true, false, Reason::CutOffAnswer},
    AttemptEnd{"timed out", true, false, Reason::RouteTimeout},
    AttemptEnd{"unsigned", true, false, Reason::UnsignedAnswer},
    AttemptEnd{"failed", true, false, Reason::UpstreamFailed},
    AttemptEnd{"shed", true, true, Reason::UpstreamShed},
    AttemptEnd{"rejected", true, true, Reason::WrongToken},
};

RetryInput createInput(RequestKind kind, const AttemptEnd &end) {
  RetryInput input;
  input.Kind = kind;
  input.MaxAttempts = 3;
  input.TimeLeft = seconds(1);
  input.PossibleExecutions = end.IsDelivered && !end.IsNotExecuted ? 1 : 0;
  input.DeliveriesNotExecuted = end.IsDelivered && end.IsNotExecuted ? 1 : 0;
  return input;
}

TEST(RetryDecision, RequestThatMustNotRunTwiceIsSentAgainOnlyIfItDidNotRun) {
  for (const RequestKind kind : AllKinds)
    for (const AttemptEnd &end : AttemptEnds) {
      const RetryInput input = createInput(kind, end);
      const bool mayRetry = decideRetry(input) == RetryDecision::Retry;
      EXPECT_EQ(mayRetry, isRepeatable(kind) || end.IsNotExecuted)
          << end.Name << " kind " << static_cast<int>(kind);
    }
}

TEST(RetryDecision, StatusPromisesNotRunOnlyIfNoDeliveryMayHaveRun) {
  for (const AttemptEnd &end : AttemptEnds)
    for (const int earlierExecutions : {0, 1, 2}) {
      const int executions =
          earlierExecutions +
          createInput(RequestKind::Upload, end).PossibleExecutions;
      const int status = refusalStatus(end.Cause, executions);
      const bool isPromise =
          status == 503 || status == 429 || status == 408 || status == 421;
      EXPECT_EQ(isPromise, executions == 0)
          << end.Name << " status " << status << " after " << executions;
    }
}

TEST(RetryDecision, EveryReasonKeepsThePromise) {
  for (const ReasonInfo &info : ReasonTable)
    for (const int executions : {1, 2}) {
      const int status = refusalStatus(info.Id, executions);
      EXPECT_TRUE(status != 503 && status != 429) << info.Name;
    }
}

// Guards against a refused crasher whose caller is told that it has not run
// although it has, or is not told so although it has not.
TEST(RetryDecision, SuspectedCrasherIsToldWhetherItHasRun) {
  EXPECT_EQ(refusalStatus(Reason::SuspectedCrasher, 0), 503);
  EXPECT_EQ(refusalStatus(Reason::SuspectedCrasher, 1), 502);
}

TEST(RetryDecision, UploadWhoseBodyIsNoLongerStoredIsNotSentAgain) {
  RetryInput input = createInput(RequestKind::Upload, {"shed", true, true, {}});
  EXPECT_EQ(decideRetry(input), RetryDecision::Retry);
  input.IsBodyStored = false;
  EXPECT_EQ(decideRetry(input), RetryDecision::BodyNotStored);
}

TEST(RetryDecision, AttemptsDeliveriesAndTimeAreLimited) {
  RetryInput input =
      createInput(RequestKind::Idempotent, {"failed", true, false, {}});
  input.MaxAttempts = 1;
  EXPECT_EQ(decideRetry(input), RetryDecision::NoAttemptsLeft);
  input.MaxAttempts = 2;
  EXPECT_EQ(decideRetry(input), RetryDecision::Retry);
  input.DeliveriesNotExecuted = 20;
  EXPECT_EQ(decideRetry(input), RetryDecision::NoAttemptsLeft);
  input.DeliveriesNotExecuted = 0;
  input.TimeLeft = milliseconds(1);
  EXPECT_EQ(decideRetry(input), RetryDecision::NoTimeLeft);
}

} // namespace
} // namespace waxwing
