/**
 * @file crash_mark_host.cpp
 * Flooding of crash reports.
 */
#include "controller/crash_mark_host.h"

namespace waxwing {

void CrashMarkHost::on(const LinkReceived &received, Time now) {
  if (std::holds_alternative<LinkHello>(received.Message))
    send(received.From.Role, Known.reports(now));
  const auto *update = std::get_if<CrashReportsUpdate>(&received.Message);
  if (update == nullptr)
    return;
  const std::vector<CrashReport> fresh = Known.merge(update->Reports, now);
  send(ProcessRole::Router, fresh);
  send(ProcessRole::Controller, fresh);
}

void CrashMarkHost::send(ProcessRole role, std::vector<CrashReport> reports) {
  if (!reports.empty())
    Links.commands().push(
        LinkSend{std::nullopt, role, CrashReportsUpdate{std::move(reports)}});
}

} // namespace waxwing
