/**
 * @file config_check_func.h
 * Checks of a document before it is stored. Stored documents are only parsed,
 * by parseTeamConfig(), when they are applied, so that a stricter check in a
 * later version never disables a document that was accepted before.
 */
#ifndef WAXWING_CONFIG_CONFIG_CHECK_FUNC_H
#define WAXWING_CONFIG_CONFIG_CHECK_FUNC_H

#include "config/config_cmd.h"

namespace waxwing {

/// Checks the document body @p next that is to replace @p before.
/// @return Ok, or InvalidArgument or FailedPrecondition with the place of the
///   error and the allowed values
absl::Status checkDocument(const DocumentId &document,
                           const std::string &before, const std::string &next);

} // namespace waxwing

#endif
