/**
 * @file crash_report_forwarder.h
 * Forwards crash reports of routers to all routers.
 */
#ifndef WAXWING_CONTROLLER_CRASH_REPORT_FORWARDER_H
#define WAXWING_CONTROLLER_CRASH_REPORT_FORWARDER_H

#include "controller/link_manager.h"
#include "traffic/crasher_detector_base.h"

namespace waxwing {

/// Forwards crash reports over the links between controllers. Each controller
/// forwards a report only the first time it sees it, which ends the flooding.
/// Used on the decision thread only.
class CrashReportForwarder {
public:
  explicit CrashReportForwarder(LinkManager &links) : Links(links) {}

  void on(const LinkMessageReceived &received, Time now);
  void tick(Time now) { KnownReports.tick(now); }

private:
  void send(ProcessRole role, std::vector<CrashReport> reports);

  LinkManager &Links;
  CrasherDetector KnownReports;
};

} // namespace waxwing

#endif
