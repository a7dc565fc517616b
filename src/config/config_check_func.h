/**
 * @file config_check_func.h
 * What a document must fulfil before it is accepted. Documents that were
 * accepted once are put into force by parseTeamConfig() alone, so a stricter
 * check never takes an accepted document away.
 */
#ifndef WAXWING_CONFIG_CONFIG_CHECK_FUNC_H
#define WAXWING_CONFIG_CONFIG_CHECK_FUNC_H

#include "config/config_cmd.h"

namespace waxwing {

/// Checks the body @p next that is to replace @p before.
/// @return Ok; InvalidArgument or FailedPrecondition saying what is wrong,
///   where, and what is allowed
absl::Status checkDocument(const DocumentId &document,
                           const std::string &before, const std::string &next);

} // namespace waxwing

#endif
