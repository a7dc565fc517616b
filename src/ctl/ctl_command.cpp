/**
 * @file ctl_command.cpp
 * Table of the commands.
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
using Built = absl::StatusOr<CtlRequest>;

constexpr std::size_t TokenBytes = 32;
constexpr std::size_t AnyWords = 256;

std::string teamPath(const CtlArguments &it) {
  return "/v1/teams/" + encodeUrl(it.Words[0]);
}

/// Escapes each part and keeps the slashes between them.
std::string encodePath(const std::string &path) {
  std::string encoded;
  std::istringstream parts(path);
  for (std::string part; std::getline(parts, part, '/');)
    encoded += "/" + encodeUrl(part);
  return encoded;
}

CtlRequest get(std::string target, CtlView view) {
  return {{"GET", std::move(target), {}, ""}, view, ""};
}

CtlRequest change(const CtlArguments &it, std::string method,
                  std::string target, Json body) {
  body["change"] = it.Change;
  if (!it.Base.empty())
    body["base"] = std::strtoull(it.Base.c_str(), nullptr, 10);
  return {{std::move(method), std::move(target), {}, body.dump()},
          CtlView::Change,
          ""};
}

absl::StatusOr<std::string> readFile(const std::string &path) {
  const std::ifstream file(path);
  if (!file)
    return absl::NotFoundError(path + ": cannot be read");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

Built buildTeams(const CtlArguments &) {
  return get("/v1/teams", CtlView::Teams);
}

Built buildGet(const CtlArguments &it) {
  return get(teamPath(it) + "/settings" + encodePath(it.Words[1]),
             CtlView::Value);
}

Built buildList(const CtlArguments &it) {
  const std::string path = it.Words.size() > 1 ? encodePath(it.Words[1]) : "";
  return get(teamPath(it) + "/settings" + path, CtlView::Values);
}

Built buildShow(const CtlArguments &it) {
  return get(teamPath(it) + "/settings", CtlView::Text);
}

Built buildSet(const CtlArguments &it) {
  Json commands = Json::array();
  for (std::size_t n = 1; n < it.Words.size(); ++n) {
    const std::string &word = it.Words[n];
    const auto equals = word.find('=');
    if (equals == std::string::npos)
      return absl::InvalidArgumentError(
          fmt::format("'{}' is no setting; write kind/name/key=value", word));
    commands.push_back(
        {{"set", word.substr(0, equals)}, {"value", word.substr(equals + 1)}});
  }
  return change(it, "POST", teamPath(it) + "/changes",
                {{"commands", commands}});
}

Built buildUnset(const CtlArguments &it) {
  Json commands = Json::array();
  for (std::size_t n = 1; n < it.Words.size(); ++n)
    commands.push_back(Json::object({{"remove", it.Words[n]}}));
  return change(it, "POST", teamPath(it) + "/changes",
                {{"commands", commands}});
}

Built buildWithText(const CtlArguments &it, std::string method,
                    std::string target) {
  const auto text = readFile(it.Words[1]);
  if (!text.ok())
    return text.status();
  return change(it, std::move(method), std::move(target), {{"text", *text}});
}

Built buildApply(const CtlArguments &it) {
  return buildWithText(it, "PUT", teamPath(it) + "/settings");
}

Built buildValidate(const CtlArguments &it) {
  return buildWithText(it, "POST", teamPath(it) + "/validate");
}

Built buildHistory(const CtlArguments &it) {
  const std::string path = it.Words.size() > 1 ? encodePath(it.Words[1]) : "";
  return get(teamPath(it) + "/history" + path, CtlView::History);
}

Built buildPost(const CtlArguments &it, std::string_view kind,
                std::string_view verb) {
  return change(it, "POST",
                fmt::format("{}/{}/{}/{}", teamPath(it), kind,
                            encodeUrl(it.Words[1]), verb),
                Json::object());
}

Built buildDomainOut(const CtlArguments &it) {
  return buildPost(it, "domains", "out");
}
Built buildDomainBack(const CtlArguments &it) {
  return buildPost(it, "domains", "back");
}
Built buildDrain(const CtlArguments &it) {
  return buildPost(it, "upstreams", "drain");
}
Built buildUndrain(const CtlArguments &it) {
  return buildPost(it, "upstreams", "undrain");
}

Built buildOwner(const CtlArguments &it) {
  return get(fmt::format("{}/owner?service={}&key={}", teamPath(it),
                         encodeUrl(it.Words[1]), encodeUrl(it.Words[2])),
             CtlView::Owner);
}

Built buildRevisions(const CtlArguments &) {
  return get("/v1/revisions", CtlView::Revisions);
}

Built buildCounters(const CtlArguments &) {
  return get("/v1/counters", CtlView::Counters);
}

Built buildTokenList(const CtlArguments &) {
  return get("/v1/tokens", CtlView::Values);
}

/// Draws a token; only its digest leaves this process.
Built buildToken(const CtlArguments &it, Json body) {
  std::string secret = drawHex(TokenBytes);
  body["sha256"] = sha256Hex(secret);
  CtlRequest request = change(it, "PUT", "/v1/tokens/" + encodeUrl(it.Words[0]),
                              std::move(body));
  request.View = CtlView::NewToken;
  request.Secret = std::move(secret);
  return request;
}

Built buildTokenCreate(const CtlArguments &it) {
  return buildToken(it, {{"teams", it.Words[1]}});
}
Built buildTokenRotate(const CtlArguments &it) {
  return buildToken(it, Json::object());
}

Built buildTokenRevoke(const CtlArguments &it) {
  return change(it, "DELETE", "/v1/tokens/" + encodeUrl(it.Words[0]),
                Json::object());
}

constexpr std::array Commands{
    CtlCommand{"teams", "", 0, 0, "list the teams", buildTeams},
    CtlCommand{"get", "TEAM KIND/NAME/KEY", 2, 2, "show a value", buildGet},
    CtlCommand{"set", "TEAM KIND/NAME/KEY=VALUE...", 2, AnyWords,
               "set values, all or none", buildSet},
    CtlCommand{"unset", "TEAM KIND/NAME[/KEY]...", 2, AnyWords,
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

std::string firstWords(const std::vector<std::string> &words, std::size_t n) {
  n = std::min(n, words.size());
  return fmt::format(
      "{}", fmt::join(words.begin(),
                      words.begin() + static_cast<std::ptrdiff_t>(n), " "));
}

} // namespace

std::span<const CtlCommand> ctlCommands() { return Commands; }

absl::StatusOr<const CtlCommand *>
takeCommand(std::vector<std::string> &words) {
  for (const CtlCommand &command : Commands) {
    const auto count =
        static_cast<std::size_t>(1 + std::ranges::count(command.Name, ' '));
    if (words.size() < count || firstWords(words, count) != command.Name)
      continue;
    words.erase(words.begin(),
                words.begin() + static_cast<std::ptrdiff_t>(count));
    if (words.size() < command.MinWords || words.size() > command.MaxWords)
      return absl::InvalidArgumentError(fmt::format(
          "usage: waxwingctl {} {}", command.Name, command.Arguments));
    return &command;
  }
  return absl::InvalidArgumentError(fmt::format(
      "no command '{}'; see waxwingctl --help", firstWords(words, 2)));
}

std::string drawHex(std::size_t bytes) {
  std::string buf(bytes, '\0');
  RAND_bytes(reinterpret_cast<unsigned char *>(buf.data()),
             static_cast<int>(buf.size()));
  return absl::BytesToHexString(buf);
}

} // namespace waxwing
