/**
 * @file admin_type.h
 * Requests of the administration API as typed calls, and the questions that
 * only the controller's decisions can answer.
 */
#ifndef WAXWING_ADMIN_ADMIN_TYPE_H
#define WAXWING_ADMIN_ADMIN_TYPE_H

#include "config/config_writer_type.h"
#include "config/team_config_base.h"
#include "table/admin_errors.h"

#include <map>
#include <variant>

namespace waxwing {

/// Which teams' documents exist.
struct TeamListCall {};

/// Values of a document, or of one path in it.
struct SettingsCall {
  DocumentId Document;
  std::string Path; ///< "", "kind/name" or "kind/name/key"
};

/// Changes of a path.
struct HistoryCall {
  DocumentId Document;
  std::string Path;
};

/// A change or its dry run.
struct ChangeCall {
  DocumentId Document;
  std::vector<ConfigCommand> Commands;
  std::string Change; ///< "" when the client drew none
  std::optional<Revision> Base;
  bool IsDryRun = false;
};

/// Who owns a key.
struct OwnerCall {
  ServiceId Service;
  std::string Key;
};

/// Which revisions each VM has in force.
struct RevisionsCall {};

struct CountersCall {};

using AdminCall =
    std::variant<TeamListCall, SettingsCall, HistoryCall, ChangeCall, OwnerCall,
                 RevisionsCall, CountersCall>;

/// Refusal of a request.
struct AdminRefusal {
  AdminError Error = AdminError::None;
  std::string Message;
};

/// News for the decisions, without an answer: a team's document that was
/// just accepted.
struct AcceptedDocument {
  TeamDocument Document;
};

/// Question or news to the decisions.
struct AdminQuery {
  std::uint64_t Id = 0; ///< echoed in the answer
  std::variant<OwnerCall, RevisionsCall, CountersCall, AcceptedDocument> Call;
};

/// Owner of a key as this controller knows it.
struct OwnerResponse {
  bool IsKnown = false; ///< the service's record is known here
  UpstreamId Owner;     ///< empty while the key has none
  Token Fence;
  Revision Record;
  std::string Unit; ///< "shard:N" or "key:N"
};

/// Documents in force on one VM.
struct VmRevisions {
  VmId Vm;
  std::uint64_t AgeMs = 0; ///< since the VM's report arrived here
  std::map<TeamId, Revision> Documents;
};

struct RevisionsResponse {
  std::vector<VmRevisions> Vms;
};

struct CounterRow {
  std::string Name;
  std::uint64_t Count = 0;
};

struct CountersResponse {
  std::vector<CounterRow> Rows;
};

struct AdminResponse {
  std::uint64_t Id = 0;
  std::variant<OwnerResponse, RevisionsResponse, CountersResponse> Result;
};

} // namespace waxwing

#endif
