/**
 * @file crash_mark_host.cpp
 * Flooding of crash marks.
 */
#include "controller/crash_mark_host.h"

namespace waxwing {

void CrashMarkHost::on(const LinkReceived &received, Time now) {
  if (std::holds_alternative<LinkHello>(received.Message))
    send(received.From.Role, Known.marks(now));
  const auto *update = std::get_if<CrashMarksUpdate>(&received.Message);
  if (update == nullptr)
    return;
  const std::vector<CrashMark> fresh = Known.merge(update->Marks, now);
  send(ProcessRole::Router, fresh);
  send(ProcessRole::Controller, fresh);
}

void CrashMarkHost::send(ProcessRole role, std::vector<CrashMark> marks) {
  if (!marks.empty())
    Links.commands().push(
        LinkSend{std::nullopt, role, CrashMarksUpdate{std::move(marks)}});
}

} // namespace waxwing
