/**
 * @file limit_guard.cpp
 * Permits of upstreams that this VM is in charge of need no datagram.
 */
#include "node/limit_guard.h"

#include "node/node_log.h"

#include <algorithm>

namespace waxwing {
namespace {

UpstreamProcess processOf(const Upstream &upstream) {
  return {upstream.Entry.Id, upstream.Entry.StartedAtMs};
}

} // namespace

LimitGuard::LimitGuard(UpstreamTable &upstreams, const VmId &self)
    : Upstreams(upstreams), Self(self), Vms{self}, Holder(self) {}

void LimitGuard::record(const UpstreamProcess &process,
                        std::optional<double> perS, Time at,
                        std::string_view source, Time now) {
  if (!Upstreams.limits().note(process, perS, at))
    return;
  logLine(LogPriority::StateChange, now, "upstream_limit",
          "upstream={} born={} per_s={} source={} age_ms={} in_charge={}",
          sanitizeForLog(process.Id.Value), process.StartedAtMs,
          perS ? fmt::format("{:.2f}", *perS) : "none", source,
          toMilliseconds(now - at),
          sanitizeForLog(vmInCharge(process.Id, Vms).Value));
  if (OnLimitsChanged)
    OnLimitsChanged();
}

void LimitGuard::onNamed(const UpstreamProcess &process,
                         std::optional<double> perS, Time now) {
  record(process, perS, now, "response", now);
}

void LimitGuard::onNotices(const std::vector<LimitNotice> &notices, Time now) {
  for (const LimitNotice &notice : notices)
    record(notice.Process, notice.PerS, now - std::max(notice.Age, Duration()),
           "vm", now);
}

bool LimitGuard::hasPermit(const Upstream &upstream, Time now) {
  const auto perS = limitOf(upstream);
  return !perS || Holder.state(processOf(upstream), *perS, Vms, now) ==
                      PermitHolder::State::Available;
}

bool LimitGuard::obtainPermit(const Upstream &upstream, Time now) {
  const auto perS = limitOf(upstream);
  const UpstreamProcess process = processOf(upstream);
  if (!perS ||
      Holder.state(process, *perS, Vms, now) != PermitHolder::State::Ask)
    return hasPermit(upstream, now);
  const PeerPermitAsk ask{process, *perS};
  Holder.onAsked(process, now);
  if (const VmId &vm = vmInCharge(process.Id, Vms); vm != Self) {
    OnAsk(vm, ask);
    return false;
  }
  Holder.onAnswer(process, answer(ask, now).Answer, now);
  return hasPermit(upstream, now);
}

void LimitGuard::onSending(const Upstream &upstream, Time now) {
  if (limitOf(upstream))
    Holder.use(processOf(upstream), now);
}

double LimitGuard::usableSlots(const Upstream &upstream,
                               Duration typicalProcessingTime) const {
  const auto perS = limitOf(upstream);
  const double slots = upstream.Entry.Slots;
  if (!perS || typicalProcessingTime <= Duration())
    return slots;
  const std::chrono::duration<double> work(typicalProcessingTime);
  return std::min(slots, *perS * work.count());
}

PeerPermitAnswer LimitGuard::answer(const PeerPermitAsk &ask, Time now) {
  const auto known =
      Upstreams.limits().find(ask.Process.Id, ask.Process.StartedAtMs);
  const PermitAnswer given = Issuer.issue(
      ask.Process, std::min(known.value_or(ask.PerS), ask.PerS), now);
  GrantedCount += given.IsGranted ? 1 : 0;
  return {ask.Process, given};
}

void LimitGuard::onAnswer(const PeerPermitAnswer &answer, Time now) {
  Holder.onAnswer(answer.Process, answer.Answer, now);
  if (const Upstream *upstream = Upstreams.find(answer.Process.Id);
      upstream != nullptr && OnAnswered)
    OnAnswered(upstream->Entry.Service);
}

} // namespace waxwing
