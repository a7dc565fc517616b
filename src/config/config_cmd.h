/**
 * @file config_cmd.h
 * The commands that change a document. A dry run and a real change run the
 * same code; only the latter's result is stored.
 */
#ifndef WAXWING_CONFIG_CONFIG_CMD_H
#define WAXWING_CONFIG_CONFIG_CMD_H

#include "config/config_document_base.h"

#include <span>
#include <variant>

namespace waxwing {

/// `[Kind Name]`.
struct SectionRef {
  std::string Kind;
  std::string Name;
  bool operator==(const SectionRef &) const = default;
};

/// Sets one value; adds its section when it is absent.
struct SetValue {
  SectionRef Section;
  std::string Key;
  std::string Value;
};

/// Takes one value back to its default.
struct RemoveValue {
  SectionRef Section;
  std::string Key;
};

struct RemoveSection {
  SectionRef Section;
};

/// Takes a failure domain out or back.
struct SetDomainTakenOut {
  DomainId Domain;
  bool IsTakenOut = true;
};

/// Drains an upstream or ends its drain.
struct SetUpstreamDrained {
  std::string Upstream; ///< name within the team
  bool IsDrained = true;
};

/// Replaces the whole body; HiddenValue keeps the value in force.
struct ReplaceDocument {
  std::string Body;
};

using ConfigCommand =
    std::variant<SetValue, RemoveValue, RemoveSection, SetDomainTakenOut,
                 SetUpstreamDrained, ReplaceDocument>;

/// Commands in one change at most.
constexpr std::size_t CommandsPerChange = 256;

/// Which rules a document follows.
enum class DocumentKind : std::uint8_t {
  Team,   ///< a team's settings, table/team_settings.h
  Tokens, ///< who may administer, table/token_settings.h
};

/// Names one document.
/// Invariant: Team is empty unless Kind is Team.
struct DocumentId {
  DocumentKind Kind = DocumentKind::Team;
  TeamId Team;
  auto operator<=>(const DocumentId &) const = default;
};

/// @return the document's key in the store
std::string documentKey(const DocumentId &document);

/// Result of commands.
struct DocumentChange {
  std::string Body;
  std::vector<ValueChange> Values; ///< empty when nothing changes
};

/// Executes @p commands on @p body and checks the result whole.
/// @return the new body; InvalidArgument, NotFound or FailedPrecondition
///   with place and what is allowed
absl::StatusOr<DocumentChange>
makeDocumentChange(const DocumentId &document, const std::string &body,
                   std::span<const ConfigCommand> commands);

/// @return the path that @p command touches, "" for everything
std::string commandPath(const ConfigCommand &command);

/// @return a digest that differs between different commands
std::string fingerprintOf(std::span<const ConfigCommand> commands);

} // namespace waxwing

#endif
