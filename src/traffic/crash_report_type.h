/**
 * @file crash_report_type.h
 * Reports that routers exchange about requests in flight at crashed upstreams.
 */
#ifndef WAXWING_TRAFFIC_CRASH_REPORT_TYPE_H
#define WAXWING_TRAFFIC_CRASH_REPORT_TYPE_H

#include "core/id_type.h"
#include "core/time_type.h"

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
  bool operator==(const CrashReport &) const = default;
};

/// Link message with crash reports that the receiver may not have yet.
struct CrashReportsUpdate {
  std::vector<CrashReport> Reports;
  bool operator==(const CrashReportsUpdate &) const = default;
};

} // namespace waxwing

#endif
