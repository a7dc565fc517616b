/**
 * @file crash_report_type.h
 * Reports that routers exchange about requests in flight at crashed upstreams.
 */
#ifndef WAXWING_TRAFFIC_CRASH_REPORT_TYPE_H
#define WAXWING_TRAFFIC_CRASH_REPORT_TYPE_H

#include "core/id_type.h"
#include "core/time_type.h"

#include <cstdint>
#include <vector>

namespace waxwing {

/// Hash of a request's caller, method, target and body.
using RequestFingerprint =
    StrongId<struct RequestFingerprintTag, std::uint64_t>;

/// Reports that a request was in flight at an upstream when the upstream
/// crashed.
struct CrashReport {
  RequestFingerprint Fingerprint;
  UpstreamId Upstream;
  DomainId Domain;
  Duration Age{}; ///< time from the crash until the report was sent
  /// Start of the process that crashed, Unix ms; 0 if unknown.
  std::int64_t StartedAtMs = 0;
  bool operator==(const CrashReport &) const = default;
};

/// An upstream sent a complete response to the request, so earlier crashes had
/// another cause.
struct CrashClearance {
  RequestFingerprint Fingerprint;
  Duration Age{}; ///< time from the response until the clearance was sent
  bool operator==(const CrashClearance &) const = default;
};

/// A request that is refused.
struct CrashSuspect {
  RequestFingerprint Fingerprint;
  Duration Left{}; ///< time until it is not refused any more
  bool operator==(const CrashSuspect &) const = default;
};

/// What a VM knows, or has just learned, about requests and crashes.
struct CrashNews {
  std::vector<CrashReport> Reports;
  std::vector<CrashClearance> Clearances;
  std::vector<CrashSuspect> Suspects;

  bool isEmpty() const {
    return Reports.empty() && Clearances.empty() && Suspects.empty();
  }
  bool operator==(const CrashNews &) const = default;
};

/// Link message with crash reports that the receiver may not have yet.
struct CrashReportsUpdate {
  std::vector<CrashReport> Reports;
  bool operator==(const CrashReportsUpdate &) const = default;
};

} // namespace waxwing

#endif
