/**
 * @file link_tester.cpp
 * Test connections carry no request, and are kept for later requests.
 */
#include "node/link_tester.h"

#include "core/random_func.h"

#include <utility>

namespace waxwing {

LinkTester::LinkTester(boost::asio::io_context &loop, ConnectionPool &pool,
                       const UpstreamTable &upstreams)
    : Pool(pool), Upstreams(upstreams), Monitor(randomNumber()),
      CheckTimer(loop, [this] { check(); }) {}

void LinkTester::onConnectEnd(const UpstreamId &upstream, Time startedAt,
                              ConnectOutcome outcome) {
  const Time now = bootNow();
  if (OnConnectEnd)
    OnConnectEnd(upstream, startedAt, outcome);
  if (outcome == ConnectOutcome::Established) {
    Monitor.onConnected(upstream, now);
    reportChange();
    return;
  }
  Monitor.onConnectFailed(upstream, startedAt, now);
  check();
}

void LinkTester::check() {
  if (!Monitor.isTesting())
    return;
  const Time now = bootNow();
  for (const UpstreamId &id : Monitor.upstreamsToTest(usableUpstreams(), now))
    test(id, now);
  reportChange();
  if (Monitor.isTesting())
    CheckTimer.scheduleBy(now + LinkMonitor::CheckInterval);
}

void LinkTester::test(const UpstreamId &id, Time now) {
  ++TestCount;
  const Endpoint address = Upstreams.find(id)->Entry.Address;
  const auto connection = std::make_shared<std::weak_ptr<ClientConnection>>();
  *connection = Pool.open(
      address, [this, id, address, now, connection](ConnectOutcome outcome) {
        // More than one idle connection would take others' places at the
        // upstream.
        if (const auto opened = connection->lock();
            opened && outcome == ConnectOutcome::Established) {
          if (Pool.hasIdle(address))
            opened->close();
          else
            Pool.release(opened);
        }
        onConnectEnd(id, now, outcome);
      });
}

void LinkTester::reportChange() {
  const bool isWorking = Monitor.areLinksWorking();
  if (std::exchange(WasWorking, isWorking) != isWorking && OnChange)
    OnChange(isWorking);
}

std::vector<TestableUpstream> LinkTester::usableUpstreams() const {
  std::vector<TestableUpstream> result;
  for (const auto &[id, upstream] : Upstreams.all())
    if (Upstreams.isUsable(upstream))
      result.push_back({id, upstream.Entry.Service, upstream.Entry.Domain});
  return result;
}

} // namespace waxwing
