/**
 * @file link_monitor.cpp
 * Counts the upstreams to which connections fail.
 */
#include "routing/link_monitor.h"

namespace waxwing {

void LinkMonitor::onConnected(const UpstreamId & /*upstream*/, Time /*now*/) {
  IsWorking = true;
}

void LinkMonitor::onConnectFailed(const UpstreamId & /*upstream*/,
                                  Time /*now*/) {}

} // namespace waxwing
