/**
 * @file admin_answer.h
 * The decisions' answers to the administration API.
 */
#ifndef WAXWING_CONTROLLER_ADMIN_ANSWER_H
#define WAXWING_CONTROLLER_ADMIN_ANSWER_H

#include "admin/admin_type.h"
#include "controller/configuration_host.h"

namespace waxwing {

/// Answers @p query by what this VM knows; used on the decision thread.
decltype(AdminAnswer::Result)
answerAdmin(const AdminQuery &query, const VmId &self,
            const ConfigurationHost &configurations,
            const ControlCounters &counters);

} // namespace waxwing

#endif
