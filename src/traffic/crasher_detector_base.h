/**
 * @file crasher_detector_base.h
 * Detects requests that crash the upstreams that execute them.
 */
#ifndef WAXWING_TRAFFIC_CRASHER_DETECTOR_BASE_H
#define WAXWING_TRAFFIC_CRASHER_DETECTOR_BASE_H

#include "traffic/crash_report_type.h"

#include <absl/container/flat_hash_map.h>
#include <map>
#include <set>

namespace waxwing {

/// A crash report counts for this long after the crash.
constexpr Duration CrashReportLifetime = seconds(60);
/// A suspected request is refused for this long after its last crash report.
constexpr Duration SuspectLifetime = seconds(600);
/// A lost connection counts as a crash of its upstream when the upstream is
/// found unreachable within this time.
constexpr Duration CrashConfirmationSpan = seconds(2);
/// Crashes in one failure domain within this time may have a common cause.
constexpr Duration CommonCauseSpan = seconds(1);
/// Lost connections to one upstream within this time belong to one crash.
constexpr Duration SameCrashSpan = milliseconds(200);
/// After this many crashes a request is suspected, even if they may have
/// another common cause.
constexpr std::size_t CrashesToSuspect = 3;
/// Maximum number of crashes that are remembered for one request.
constexpr std::size_t MaxCrashesOfRequest = 16;
/// Maximum number of requests with crash reports, and of lost connections
/// without a known cause.
constexpr std::size_t TrackedRequestLimit = 10'000;

/// Finds requests that probably crash upstreams (suspects). A request is
/// suspected when it was in flight at two different upstreams that crashed more
/// than CommonCauseSpan apart or in different failure domains, or at any three
/// crashes. A complete response clears the reports of a request that is not
/// suspected yet.
///
/// What a router sees of an upstream is the state of its own links: refusals
/// prove a crash only while the router can connect to other upstreams.
///
/// Invariant: two crashes in one failure domain within CommonCauseSpan make no
/// request a suspect.
class CrasherDetector {
public:
  /// @param endConfirmationSpan a lost connection counts as a crash if its
  ///   process is known to have ended within this time
  explicit CrasherDetector(Duration endConfirmationSpan = CrashConfirmationSpan)
      : EndConfirmationSpan(endConfirmationSpan) {}

  /// Records that the connection of an attempt was lost after its request was
  /// sent.
  /// @param startedAtMs start of the upstream's process, Unix ms; 0 if unknown
  void recordConnectionLost(RequestFingerprint fingerprint,
                            const UpstreamId &upstream, const DomainId &domain,
                            Time now, std::int64_t startedAtMs = 0);
  /// Records that all processes of the upstream that were started before
  /// @p startedAtMs, Unix ms, have ended.
  /// @return whether that explains a lost connection
  bool recordProcessEnded(const UpstreamId &upstream, std::int64_t startedAtMs,
                          Time now);
  /// Records that the upstream refused a connection that was opened at
  /// @p openedAt. It counts as crashed if another upstream has answered on a
  /// connection that was opened since requests were lost at this one, and
  /// before @p openedAt; else this router may have lost its links.
  /// @return whether the upstream counts as crashed
  bool recordRefusal(const UpstreamId &upstream, Time openedAt, Time now);
  /// Records that the upstream answered on a connection that was opened at
  /// @p openedAt.
  void recordAnswer(const UpstreamId &upstream, Time openedAt, Time now);
  /// @return upstreams that refuse connections and do not count as crashed
  std::vector<UpstreamId> refusingUpstreams() const;
  /// Records that an upstream sent a complete response to the request.
  /// @return whether that has cleared the request of crashes
  bool recordCompleteResponse(RequestFingerprint fingerprint, Time now);
  /// Adds reports of another router.
  /// @return the reports that were not known yet
  std::vector<CrashReport> merge(const std::vector<CrashReport> &reports,
                                 Time now);
  /// Adds what another VM knows.
  /// @return what was not known yet
  CrashNews merge(const CrashNews &news, Time now);

