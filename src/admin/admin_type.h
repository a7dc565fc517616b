/**
 * @file admin_type.h
 * Typed requests of the administration API, and the queries that the API sends
 * to the controller's decision thread.
 */
#ifndef WAXWING_ADMIN_ADMIN_TYPE_H
#define WAXWING_ADMIN_ADMIN_TYPE_H

#include "config/config_writer_type.h"
#include "config/team_config_base.h"
#include "table/admin_errors.h"

#include <map>
#include <variant>

namespace waxwing {

/// Lists the teams that have a document.
struct TeamListRequest {};

/// Reads the values of a document, or those at one path.
struct SettingsRequest {
  DocumentId Document;
  std::string Path; ///< "", "kind/name" or "kind/name/key"
};

/// Reads the recorded changes of a path.
struct HistoryRequest {
  DocumentId Document;
  std::string Path;
};

/// Executes a change or its dry run.
struct ChangeRequest {
  DocumentId Document;
  std::vector<ConfigCommand> Commands;
  std::string Change;           ///< id chosen by the client, "" for none
  std::optional<Revision> Base; ///< revision that the client last read
  bool IsDryRun = false;
};

/// Finds the owner of a key.
struct OwnerRequest {
  ServiceId Service;
  std::string Key;
};

/// Lists the document revisions that each VM uses.
struct RevisionsRequest {};

/// Reads the controller's counters.
struct CountersRequest {};

using AdminRequest = std::variant<TeamListRequest, SettingsRequest,
                                  HistoryRequest, ChangeRequest, OwnerRequest,
                                  RevisionsRequest, CountersRequest>;

/// Error response to a request.
struct AdminRefusal {
  AdminError Error = AdminError::None;
  std::string Message;
};

/// Notifies the decision thread that a team's document was just accepted; the
/// thread sends no response.
struct AcceptedDocument {
  TeamDocument Document;
};

/// Query or notification to the decision thread.
struct AdminQuery {
  std::uint64_t Id = 0; ///< repeated in the response
  std::variant<OwnerRequest, RevisionsRequest, CountersRequest,
               AcceptedDocument>
      Call;
};

/// Owner of a key according to this controller.
struct OwnerResponse {
  bool IsKnown = false; ///< whether the controller has the service's record
  UpstreamId Owner;     ///< empty while the key has no owner
  FencingToken Fence;   ///< fencing token of the owner
  Revision Record;      ///< revision of the ownership record
  std::string Unit;     ///< what is owned: "shard:N" or "key:N"
};

/// Document revisions that one VM uses.
struct VmRevisions {
  VmId Vm;
  std::uint64_t AgeMs = 0; ///< time since the VM's report arrived, in ms
  std::map<TeamId, Revision> Documents;
};

/// Document revisions of all VMs that reported to this controller.
struct RevisionsResponse {
  std::vector<VmRevisions> Vms;
};

struct CounterRow {
  std::string Name;
  std::uint64_t Count = 0;
};

/// Values of the controller's counters.
struct CountersResponse {
  std::vector<CounterRow> Rows;
};

/// The decision thread's response to an AdminQuery.
struct AdminResponse {
  std::uint64_t Id = 0;
  std::variant<OwnerResponse, RevisionsResponse, CountersResponse> Result;
};

} // namespace waxwing

#endif
