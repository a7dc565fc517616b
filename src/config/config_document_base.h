/**
 * @file config_document_base.h
 * A document in its stored form: a bounded history of changes, followed by the
 * INI body that operators write. The history lines are INI comments, so the
 * whole text is valid INI.
 */
#ifndef WAXWING_CONFIG_CONFIG_DOCUMENT_BASE_H
#define WAXWING_CONFIG_CONFIG_DOCUMENT_BASE_H

#include "core/id_type.h"

#include <absl/status/statusor.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing {

/// Text displayed in place of a secret value.
constexpr std::string_view HiddenValue = "(hidden)";
/// Largest number of changes in a document's history.
constexpr std::size_t MaxHistoryRecords = 64;
/// Largest size of a document's history, in bytes.
constexpr std::size_t MaxHistoryBytes = 32u << 10;
/// Largest number of values listed for one change; a change of more values is
/// recorded as a change of the whole document.
constexpr std::size_t MaxValuesPerRecord = 32;
/// Largest size of a document with its history, in bytes.
constexpr std::size_t MaxDocumentBytes = 1'000'000;

/// One value before and after a change; secrets are replaced by HiddenValue.
struct ValueChange {
  std::string Path; ///< "kind/name/key", "kind/name"; "": document
  std::optional<std::string> Old;
  std::optional<std::string> New;
  bool operator==(const ValueChange &) const = default;
};

/// One accepted change, as recorded in the history.
struct ChangeRecord {
  std::string Change; ///< unique id, chosen by the client
  /// Digest of the commands, to detect an id that is reused for others.
  std::string Fingerprint;
  Revision Base;        ///< store revision that the change replaced
  std::string WallTime; ///< UTC, for display only
  std::string Author;   ///< name of the author's administration token
  std::vector<ValueChange> Values;
  bool operator==(const ChangeRecord &) const = default;
};

/// A document split into its change history and its INI body.
/// Invariants: History is ordered from oldest to newest. The Base of a record
/// is the revision that the preceding record created.
struct ConfigDocument {
  std::vector<ChangeRecord> History;
  std::string Body;
};

/// Splits a stored text; a text without history lines is all body.
ConfigDocument splitDocument(const std::string &text);

/// @return the text to store; drops the oldest records beyond
///   MaxHistoryRecords and MaxHistoryBytes
std::string joinDocument(const ConfigDocument &document);

/// @return the revision that record @p n created, in a document whose current
///   revision is @p rev
Revision revisionOfRecord(const ConfigDocument &document, std::size_t n,
                          Revision rev);

/// @return the index of the record with change id @p change, or nothing
std::optional<std::size_t> findChangeRecord(const ConfigDocument &document,
                                            const std::string &change);

/// @return whether @p older is a former state of @p newer: its last change is
/// in
///   the history of @p newer, and further changes follow. A text without
///   history is never known to be one
bool isFormerState(const std::string &older, const std::string &newer);

/// @return whether one path equals or contains the other
bool pathsOverlap(std::string_view a, std::string_view b);

/// @return whether @p key holds a secret, which is never displayed
bool isSecretKey(std::string_view key);

/// @return the values that differ between two bodies, secrets hidden
absl::StatusOr<std::vector<ValueChange>>
compareBodies(const std::string &before, const std::string &after);

/// @return @p body with each secret value replaced by HiddenValue
absl::StatusOr<std::string> hideSecrets(const std::string &body);

} // namespace waxwing

#endif
