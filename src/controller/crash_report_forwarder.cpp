/**
 * @file crash_report_forwarder.cpp
 * Floods crash reports to routers and controllers.
 */
#include "controller/crash_report_forwarder.h"

namespace waxwing {

void CrashReportForwarder::on(const LinkMessageReceived &received, Time now) {
  if (std::holds_alternative<LinkHello>(received.Message))
    send(received.From.Role, KnownReports.reports(now));
  const auto *update = std::get_if<CrashReportsUpdate>(&received.Message);
  if (update == nullptr)
    return;
  const std::vector<CrashReport> newReports =
      KnownReports.merge(update->Reports, now);
  send(ProcessRole::Router, newReports);
  send(ProcessRole::Controller, newReports);
}

void CrashReportForwarder::send(ProcessRole role,
                                std::vector<CrashReport> reports) {
  if (!reports.empty())
    Links.commands().push(SendLinkMessage{
        std::nullopt, role, CrashReportsUpdate{std::move(reports)}});
}

} // namespace waxwing
