/**
 * @file admin_query_handler.h
 * Answers queries of the administration API on the decision thread.
 */
#ifndef WAXWING_CONTROLLER_ADMIN_QUERY_HANDLER_H
#define WAXWING_CONTROLLER_ADMIN_QUERY_HANDLER_H

#include "admin/admin_type.h"
#include "controller/control_node_driver.h"
#include "metrics/control_counters.h"

namespace waxwing {

/// Answers one administration query from the state known to this VM. Used on
/// the decision thread only.
struct AdminQueryHandler {
  using Result = decltype(AdminResponse::Result);

  const VmId &Self;
  const ControlNodeDriver &NodeDriver;
  const ControlCounters &Counters;
  Time Now;

  Result answer(const AdminQuery &query) const;

  Result operator()(const OwnerRequest &call) const;
  Result operator()(const RevisionsRequest &call) const;
  Result operator()(const CountersRequest &call) const;
  /// Never called through the API: AcceptedDocument expects no answer.
  Result operator()(const AcceptedDocument &notice) const;
};

} // namespace waxwing

#endif
