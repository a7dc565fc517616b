/**
 * @file config_writer_type.h
 * Events and actions of the configuration's writer.
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

/// A change that a client asks for.
struct ConfigRequest {
  std::uint64_t Id = 0; ///< echoed in the answer
  DocumentId Document;
  std::string Who;    ///< name of the token
  std::string Change; ///< unique id by the client; makes a retry idempotent
  std::optional<Revision> Base; ///< revision that the client has read
  std::vector<ConfigCommand> Commands;
  bool IsDryRun = false;
  bool MayCreate = false; ///< the document may be absent
  Time Deadline;
  std::string WallTime; ///< for the history
};

/// How a change ended.
enum class ConfigVerdict : std::uint8_t {
  Accepted,    ///< known to be in the store
  Valid,       ///< dry run; would be accepted
  Invalid,     ///< refused by the checks; nothing was written
  NotFound,    ///< names something absent; nothing was written
  Conflict,    ///< another change came first; nothing was written
  ReusedId,    ///< the change id belongs to another change
  Busy,        ///< too many changes wait; nothing was written
  Unavailable, ///< the store did not answer; nothing was written
  Unresolved,  ///< not known; ask again with the same change id
};

/// Answer to a request.
struct ConfigAnswer {
  ConfigVerdict Verdict = ConfigVerdict::Unavailable;
  Revision Rev; ///< that the change made, or in force when it was refused
  std::string Message;
  std::vector<ChangeRecord> Others; ///< changes that conflict
  std::vector<ValueChange> Values;  ///< what changes
  std::string StoredText;           ///< text at Rev when just written, else ""
};

/// Answer to a ReadText.
struct TextRead {
  std::uint64_t Operation = 0;
  StoreGetResult Result;
};

/// Answer to a WriteText.
struct TextWritten {
  std::uint64_t Operation = 0;
  StorePutResult Result;
};

/// Time passes.
struct ConfigTick {};

using ConfigEvent =
    std::variant<ConfigRequest, TextRead, TextWritten, ConfigTick>;

struct ReadText {
  std::uint64_t Operation = 0;
  std::string Key;
};

struct WriteText {
  std::uint64_t Operation = 0;
  std::string Key;
  Revision Expected;
  std::string Text;
};

struct AnswerRequest {
  std::uint64_t Request = 0;
  ConfigAnswer Answer;
};

using ConfigAction = std::variant<ReadText, WriteText, AnswerRequest>;

} // namespace waxwing

#endif
