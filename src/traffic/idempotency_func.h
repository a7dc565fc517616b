/**
 * @file idempotency_func.h
 * Functions that parse and partition idempotency keys.
 */
#ifndef WAXWING_TRAFFIC_IDEMPOTENCY_FUNC_H
#define WAXWING_TRAFFIC_IDEMPOTENCY_FUNC_H

#include "traffic/idempotency_type.h"

#include <absl/status/statusor.h>
#include <string>

namespace waxwing {

/// Parses the time of issue of a key of the form "<unix ms>-<random>" or of a
/// version 7 UUID.
/// @return the time, or InvalidArgument with a description of both forms
absl::StatusOr<WallTime> parseIssueTime(const std::string &key);

/// @return the partition of its service's idempotency keys that holds @p key
PartitionId partitionOfKey(const IdempotencyKey &key);

} // namespace waxwing

#endif
