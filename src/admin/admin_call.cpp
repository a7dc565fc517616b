/**
 * @file admin_call.cpp
 * Paths and JSON bodies.
 */
#include "admin/admin_call_func.h"

#include "net/url_func.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>
#include <span>

namespace waxwing {
namespace {

using Json = nlohmann::json;
using Parts = std::span<const std::string>;

constexpr std::size_t ChangeIdLength = 64;
constexpr std::size_t NameLength = 64;

AdminRefusal malformed(std::string message) {
  return {AdminError::Malformed, std::move(message)};
}

/// Ends the parse of a call; caught in parseAdminCall() alone.
struct RefusalException {
  AdminRefusal Refusal;
};

[[noreturn]] void refuse(AdminError error, std::string message) {
  throw RefusalException{{error, std::move(message)}};
}

bool isName(const std::string &name) {
  return !name.empty() && name.size() <= NameLength &&
         std::ranges::all_of(name, [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

void checkNames(Parts parts) {
  for (const std::string &part : parts)
    if (!isName(part))
      refuse(AdminError::Malformed,
             fmt::format("'{}' is no name; allowed are 1 to {} letters, "
                         "digits, '-', '_' and '.'",
                         part, NameLength));
}

/// One request, split.
struct ParsedRequest {
  const HttpRequest &Request;
  UrlTarget Target;
  Json Body = Json::object();

  void requireMethod(std::string_view method) const {
    if (Request.Method != method)
      refuse(AdminError::MethodNotAllowed,
             fmt::format("{} is not allowed here; use {}", Request.Method,
                         method));
  }

  std::string field(const std::string &name) const {
    const auto it = Body.find(name);
    if (it == Body.end() || !it->is_string())
      refuse(AdminError::Malformed,
             fmt::format("the body needs a text \"{}\"", name));
    return it->get<std::string>();
  }
};

Json readBody(const std::string &body) {
  if (body.empty())
    return Json::object();
  Json json = Json::parse(body, nullptr, false);
  if (json.is_discarded() || !json.is_object())
    refuse(AdminError::Malformed, "the body is no JSON object");
  return json;
}

std::optional<Revision> readBase(const ParsedRequest &request) {
  const auto it = request.Body.find("base");
  if (it != request.Body.end()) {
    if (!it->is_number_unsigned())
      refuse(AdminError::Malformed, "\"base\" is a revision, a whole number");
    return Revision(it->get<std::uint64_t>());
  }
  const std::string text = request.Target.text("base");
  if (text.empty())
    return std::nullopt;
  std::uint64_t n = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size())
    refuse(AdminError::Malformed, "base is a revision, a whole number");
  return Revision(n);
}

std::string readChangeId(const ParsedRequest &request) {
  const std::string id = request.Body.contains("change")
                             ? request.field("change")
                             : request.Target.text("change");
  if (!id.empty() && (!isName(id) || id.size() > ChangeIdLength))
    refuse(AdminError::Malformed,
           fmt::format("a change id has 1 to {} letters, digits, '-', '_' "
                       "and '.'",
                       ChangeIdLength));
  return id;
}

ChangeCall makeChange(const ParsedRequest &request, DocumentId document,
                      std::vector<ConfigCommand> commands) {
  return {std::move(document), std::move(commands), readChangeId(request),
          readBase(request), false};
}

/// Splits "kind/name/key".
std::vector<std::string> splitPath(const std::string &path) {
  const auto target = parseTarget("/" + path);
  if (!target)
    refuse(AdminError::Malformed,
           fmt::format("'{}' is no path; write kind/name/key", path));
  checkNames(target->Parts);
  return target->Parts;
}

ConfigCommand readSet(Parts path, std::string value) {
  if (path.size() != 3)
    refuse(AdminError::Malformed, "a value's path is kind/name/key");
  return SetValue{{path[0], path[1]}, path[2], std::move(value)};
}

ConfigCommand readRemoval(Parts path) {
  if (path.size() == 3)
    return RemoveValue{{path[0], path[1]}, path[2]};
  if (path.size() == 2)
    return RemoveSection{{path[0], path[1]}};
  refuse(AdminError::Malformed, "name kind/name or kind/name/key to remove");
}

ConfigCommand readCommand(const Json &json) {
  if (!json.is_object())
    refuse(AdminError::Malformed, "each command is a JSON object");
  const auto path = [&](const char *key) {
    if (!json.at(key).is_string())
      refuse(AdminError::Malformed, "a path is a text");
    return splitPath(json.at(key).get<std::string>());
  };
  if (json.contains("remove"))
    return readRemoval(path("remove"));
  const bool isSet = json.contains("set") && json.contains("value") &&
                     json["value"].is_string();
  if (!isSet)
    refuse(AdminError::Malformed,
           R"(a command is {"set": PATH, "value": TEXT} or {"remove": PATH})");
  return readSet(path("set"), json["value"].get<std::string>());
}

std::vector<ConfigCommand> readCommands(const ParsedRequest &request) {
  const auto it = request.Body.find("commands");
  if (it == request.Body.end() || !it->is_array())
    refuse(AdminError::Malformed, "the body needs a list \"commands\"");
  if (it->size() > CommandsPerChange)
    refuse(
        AdminError::Malformed,
        fmt::format("at most {} commands make one change", CommandsPerChange));
  std::vector<ConfigCommand> commands;
  std::ranges::transform(*it, std::back_inserter(commands), readCommand);
  return commands;
}

AdminCall readSettings(const ParsedRequest &request, const DocumentId &document,
                       Parts path) {
  const std::string &method = request.Request.Method;
  if (method == "GET")
    return SettingsCall{document, fmt::format("{}", fmt::join(path, "/"))};
  if (method == "PUT" && path.empty())
    return makeChange(request, document,
                      {ReplaceDocument{request.field("text")}});
  if (method == "PUT")
    return makeChange(request, document,
                      {readSet(path, request.field("value"))});
  if (method == "DELETE")
    return makeChange(request, document, {readRemoval(path)});
  refuse(AdminError::MethodNotAllowed,
         fmt::format("{} is not allowed here; use GET, PUT or DELETE", method));
}

AdminCall readDomain(const ParsedRequest &request, const DocumentId &document,
                     Parts path) {
  request.requireMethod("POST");
  if (path.size() != 2 || (path[1] != "out" && path[1] != "back"))
    refuse(AdminError::NotFound, "use domains/DOMAIN/out or .../back");
  return makeChange(request, document,
                    {SetDomainTakenOut{DomainId(path[0]), path[1] == "out"}});
}

AdminCall readUpstream(const ParsedRequest &request, const DocumentId &document,
                       Parts path) {
  request.requireMethod("POST");
  if (path.size() != 2 || (path[1] != "drain" && path[1] != "undrain"))
    refuse(AdminError::NotFound, "use upstreams/UPSTREAM/drain or .../undrain");
  return makeChange(request, document,
                    {SetUpstreamDrained{path[0], path[1] == "drain"}});
}

AdminCall readChanges(const ParsedRequest &request, const DocumentId &document,
                      Parts) {
  request.requireMethod("POST");
  return makeChange(request, document, readCommands(request));
}

AdminCall readValidation(const ParsedRequest &request,
                         const DocumentId &document, Parts) {
  request.requireMethod("POST");
  ChangeCall call = makeChange(
      request, document,
      request.Body.contains("commands")
          ? readCommands(request)
          : std::vector<ConfigCommand>{ReplaceDocument{request.field("text")}});
  call.IsDryRun = true;
  return call;
}

AdminCall readHistory(const ParsedRequest &request, const DocumentId &document,
                      Parts path) {
  request.requireMethod("GET");
  return HistoryCall{document, fmt::format("{}", fmt::join(path, "/"))};
}

AdminCall readOwner(const ParsedRequest &request, const DocumentId &document,
                    Parts) {
  request.requireMethod("GET");
  const std::string service = request.Target.text("service");
  const std::string key = request.Target.text("key");
  if (!isName(service) || key.empty())
    refuse(AdminError::Malformed, "give service=NAME and key=KEY");
  return OwnerCall{ServiceId(document.Team.Value + "/" + service), key};
}

/// A word of /v1/teams/TEAM/WORD and how its rest is read.
struct TeamRoute {
  std::string_view Word;
  std::size_t MaxParts; ///< path segments that may follow
  AdminCall (*Read)(const ParsedRequest &, const DocumentId &, Parts);
};

constexpr std::array TeamRoutes{
    TeamRoute{"settings", 3, readSettings},
    TeamRoute{"changes", 0, readChanges},
    TeamRoute{"validate", 0, readValidation},
    TeamRoute{"history", 3, readHistory},
    TeamRoute{"domains", 2, readDomain},
    TeamRoute{"upstreams", 2, readUpstream},
    TeamRoute{"owner", 0, readOwner},
};

AdminCall readTeam(const ParsedRequest &request, Parts parts) {
  if (parts.empty()) {
    request.requireMethod("GET");
    return TeamListCall();
  }
  const DocumentId document{DocumentKind::Team, TeamId(parts[0])};
  if (parts.size() >= 2)
    for (const TeamRoute &route : TeamRoutes)
      if (route.Word == parts[1] && parts.size() - 2 <= route.MaxParts)
        return route.Read(request, document, parts.subspan(2));
  refuse(AdminError::NotFound, "no such path under /v1/teams/TEAM");
}

AdminCall readToken(const ParsedRequest &request, Parts parts) {
  const DocumentId document{DocumentKind::Tokens, TeamId()};
  if (parts.empty()) {
    request.requireMethod("GET");
    return SettingsCall{document, ""};
  }
  if (parts.size() != 1)
    refuse(AdminError::NotFound, "use /v1/tokens/NAME");
  const SectionRef section{"token", parts[0]};
  if (request.Request.Method == "DELETE")
    return makeChange(request, document, {RemoveSection{section}});
  request.requireMethod("PUT");
  std::vector<ConfigCommand> commands{
      SetValue{section, "sha256", request.field("sha256")}};
  if (request.Body.contains("teams"))
    commands.emplace_back(SetValue{section, "teams", request.field("teams")});
  return makeChange(request, document, std::move(commands));
}

AdminCall readCall(const ParsedRequest &request) {
  const Parts parts = request.Target.Parts;
  if (parts.size() < 2 || parts[0] != "v1")
    refuse(AdminError::NotFound, "paths begin with /v1/");
  checkNames(parts);
  if (parts[1] == "teams")
    return readTeam(request, parts.subspan(2));
  if (parts[1] == "tokens")
    return readToken(request, parts.subspan(2));
  if (parts.size() == 2 && parts[1] == "revisions") {
    request.requireMethod("GET");
    return RevisionsCall();
  }
  if (parts.size() == 2 && parts[1] == "counters") {
    request.requireMethod("GET");
    return CountersCall();
  }
  refuse(AdminError::NotFound,
         "no such path; /v1/teams, /v1/tokens, /v1/revisions and "
         "/v1/counters exist");
}

} // namespace

std::variant<AdminCall, AdminRefusal>
parseAdminCall(const HttpRequest &request) {
  auto target = parseTarget(request.Target);
  if (!target)
    return malformed("the path has an empty part, '.', '..', an encoded slash "
                     "or a broken escape");
  try {
    const ParsedRequest parsed{request, *std::move(target),
                               readBody(request.Body)};
    return readCall(parsed);
  } catch (const RefusalException &exception) {
    return exception.Refusal;
  } catch (const Json::exception &error) {
    return malformed("the body's JSON is faulty");
  }
}

} // namespace waxwing
