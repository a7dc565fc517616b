/**
 * @file ctl_command.cpp
 * Table of waxwingctl's commands and the functions that build their requests.
 */
#include "ctl/ctl_command.h"

#include "core/sha256_func.h"
#include "net/url_func.h"

#include <absl/status/status.h>
#include <absl/strings/escaping.h>
#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <fstream>
#include <limits>
#include <nlohmann/json.hpp>
#include <openssl/rand.h>
#include <sstream>

namespace waxwing {
namespace {

using Json = nlohmann::json;
using RequestOrError = absl::StatusOr<CtlRequest>;

constexpr std::size_t TokenBytes = 32;
/// Largest number of arguments of a command that takes a list.
constexpr std::size_t MaxListWords = 256;

std::string teamPath(const CtlArguments &arguments) {
  return "/v1/teams/" + encodeUrl(arguments.Words[0]);
}

/// Percent-encodes the segments of a path, without the slashes between them.
/// @return the path with a leading slash
std::string encodePath(const std::string &path) {
  std::string encoded;
  std::istringstream parts(path);
  for (std::string part; std::getline(parts, part, '/');)
    encoded += "/" + encodeUrl(part);
  return encoded;
}

CtlRequest makeReadRequest(std::string target, CtlOutputFormat outputFormat) {
  return {{"GET", std::move(target), {}, ""}, outputFormat, ""};
}

/// Builds a request for a change. Its body contains the change id and, if
/// given, the base revision.
CtlRequest makeChangeRequest(const CtlArguments &arguments, std::string method,
                             std::string target, Json body) {
  body["change"] = arguments.Change;
  if (!arguments.Base.empty())
    body["base"] = std::strtoull(arguments.Base.c_str(), nullptr, 10);
  return {{std::move(method), std::move(target), {}, body.dump()},
          CtlOutputFormat::Change,
          ""};
}

absl::StatusOr<std::string> readFile(const std::string &path) {
  const std::ifstream file(path);
  if (!file)
    return absl::NotFoundError("cannot read " + path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

RequestOrError buildTeams(const CtlArguments &) {
  return makeReadRequest("/v1/teams", CtlOutputFormat::Teams);
}

RequestOrError buildGet(const CtlArguments &arguments) {
  return makeReadRequest(teamPath(arguments) + "/settings" +
                             encodePath(arguments.Words[1]),
                         CtlOutputFormat::Value);
}

RequestOrError buildList(const CtlArguments &arguments) {
  const std::string path =
      arguments.Words.size() > 1 ? encodePath(arguments.Words[1]) : "";
  return makeReadRequest(teamPath(arguments) + "/settings" + path,
                         CtlOutputFormat::Values);
}

RequestOrError buildShow(const CtlArguments &arguments) {
  return makeReadRequest(teamPath(arguments) + "/settings",
                         CtlOutputFormat::Text);
}

RequestOrError buildSet(const CtlArguments &arguments) {
  Json commands = Json::array();
  for (std::size_t n = 1; n < arguments.Words.size(); ++n) {
    const std::string &assignment = arguments.Words[n];
    const auto equals = assignment.find('=');
    if (equals == std::string::npos)
      return absl::InvalidArgumentError(fmt::format(
          "'{}' is not a setting; write kind/name/key=value", assignment));
    commands.push_back({{"set", assignment.substr(0, equals)},
                        {"value", assignment.substr(equals + 1)}});
  }
  return makeChangeRequest(arguments, "POST", teamPath(arguments) + "/changes",
                           {{"commands", commands}});
}

RequestOrError buildUnset(const CtlArguments &arguments) {
  Json commands = Json::array();
  for (std::size_t n = 1; n < arguments.Words.size(); ++n)
    commands.push_back(Json::object({{"remove", arguments.Words[n]}}));
  return makeChangeRequest(arguments, "POST", teamPath(arguments) + "/changes",
                           {{"commands", commands}});
}

RequestOrError buildDocumentRequest(const CtlArguments &arguments,
                                    std::string method, std::string target) {
  const auto text = readFile(arguments.Words[1]);
  if (!text.ok())
    return text.status();
  return makeChangeRequest(arguments, std::move(method), std::move(target),
                           {{"text", *text}});
}

RequestOrError buildApply(const CtlArguments &arguments) {
  return buildDocumentRequest(arguments, "PUT",
                              teamPath(arguments) + "/settings");
}

RequestOrError buildValidate(const CtlArguments &arguments) {
  return buildDocumentRequest(arguments, "POST",
                              teamPath(arguments) + "/validate");
}

RequestOrError buildHistory(const CtlArguments &arguments) {
  const std::string path =
      arguments.Words.size() > 1 ? encodePath(arguments.Words[1]) : "";
  return makeReadRequest(teamPath(arguments) + "/history" + path,
                         CtlOutputFormat::History);
}

RequestOrError buildAction(const CtlArguments &arguments, std::string_view kind,
                           std::string_view action) {
  return makeChangeRequest(arguments, "POST",
                           fmt::format("{}/{}/{}/{}", teamPath(arguments), kind,
                                       encodeUrl(arguments.Words[1]), action),
                           Json::object());
}

RequestOrError buildDomainOut(const CtlArguments &arguments) {
  return buildAction(arguments, "domains", "out");
}
RequestOrError buildDomainBack(const CtlArguments &arguments) {
  return buildAction(arguments, "domains", "back");
}
RequestOrError buildDrain(const CtlArguments &arguments) {
  return buildAction(arguments, "upstreams", "drain");
}
RequestOrError buildUndrain(const CtlArguments &arguments) {
  return buildAction(arguments, "upstreams", "undrain");
}

RequestOrError buildOwner(const CtlArguments &arguments) {
  return makeReadRequest(
      fmt::format("{}/owner?service={}&key={}", teamPath(arguments),
                  encodeUrl(arguments.Words[1]), encodeUrl(arguments.Words[2])),
      CtlOutputFormat::Owner);
}

RequestOrError buildRevisions(const CtlArguments &) {
  return makeReadRequest("/v1/revisions", CtlOutputFormat::Revisions);
}

RequestOrError buildCounters(const CtlArguments &) {
  return makeReadRequest("/v1/counters", CtlOutputFormat::Counters);
}

RequestOrError buildTokenList(const CtlArguments &) {
  return makeReadRequest("/v1/tokens", CtlOutputFormat::Values);
}

/// Generates a random token; the request contains only its SHA-256 digest.
RequestOrError buildTokenRequest(const CtlArguments &arguments, Json body) {
  std::string secret = randomHex(TokenBytes);
  body["sha256"] = sha256Hex(secret);
  CtlRequest request = makeChangeRequest(
      arguments, "PUT", "/v1/tokens/" + encodeUrl(arguments.Words[0]),
      std::move(body));
  request.OutputFormat = CtlOutputFormat::NewToken;
  request.Secret = std::move(secret);
  return request;
}

RequestOrError buildTokenCreate(const CtlArguments &arguments) {
  return buildTokenRequest(arguments, {{"teams", arguments.Words[1]}});
}
RequestOrError buildTokenRotate(const CtlArguments &arguments) {
  return buildTokenRequest(arguments, Json::object());
}

RequestOrError buildTokenRevoke(const CtlArguments &arguments) {
  return makeChangeRequest(arguments, "DELETE",
                           "/v1/tokens/" + encodeUrl(arguments.Words[0]),
                           Json::object());
}

constexpr std::array CommandTable{
    CtlCommand{"teams", "", 0, 0, "list the teams", buildTeams},
    CtlCommand{"get", "TEAM KIND/NAME/KEY", 2, 2, "show a value", buildGet},
    CtlCommand{"set", "TEAM KIND/NAME/KEY=VALUE...", 2, MaxListWords,
               "set values, all or none", buildSet},
    CtlCommand{"unset", "TEAM KIND/NAME[/KEY]...", 2, MaxListWords,
               "remove values or sections, all or none", buildUnset},
    CtlCommand{"list", "TEAM [KIND/NAME]", 1, 2, "show values", buildList},
    CtlCommand{"show", "TEAM", 1, 1, "show the document, fit for apply",
               buildShow},
    CtlCommand{"validate", "TEAM FILE", 2, 2,
               "check a document and change nothing", buildValidate},
    CtlCommand{"apply", "TEAM FILE", 2, 2, "replace the whole document",
               buildApply},
    CtlCommand{"history", "TEAM [PATH]", 1, 2, "show who changed what",
               buildHistory},
    CtlCommand{"domain out", "TEAM DOMAIN", 2, 2, "take a failure domain out",
               buildDomainOut},
    CtlCommand{"domain back", "TEAM DOMAIN", 2, 2, "take it back",
               buildDomainBack},
    CtlCommand{"upstream drain", "TEAM UPSTREAM", 2, 2,
               "give an upstream no new work", buildDrain},
    CtlCommand{"upstream undrain", "TEAM UPSTREAM", 2, 2, "end the drain",
               buildUndrain},
    CtlCommand{"owner", "TEAM SERVICE KEY", 3, 3, "show who owns a key",
               buildOwner},
    CtlCommand{"revisions", "", 0, 0, "show what each VM has in force",
               buildRevisions},
    CtlCommand{"counters", "", 0, 0, "show the controller's counters",
               buildCounters},
    CtlCommand{"token list", "", 0, 0, "list tokens, without secrets",
               buildTokenList},
    CtlCommand{"token create", "NAME TEAM[,TEAM...]", 2, 2,
               "create a token, * for an operator's", buildTokenCreate},
    CtlCommand{"token rotate", "NAME", 1, 1, "replace a token's secret",
               buildTokenRotate},
    CtlCommand{"token revoke", "NAME", 1, 1, "remove a token",
               buildTokenRevoke},
};

std::string joinFirstWords(const std::vector<std::string> &words,
                           std::size_t n) {
  n = std::min(n, words.size());
  return fmt::format(
      "{}", fmt::join(words.begin(),
                      words.begin() + static_cast<std::ptrdiff_t>(n), " "));
}

} // namespace

std::span<const CtlCommand> ctlCommands() { return CommandTable; }

absl::StatusOr<const CtlCommand *>
parseCommand(std::vector<std::string> &words) {
  for (const CtlCommand &command : CommandTable) {
    const auto count =
        static_cast<std::size_t>(1 + std::ranges::count(command.Name, ' '));
    if (words.size() < count || joinFirstWords(words, count) != command.Name)
      continue;
    words.erase(words.begin(),
                words.begin() + static_cast<std::ptrdiff_t>(count));
    if (words.size() < command.MinWords || words.size() > command.MaxWords)
      return absl::InvalidArgumentError(fmt::format(
          "usage: waxwingctl {} {}", command.Name, command.Arguments));
    return &command;
  }
  return absl::InvalidArgumentError(fmt::format(
      "no command '{}'; see waxwingctl --help", joinFirstWords(words, 2)));
}

std::string randomHex(std::size_t bytes) {
  std::string buffer(bytes, '\0');
  RAND_bytes(reinterpret_cast<unsigned char *>(buffer.data()),
             static_cast<int>(buffer.size()));
  return absl::BytesToHexString(buffer);
}

} // namespace waxwing
