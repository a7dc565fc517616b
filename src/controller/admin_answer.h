/**
 * @file admin_answer.h
 * The decisions' answers to the administration API.
 */
#ifndef WAXWING_CONTROLLER_ADMIN_ANSWER_H
#define WAXWING_CONTROLLER_ADMIN_ANSWER_H

#include "admin/admin_type.h"
#include "controller/configuration_host.h"
#include "metrics/control_counters.h"

namespace waxwing {

/// Answers by what this VM knows; used on the decision thread.
struct AdminAnswerer {
  using Result = decltype(AdminResponse::Result);

  const VmId &Self;
  const ConfigurationHost &Configurations;
  const ControlCounters &Counters;
  Time Now;

  Result answer(const AdminQuery &query) const;

  Result operator()(const OwnerCall &call) const;
  Result operator()(const RevisionsCall &call) const;
  Result operator()(const CountersCall &call) const;
  /// News have no answer.
  Result operator()(const AcceptedDocument &news) const;
};

} // namespace waxwing

#endif
