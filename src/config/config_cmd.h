/**
 * @file config_cmd.h
 * Commands that change a document. A dry run executes the same code as a real
 * change, without storing the result.
 */
#ifndef WAXWING_CONFIG_CONFIG_CMD_H
#define WAXWING_CONFIG_CONFIG_CMD_H

#include "config/config_document_base.h"

#include <span>
#include <variant>

namespace waxwing {

/// Names the section `[Kind Name]` of a document.
struct SectionRef {
  std::string Kind;
  std::string Name;
  bool operator==(const SectionRef &) const = default;
};

/// Sets one value; adds the section if it does not exist.
struct SetValue {
  SectionRef Section;
  std::string Key;
  std::string Value;
};

/// Removes one value, which resets it to its default.
struct RemoveValue {
  SectionRef Section;
  std::string Key;
};

struct RemoveSection {
  SectionRef Section;
};

/// Takes a failure domain out, or puts it back.
struct SetDomainTakenOut {
  DomainId Domain;
  bool IsTakenOut = true;
};

/// Drains an upstream or ends its drain.
struct SetUpstreamDrained {
  std::string Upstream; ///< name within the team
  bool IsDrained = true;
};

/// Replaces the whole body of the document; a value given as HiddenValue keeps
/// its current value.
struct ReplaceDocument {
  std::string Body;
};

using ConfigCommand =
    std::variant<SetValue, RemoveValue, RemoveSection, SetDomainTakenOut,
                 SetUpstreamDrained, ReplaceDocument>;

/// Largest number of commands in one change.
constexpr std::size_t MaxCommandsPerChange = 256;

/// Kind of a document; selects its table of settings and its checks.
enum class DocumentKind : std::uint8_t {
  Team,   ///< a team's settings, table/team_settings.h
  Tokens, ///< administration tokens, table/token_settings.h
};

/// Identifies one document.
/// Invariant: Team is empty unless Kind is Team.
struct DocumentId {
  DocumentKind Kind = DocumentKind::Team;
  TeamId Team;
  auto operator<=>(const DocumentId &) const = default;
};

/// @return the document's key in the store
std::string documentKey(const DocumentId &document);

/// Body and changed values that result from executing commands.
struct DocumentChange {
  std::string Body;
  std::vector<ValueChange> Values; ///< empty when no value differs
};

/// Executes @p commands on @p body in order and checks the resulting document.
/// @return the new body, or InvalidArgument, NotFound or FailedPrecondition
///   with the place of the error and the allowed values
absl::StatusOr<DocumentChange>
makeDocumentChange(const DocumentId &document, const std::string &body,
                   std::span<const ConfigCommand> commands);

/// @return the path that @p command modifies, "" for the whole document
std::string commandPath(const ConfigCommand &command);

/// @return a digest of @p commands, to detect a change id that is reused for
///   other commands
std::string fingerprintOf(std::span<const ConfigCommand> commands);

} // namespace waxwing

#endif
