/**
 * @file admin_json_func.h
 * JSON responses of the administration API.
 */
#ifndef WAXWING_ADMIN_ADMIN_JSON_FUNC_H
#define WAXWING_ADMIN_ADMIN_JSON_FUNC_H

#include "admin/admin_type.h"
#include "config/token_config_base.h"
#include "net/http_type.h"

namespace waxwing {

HttpResponse makeRefusalResponse(const AdminRefusal &refusal);
HttpResponse makeTeamsResponse(const std::vector<StoreEntry> &entries,
                               const TokenScope &scope);
/// Lists a document's values at and below @p path, secrets hidden.
HttpResponse makeSettingsResponse(const StoreEntry &entry,
                                  const std::string &path);
/// Lists the changes that modified @p path, newest first.
HttpResponse makeHistoryResponse(const StoreEntry &entry,
                                 const std::string &path);
/// @param change id of the change
HttpResponse makeChangeResponse(const ConfigResponse &response,
                                const std::string &change);
HttpResponse makeOwnerResponse(const OwnerResponse &response);
HttpResponse makeRevisionsResponse(const RevisionsResponse &response,
                                   const TokenScope &scope);
HttpResponse makeCountersResponse(const CountersResponse &response);

/// @return the error that corresponds to @p outcome; None for Accepted and
///   Valid
AdminError toAdminError(ConfigOutcome outcome);

} // namespace waxwing

#endif