  /// @return whether the request was in flight at an upstream that crashed or
  ///   may have crashed
  bool mayHaveCausedCrash(RequestFingerprint fingerprint) const;
  /// @return number of crashes that the request may have caused, including
  ///   lost connections whose cause is not known yet
  std::size_t countCrashes(RequestFingerprint fingerprint) const;
  /// @return whether the request must be refused
  bool isSuspect(RequestFingerprint fingerprint, Time now) const {
    return now < suspectUntil(fingerprint);
  }
  /// @return until when the request must be refused; Time() if it is no suspect
  Time suspectUntil(RequestFingerprint fingerprint) const;
  /// @return all requests that must be refused
  std::vector<CrashSuspect> suspects(Time now) const;

  /// @return upstreams with connections lost at @p since or later whose cause
  ///   is not known yet
  std::vector<UpstreamId> unresolvedUpstreams(Time since = Time::min()) const;
  /// @return reports that this router created since the last call, to be sent
  ///   to the other routers
  std::vector<CrashReport> takeNewReports();
  /// @return all reports, to be sent to a process that has just connected
  std::vector<CrashReport> reports(Time now) const;
  /// @return all that other VMs may lack
  CrashNews news(Time now) const;
  /// @return a hash of the suspects, by which two VMs compare them
  std::uint64_t digest(Time now) const;
  /// Drops expired lost connections, crashes and reports.
  void tick(Time now);

private:
  /// A crash of an upstream that had the request in flight.
  struct Crash {
    UpstreamId Upstream;
    DomainId Domain;
    Time At;
    std::int64_t StartedAtMs = 0; ///< start of the process; 0 if unknown
    /// The request is cleared of it. It is kept, so that a late copy of its
    /// report is not taken for another crash.
    bool IsCleared = false;
  };
  /// A lost connection; it is not known yet whether its upstream crashed.
  struct LostConnection {
    RequestFingerprint Fingerprint;
    DomainId Domain;
    Time At;
    std::int64_t StartedAtMs = 0; ///< start of the process; 0 if unknown
  };
  /// A new connection on which an upstream answered.
  struct AnsweredConnection {
    Time OpenedAt;
    Time AnsweredAt;
  };

  /// @return whether the crash was not known yet and was added
  bool add(RequestFingerprint fingerprint, Crash crash, Time now);
  /// Attributes a crash to the request of a lost connection and creates a
  /// report.
  void attribute(const LostConnection &lost, const UpstreamId &upstream,
                 Time now);

  /// Crashes attributed to one request.
  struct Record {
    std::vector<Crash> Crashes; ///< at most MaxCrashesOfRequest
    Time SuspectUntil;          ///< Time() when the request is not suspected
  };
  static bool hasCrashesOfSuspect(const Record &record);
  /// @return the crashes of which the request is not cleared
  static std::vector<Crash> openCrashes(const Record &record);
  static bool isSameCrash(const Crash &a, const Crash &b);
  static CrashReport makeReport(RequestFingerprint fingerprint,
                                const Crash &crash, Time now);
  bool addSuspect(RequestFingerprint fingerprint, Time until, Time now);
  bool clear(RequestFingerprint fingerprint, Time clearedAt, Time now);

  Duration EndConfirmationSpan;

  absl::flat_hash_map<RequestFingerprint, Record> Records;
  /// Time of the last complete response that cleared a request. Earlier crashes
  /// do not count.
  absl::flat_hash_map<RequestFingerprint, Time> ClearedAt;
  std::multimap<UpstreamId, LostConnection> LostConnections;
  /// When each upstream was last found crashed. Further connections lost in
  /// the same crash may be reported after that.
  std::map<UpstreamId, Time> CrashedAt;
  /// First refusal of each upstream that does not count as crashed.
  std::map<UpstreamId, Time> RefusedAt;
  /// Last connection of each upstream on which it answered.
  std::map<UpstreamId, AnsweredConnection> Answers;
  /// Reports created here since the last takeNewReports(). Their Age is the
  /// time from the crash until they were created.
  std::vector<CrashReport> NewReports;
};

} // namespace waxwing

#endif
