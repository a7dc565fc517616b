/**
 * @file crash_report_type.h
 * What routers tell each other of requests in flight at upstreams that died.
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

/// A request was in flight at an upstream when that one died.
struct CrashReport {
  RequestFingerprint Fingerprint;
  UpstreamId Upstream;
  DomainId Domain;
  Duration Age{}; ///< since the death, when the mark was sent
  bool operator==(const CrashReport &) const = default;
};

/// Reports that the receiver may lack.
struct CrashReportsUpdate {
  std::vector<CrashReport> Reports;
  bool operator==(const CrashReportsUpdate &) const = default;
};

} // namespace waxwing

#endif
