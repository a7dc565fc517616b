/**
 * @file crasher_detector.cpp
 * Turns lost connections into crash reports once their upstream is found
 * crashed.
 */
#include "traffic/crasher_detector_base.h"

#include "core/hash_func.h"

#include <algorithm>
#include <ranges>

namespace waxwing {

void CrasherDetector::recordConnectionLost(RequestFingerprint fingerprint,
                                           const UpstreamId &upstream,
                                           const DomainId &domain, Time now,
                                           std::int64_t startedAtMs) {
  const LostConnection lost{fingerprint, domain, now, startedAtMs};
  const auto found = CrashedAt.find(upstream);
  if (found != CrashedAt.end() && now <= found->second + SameCrashSpan) {
    // A connection lost earlier in the same crash led to the probe that found
    // the upstream crashed.
    attribute(lost, upstream, now);
    return;
  }
  if (LostConnections.size() < TrackedRequestLimit)
    LostConnections.emplace(upstream, lost);
}

void CrasherDetector::attribute(const LostConnection &lost,
                                const UpstreamId &upstream, Time now) {
  const Crash crash{upstream, lost.Domain, lost.At, lost.StartedAtMs};
  if (add(lost.Fingerprint, crash, now))
    NewReports.push_back(makeReport(lost.Fingerprint, crash, now));
}

CrashReport CrasherDetector::makeReport(RequestFingerprint fingerprint,
                                        const Crash &crash, Time now) {
  return {fingerprint, crash.Upstream, crash.Domain, now - crash.At,
          crash.StartedAtMs};
}

bool CrasherDetector::recordProcessEnded(const UpstreamId &upstream,
                                         std::int64_t startedAtMs, Time now) {
  const auto [first, last] = LostConnections.equal_range(upstream);
  const std::vector<std::pair<UpstreamId, LostConnection>> lost(first, last);
  bool isExplained = false;
  for (const auto &[id, connection] : lost) {
    if (connection.StartedAtMs == 0 || connection.StartedAtMs >= startedAtMs ||
        now > connection.At + EndConfirmationSpan)
      continue;
    attribute(connection, upstream, now);
    isExplained = true;
  }
  std::erase_if(LostConnections, [&](const auto &entry) {
    return entry.first == upstream && entry.second.StartedAtMs < startedAtMs;
  });
  return isExplained;
}

bool CrasherDetector::recordRefusal(const UpstreamId &upstream, Time openedAt,
                                    Time now) {
  const Time refusedAt =
      RefusedAt.try_emplace(upstream, openedAt).first->second;
  const auto [first, last] = LostConnections.equal_range(upstream);
  Time since = first == last ? refusedAt : Time();
  std::for_each(first, last, [&](const auto &entry) {
    since = std::max(since, entry.second.At);
  });
  const bool areLinksWorking =
      std::ranges::any_of(Answers, [&](const auto &entry) {
        return entry.first != upstream && entry.second.OpenedAt > since &&
               entry.second.AnsweredAt <= openedAt;
      });
  if (!areLinksWorking)
    return false;
  std::for_each(first, last, [&](const auto &entry) {
    const LostConnection &lost = entry.second;
    if (now <= lost.At + CrashConfirmationSpan)
      attribute(lost, upstream, now);
  });
  LostConnections.erase(first, last);
  RefusedAt.erase(upstream);
  CrashedAt[upstream] = now;
  return true;
}

void CrasherDetector::recordAnswer(const UpstreamId &upstream, Time openedAt,
                                   Time now) {
  RefusedAt.erase(upstream);
  Answers[upstream] = {openedAt, now};
  // The process did not crash, or its next one is running already.
  std::erase_if(LostConnections, [&](const auto &entry) {
    return entry.first == upstream && entry.second.At <= openedAt;
  });
}

std::vector<UpstreamId> CrasherDetector::refusingUpstreams() const {
  const auto ids = RefusedAt | std::views::keys;
  return {ids.begin(), ids.end()};
}

bool CrasherDetector::recordCompleteResponse(RequestFingerprint fingerprint,
                                             Time now) {
  return Records.contains(fingerprint) && clear(fingerprint, now, now);
}

/// Clears a request that is no suspect yet of its crashes up to @p clearedAt.
/// @return whether it was not cleared of one of them
bool CrasherDetector::clear(RequestFingerprint fingerprint, Time clearedAt,
                            Time now) {
  if (now >= clearedAt + CrashReportLifetime || isSuspect(fingerprint, now))
    return false;
  if (ClearedAt.size() < TrackedRequestLimit || ClearedAt.contains(fingerprint))
    ClearedAt[fingerprint] = std::max(ClearedAt[fingerprint], clearedAt);
  const auto it = Records.find(fingerprint);
  if (it == Records.end())
    return false;
  bool isChanged = false;
  for (Crash &crash : it->second.Crashes)
    if (crash.At <= clearedAt)
      isChanged |= !std::exchange(crash.IsCleared, true);
  return isChanged;
}

std::vector<CrashReport>
CrasherDetector::merge(const std::vector<CrashReport> &reports, Time now) {
  std::vector<CrashReport> fresh;
  std::ranges::copy_if(
      reports, std::back_inserter(fresh), [&](const CrashReport &it) {
        return it.Age < CrashReportLifetime &&
               add(it.Fingerprint,
                   {it.Upstream, it.Domain, now - it.Age, it.StartedAtMs}, now);
      });
  return fresh;
}

CrashNews CrasherDetector::merge(const CrashNews &news, Time now) {
  CrashNews fresh;
  std::ranges::copy_if(news.Suspects, std::back_inserter(fresh.Suspects),
                       [&](const CrashSuspect &it) {
                         return addSuspect(it.Fingerprint, now + it.Left, now);
                       });
  std::ranges::copy_if(news.Clearances, std::back_inserter(fresh.Clearances),
                       [&](const CrashClearance &it) {
                         return clear(it.Fingerprint, now - it.Age, now);
                       });
  fresh.Reports = merge(news.Reports, now);
  return fresh;
}

bool CrasherDetector::addSuspect(RequestFingerprint fingerprint, Time until,
                                 Time now) {
  if (until <= now || until > now + SuspectLifetime ||
      isSuspect(fingerprint, now) ||
      (Records.size() >= TrackedRequestLimit && !Records.contains(fingerprint)))
    return false;
  Records[fingerprint].SuspectUntil = until;
  return true;
}

bool CrasherDetector::add(RequestFingerprint fingerprint, Crash crash,
                          Time now) {
  if (Records.size() >= TrackedRequestLimit && !Records.contains(fingerprint))
    return false;
  Record &record = Records[fingerprint];
  std::erase_if(record.Crashes, [now](const Crash &it) {
    return now >= it.At + CrashReportLifetime;
  });
  // Several routers may report the same crash.
  const bool isKnown = std::ranges::any_of(
      record.Crashes, [&](const Crash &it) { return isSameCrash(it, crash); });
  if (isKnown || record.Crashes.size() >= MaxCrashesOfRequest ||
      openCrashes(record).size() >= CrashesToSuspect)
    return false;
  const auto cleared = ClearedAt.find(fingerprint);
  crash.IsCleared = cleared != ClearedAt.end() && crash.At <= cleared->second;
  record.Crashes.push_back(crash);
  if (crash.IsCleared)
    return false;
  if (hasCrashesOfSuspect(record))
    record.SuspectUntil = now + SuspectLifetime;
  return true;
}

bool CrasherDetector::isSameCrash(const Crash &a, const Crash &b) {
  if (a.Upstream != b.Upstream)
    return false;
  return a.StartedAtMs != 0 && b.StartedAtMs != 0
             ? a.StartedAtMs == b.StartedAtMs
             : std::chrono::abs(a.At - b.At) <= SameCrashSpan;
}

std::vector<CrasherDetector::Crash>
CrasherDetector::openCrashes(const Record &record) {
  std::vector<Crash> crashes;
  std::ranges::copy_if(record.Crashes, std::back_inserter(crashes),
                       [](const Crash &it) { return !it.IsCleared; });
  return crashes;
}

bool CrasherDetector::hasCrashesOfSuspect(const Record &record) {
  const std::vector<Crash> crashes = openCrashes(record);
  if (crashes.size() != 2)
    return crashes.size() >= CrashesToSuspect;
  const bool isApart =
      std::chrono::abs(crashes[0].At - crashes[1].At) > CommonCauseSpan;
  return crashes[0].Upstream != crashes[1].Upstream &&
         (isApart || crashes[0].Domain != crashes[1].Domain);
}

bool CrasherDetector::mayHaveCausedCrash(RequestFingerprint fingerprint) const {
  const auto it = Records.find(fingerprint);
  return (it != Records.end() && (it->second.SuspectUntil != Time() ||
                                  !openCrashes(it->second).empty())) ||
         std::ranges::any_of(LostConnections, [fingerprint](const auto &entry) {
           return entry.second.Fingerprint == fingerprint;
         });
}

std::size_t
CrasherDetector::countCrashes(RequestFingerprint fingerprint) const {
  const auto it = Records.find(fingerprint);
  const auto lost =
      std::ranges::count_if(LostConnections, [fingerprint](const auto &entry) {
        return entry.second.Fingerprint == fingerprint;
      });
  return static_cast<std::size_t>(lost) +
         (it == Records.end() ? 0 : openCrashes(it->second).size());
}

Time CrasherDetector::suspectUntil(RequestFingerprint fingerprint) const {
  const auto it = Records.find(fingerprint);
  return it == Records.end() ? Time() : it->second.SuspectUntil;
}

std::vector<CrashSuspect> CrasherDetector::suspects(Time now) const {
  std::vector<CrashSuspect> result;
  for (const auto &[fingerprint, record] : Records)
    if (now < record.SuspectUntil)
      result.push_back({fingerprint, record.SuspectUntil - now});
  return result;
}

std::vector<UpstreamId> CrasherDetector::unresolvedUpstreams(Time since) const {
  std::vector<UpstreamId> upstreams;
  for (const auto &[upstream, lost] : LostConnections)
    if (lost.At >= since && (upstreams.empty() || upstreams.back() != upstream))
      upstreams.push_back(upstream);
  return upstreams;
}

std::vector<CrashReport> CrasherDetector::takeNewReports() {
  return std::exchange(NewReports, {});
}

std::vector<CrashReport> CrasherDetector::reports(Time now) const {
  std::vector<CrashReport> all;
  for (const auto &[fingerprint, record] : Records)
    for (const Crash &it : openCrashes(record))
      all.push_back(makeReport(fingerprint, it, now));
  return all;
}

CrashNews CrasherDetector::news(Time now) const {
  CrashNews all{reports(now), {}, suspects(now)};
  std::erase_if(all.Reports, [](const CrashReport &it) {
    return it.Age >= CrashReportLifetime;
  });
  for (const auto &[fingerprint, clearedAt] : ClearedAt)
    all.Clearances.push_back({fingerprint, now - clearedAt});
  return all;
}

std::uint64_t CrasherDetector::digest(Time now) const {
  std::uint64_t sum = 0; // independent of the order
  for (const auto &[fingerprint, record] : Records)
    if (now < record.SuspectUntil)
      sum += hashText("suspect", fingerprint.Value);
  return sum;
}

void CrasherDetector::tick(Time now) {
  std::erase_if(LostConnections, [&](const auto &entry) {
    return now > entry.second.At + EndConfirmationSpan;
  });
  absl::erase_if(ClearedAt, [&](const auto &entry) {
    return now >= entry.second + CrashReportLifetime;
  });
  std::erase_if(RefusedAt, [now](const auto &entry) {
    return now > entry.second + CrashConfirmationSpan;
  });
  std::erase_if(Answers, [now](const auto &entry) {
    return now > entry.second.AnsweredAt + CrashConfirmationSpan;
  });
  std::erase_if(CrashedAt, [now](const auto &entry) {
    return now > entry.second + SameCrashSpan;
  });
  absl::erase_if(Records, [now](const auto &entry) {
    const Record &record = entry.second;
    return now >= record.SuspectUntil &&
           std::ranges::all_of(record.Crashes, [now](const Crash &it) {
             return now >= it.At + CrashReportLifetime;
           });
  });
}

} // namespace waxwing
