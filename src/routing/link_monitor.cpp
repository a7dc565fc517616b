/**
 * @file link_monitor.cpp
 * Chooses the upstreams that are tested, and judges the outcomes.
 */
#include "routing/link_monitor.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace waxwing {
namespace {

/// Failures are forgotten after this time.
constexpr Duration FailureRetention = seconds(2);
/// Number of upstreams with failures from which on the loss of all links is
/// verified.
constexpr std::size_t SuspiciousFailures = 2;
/// Further upstreams that must all fail before the links count as lost, or all
/// others if there are fewer.
constexpr std::size_t VerificationTests = 10;
/// Upstreams tested at a time, after a first failure and while the links are
/// lost.
constexpr std::size_t FewTests = 2;
/// Time after which a test without an outcome is given up.
constexpr Duration VerificationTimeout = milliseconds(1000);
/// Interval of the tests while the links are lost.
constexpr Duration TestInterval = milliseconds(200);
/// Time without tests after they have shown that the links work, so that
/// crashed upstreams do not cause tests all the time.
constexpr Duration PauseAfterSuccess = milliseconds(500);

} // namespace

void LinkMonitor::onConnected(const UpstreamId &upstream, Time now) {
  if (State != LinkState::Working || Pending.contains(upstream))
    NextTestAt = now + PauseAfterSuccess;
  State = LinkState::Working;
  LastConnectedAt = now;
  Failed.clear();
  Pending.clear();
  Awaited.clear();
}

void LinkMonitor::onConnectFailed(const UpstreamId &upstream, Time startedAt,
                                  Time now) {
  Pending.erase(upstream);
  // The links worked after this connection was begun.
  if (startedAt <= LastConnectedAt)
    return;
  Failed[upstream] = now;
  Awaited.erase(upstream);
  if (State == LinkState::Verifying && Awaited.empty()) {
    State = LinkState::Lost;
    NextTestAt = now + TestInterval;
  }
}

std::vector<UpstreamId>
LinkMonitor::upstreamsToTest(const std::vector<TestableUpstream> &usable,
                             Time now) {
  std::vector<UpstreamId> result;
  if (State == LinkState::Lost) {
    if (now < NextTestAt)
      return {};
    result = chooseRandom(usable, FewTests);
    Pending.insert(result.begin(), result.end());
    NextTestAt = now + TestInterval;
    return result;
  }
  if (State == LinkState::Verifying) {
    if (now < VerifyUntil)
      return {};
    State = LinkState::Working;
    Failed.clear();
    Pending.clear();
    Awaited.clear();
    return {};
  }
  forgetOldFailures(usable, now);
  if (Failed.size() >= SuspiciousFailures && now >= NextTestAt)
    return verify(usable, now);
  if (Failed.empty() || !Pending.empty() || now < NextTestAt)
    return {};
  result = chooseSpread(usable, FewTests);
  Pending.insert(result.begin(), result.end());
  return result;
}

void LinkMonitor::forgetOldFailures(const std::vector<TestableUpstream> &usable,
                                    Time now) {
  std::erase_if(Failed, [&](const auto &entry) {
    return now > entry.second + FailureRetention ||
           std::ranges::find(usable, entry.first, &TestableUpstream::Id) ==
               usable.end();
  });
}

/// Begins to test upstreams without a failure, whose failure proves the loss of
/// the links.
std::vector<UpstreamId>
LinkMonitor::verify(const std::vector<TestableUpstream> &usable, Time now) {
  std::vector<UpstreamId> result = chooseSpread(usable, VerificationTests);
  Pending.insert(result.begin(), result.end());
  Awaited = Pending;
  State = Awaited.empty() ? LinkState::Lost : LinkState::Verifying;
  VerifyUntil = now + VerificationTimeout;
  return result;
}

/// @return up to @p count upstreams without a failure that are not being
///   tested, spread over services and failure domains
std::vector<UpstreamId>
LinkMonitor::chooseSpread(const std::vector<TestableUpstream> &usable,
                          std::size_t count) {
  std::map<ServiceId, int> perService;
  std::map<DomainId, int> perDomain;
  std::vector<TestableUpstream> candidates;
  for (const TestableUpstream &upstream : usable) {
    if (!Failed.contains(upstream.Id) && !Pending.contains(upstream.Id)) {
      candidates.push_back(upstream);
      continue;
    }
    ++perService[upstream.Service];
    ++perDomain[upstream.Domain];
  }
  std::ranges::shuffle(candidates, Random);
  std::vector<UpstreamId> result;
  while (!candidates.empty() && result.size() < count) {
    const auto next = std::ranges::min_element(
        candidates, {}, [&](const TestableUpstream &upstream) {
          return std::tuple(perService[upstream.Service],
                            perDomain[upstream.Domain]);
        });
    ++perService[next->Service];
    ++perDomain[next->Domain];
    result.push_back(next->Id);
    candidates.erase(next);
  }
  return result;
}

/// @return up to @p count upstreams that are not being tested
std::vector<UpstreamId>
LinkMonitor::chooseRandom(const std::vector<TestableUpstream> &usable,
                          std::size_t count) {
  std::vector<TestableUpstream> candidates;
  std::ranges::copy_if(usable, std::back_inserter(candidates),
                       [&](const TestableUpstream &upstream) {
                         return !Pending.contains(upstream.Id);
                       });
  std::vector<TestableUpstream> chosen;
  std::ranges::sample(candidates, std::back_inserter(chosen),
                      static_cast<std::ptrdiff_t>(count), Random);
  std::vector<UpstreamId> result;
  std::ranges::transform(chosen, std::back_inserter(result),
                         &TestableUpstream::Id);
  return result;
}

} // namespace waxwing
