/**
 * @file crash_mark_host.h
 * Passes routers' crash reports on to all routers.
 */
#ifndef WAXWING_CONTROLLER_CRASH_MARK_HOST_H
#define WAXWING_CONTROLLER_CRASH_MARK_HOST_H

#include "controller/link_port.h"
#include "traffic/crasher_detector_base.h"

namespace waxwing {

/// Used on the decision thread only. Reports flood the links between
/// controllers; each controller passes a mark on once.
class CrashMarkHost {
public:
  explicit CrashMarkHost(LinkPort &links) : Links(links) {}

  void on(const LinkReceived &received, Time now);
  void tick(Time now) { Known.tick(now); }

private:
  void send(ProcessRole role, std::vector<CrashReport> reports);

  LinkPort &Links;
  CrasherDetector Known;
};

} // namespace waxwing

#endif
