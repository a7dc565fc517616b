/**
 * @file team_config.cpp
 * Parses a team's document according to table/team_settings.h.
 */
#include "config/team_config_base.h"

#include "config/config_document_base.h"
#include "settings/ini_func.h"
#include "settings/setting_base.h"
#include "table/team_settings.h"

#include <absl/status/status.h>
#include <algorithm>
#include <cctype>
#include <fmt/format.h>
#include <vector>

namespace waxwing {
namespace {

/// Largest length of a section's name, in characters.
constexpr std::size_t MaxNameLength = 64;

/// Parsed section header `[Kind Name]`.
struct SectionName {
  std::string Kind;
  std::string Name;
};

bool isNameCharacter(unsigned char c) {
  return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
}

absl::StatusOr<SectionName> parseSectionName(const IniDocument &document,
                                             const IniSection &section) {
  const auto space = section.Name.find(' ');
  SectionName result{
      section.Name.substr(0, space),
      space == std::string::npos ? "" : section.Name.substr(space + 1)};
  const bool isKnown =
      std::ranges::any_of(TeamSettingTable, [&](const SettingInfo &info) {
        return info.Section == result.Kind;
      });
  if (!isKnown)
    return absl::InvalidArgumentError(fmt::format(
        "{}:{}: unknown section [{}]; allowed: [domain NAME], [tier NAME], "
        "[caller NAME], [service NAME], [upstream NAME]",
        document.Source, section.Line, section.Name));
  if (result.Name.empty() || result.Name.size() > MaxNameLength ||
      result.Name == "." || result.Name == ".." ||
      !std::ranges::all_of(result.Name, isNameCharacter))
    return absl::InvalidArgumentError(fmt::format(
        "{}:{}: section [{}] needs a name of 1 to {} letters, digits, '-', "
        "'_' or '.'",
        document.Source, section.Line, section.Name, MaxNameLength));
  return result;
}

/// Builds a TeamConfig from the sections of a document.
class TeamConfigBuilder {
public:
  explicit TeamConfigBuilder(const TeamId &team) { Config.Team = team; }

  void add(const SectionName &section, const SettingSection &values) {
    if (section.Kind == "domain")
      Config.Domains[DomainId(section.Name)] = {values.boolean("taken_out")};
    if (section.Kind == "tier")
      Config.Tiers[TierId(section.Name)] = {
          static_cast<int>(values.integer("weight")),
          static_cast<std::size_t>(values.integer("queue"))};
    if (section.Kind == "caller")
      Config.Callers[CallerId(section.Name)] = {TierId(values.text("tier")),
                                                values.text("key_sha256")};
    if (section.Kind == "service")
      Config.Services[qualify<ServiceId>(Config.Team, section.Name)] =
          readService(values);
    if (section.Kind == "upstream")
      Config.Upstreams[qualify<UpstreamId>(Config.Team, section.Name)] = {
          qualify<ServiceId>(Config.Team, values.text("service")),
          parseEndpoint(values.text("address")),
          DomainId(values.text("domain")), values.boolean("drained")};
  }

  /// Checks that each tier, service and domain referred to exists.
  absl::Status checkReferences(const std::string &source) const {
    for (const auto &[id, caller] : Config.Callers)
      if (!Config.Tiers.contains(caller.Tier))
        return danglingReference(source, "caller", id.Value, "tier",
                                 caller.Tier.Value);
    for (const auto &[id, upstream] : Config.Upstreams) {
      if (!Config.Services.contains(upstream.Service))
        return danglingReference(source, "upstream", id.Value, "service",
                                 upstream.Service.Value);
      if (!Config.Domains.contains(upstream.Domain))
        return danglingReference(source, "upstream", id.Value, "domain",
                                 upstream.Domain.Value);
    }
    return absl::OkStatus();
  }

  TeamConfig Config;

private:
  static ServiceConfig readService(const SettingSection &values) {
    ServiceConfig service;
    service.IsDividedByKey = values.boolean("divided_by_key");
    if (service.IsDividedByKey)
      service.ShardCount = static_cast<std::uint32_t>(values.integer("shards"));
    service.Slots = static_cast<int>(values.integer("slots"));
    service.ColdSlots = static_cast<int>(values.integer("cold_slots"));
    service.WarmUp = values.duration("warm_up");
    service.Timeout = values.duration("timeout");
    service.ChecksOrders = values.boolean("checks_orders");
    service.IdempotencyLifetime = values.duration("idempotency_lifetime");
    return service;
  }

  static absl::Status danglingReference(const std::string &source,
                                        std::string_view kind,
                                        const std::string &name,
                                        std::string_view key,
                                        const std::string &value) {
    return absl::InvalidArgumentError(fmt::format(
        "{}: [{} {}] {} = '{}' does not exist; add [{} {}] or use an "
        "existing name",
        source, kind, name, key, value, key, value));
  }
};

} // namespace

absl::StatusOr<TeamConfig> parseTeamConfig(const TeamId &team,
                                           const std::string &text) {
  const std::string source = "/teams/" + team.Value;
  const absl::StatusOr<IniDocument> document =
      parseIni(splitDocument(text).Body, source);
  if (!document.ok())
    return document.status();
  TeamConfigBuilder builder(team);
  std::vector<std::string> addedSections;
  for (const IniSection &section : document->Sections) {
    if (std::ranges::find(addedSections, section.Name) != addedSections.end())
      continue;
    addedSections.push_back(section.Name);
    const auto name = parseSectionName(*document, section);
    if (!name.ok())
      return name.status();
    const auto values =
        readSection(TeamSettingTable, name->Kind, *document, section.Name);
    if (!values.ok())
      return values.status();
    builder.add(*name, *values);
  }
  if (absl::Status status = builder.checkReferences(source); !status.ok())
    return status;
  return std::move(builder.Config);
}

absl::StatusOr<bool> Configuration::apply(const TeamDocument &document) {
  const auto it = Documents.find(document.Team);
  if (it != Documents.end() && it->second.Rev >= document.Rev)
    return false;
  auto config = parseTeamConfig(document.Team, document.Text);
  if (!config.ok())
    return config.status();
  Teams[document.Team] = *std::move(config);
  Documents[document.Team] = document;
  return true;
}

} // namespace waxwing
