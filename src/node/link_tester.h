/**
 * @file link_tester.h
 * Opens the test connections that the link monitor asks for, and reports when
 * this VM loses its links to the upstreams or gets them back.
 */
#ifndef WAXWING_NODE_LINK_TESTER_H
#define WAXWING_NODE_LINK_TESTER_H

#include "node/connection_pool.h"
#include "node/node_clock.h"
#include "routing/link_monitor.h"
#include "routing/upstream_table.h"

#include <functional>
#include <vector>

namespace waxwing {

/// Feeds a LinkMonitor with the outcomes of connections to upstreams.
class LinkTester {
public:
  /// @param pool receives test connections that were established
  LinkTester(boost::asio::io_context &loop, ConnectionPool &pool,
             const UpstreamTable &upstreams);

  bool areLinksWorking() const { return Monitor.areLinksWorking(); }
  /// @return number of test connections opened
  std::uint64_t testCount() const { return TestCount; }
  /// Called with the outcome of a new connection to @p upstream.
  void onConnectEnd(const UpstreamId &upstream, Time startedAt,
                    ConnectOutcome outcome);
  /// Opens a test connection to @p upstream, which must be in the table.
  void test(const UpstreamId &upstream, Time now);

  /// Called with the new value when areLinksWorking() has changed.
  std::function<void(bool)> OnChange;
  /// Called with what is passed to onConnectEnd().
  std::function<void(const UpstreamId &, Time, ConnectOutcome)> OnConnectEnd;

private:
  void check();
  void reportChange();
  std::vector<TestableUpstream> usableUpstreams() const;

  ConnectionPool &Pool;
  const UpstreamTable &Upstreams;
  LinkMonitor Monitor;
  DeadlineTimer CheckTimer;
  std::uint64_t TestCount = 0;
  bool WasWorking = true; ///< areLinksWorking() as last reported
};

} // namespace waxwing

#endif
