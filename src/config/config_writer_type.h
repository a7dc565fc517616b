/**
 * @file config_writer_type.h
 * Events and actions of the configuration writer.
 */
#ifndef WAXWING_CONFIG_CONFIG_WRITER_TYPE_H
#define WAXWING_CONFIG_CONFIG_WRITER_TYPE_H

#include "config/config_cmd.h"
#include "core/time_type.h"
#include "store/platform_store_base.h"

#include <optional>
#include <variant>
#include <vector>

namespace waxwing {

/// A client's request to change a document.
struct ConfigRequest {
  std::uint64_t Id = 0; ///< repeated in the response
  DocumentId Document;
  std::string Author; ///< name of the client's administration token
  std::string Change; ///< id chosen by the client; makes a retry idempotent
  std::optional<Revision> Base; ///< revision that the client last read
  std::vector<ConfigCommand> Commands;
  bool IsDryRun = false;
  bool MayCreate = false; ///< whether to create a missing document
  Time Deadline;
  std::string WallTime; ///< UTC, recorded in the history
};

/// Outcome of a change request.
enum class ConfigOutcome : std::uint8_t {
  Accepted,    ///< confirmed to be in the store
  Valid,       ///< dry run succeeded; nothing was written
  Invalid,     ///< failed the checks; nothing was written
  NotFound,    ///< document, section or key is missing; nothing was written
  Conflict,    ///< a newer change modified the same paths; nothing written
  ReusedId,    ///< the change id was used for another change
  Busy,        ///< the queue is full; nothing was written
  Unavailable, ///< the store did not respond; nothing was written
  Unresolved,  ///< unknown whether written; repeat with the same id
};

/// Response to a ConfigRequest.
struct ConfigResponse {
  ConfigOutcome Outcome = ConfigOutcome::Unavailable;
  Revision Rev; ///< revision created by the change; if refused, current one
  std::string Message;
  /// Newer changes of the same paths, when Outcome is Conflict.
  std::vector<ChangeRecord> ConflictingChanges;
  std::vector<ValueChange> Values; ///< values that the change modifies
  std::string StoredText; ///< stored text at Rev if just written, else ""
};

/// Result of a ReadDocument action.
struct DocumentReadResult {
  std::uint64_t Operation = 0;
  StoreGetResult Result;
};

/// Result of a WriteDocument action.
struct DocumentWriteResult {
  std::uint64_t Operation = 0;
  StorePutResult Result;
};

/// Periodic event; handles deadlines and retries.
struct ConfigTick {};

using ConfigEvent = std::variant<ConfigRequest, DocumentReadResult,
                                 DocumentWriteResult, ConfigTick>;

/// Reads the document stored at Key.
struct ReadDocument {
  std::uint64_t Operation = 0;
  std::string Key;
};

/// Writes Text if the store's revision of Key is Expected.
struct WriteDocument {
  std::uint64_t Operation = 0;
  std::string Key;
  Revision Expected;
  std::string Text;
};

/// Sends the response to a ConfigRequest.
struct CompleteRequest {
  std::uint64_t RequestId = 0;
  ConfigResponse Response;
};

using ConfigAction = std::variant<ReadDocument, WriteDocument, CompleteRequest>;

} // namespace waxwing

#endif
