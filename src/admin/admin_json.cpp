/**
 * @file admin_json.cpp
 * Builds all JSON responses of the administration API.
 */
#include "admin/admin_json_func.h"

#include "config/ini_edit_func.h"
#include "settings/ini_func.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace waxwing {
namespace {

using Json = nlohmann::json;

constexpr std::string_view TeamsKeyPrefix = "/teams/";

HttpResponse makeResponse(int status, const Json &body) {
  HttpResponse response;
  response.Status = status;
  response.Headers.add("Content-Type", "application/json");
  response.Headers.add("Cache-Control", "no-store");
  response.Body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  response.Body += "\n";
  return response;
}

Json toJson(const std::optional<std::string> &value) {
  return value ? Json(*value) : Json();
}

Json toJson(const std::vector<ValueChange> &values) {
  Json json = Json::array();
  for (const ValueChange &value : values)
    json.push_back({{"path", value.Path},
                    {"old", toJson(value.Old)},
                    {"new", toJson(value.New)}});
  return json;
}

Json toJson(const ChangeRecord &record) {
  return {{"change", record.Change},
          {"base", record.Base.Value},
          {"time", record.WallTime},
          {"who", record.Author},
          {"values", toJson(record.Values)}};
}

/// API error that reports each outcome of a change, indexed by ConfigOutcome.
constexpr std::array OutcomeErrors{
    AdminError::None,     AdminError::None,        AdminError::Invalid,
    AdminError::NotFound, AdminError::Conflict,    AdminError::ReusedChangeId,
    AdminError::Busy,     AdminError::Unavailable, AdminError::Unresolved,
};

/// @return sections and values at and below @p path, secrets hidden
Json listValues(const IniDocument &document, const std::string &path) {
  Json values = Json::array();
  for (const IniSection &section : document.Sections) {
    const std::string prefix = sectionPath(section.Name);
    if (pathsOverlap(path, prefix) && path.size() <= prefix.size())
      values.push_back({{"path", prefix}, {"value", nullptr}});
  }
  for (const IniEntry &entry : document.Entries) {
    const std::string name = sectionPath(entry.Section) + "/" + entry.Key;
    if (pathsOverlap(path, name) && path.size() <= name.size())
      values.push_back(
          {{"path", name},
           {"value",
            isSecretKey(entry.Key) ? std::string(HiddenValue) : entry.Value}});
  }
  return values;
}

Json makeErrorJson(AdminError error, const std::string &message) {
  const AdminErrorInfo &info = adminErrorInfo(error);
  return {{"code", info.Name}, {"error", message}, {"advice", info.Advice}};
}

} // namespace

AdminError toAdminError(ConfigOutcome outcome) {
  return OutcomeErrors.at(static_cast<std::size_t>(outcome));
}

HttpResponse makeRefusalResponse(const AdminRefusal &refusal) {
  return makeResponse(adminErrorInfo(refusal.Error).HttpStatus,
                      makeErrorJson(refusal.Error, refusal.Message));
}

HttpResponse makeTeamsResponse(const std::vector<StoreEntry> &entries,
                               const TokenScope &scope) {
  Json teams = Json::array();
  for (const StoreEntry &entry : entries) {
    const TeamId team(
        entry.Key.substr(std::min(TeamsKeyPrefix.size(), entry.Key.size())));
    if (scope.allows(team))
      teams.push_back({{"team", team.Value}, {"revision", entry.Rev.Value}});
  }
  return makeResponse(200, {{"teams", teams}});
}

HttpResponse makeSettingsResponse(const StoreEntry &entry,
                                  const std::string &path) {
  if (entry.Rev == Revision(0))
    return makeRefusalResponse(
        {AdminError::NotFound, entry.Key + " does not exist"});
  const std::string body = splitDocument(entry.Value).Body;
  const auto document = parseIni(body, entry.Key);
  const auto text = hideSecrets(body);
  if (!document.ok() || !text.ok())
    return makeRefusalResponse(
        {AdminError::Invalid, "the stored text is invalid: " +
                                  std::string(document.status().message())});
  const Json values = listValues(*document, path);
  if (!path.empty() && values.empty())
    return makeRefusalResponse(
        {AdminError::NotFound, path + " is not set; its default applies"});
  Json json{{"revision", entry.Rev.Value}, {"values", values}};
  if (path.empty())
    json["text"] = *text;
  return makeResponse(200, json);
}

HttpResponse makeHistoryResponse(const StoreEntry &entry,
                                 const std::string &path) {
  if (entry.Rev == Revision(0))
    return makeRefusalResponse(
        {AdminError::NotFound, entry.Key + " does not exist"});
  const ConfigDocument document = splitDocument(entry.Value);
  Json changes = Json::array();
  for (std::size_t n = document.History.size(); n > 0; --n) {
    const ChangeRecord &record = document.History[n - 1];
    const bool isTouched =
        std::ranges::any_of(record.Values, [&](const ValueChange &value) {
          return pathsOverlap(path, value.Path);
        });
    if (!isTouched)
      continue;
    Json change = toJson(record);
    change["revision"] = revisionOfRecord(document, n - 1, entry.Rev).Value;
    changes.push_back(std::move(change));
  }
  return makeResponse(200,
                      {{"revision", entry.Rev.Value}, {"changes", changes}});
}

HttpResponse makeChangeResponse(const ConfigResponse &response,
                                const std::string &change) {
  const AdminError error = toAdminError(response.Outcome);
  Json json = error == AdminError::None
                  ? Json::object()
                  : makeErrorJson(error, response.Message);
  json["change"] = change;
  json["revision"] = response.Rev.Value;
  if (error == AdminError::None) {
    json["values"] = toJson(response.Values);
    json["accepted"] = response.Outcome == ConfigOutcome::Accepted;
  }
  if (!response.ConflictingChanges.empty()) {
    json["changes"] = Json::array();
    for (const ChangeRecord &record : response.ConflictingChanges)
      json["changes"].push_back(toJson(record));
  }
  return makeResponse(adminErrorInfo(error).HttpStatus, json);
}

HttpResponse makeOwnerResponse(const OwnerResponse &response) {
  if (!response.IsKnown)
    return makeRefusalResponse(
        {AdminError::NotFound,
         "this controller has no record of owners of the service; it is "
         "not divided by key or does not exist"});
  return makeResponse(200, {{"owner", response.Owner.Value},
                            {"token", response.Fence.Value},
                            {"record", response.Record.Value},
                            {"unit", response.Unit}});
}

HttpResponse makeRevisionsResponse(const RevisionsResponse &response,
                                   const TokenScope &scope) {
  Json vms = Json::array();
  for (const VmRevisions &vm : response.Vms) {
    Json teams = Json::object();
    for (const auto &[team, rev] : vm.Documents)
      if (scope.allows(team))
        teams[team.Value] = rev.Value;
    vms.push_back(
        {{"vm", vm.Vm.Value}, {"age_ms", vm.AgeMs}, {"teams", teams}});
  }
  return makeResponse(200, {{"vms", vms}});
}

HttpResponse makeCountersResponse(const CountersResponse &response) {
  Json counters = Json::object();
  for (const CounterRow &row : response.Rows)
    counters[row.Name] = row.Count;
  return makeResponse(200, {{"counters", counters}});
}

} // namespace waxwing
