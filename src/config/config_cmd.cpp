/**
 * @file config_cmd.cpp
 * Execution of configuration commands.
 */
#include "config/config_cmd.h"

#include "config/config_check_func.h"
#include "config/ini_edit_func.h"
#include "core/sha256_func.h"
#include "settings/ini_func.h"

#include <absl/status/status.h>
#include <fmt/format.h>

namespace waxwing {
namespace {

constexpr std::size_t FingerprintDigits = 16;

std::string sectionName(const SectionRef &section) {
  return section.Kind + " " + section.Name;
}

std::string booleanText(bool value) { return value ? "true" : "false"; }

/// Sets a Boolean in a section that must already exist.
absl::StatusOr<std::string> setBooleanInSection(const std::string &body,
                                                const std::string &section,
                                                const std::string &key,
                                                bool value) {
  const auto document = parseIni(body, "document");
  if (!document.ok())
    return document.status();
  for (const IniSection &it : document->Sections)
    if (it.Name == section)
      return setIniValue(body, section, key, booleanText(value));
  return absl::NotFoundError(fmt::format(
      "[{}] does not exist; `waxwingctl list` shows the existing sections",
      section));
}

/// Executes one command on a document body and returns the new body.
struct CommandExecutor {
  const std::string &Body;

  absl::StatusOr<std::string> operator()(const SetValue &it) const {
    return setIniValue(Body, sectionName(it.Section), it.Key, it.Value);
  }
  absl::StatusOr<std::string> operator()(const RemoveValue &it) const {
    return removeIniValue(Body, sectionName(it.Section), it.Key);
  }
  absl::StatusOr<std::string> operator()(const RemoveSection &it) const {
    return removeIniSection(Body, sectionName(it.Section));
  }
  absl::StatusOr<std::string> operator()(const SetDomainTakenOut &it) const {
    return setBooleanInSection(Body, "domain " + it.Domain.Value, "taken_out",
                               it.IsTakenOut);
  }
  absl::StatusOr<std::string> operator()(const SetUpstreamDrained &it) const {
    return setBooleanInSection(Body, "upstream " + it.Upstream, "drained",
                               it.IsDrained);
  }
  absl::StatusOr<std::string> operator()(const ReplaceDocument &it) const {
    const std::string body = splitDocument(it.Body).Body;
    const auto document = parseIni(body, "document");
    if (!document.ok())
      return document.status();
    IniText text(body);
    for (const IniEntry &entry : document->Entries) {
      if (entry.Value != HiddenValue)
        continue;
      const auto kept = findIniValue(Body, entry.Section, entry.Key);
      if (!kept.ok())
        return absl::InvalidArgumentError(
            fmt::format("document:{}: [{}] {} = {} stands for the current "
                        "value, but none is set; give the value",
                        entry.Line, entry.Section, entry.Key, HiddenValue));
      text.replaceEntry(entry, entry.Key + " = " + *kept);
    }
    return text.join();
  }
};

/// Returns the path of the section or value that a command modifies.
struct CommandPathVisitor {
  std::string operator()(const SetValue &it) const {
    return it.Section.Kind + "/" + it.Section.Name + "/" + it.Key;
  }
  std::string operator()(const RemoveValue &it) const {
    return it.Section.Kind + "/" + it.Section.Name + "/" + it.Key;
  }
  std::string operator()(const RemoveSection &it) const {
    return it.Section.Kind + "/" + it.Section.Name;
  }
  std::string operator()(const SetDomainTakenOut &it) const {
    return "domain/" + it.Domain.Value + "/taken_out";
  }
  std::string operator()(const SetUpstreamDrained &it) const {
    return "upstream/" + it.Upstream + "/drained";
  }
  std::string operator()(const ReplaceDocument &) const { return ""; }
};

/// Returns what a command writes: "=VALUE", or "-" for a removal. Part of the
/// text from which fingerprintOf() makes its digest.
struct CommandValueVisitor {
  std::string operator()(const SetValue &it) const { return "=" + it.Value; }
  std::string operator()(const RemoveValue &) const { return "-"; }
  std::string operator()(const RemoveSection &) const { return "-"; }
  std::string operator()(const SetDomainTakenOut &it) const {
    return "=" + booleanText(it.IsTakenOut);
  }
  std::string operator()(const SetUpstreamDrained &it) const {
    return "=" + booleanText(it.IsDrained);
  }
  std::string operator()(const ReplaceDocument &it) const {
    return "=" + it.Body;
  }
};

} // namespace

std::string documentKey(const DocumentId &document) {
  return document.Kind == DocumentKind::Team ? "/teams/" + document.Team.Value
                                             : std::string("/tokens");
}

absl::StatusOr<DocumentChange>
makeDocumentChange(const DocumentId &document, const std::string &body,
                   std::span<const ConfigCommand> commands) {
  if (commands.empty() || commands.size() > MaxCommandsPerChange)
    return absl::InvalidArgumentError(
        fmt::format("a change has 1 to {} commands, not {}",
                    MaxCommandsPerChange, commands.size()));
  std::string next = body;
  for (const ConfigCommand &command : commands) {
    auto result = std::visit(CommandExecutor{next}, command);
    if (!result.ok())
      return result.status();
    next = *std::move(result);
  }
  if (absl::Status status = checkDocument(document, body, next); !status.ok())
    return status;
  auto values = compareBodies(body, next);
  if (!values.ok())
    return values.status();
  return DocumentChange{std::move(next), *std::move(values)};
}

std::string commandPath(const ConfigCommand &command) {
  return std::visit(CommandPathVisitor(), command);
}

std::string fingerprintOf(std::span<const ConfigCommand> commands) {
  std::string text;
  for (const ConfigCommand &command : commands) {
    const std::string value = std::visit(CommandValueVisitor(), command);
    text +=
        fmt::format("{} {} {}\n", commandPath(command), value.size(), value);
  }
  return sha256Hex(text).substr(0, FingerprintDigits);
}

} // namespace waxwing
