/**
 * @file idempotency_func.h
 * Reads idempotency keys.
 */
#ifndef WAXWING_TRAFFIC_IDEMPOTENCY_FUNC_H
#define WAXWING_TRAFFIC_IDEMPOTENCY_FUNC_H

#include "traffic/idempotency_type.h"

#include <absl/status/statusor.h>
#include <string>

namespace waxwing {

/// Reads a key's time of issue from "<unix ms>-<random>" or a version 7
/// UUID.
/// @return the time, or InvalidArgument saying what is allowed
absl::StatusOr<WallTime> parseIssueTime(const std::string &key);

/// @return the part of its service's keys that @p key belongs to
PartitionId partitionOf(const IdempotencyKey &key);

} // namespace waxwing

#endif
