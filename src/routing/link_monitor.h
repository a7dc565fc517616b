/**
 * @file link_monitor.h
 * Tells a VM that has lost its links to all upstreams from upstreams that are
 * gone. What a VM sees of an upstream is the state of its own links.
 */
#ifndef WAXWING_ROUTING_LINK_MONITOR_H
#define WAXWING_ROUTING_LINK_MONITOR_H

#include "core/id_type.h"
#include "core/time_type.h"

namespace waxwing {

/// Judges this VM's links by the outcomes of its new connections to upstreams.
class LinkMonitor {
public:
  /// A connection to @p upstream was established.
  void onConnected(const UpstreamId &upstream, Time now);
  /// A connection to @p upstream was refused, or not established in time.
  void onConnectFailed(const UpstreamId &upstream, Time now);
  /// @return false while this VM cannot open connections to upstreams
  bool areLinksWorking() const { return IsWorking; }

private:
  bool IsWorking = true;
};

} // namespace waxwing

#endif
