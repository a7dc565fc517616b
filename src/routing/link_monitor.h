/**
 * @file link_monitor.h
 * Tells a VM that has lost its links to all upstreams from upstreams that are
 * gone. Failed connections alone do not tell these cases apart, so the monitor
 * asks for test connections to other upstreams, spread over services and
 * failure domains, and judges by all outcomes together.
 */
#ifndef WAXWING_ROUTING_LINK_MONITOR_H
#define WAXWING_ROUTING_LINK_MONITOR_H

#include "core/id_type.h"
#include "core/time_type.h"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace waxwing {

/// An upstream to which a test connection may be opened.
struct TestableUpstream {
  UpstreamId Id;
  ServiceId Service;
  DomainId Domain;
};

/// Judges this VM's links by the outcomes of its new connections to upstreams.
/// Kept connections do not count: they may outlive the ability to open new
/// ones.
class LinkMonitor {
public:
  /// Interval of calls of upstreamsToTest() while isTesting().
  static constexpr Duration CheckInterval = milliseconds(50);

  /// @param seed selects the upstreams that are tested
  explicit LinkMonitor(std::uint64_t seed = 0) : Random(seed) {}

  /// A connection to @p upstream was established.
  void onConnected(const UpstreamId &upstream, Time now);
  /// A connection to @p upstream was refused, or not established in time.
  /// @param startedAt when the connection was begun
  void onConnectFailed(const UpstreamId &upstream, Time startedAt, Time now);
  /// @return false while this VM cannot open connections to upstreams
  bool areLinksWorking() const { return State != LinkState::Lost; }

  /// Call after each failure, and each CheckInterval while isTesting().
  /// @param usable all upstreams that may receive requests
  /// @return upstreams to connect to now; the outcome of each is to be passed
  ///   to onConnected() or onConnectFailed()
  std::vector<UpstreamId>
  upstreamsToTest(const std::vector<TestableUpstream> &usable, Time now);
  /// @return true while there are failures that no success has explained
  bool isTesting() const {
    return State != LinkState::Working || !Failed.empty();
  }

private:
  enum class LinkState : std::uint8_t {
    Working,
    Verifying, ///< lost, if all of Awaited fail
    Lost,
  };

  void forgetOldFailures(const std::vector<TestableUpstream> &usable, Time now);
  std::vector<UpstreamId>
  chooseSpread(const std::vector<TestableUpstream> &usable, std::size_t count);
  std::vector<UpstreamId>
  chooseRandom(const std::vector<TestableUpstream> &usable, std::size_t count);
  std::vector<UpstreamId> verify(const std::vector<TestableUpstream> &usable,
                                 Time now);

  std::mt19937_64 Random;
  LinkState State = LinkState::Working;
  Time LastConnectedAt = Time::min();
  /// Time of the last failure of each upstream since the last success.
  std::map<UpstreamId, Time> Failed;
  /// Test connections without an outcome yet.
  std::set<UpstreamId> Pending;
  /// Upstreams whose failure proves the loss. Not empty while Verifying.
  std::set<UpstreamId> Awaited;
  Time VerifyUntil; ///< missing outcomes are given up then
  Time NextTestAt;  ///< no tests begin earlier
};

} // namespace waxwing

#endif
