/**
 * @file ctl_view.h
 * Readable form of the API's answers.
 */
#ifndef WAXWING_CTL_CTL_VIEW_H
#define WAXWING_CTL_CTL_VIEW_H

#include "ctl/ctl_command.h"
#include "table/admin_errors.h"

namespace waxwing {

/// What to print, and the exit code.
struct CtlOutput {
  std::string Text;   ///< for standard output
  std::string Error;  ///< for standard error
  std::string Secret; ///< a new token, "" for none
  CtlExitCode Exit = CtlExitCode::Success;
};

/// @param isJson prints the answer's body as it came
CtlOutput showAnswer(const CtlRequest &request, const HttpResponse &response,
                     bool isJson);

} // namespace waxwing

#endif
