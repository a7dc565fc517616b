/**
 * @file admin_call_func.h
 * Reads HTTP requests as administration calls.
 */
#ifndef WAXWING_ADMIN_ADMIN_CALL_FUNC_H
#define WAXWING_ADMIN_ADMIN_CALL_FUNC_H

#include "admin/admin_type.h"
#include "net/http_type.h"

namespace waxwing {

/// @return the call, or the refusal that says what is wrong
std::variant<AdminCall, AdminRefusal>
parseAdminCall(const HttpRequest &request);

} // namespace waxwing

#endif
