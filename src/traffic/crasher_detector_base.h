/**
 * @file crasher_detector_base.h
 * Finds requests that crash the upstreams that run them.
 */
#ifndef WAXWING_TRAFFIC_CRASHER_DETECTOR_BASE_H
#define WAXWING_TRAFFIC_CRASHER_DETECTOR_BASE_H

#include "traffic/crash_report_type.h"

#include <absl/container/flat_hash_map.h>
#include <map>
#include <set>

namespace waxwing {

/// A mark counts for this long after the death.
constexpr Duration CrashMarkLifetime = seconds(60);
/// A suspect is refused for this long after its last mark.
constexpr Duration SuspectLifetime = seconds(600);
/// A lost connection tells of a death when the upstream is found unreachable
/// within this span.
constexpr Duration CorroborationSpan = seconds(2);
/// Deaths in one failure domain within this span may have one cause.
constexpr Duration IncidentSpan = seconds(1);
/// Losses at one upstream within this span tell of one death.
constexpr Duration SameDeathSpan = milliseconds(200);
/// Deaths that make a request a suspect, whatever else may explain them.
constexpr std::size_t SuspectDeaths = 3;
/// Requests with reports at most.
constexpr std::size_t CrashPrintLimit = 10'000;

/// Collects reports. A request is suspected when it was in flight at two
/// upstreams that died in two incidents, or at any three deaths; an answer
/// clears it.
/// Invariant: two deaths in one failure domain within the incident span make
/// no request a suspect.
class CrasherDetector {
public:
  /// An attempt's connection broke after it was sent.
  void noteLost(RequestFingerprint print, const UpstreamId &upstream,
                const DomainId &domain, Time now);
  /// No connection to the upstream can be opened: it is dead.
  void noteDead(const UpstreamId &upstream, Time now);
  /// An upstream answered the request whole.
  void noteAnswered(RequestFingerprint print);
  /// Takes another router's reports.
  /// @return those that were not known here
  std::vector<CrashReport> merge(const std::vector<CrashReport> &reports,
                                 Time now);

  /// @return whether the request was in flight at an upstream that died, or
  ///   that may have
  bool isMarked(RequestFingerprint print) const;
  /// @return deaths that the request may have caused, undecided ones too
  std::size_t countDeaths(RequestFingerprint print) const;
  /// @return whether the request has to be refused
  bool isSuspect(RequestFingerprint print, Time now) const;

  /// @return upstreams whose death would explain a loss
  std::vector<UpstreamId> undecided() const;
  /// @return reports made here since the last call, for other routers
  std::vector<CrashReport> takeNews();
  /// @return all reports, for a router that has just started
  std::vector<CrashReport> reports(Time now) const;
  void tick(Time now);

private:
  struct Death {
    UpstreamId Upstream;
    DomainId Domain;
    Time At;
  };
  /// A lost connection whose upstream may live.
  struct Loss {
    RequestFingerprint Fingerprint;
    DomainId Domain;
    Time At;
  };

  bool add(RequestFingerprint print, Death death, Time now);
  /// Holds a loss that a death explains against its request.
  void hold(const Loss &loss, const UpstreamId &upstream, Time now);

  /// What is held against one request.
  struct Record {
    std::vector<Death> Deaths;
    Time SuspectUntil; ///< the epoch unless suspected
  };
  static bool isSuspicious(const Record &record);

  absl::flat_hash_map<RequestFingerprint, Record> Marks;
  std::multimap<UpstreamId, Loss> Losses;
  /// When upstreams were last found dead; losses at the same death follow.
  std::map<UpstreamId, Time> FoundDead;
  std::vector<CrashReport> News; ///< Age is filled when they are taken
};

} // namespace waxwing

#endif
