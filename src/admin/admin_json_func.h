/**
 * @file admin_json_func.h
 * JSON bodies of the administration API's answers.
 */
#ifndef WAXWING_ADMIN_ADMIN_JSON_FUNC_H
#define WAXWING_ADMIN_ADMIN_JSON_FUNC_H

#include "admin/admin_type.h"
#include "config/token_config_base.h"
#include "net/http_type.h"

namespace waxwing {

HttpResponse showRefusal(const AdminRefusal &refusal);
HttpResponse showTeams(const std::vector<StoreEntry> &entries,
                       const TokenScope &scope);
/// A document's values under @p path, secrets hidden.
HttpResponse showSettings(const StoreEntry &entry, const std::string &path);
/// Changes that touched @p path, newest first.
HttpResponse showHistory(const StoreEntry &entry, const std::string &path);
HttpResponse showChange(const ConfigAnswer &answer, const std::string &change);
HttpResponse showOwner(const OwnerResponse &answer);
HttpResponse showRevisions(const RevisionsResponse &answer,
                           const TokenScope &scope);
HttpResponse showCounters(const CountersResponse &answer);

/// @return the error of a verdict, None for Accepted and Valid
AdminError toAdminError(ConfigVerdict verdict);

} // namespace waxwing

#endif
