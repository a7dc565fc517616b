/**
 * @file control_counters.h
 * Table of the names and help texts of a controller's counters.
 */
#ifndef WAXWING_TABLE_CONTROL_COUNTERS_H
#define WAXWING_TABLE_CONTROL_COUNTERS_H

#include "metrics/control_counters.h"

#include <array>
#include <string_view>

namespace waxwing {

/// Metric name and help text of one counter.
struct ControlCounterInfo {
  ControlCounter Id; ///< equals the row's index
  std::string_view Name;
  std::string_view Help;
};

/// Invariant: row i describes the ControlCounter with value i.
constexpr std::array<ControlCounterInfo, ControlCounterCount>
    ControlCounterTable{{
        {ControlCounter::StoreReads, "waxwing_store_reads_total",
         "Reads and lists asked of the store"},
        {ControlCounter::StoreWrites, "waxwing_store_writes_total",
         "Compare-and-swaps asked of the store"},
        {ControlCounter::StoreWatches, "waxwing_store_watches_total",
         "Watches asked of the store"},
        {ControlCounter::StoreConflicts, "waxwing_store_conflicts_total",
         "Compare-and-swaps that the store refused"},
        {ControlCounter::StoreUnanswered, "waxwing_store_unanswered_total",
         "Calls that the store did not answer in time"},
        {ControlCounter::OrdersSent, "waxwing_orders_sent_total",
         "Grant orders and queries sent to upstreams"},
        {ControlCounter::OrdersAccepted, "waxwing_orders_accepted_total",
         "Grant orders that took effect"},
        {ControlCounter::OrdersRefused, "waxwing_orders_refused_total",
         "Answers of upstreams without an accepted order, queries included"},
        {ControlCounter::OrdersUnanswered, "waxwing_orders_unanswered_total",
         "Orders and queries without a readable answer"},
        {ControlCounter::LinkMessagesSent, "waxwing_link_messages_sent_total",
         "Messages sent on links"},
        {ControlCounter::LinkBytesSent, "waxwing_link_bytes_sent_total",
         "Bytes of messages sent on links"},
        {ControlCounter::LinkMessagesReceived,
         "waxwing_link_messages_received_total", "Messages from links"},
        {ControlCounter::LinkBytesReceived, "waxwing_link_bytes_received_total",
         "Bytes of messages from links"},
        {ControlCounter::LinkMessagesFaulty,
         "waxwing_link_messages_faulty_total",
         "Messages that could not be read; the link is closed"},
        {ControlCounter::LinksLost, "waxwing_links_lost_total",
         "Links of known processes that ended"},
        {ControlCounter::RingFull, "waxwing_ring_full_total",
         "Messages dropped because a ring between threads was full"},
        {ControlCounter::DocumentsInForce, "waxwing_documents_in_force_total",
         "Documents put into force"},
        {ControlCounter::DocumentsRefused, "waxwing_documents_refused_total",
         "Documents that were newer but faulty"},
    }};

static_assert(
    [] {
      for (std::size_t n = 0; n < ControlCounterCount; ++n)
        if (static_cast<std::size_t>(ControlCounterTable[n].Id) != n)
          return false;
      return true;
    }(),
    "ControlCounterTable rows must be in the order of enum ControlCounter");

} // namespace waxwing

#endif
