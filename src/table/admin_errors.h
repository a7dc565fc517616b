/**
 * @file admin_errors.h
 * Table of the administration API's errors and waxwingctl's exit codes.
 */
#ifndef WAXWING_TABLE_ADMIN_ERRORS_H
#define WAXWING_TABLE_ADMIN_ERRORS_H

#include <array>
#include <cstdint>
#include <string_view>

namespace waxwing {

/// Cause of a refused administration request.
enum class AdminError : std::uint8_t {
  None,
  Malformed,
  Unauthenticated,
  Forbidden,
  NotFound,
  MethodNotAllowed,
  Invalid,
  Conflict,
  ReusedChangeId,
  TooLarge,
  Busy,
  Unavailable,
  Unresolved,
};
constexpr std::size_t AdminErrorCount = 13;

/// Exit codes of waxwingctl.
enum class CtlExitCode : std::uint8_t {
  Success = 0,
  Failure = 1,     ///< local error, such as an unreadable file
  Usage = 2,       ///< invalid command line
  Refused = 3,     ///< invalid request
  NotFound = 4,    ///< document, section or key does not exist
  Conflict = 5,    ///< a newer change modified the same values
  Denied = 6,      ///< token missing, unknown or without permission
  Unavailable = 7, ///< nothing was changed; try again
  Unresolved = 8,  ///< may have taken effect; repeat with the same id
};

/// Name in the API, HTTP status and exit code of one error.
struct AdminErrorInfo {
  AdminError Id;         ///< equals the row's index
  std::string_view Name; ///< "code" in the response, suffix of the counter
  int HttpStatus;
  CtlExitCode Exit;
  std::string_view Advice; ///< what the operator can do
};

/// Invariant: row i describes the AdminError with value i.
constexpr std::array<AdminErrorInfo, AdminErrorCount> AdminErrorTable{{
    {AdminError::None, "none", 200, CtlExitCode::Success, ""},
    {AdminError::Malformed, "malformed", 400, CtlExitCode::Refused,
     "see docs/ADMINISTRATION.md for paths and bodies"},
    {AdminError::Unauthenticated, "unauthenticated", 401, CtlExitCode::Denied,
     "pass a valid token in WAXWING_TOKEN or --token-file"},
    {AdminError::Forbidden, "forbidden", 403, CtlExitCode::Denied,
     "use a token of this team, or an operator's"},
    {AdminError::NotFound, "not_found", 404, CtlExitCode::NotFound,
     "`waxwingctl list` shows what exists"},
    {AdminError::MethodNotAllowed, "method_not_allowed", 405,
     CtlExitCode::Refused,
     "see docs/ADMINISTRATION.md for the methods of this path"},
    {AdminError::Invalid, "invalid", 422, CtlExitCode::Refused,
     "correct the value; nothing was written"},
    {AdminError::Conflict, "conflict", 409, CtlExitCode::Conflict,
     "read the value again before you retry; nothing was written"},
    {AdminError::ReusedChangeId, "reused_change_id", 409, CtlExitCode::Conflict,
     "choose a new change id; nothing was written"},
    {AdminError::TooLarge, "too_large", 413, CtlExitCode::Refused,
     "shorten the document or split the change"},
    {AdminError::Busy, "busy", 503, CtlExitCode::Unavailable,
     "nothing was written; try again"},
    {AdminError::Unavailable, "unavailable", 503, CtlExitCode::Unavailable,
     "nothing was written; try again when the store responds"},
    {AdminError::Unresolved, "unresolved", 504, CtlExitCode::Unresolved,
     "the change may still take effect; repeat it with the same --change id"},
}};

static_assert(
    [] {
      for (std::size_t n = 0; n < AdminErrorCount; ++n)
        if (static_cast<std::size_t>(AdminErrorTable[n].Id) != n)
          return false;
      return true;
    }(),
    "AdminErrorTable rows must be in the order of enum AdminError");

/// @return the table row of @p error
constexpr const AdminErrorInfo &adminErrorInfo(AdminError error) {
  return AdminErrorTable[static_cast<std::size_t>(error)];
}

/// @return the error with the given "code" of a response; Malformed for an
///   unknown code
constexpr AdminError findAdminError(std::string_view name) {
  for (const AdminErrorInfo &info : AdminErrorTable)
    if (info.Name == name)
      return info.Id;
  return AdminError::Malformed;
}

} // namespace waxwing

#endif
