/**
 * @file crasher_detector.cpp
 * Turns lost connections into crash reports once their upstream is found
 * crashed.
 */
#include "traffic/crasher_detector_base.h"

#include <algorithm>
#include <ranges>

namespace waxwing {

void CrasherDetector::recordConnectionLost(RequestFingerprint fingerprint,
                                           const UpstreamId &upstream,
                                           const DomainId &domain, Time now) {
  const auto found = CrashedAt.find(upstream);
  if (found != CrashedAt.end() && now <= found->second + SameCrashSpan) {
    // A connection lost earlier in the same crash led to the probe that found
    // the upstream crashed.
    attribute({fingerprint, domain, now}, upstream, now);
    return;
  }
  if (LostConnections.size() < TrackedRequestLimit)
    LostConnections.emplace(upstream, LostConnection{fingerprint, domain, now});
}

void CrasherDetector::attribute(const LostConnection &lost,
                                const UpstreamId &upstream, Time now) {
  if (add(lost.Fingerprint, {upstream, lost.Domain, lost.At}, now))
    NewReports.push_back(
        {lost.Fingerprint, upstream, lost.Domain, now - lost.At});
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

void CrasherDetector::recordCompleteResponse(RequestFingerprint fingerprint) {
  const auto it = Records.find(fingerprint);
  if (it != Records.end() && it->second.SuspectUntil == Time())
    Records.erase(it);
}

std::vector<CrashReport>
CrasherDetector::merge(const std::vector<CrashReport> &reports, Time now) {
  std::vector<CrashReport> fresh;
  std::ranges::copy_if(
      reports, std::back_inserter(fresh), [&](const CrashReport &it) {
        return it.Age < CrashReportLifetime &&
               add(it.Fingerprint, {it.Upstream, it.Domain, now - it.Age}, now);
      });
  return fresh;
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
  const bool isKnown =
      std::ranges::any_of(record.Crashes, [&](const Crash &it) {
        return it.Upstream == crash.Upstream &&
               std::chrono::abs(it.At - crash.At) <= SameCrashSpan;
      });
  if (isKnown || record.Crashes.size() >= CrashesToSuspect)
    return false;
  record.Crashes.push_back(std::move(crash));
  if (hasCrashesOfSuspect(record))
    record.SuspectUntil = now + SuspectLifetime;
  return true;
}

bool CrasherDetector::hasCrashesOfSuspect(const Record &record) {
  const std::vector<Crash> &crashes = record.Crashes;
  if (crashes.size() != 2)
    return crashes.size() >= CrashesToSuspect;
  const bool isApart =
      std::chrono::abs(crashes[0].At - crashes[1].At) > CommonCauseSpan;
  return crashes[0].Upstream != crashes[1].Upstream &&
         (isApart || crashes[0].Domain != crashes[1].Domain);
}

bool CrasherDetector::mayHaveCausedCrash(RequestFingerprint fingerprint) const {
  return Records.contains(fingerprint) ||
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
         (it == Records.end() ? 0 : it->second.Crashes.size());
}

bool CrasherDetector::isSuspect(RequestFingerprint fingerprint,
                                Time now) const {
  const auto it = Records.find(fingerprint);
  return it != Records.end() && now < it->second.SuspectUntil;
}

std::vector<UpstreamId> CrasherDetector::unresolvedUpstreams() const {
  std::vector<UpstreamId> upstreams;
  for (const auto &[upstream, lost] : LostConnections)
    if (upstreams.empty() || upstreams.back() != upstream)
      upstreams.push_back(upstream);
  return upstreams;
}

std::vector<CrashReport> CrasherDetector::takeNewReports() {
  return std::exchange(NewReports, {});
}

std::vector<CrashReport> CrasherDetector::reports(Time now) const {
  std::vector<CrashReport> all;
  for (const auto &[fingerprint, record] : Records)
    for (const Crash &it : record.Crashes)
      all.push_back({fingerprint, it.Upstream, it.Domain, now - it.At});
  return all;
}

void CrasherDetector::tick(Time now) {
  std::erase_if(LostConnections, [now](const auto &entry) {
    return now > entry.second.At + CrashConfirmationSpan;
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
