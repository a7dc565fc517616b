/**
 * @file crash_guard.cpp
 * Tests upstreams whose connections were lost, and passes on what is found.
 */
#include "node/crash_guard.h"

#include "core/hash_func.h"
#include "node/node_log.h"

#include <algorithm>

namespace waxwing {
namespace {

/// A process counts as crashed under a request if it is known to have ended
/// within this time after it. A restarted process appears in the list after
/// some seconds.
constexpr Duration EndConfirmationSpan = seconds(15);
/// Time from a lost connection to the first test of its upstream; usually
/// requests connect to it before.
constexpr Duration TestDelay = milliseconds(100);
constexpr Duration TestInterval = milliseconds(300);
/// Maximum number of crashes that are passed on in one datagram.
constexpr std::size_t MaxPassedReports = 256;

template <class Item>
void keepYoungest(std::vector<Item> &items, Duration Item::*age) {
  if (items.size() <= MaxPassedReports)
    return;
  std::ranges::sort(items, {}, age);
  items.resize(MaxPassedReports);
}

} // namespace

CrashGuard::CrashGuard(boost::asio::io_context &loop, LinkTester &links,
                       const UpstreamTable &upstreams)
    : Links(links), Upstreams(upstreams), Detector(EndConfirmationSpan),
      TestTimer(loop, [this] { testUnresolved(); }) {
  Links.OnConnectEnd = [this](const UpstreamId &upstream, Time startedAt,
                              ConnectOutcome outcome) {
    onConnectEnd(upstream, startedAt, outcome);
  };
}

RequestFingerprint CrashGuard::fingerprintOf(const Exchange &exchange) {
  const auto field = [&](std::string_view name) {
    const std::string *value = http::findField(exchange.Head.Headers, name);
    return value == nullptr ? std::string_view() : std::string_view(*value);
  };
  std::uint64_t hash = hashText(exchange.Caller, 0);
  for (const std::string_view part :
       {std::string_view(exchange.Head.Method), field("Host"),
        std::string_view(exchange.Head.Target), field("Content-Length")})
    hash = hashText(part, hash);
  const RequestBody &body = exchange.Body;
  if (body.isWhole() && body.isStored())
    hash = hashText(body.bytesFrom(0, body.received()), hash);
  return RequestFingerprint(hash);
}

Time CrashGuard::refusedUntil(RequestFingerprint fingerprint, Time now) const {
  const Time until = Detector.suspectUntil(fingerprint);
  return now < until ? until : Time();
}

void CrashGuard::onRequestLost(RequestFingerprint fingerprint,
                               const UpstreamProcess &process, Time now) {
  const Upstream *upstream = Upstreams.find(process.Id);
  const bool isEndPlanned =
      upstream == nullptr || !upstream->IsListed ||
      upstream->Entry.StartedAtMs != process.StartedAtMs ||
      upstream->Entry.IsDraining || Upstreams.isLeaving(process.Id);
  if (isEndPlanned)
    return;
  Detector.tick(now);
  Detector.recordConnectionLost(fingerprint, process.Id, upstream->Entry.Domain,
                                now, process.StartedAtMs);
  publish("refused", now);
  TestTimer.scheduleBy(now + TestDelay);
}

void CrashGuard::onRequestExecuted(RequestFingerprint fingerprint, Time now) {
  if (Detector.recordCompleteResponse(fingerprint, now) && OnNews)
    OnNews({{}, {{fingerprint, Duration()}}, {}});
}

void CrashGuard::onConnectEnd(const UpstreamId &upstream, Time startedAt,
                              ConnectOutcome outcome) {
  const Time now = bootNow();
  if (outcome == ConnectOutcome::Established) {
    Detector.recordAnswer(upstream, startedAt, now);
  } else if (outcome == ConnectOutcome::Refused) {
    Detector.recordRefusal(upstream, startedAt, now);
    publish("refused", now);
  }
}

/// Tests the upstreams that lost requests, unless other requests at them show
/// that they run; and, if connections are refused, whether other upstreams
/// accept them.
void CrashGuard::testUnresolved() {
  const Time now = bootNow();
  Detector.tick(now);
  const auto unresolved =
      Detector.unresolvedUpstreams(now - CrashConfirmationSpan);
  if (unresolved.empty())
    return;
  for (const UpstreamId &id : unresolved)
    if (const Upstream *upstream = Upstreams.find(id);
        upstream != nullptr && upstream->Load.outstanding() == 0)
      Links.test(id, now);
  if (!Detector.refusingUpstreams().empty()) {
    const auto control =
        std::ranges::find_if(Upstreams.all(), [&](const auto &entry) {
          return Upstreams.isUsable(entry.second) &&
                 entry.second.Load.isOutOfBackoff(now) &&
                 std::ranges::find(unresolved, entry.first) == unresolved.end();
        });
    if (control != Upstreams.all().end())
      Links.test(control->first, now);
  }
  TestTimer.scheduleBy(now + TestInterval);
}

void CrashGuard::onUpstreamListed(const UpstreamEntry &entry, Time now) {
  for (const UpstreamId &id : Detector.unresolvedUpstreams()) {
    const Upstream *other = Upstreams.find(id);
    const bool hasAddress = id != entry.Id && other != nullptr &&
                            other->Entry.Address == entry.Address &&
                            other->Entry.StartedAtMs < entry.StartedAtMs;
    if (id == entry.Id || hasAddress)
      Detector.recordProcessEnded(id, entry.StartedAtMs, now);
  }
  publish("later_process", now);
}

void CrashGuard::onProcessEnded(const UpstreamProcess &process, Time now) {
  Detector.recordProcessEnded(process.Id, process.StartedAtMs + 1, now);
  publish("address_in_use_by_another", now);
}

void CrashGuard::publish(std::string_view proof, Time now) {
  CrashNews found{Detector.takeNewReports(), {}, {}};
  if (found.Reports.empty())
    return;
  CrashCount += found.Reports.size();
  for (const CrashReport &report : found.Reports) {
    const Time until = Detector.suspectUntil(report.Fingerprint);
    logLine(LogPriority::StateChange, now, "crash_under_request",
            "fingerprint={:016x} upstream={} born={} proof={} age_ms={} "
            "crashes={} suspect={}",
            report.Fingerprint.Value, sanitizeForLog(report.Upstream.Value),
            report.StartedAtMs, proof, toMilliseconds(report.Age),
            Detector.countCrashes(report.Fingerprint), now < until);
    if (now < until)
      found.Suspects.push_back({report.Fingerprint, until - now});
  }
  if (OnNews)
    OnNews(found);
}

CrashNews CrashGuard::merge(const CrashNews &news, Time now) {
  Detector.tick(now);
  CrashNews fresh = Detector.merge(news, now);
  for (const CrashReport &report : fresh.Reports)
    logLine(LogPriority::Routine, now, "crash_reported",
            "fingerprint={:016x} upstream={} born={} age_ms={} suspect={}",
            report.Fingerprint.Value, sanitizeForLog(report.Upstream.Value),
            report.StartedAtMs, toMilliseconds(report.Age),
            Detector.isSuspect(report.Fingerprint, now));
  return fresh;
}

CrashNews CrashGuard::news(Time now) const {
  CrashNews all = Detector.news(now);
  keepYoungest(all.Reports, &CrashReport::Age);
  keepYoungest(all.Clearances, &CrashClearance::Age);
  if (all.Suspects.size() > MaxPassedReports)
    all.Suspects.resize(MaxPassedReports);
  return all;
}

} // namespace waxwing
