/**
 * @file record_check_func.h
 * Checks upstream execution records against the outcomes reported to callers.
 */
#ifndef WAXWING_STANDIN_RECORD_CHECK_FUNC_H
#define WAXWING_STANDIN_RECORD_CHECK_FUNC_H

#include "standin/load_base.h"

namespace waxwing {

/// Checks execution records for duplicate and lost writes and for units with
/// two owners at a time.
/// @param records response bodies of /record, "" for an unreachable upstream
/// @param writes outcomes reported to callers, by idempotency key
RecordCheckResult
checkUpstreamRecords(const std::vector<std::string> &records,
                     const std::map<std::string, WriteOutcome> &writes);

} // namespace waxwing

#endif
