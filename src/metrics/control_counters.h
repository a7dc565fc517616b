/**
 * @file control_counters.h
 * Counters of a controller. Their metric names and help texts are in
 * table/control_counters.h.
 */
#ifndef WAXWING_METRICS_CONTROL_COUNTERS_H
#define WAXWING_METRICS_CONTROL_COUNTERS_H

#include "metrics/enum_counters.h"

namespace waxwing {

enum class ControlCounter : std::uint8_t {
  StoreReads,
  StoreWrites,
  StoreWatches,
  StoreConflicts,
  StoreUnanswered,
  OrdersSent,
  OrdersAccepted,
  OrdersRefused,
  OrdersUnanswered,
  LinkMessagesSent,
  LinkBytesSent,
  LinkMessagesReceived,
  LinkBytesReceived,
  LinkMessagesFaulty,
  LinksLost,
  RingFull,
  DocumentsInForce,
  DocumentsRefused,
  Last = DocumentsRefused
};

constexpr std::size_t ControlCounterCount =
    static_cast<std::size_t>(ControlCounter::Last) + 1;

using ControlCounters = EnumCounters<ControlCounter, ControlCounterCount>;

} // namespace waxwing

#endif
