/**
 * @file crash_guard.h
 * Finds requests that crash the upstreams that execute them, together with the
 * other VMs, so that they are refused.
 */
#ifndef WAXWING_NODE_CRASH_GUARD_H
#define WAXWING_NODE_CRASH_GUARD_H

#include "node/exchange.h"
#include "node/link_tester.h"
#include "node/node_clock.h"
#include "traffic/crasher_detector_base.h"

#include <functional>

namespace waxwing {

/// Observes lost connections, test connections and the list of upstreams, and
/// decides with a CrasherDetector which requests are suspects.
///
/// A lost connection is a crash under its request if the upstream's process is
/// known to have ended: the list shows a later process of the upstream or at
/// its address, or its host refuses connections while other upstreams accept
/// them. Upstreams that leave end as planned and do not count.
class CrashGuard {
public:
  /// @param links opens the test connections and reports all new connections
  CrashGuard(boost::asio::io_context &loop, LinkTester &links,
             const UpstreamTable &upstreams);

  /// @return the same value at every VM and for each repetition of the request.
  ///   A body that is not whole counts by its announced length only
  static RequestFingerprint fingerprintOf(const Exchange &exchange);

  /// @return until when the request is refused; Time() if it is not
  Time refusedUntil(RequestFingerprint fingerprint, Time now) const;
  /// The connection to @p process was lost while it had the request.
  void onRequestLost(RequestFingerprint fingerprint,
                     const UpstreamProcess &process, Time now);
  /// An upstream executed the request and sent a complete response.
  void onRequestExecuted(RequestFingerprint fingerprint, Time now);
  /// The list of upstreams shows @p entry.
  void onUpstreamListed(const UpstreamEntry &entry, Time now);
  /// The process is known to have ended.
  void onProcessEnded(const UpstreamProcess &process, Time now);
  /// Adds what another VM knows.
  /// @return what was not known yet
  CrashNews merge(const CrashNews &news, Time now);
  /// @return the last crashes, up to a number that fits into one datagram
  CrashNews news(Time now) const;
  /// @return a hash of what this VM knows, to compare it with another VM
  std::uint64_t digest(Time now) const { return Detector.digest(now); }

  /// @return number of crashes under requests that this VM has found
  std::uint64_t crashCount() const { return CrashCount; }
  std::size_t suspectCount(Time now) const {
    return Detector.suspects(now).size();
  }

  /// Called with what this VM has found.
  std::function<void(const CrashNews &)> OnNews;

private:
  void onConnectEnd(const UpstreamId &upstream, Time startedAt,
                    ConnectOutcome outcome);
  void testUnresolved();
  /// Logs and passes on the crashes found since the last call.
  void publish(std::string_view proof, Time now);

  LinkTester &Links;
  const UpstreamTable &Upstreams;
  CrasherDetector Detector;
  DeadlineTimer TestTimer;
  std::uint64_t CrashCount = 0;
};

} // namespace waxwing

#endif
