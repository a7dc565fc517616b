/**
 * @file admin_call_func.h
 * Parses HTTP requests into typed requests of the administration API.
 */
#ifndef WAXWING_ADMIN_ADMIN_CALL_FUNC_H
#define WAXWING_ADMIN_ADMIN_CALL_FUNC_H

#include "admin/admin_type.h"
#include "net/http_type.h"

namespace waxwing {

/// @return the typed request, or a refusal with the cause
std::variant<AdminRequest, AdminRefusal>
parseAdminRequest(const HttpRequest &request);

} // namespace waxwing

#endif
