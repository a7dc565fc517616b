/**
 * @file crasher_detector.cpp
 * Losses become reports once their upstream is found dead.
 */
#include "traffic/crasher_detector_base.h"

#include <algorithm>

namespace waxwing {

void CrasherDetector::noteLost(RequestFingerprint print,
                               const UpstreamId &upstream,
                               const DomainId &domain, Time now) {
  const auto found = FoundDead.find(upstream);
  if (found != FoundDead.end() && now <= found->second + SameDeathSpan) {
    // Another request's loss at this death was looked into already.
    hold({print, domain, now}, upstream, now);
    return;
  }
  if (Losses.size() < CrashPrintLimit)
    Losses.emplace(upstream, Loss{print, domain, now});
}

void CrasherDetector::hold(const Loss &loss, const UpstreamId &upstream,
                           Time now) {
  if (add(loss.Fingerprint, {upstream, loss.Domain, loss.At}, now))
    News.push_back({loss.Fingerprint, upstream, loss.Domain, now - loss.At});
}

void CrasherDetector::noteDead(const UpstreamId &upstream, Time now) {
  const auto [first, last] = Losses.equal_range(upstream);
  std::for_each(first, last, [&](const auto &entry) {
    const Loss &loss = entry.second;
    if (now <= loss.At + CorroborationSpan)
      hold(loss, upstream, now);
  });
  Losses.erase(first, last);
  FoundDead[upstream] = now;
}

void CrasherDetector::noteAnswered(RequestFingerprint print) {
  const auto it = Marks.find(print);
  if (it != Marks.end() && it->second.SuspectUntil == Time())
    Marks.erase(it);
}

std::vector<CrashReport>
CrasherDetector::merge(const std::vector<CrashReport> &reports, Time now) {
  std::vector<CrashReport> fresh;
  std::ranges::copy_if(
      reports, std::back_inserter(fresh), [&](const CrashReport &it) {
        return it.Age < CrashMarkLifetime &&
               add(it.Fingerprint, {it.Upstream, it.Domain, now - it.Age}, now);
      });
  return fresh;
}

bool CrasherDetector::add(RequestFingerprint print, Death death, Time now) {
  if (Marks.size() >= CrashPrintLimit && !Marks.contains(print))
    return false;
  Record &record = Marks[print];
  std::erase_if(record.Deaths, [now](const Death &it) {
    return now >= it.At + CrashMarkLifetime;
  });
  // Several routers may tell of one death.
  const bool isKnown = std::ranges::any_of(record.Deaths, [&](const Death &it) {
    return it.Upstream == death.Upstream &&
           std::chrono::abs(it.At - death.At) <= SameDeathSpan;
  });
  if (isKnown || record.Deaths.size() >= SuspectDeaths)
    return false;
  record.Deaths.push_back(std::move(death));
  if (isSuspicious(record))
    record.SuspectUntil = now + SuspectLifetime;
  return true;
}

bool CrasherDetector::isSuspicious(const Record &record) {
  const std::vector<Death> &deaths = record.Deaths;
  if (deaths.size() != 2)
    return deaths.size() >= SuspectDeaths;
  const bool isApart =
      std::chrono::abs(deaths[0].At - deaths[1].At) > IncidentSpan;
  return deaths[0].Upstream != deaths[1].Upstream &&
         (isApart || deaths[0].Domain != deaths[1].Domain);
}

bool CrasherDetector::isMarked(RequestFingerprint print) const {
  return Marks.contains(print) ||
         std::ranges::any_of(Losses, [print](const auto &entry) {
           return entry.second.Fingerprint == print;
         });
}

std::size_t CrasherDetector::countDeaths(RequestFingerprint print) const {
  const auto it = Marks.find(print);
  const auto losses = std::ranges::count_if(Losses, [print](const auto &entry) {
    return entry.second.Fingerprint == print;
  });
  return static_cast<std::size_t>(losses) +
         (it == Marks.end() ? 0 : it->second.Deaths.size());
}

bool CrasherDetector::isSuspect(RequestFingerprint print, Time now) const {
  const auto it = Marks.find(print);
  return it != Marks.end() && now < it->second.SuspectUntil;
}

std::vector<UpstreamId> CrasherDetector::undecided() const {
  std::vector<UpstreamId> upstreams;
  for (const auto &[upstream, loss] : Losses)
    if (upstreams.empty() || upstreams.back() != upstream)
      upstreams.push_back(upstream);
  return upstreams;
}

std::vector<CrashReport> CrasherDetector::takeNews() {
  return std::exchange(News, {});
}

std::vector<CrashReport> CrasherDetector::reports(Time now) const {
  std::vector<CrashReport> all;
  for (const auto &[print, record] : Marks)
    for (const Death &it : record.Deaths)
      all.push_back({print, it.Upstream, it.Domain, now - it.At});
  return all;
}

void CrasherDetector::tick(Time now) {
  std::erase_if(Losses, [now](const auto &entry) {
    return now > entry.second.At + CorroborationSpan;
  });
  std::erase_if(FoundDead, [now](const auto &entry) {
    return now > entry.second + SameDeathSpan;
  });
  absl::erase_if(Marks, [now](const auto &entry) {
    const Record &record = entry.second;
    return now >= record.SuspectUntil &&
           std::ranges::all_of(record.Deaths, [now](const Death &it) {
             return now >= it.At + CrashMarkLifetime;
           });
  });
}

} // namespace waxwing
