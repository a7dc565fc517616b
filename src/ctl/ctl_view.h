/**
 * @file ctl_view.h
 * Formats the API's responses for the operator.
 */
#ifndef WAXWING_CTL_CTL_VIEW_H
#define WAXWING_CTL_CTL_VIEW_H

#include "ctl/ctl_command.h"
#include "table/admin_errors.h"

namespace waxwing {

/// Output and exit code of a command.
struct CtlOutput {
  std::string Text;   ///< for standard output
  std::string Error;  ///< for standard error
  std::string Secret; ///< a new token, "" for none
  CtlExitCode Exit = CtlExitCode::Success;
};

/// Formats the response to @p request.
/// @param isJson outputs a JSON body unchanged
CtlOutput formatResponse(const CtlRequest &request,
                         const HttpResponse &response, bool isJson);

} // namespace waxwing

#endif
