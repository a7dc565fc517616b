/**
 * @file reason_counters.h
 * One counter for each Reason.
 */
#ifndef WAXWING_METRICS_REASON_COUNTERS_H
#define WAXWING_METRICS_REASON_COUNTERS_H

#include "core/verdict_type.h"
#include "metrics/enum_counters.h"

namespace waxwing {

using ReasonCounters = EnumCounters<Reason, ReasonCount>;

} // namespace waxwing

#endif
