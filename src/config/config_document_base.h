/**
 * @file config_document_base.h
 * A document as the store holds it: the INI body that operators write, and
 * before it a bounded history of the changes that made it. The history lines
 * are INI comments, so the whole text is INI too.
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

/// What is shown in place of a secret value.
constexpr std::string_view HiddenValue = "(hidden)";
/// Changes that a document remembers at most.
constexpr std::size_t HistoryChanges = 64;
/// Bytes of history that a document carries at most.
constexpr std::size_t HistoryBytes = 32u << 10;
/// Values listed for one change; a change of more counts as of everything.
constexpr std::size_t HistoryValues = 32;
/// Longest document, with its history.
constexpr std::size_t DocumentBytes = 1'000'000;

/// One value before and after a change; secrets appear as HiddenValue.
struct ValueChange {
  std::string Path; ///< "kind/name/key", "kind/name", or "" for everything
  std::optional<std::string> Old;
  std::optional<std::string> New;
  bool operator==(const ValueChange &) const = default;
};

/// One accepted change.
struct ChangeRecord {
  std::string Change;      ///< unique id, chosen by the client
  std::string Fingerprint; ///< of the commands; tells a reused id
  Revision Base;           ///< store revision that the change replaced
  std::string WallTime;    ///< UTC, for readers only
  std::string Who;         ///< name of the token
  std::vector<ValueChange> Values;
  bool operator==(const ChangeRecord &) const = default;
};

/// Invariants: History is oldest first. A record's Base is the revision
/// that the record before it made.
struct ConfigDocument {
  std::vector<ChangeRecord> History;
  std::string Body;
};

/// Splits a text from the store; a text without history is all body.
ConfigDocument splitDocument(const std::string &text);

/// @return the text to store; drops the oldest history beyond its bounds
std::string joinDocument(const ConfigDocument &document);

/// @return the revision that record @p n made in a document now at @p rev
Revision revisionOf(const ConfigDocument &document, std::size_t n,
                    Revision rev);

/// @return the record of @p change, or nothing
std::optional<std::size_t> findChange(const ConfigDocument &document,
                                      const std::string &change);

/// @return whether one path equals or contains the other
bool isOverlapping(std::string_view a, std::string_view b);

/// @return whether values of @p key are never shown
bool isSecretKey(std::string_view key);

/// @return the values in which two bodies differ, secrets hidden
absl::StatusOr<std::vector<ValueChange>>
compareBodies(const std::string &before, const std::string &after);

/// @return @p body with each secret value replaced by HiddenValue
absl::StatusOr<std::string> hideSecrets(const std::string &body);

} // namespace waxwing

#endif
