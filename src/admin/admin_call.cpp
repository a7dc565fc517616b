/**
 * @file admin_call.cpp
 * Parses the paths and JSON bodies of administration requests.
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
using PathSegments = std::span<const std::string>;

constexpr std::size_t MaxChangeIdLength = 64;
constexpr std::size_t MaxNameLength = 64;

AdminRefusal makeMalformedRefusal(std::string message) {
  return {AdminError::Malformed, std::move(message)};
}

/// Aborts the parsing of a request; caught only in parseAdminRequest().
struct RefusalException {
  AdminRefusal Refusal;
};

[[noreturn]] void refuse(AdminError error, std::string message) {
  throw RefusalException{{error, std::move(message)}};
}

bool isValidName(const std::string &name) {
  return !name.empty() && name.size() <= MaxNameLength &&
         std::ranges::all_of(name, [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

void checkSegmentNames(PathSegments parts) {
  for (const std::string &part : parts)
    if (!isValidName(part))
      refuse(
          AdminError::Malformed,
          fmt::format("'{}' is not a valid name; allowed are 1 to {} letters, "
                      "digits, '-', '_' and '.'",
                      part, MaxNameLength));
}

/// A request with its parsed target and JSON body.
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

  /// @return the string at @p name in the body; refuses when it is missing
  std::string requireStringField(const std::string &name) const {
    const auto it = Body.find(name);
    if (it == Body.end() || !it->is_string())
      refuse(AdminError::Malformed,
             fmt::format("the body needs a string \"{}\"", name));
    return it->get<std::string>();
  }
};

Json parseBody(const std::string &body) {
  if (body.empty())
    return Json::object();
  Json json = Json::parse(body, nullptr, false);
  if (json.is_discarded() || !json.is_object())
    refuse(AdminError::Malformed, "the body is not a JSON object");
  return json;
}

std::optional<Revision> parseBase(const ParsedRequest &request) {
  const auto it = request.Body.find("base");
  if (it != request.Body.end()) {
    if (!it->is_number_unsigned())
      refuse(AdminError::Malformed,
             "\"base\" must be a revision, a whole number");
    return Revision(it->get<std::uint64_t>());
  }
  const std::string text = request.Target.text("base");
  if (text.empty())
    return std::nullopt;
  std::uint64_t n = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size())
    refuse(AdminError::Malformed, "base must be a revision, a whole number");
  return Revision(n);
}

std::string parseChangeId(const ParsedRequest &request) {
  const std::string id = request.Body.contains("change")
                             ? request.requireStringField("change")
                             : request.Target.text("change");
  if (!id.empty() && (!isValidName(id) || id.size() > MaxChangeIdLength))
    refuse(AdminError::Malformed,
           fmt::format("a change id needs 1 to {} letters, digits, '-', '_' "
                       "and '.'",
                       MaxChangeIdLength));
  return id;
}

ChangeRequest makeChangeRequest(const ParsedRequest &request,
                                DocumentId document,
                                std::vector<ConfigCommand> commands) {
  return {std::move(document), std::move(commands), parseChangeId(request),
          parseBase(request), false};
}

/// Splits a path such as "kind/name/key" and checks its names.
std::vector<std::string> splitPath(const std::string &path) {
  const auto target = parseTarget("/" + path);
  if (!target)
    refuse(AdminError::Malformed,
           fmt::format("'{}' is not a valid path; use kind/name/key", path));
  checkSegmentNames(target->Parts);
  return target->Parts;
}

ConfigCommand parseSet(PathSegments path, std::string value) {
  if (path.size() != 3)
    refuse(AdminError::Malformed, "the path of a value must be kind/name/key");
  return SetValue{{path[0], path[1]}, path[2], std::move(value)};
}

ConfigCommand parseRemoval(PathSegments path) {
  if (path.size() == 3)
    return RemoveValue{{path[0], path[1]}, path[2]};
  if (path.size() == 2)
    return RemoveSection{{path[0], path[1]}};
  refuse(AdminError::Malformed,
         "the path to remove must be kind/name or kind/name/key");
}

ConfigCommand parseCommand(const Json &json) {
  if (!json.is_object())
    refuse(AdminError::Malformed, "each command must be a JSON object");
  const auto path = [&](const char *key) {
    if (!json.at(key).is_string())
      refuse(AdminError::Malformed, "a path must be a string");
    return splitPath(json.at(key).get<std::string>());
  };
  if (json.contains("remove"))
    return parseRemoval(path("remove"));
  const bool isSet = json.contains("set") && json.contains("value") &&
                     json["value"].is_string();
  if (!isSet)
    refuse(
        AdminError::Malformed,
        R"(a command must be {"set": PATH, "value": TEXT} or {"remove": PATH})");
  return parseSet(path("set"), json["value"].get<std::string>());
}

std::vector<ConfigCommand> parseCommands(const ParsedRequest &request) {
  const auto it = request.Body.find("commands");
  if (it == request.Body.end() || !it->is_array())
    refuse(AdminError::Malformed, "the body needs an array \"commands\"");
  if (it->size() > MaxCommandsPerChange)
    refuse(AdminError::Malformed,
           fmt::format("a change may have at most {} commands",
                       MaxCommandsPerChange));
  std::vector<ConfigCommand> commands;
  std::ranges::transform(*it, std::back_inserter(commands), parseCommand);
  return commands;
}

AdminRequest parseSettings(const ParsedRequest &request,
                           const DocumentId &document, PathSegments path) {
  const std::string &method = request.Request.Method;
  if (method == "GET")
    return SettingsRequest{document, fmt::format("{}", fmt::join(path, "/"))};
  if (method == "PUT" && path.empty())
    return makeChangeRequest(
        request, document,
        {ReplaceDocument{request.requireStringField("text")}});
  if (method == "PUT")
    return makeChangeRequest(
        request, document,
        {parseSet(path, request.requireStringField("value"))});
  if (method == "DELETE")
    return makeChangeRequest(request, document, {parseRemoval(path)});
  refuse(AdminError::MethodNotAllowed,
         fmt::format("{} is not allowed here; use GET, PUT or DELETE", method));
}

AdminRequest parseDomain(const ParsedRequest &request,
                         const DocumentId &document, PathSegments path) {
  request.requireMethod("POST");
  if (path.size() != 2 || (path[1] != "out" && path[1] != "back"))
    refuse(AdminError::NotFound, "use domains/DOMAIN/out or .../back");
  return makeChangeRequest(
      request, document,
      {SetDomainTakenOut{DomainId(path[0]), path[1] == "out"}});
}

AdminRequest parseUpstream(const ParsedRequest &request,
                           const DocumentId &document, PathSegments path) {
  request.requireMethod("POST");
  if (path.size() != 2 || (path[1] != "drain" && path[1] != "undrain"))
    refuse(AdminError::NotFound, "use upstreams/UPSTREAM/drain or .../undrain");
  return makeChangeRequest(request, document,
                           {SetUpstreamDrained{path[0], path[1] == "drain"}});
}

AdminRequest parseChanges(const ParsedRequest &request,
                          const DocumentId &document, PathSegments) {
  request.requireMethod("POST");
  return makeChangeRequest(request, document, parseCommands(request));
}

AdminRequest parseValidation(const ParsedRequest &request,
                             const DocumentId &document, PathSegments) {
  request.requireMethod("POST");
  ChangeRequest call =
      makeChangeRequest(request, document,
                        request.Body.contains("commands")
                            ? parseCommands(request)
                            : std::vector<ConfigCommand>{ReplaceDocument{
                                  request.requireStringField("text")}});
  call.IsDryRun = true;
  return call;
}

AdminRequest parseHistory(const ParsedRequest &request,
                          const DocumentId &document, PathSegments path) {
  request.requireMethod("GET");
  return HistoryRequest{document, fmt::format("{}", fmt::join(path, "/"))};
}

AdminRequest parseOwner(const ParsedRequest &request,
                        const DocumentId &document, PathSegments) {
  request.requireMethod("GET");
  const std::string service = request.Target.text("service");
  const std::string key = request.Target.text("key");
  if (!isValidName(service) || key.empty())
    refuse(AdminError::Malformed,
           "the parameters service=NAME and key=KEY are required");
  return OwnerRequest{ServiceId(document.Team.Value + "/" + service), key};
}

/// A route /v1/teams/TEAM/SEGMENT and the parser of the segments after it.
struct TeamRoute {
  std::string_view Segment;
  std::size_t MaxSegments; ///< largest number of path segments that follow
  AdminRequest (*Parse)(const ParsedRequest &, const DocumentId &,
                        PathSegments);
};

constexpr std::array TeamRoutes{
    TeamRoute{"settings", 3, parseSettings},
    TeamRoute{"changes", 0, parseChanges},
    TeamRoute{"validate", 0, parseValidation},
    TeamRoute{"history", 3, parseHistory},
    TeamRoute{"domains", 2, parseDomain},
    TeamRoute{"upstreams", 2, parseUpstream},
    TeamRoute{"owner", 0, parseOwner},
};

AdminRequest parseTeam(const ParsedRequest &request, PathSegments parts) {
  if (parts.empty()) {
    request.requireMethod("GET");
    return TeamListRequest();
  }
  const DocumentId document{DocumentKind::Team, TeamId(parts[0])};
  if (parts.size() >= 2)
    for (const TeamRoute &route : TeamRoutes)
      if (route.Segment == parts[1] && parts.size() - 2 <= route.MaxSegments)
        return route.Parse(request, document, parts.subspan(2));
  refuse(AdminError::NotFound, "unknown path under /v1/teams/TEAM");
}

AdminRequest parseToken(const ParsedRequest &request, PathSegments parts) {
  const DocumentId document{DocumentKind::Tokens, TeamId()};
  if (parts.empty()) {
    request.requireMethod("GET");
    return SettingsRequest{document, ""};
  }
  if (parts.size() != 1)
    refuse(AdminError::NotFound, "use /v1/tokens/NAME");
  const SectionRef section{"token", parts[0]};
  if (request.Request.Method == "DELETE")
    return makeChangeRequest(request, document, {RemoveSection{section}});
  request.requireMethod("PUT");
  std::vector<ConfigCommand> commands{
      SetValue{section, "sha256", request.requireStringField("sha256")}};
  if (request.Body.contains("teams"))
    commands.emplace_back(
        SetValue{section, "teams", request.requireStringField("teams")});
  return makeChangeRequest(request, document, std::move(commands));
}

AdminRequest parseCall(const ParsedRequest &request) {
  const PathSegments parts = request.Target.Parts;
  if (parts.size() < 2 || parts[0] != "v1")
    refuse(AdminError::NotFound, "paths must begin with /v1/");
  checkSegmentNames(parts);
  if (parts[1] == "teams")
    return parseTeam(request, parts.subspan(2));
  if (parts[1] == "tokens")
    return parseToken(request, parts.subspan(2));
  if (parts.size() == 2 && parts[1] == "revisions") {
    request.requireMethod("GET");
    return RevisionsRequest();
  }
  if (parts.size() == 2 && parts[1] == "counters") {
    request.requireMethod("GET");
    return CountersRequest();
  }
  refuse(AdminError::NotFound,
         "unknown path; use /v1/teams, /v1/tokens, /v1/revisions or "
         "/v1/counters");
}

} // namespace

std::variant<AdminRequest, AdminRefusal>
parseAdminRequest(const HttpRequest &request) {
  auto target = parseTarget(request.Target);
  if (!target)
    return makeMalformedRefusal(
        "the path has an empty segment, '.', '..', an encoded "
        "slash or an invalid escape");
  try {
    const ParsedRequest parsed{request, *std::move(target),
                               parseBody(request.Body)};
    return parseCall(parsed);
  } catch (const RefusalException &exception) {
    return exception.Refusal;
  } catch (const Json::exception &error) {
    return makeMalformedRefusal("the body is not valid JSON for this request");
  }
}

} // namespace waxwing
