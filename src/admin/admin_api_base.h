/**
 * @file admin_api_base.h
 * Administration API: authenticates the token, checks its permissions and
 * responds from the store or from the controller's decision thread.
 */
#ifndef WAXWING_ADMIN_ADMIN_API_BASE_H
#define WAXWING_ADMIN_ADMIN_API_BASE_H

#include "admin/admin_type.h"
#include "admin/token_cache_base.h"
#include "config/config_writer_base.h"
#include "net/http_server.h"

#include <array>
#include <functional>
#include <map>

namespace waxwing {

/// Limits of the API's HTTP server. BodyBytes is more than twice
/// MaxDocumentBytes because JSON escapes can double the size of a document.
constexpr HttpServerLimits AdminServerLimits{
    .Connections = 64,
    .BodyBytes = 2u << 20,
    .HeaderBytes = 8u << 10,
    .IdleTimeout = seconds(30),
};

/// Handles the requests of the administration API. All calls must be made on
/// the thread of its IoThread and store.
class AdminApi {
public:
  /// @param sendToController passes a query to the decision thread; returns
  ///   false if it cannot
  AdminApi(IoThread &io, PlatformStore &store,
           const std::string &operatorSha256,
           std::function<bool(AdminQuery)> sendToController);

  /// Handles one request; the response may be sent later.
  void handle(HttpExchange exchange);
  /// Sends the response for a query that the decision thread has answered.
  void completeQuery(AdminResponse response);
  /// Handles deadlines and retries; to be called every TickPeriod.
  void tick();

  static constexpr Duration TickPeriod = milliseconds(50);

private:
  /// A request that waits for the decision thread.
  struct PendingQuery {
    HttpReply Reply;
    TokenHolder Holder;
    Time Deadline;
  };

  /// A change request that waits for the store.
  struct PendingChange {
    HttpReply Reply;
    std::string Change; ///< id of the change
    DocumentId Document;
  };

  void authorize(const AdminRequest &call, HttpReply reply,
                 absl::StatusOr<TokenHolder> holder);
  void execute(const TeamListRequest &call, const TokenHolder &holder,
               HttpReply reply);
  void execute(const SettingsRequest &call, const TokenHolder &holder,
               HttpReply reply);
  void execute(const HistoryRequest &call, const TokenHolder &holder,
               HttpReply reply);
  void execute(const ChangeRequest &call, const TokenHolder &holder,
               HttpReply reply);
  void execute(const OwnerRequest &call, const TokenHolder &holder,
               HttpReply reply);
  void execute(const RevisionsRequest &call, const TokenHolder &holder,
               HttpReply reply);
  void execute(const CountersRequest &call, const TokenHolder &holder,
               HttpReply reply);

  void startQuery(decltype(AdminQuery::Call) call, const TokenHolder &holder,
                  HttpReply reply);
  void readDocument(const DocumentId &document, HttpReply reply,
                    std::function<HttpResponse(const StoreEntry &)> show);
  void handleConfigEvent(ConfigEvent event);
  void runAction(ReadDocument &action);
  void runAction(WriteDocument &action);
  void runAction(CompleteRequest &action);
  void publishAccepted(const DocumentId &document,
                       const ConfigResponse &response);
  void refuse(const HttpReply &reply, const AdminRefusal &refusal);

  IoThread &Io;
  PlatformStore &Store;
  TokenCache Tokens;
  std::function<bool(AdminQuery)> SendToController;
  ConfigWriter Writer;
  /// Change requests that wait for the store, by ConfigRequest::Id.
  std::map<std::uint64_t, PendingChange> PendingChanges;
  std::map<std::uint64_t, PendingQuery> PendingQueries;
  std::uint64_t NextRequestId = 1;
  /// Numbers of refused requests and completed changes, by AdminError.
  std::array<std::uint64_t, AdminErrorCount> ErrorCounts{};
};

} // namespace waxwing

#endif
