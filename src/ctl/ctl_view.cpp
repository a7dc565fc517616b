/**
 * @file ctl_view.cpp
 * Formats JSON responses of the administration API as text.
 */
#include "ctl/ctl_view.h"

#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace waxwing {
namespace {

using Json = nlohmann::json;

std::string formatValue(const Json &value) {
  return value.is_null() ? "(unset)" : value.get<std::string>();
}

std::string formatChangedValues(const Json &values, std::string_view indent) {
  std::string text;
  for (const Json &value : values)
    text += fmt::format(
        "{}{}: {} -> {}\n", indent, value.at("path").get<std::string>(),
        formatValue(value.at("old")), formatValue(value.at("new")));
  return text;
}

std::string formatValueResponse(const Json &json) {
  return json.at("values").at(0).at("value").is_null()
             ? "(section)\n"
             : json.at("values").at(0).at("value").get<std::string>() + "\n";
}

std::string formatValuesResponse(const Json &json) {
  std::string text;
  for (const Json &value : json.at("values"))
    if (value.at("value").is_null())
      text += value.at("path").get<std::string>() + "\n";
    else
      text += fmt::format("{} = {}\n", value.at("path").get<std::string>(),
                          value.at("value").get<std::string>());
  return text;
}

std::string formatTextResponse(const Json &json) {
  return json.at("text").get<std::string>();
}

std::string formatChangeResponse(const Json &json) {
  const bool isAccepted = json.at("accepted").get<bool>();
  const auto revision = json.at("revision").get<std::uint64_t>();
  return (isAccepted
              ? fmt::format("accepted as revision {}\n", revision)
              : fmt::format("valid; would change revision {}\n", revision)) +
         formatChangedValues(json.at("values"), "  ");
}

std::string formatHistoryResponse(const Json &json) {
  std::string text;
  for (const Json &change : json.at("changes"))
    text += fmt::format("revision {}  {}  {}  {}\n",
                        change.at("revision").get<std::uint64_t>(),
                        change.at("time").get<std::string>(),
                        change.at("who").get<std::string>(),
                        change.at("change").get<std::string>()) +
            formatChangedValues(change.at("values"), "  ");
  return text;
}

std::string formatTeamsResponse(const Json &json) {
  std::string text;
  for (const Json &team : json.at("teams"))
    text += fmt::format("{}  revision {}\n", team.at("team").get<std::string>(),
                        team.at("revision").get<std::uint64_t>());
  return text;
}

std::string formatOwnerResponse(const Json &json) {
  const auto owner = json.at("owner").get<std::string>();
  return fmt::format("{}  unit {}  token {}  record {}\n",
                     owner.empty() ? "(no owner)" : owner,
                     json.at("unit").get<std::string>(),
                     json.at("token").get<std::uint64_t>(),
                     json.at("record").get<std::uint64_t>());
}

std::string formatRevisionsResponse(const Json &json) {
  std::string text;
  for (const Json &vm : json.at("vms")) {
    text += vm.at("vm").get<std::string>();
    for (const auto &[team, revision] : vm.at("teams").items())
      text += fmt::format("  {}@{}", team, revision.get<std::uint64_t>());
    text += fmt::format("  (heard {} ms ago)\n",
                        vm.at("age_ms").get<std::uint64_t>());
  }
  return text;
}

std::string formatCountersResponse(const Json &json) {
  std::string text;
  for (const auto &[name, count] : json.at("counters").items())
    text += fmt::format("{} {}\n", name, count.get<std::uint64_t>());
  return text;
}

/// Formatting functions, indexed by CtlOutputFormat.
constexpr std::array<std::string (*)(const Json &), 10> ResponseFormatters{
    formatValueResponse,  formatValuesResponse,    formatTextResponse,
    formatChangeResponse, formatHistoryResponse,   formatTeamsResponse,
    formatOwnerResponse,  formatRevisionsResponse, formatCountersResponse,
    formatChangeResponse,
};

CtlOutput formatError(const CtlRequest &request, const Json &json) {
  const AdminErrorInfo &info =
      adminErrorInfo(findAdminError(json.value("code", "")));
  std::string text =
      fmt::format("{}: {}\n", info.Name, json.value("error", std::string()));
  for (const Json &change : json.value("changes", Json::array()))
    text += fmt::format("  {} by {} (change {})\n",
                        change.at("time").get<std::string>(),
                        change.at("who").get<std::string>(),
                        change.at("change").get<std::string>()) +
            formatChangedValues(change.at("values"), "    ");
  if (!info.Advice.empty())
    text += fmt::format("what to do: {}\n", info.Advice);
  if (info.Exit == CtlExitCode::Unresolved)
    text += fmt::format("change id: {}\n", json.value("change", std::string()));
  // The token may have been stored, so it must be printed.
  const bool mayBeStored = info.Exit == CtlExitCode::Unresolved;
  return {"", std::move(text), mayBeStored ? request.Secret : "", info.Exit};
}

CtlOutput formatSuccess(const CtlRequest &request, const Json &json) {
  CtlOutput output;
  const auto outputFormat = static_cast<std::size_t>(request.OutputFormat);
  output.Secret = request.Secret;
  // Only a new token goes to standard output, so that it can be redirected.
  (request.Secret.empty() ? output.Text : output.Error) =
      ResponseFormatters.at(outputFormat)(json);
  return output;
}

} // namespace

CtlOutput formatResponse(const CtlRequest &request,
                         const HttpResponse &response, bool isJson) {
  const Json json = Json::parse(response.Body, nullptr, false);
  if (!json.is_object())
    return {"",
            fmt::format(
                "the server responded with status {} and no JSON object: {}\n",
                response.Status, response.Body),
            "", CtlExitCode::Refused};
  try {
    CtlOutput output = response.Status == 200 ? formatSuccess(request, json)
                                              : formatError(request, json);
    if (isJson)
      (request.Secret.empty() ? output.Text : output.Error) = response.Body;
    return output;
  } catch (const Json::exception &error) {
    return {
        "",
        fmt::format("unexpected fields in the response ({}); the versions of "
                    "server and waxwingctl may differ\n",
                    error.what()),
        "", CtlExitCode::Failure};
  }
}

} // namespace waxwing
