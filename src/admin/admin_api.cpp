/**
 * @file admin_api.cpp
 * Authentication, authorization and execution of administration requests.
 */
#include "admin/admin_api_base.h"

#include "admin/admin_call_func.h"
#include "admin/admin_json_func.h"

#include <absl/strings/escaping.h>
#include <array>
#include <chrono>
#include <ctime>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <openssl/rand.h>

namespace waxwing {
namespace {

/// Time after which a change that the store did not confirm fails.
constexpr Duration ChangeTimeout = seconds(5);
/// Time after which a query without response from the decision thread fails.
constexpr Duration QueryTimeout = seconds(2);
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::size_t ChangeIdBytes = 16;

std::string randomChangeId() {
  std::array<unsigned char, ChangeIdBytes> bytes{};
  RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
  return absl::BytesToHexString(
      {reinterpret_cast<const char *>(bytes.data()), bytes.size()});
}

std::string currentWallTime() {
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(std::time(nullptr)));
}

/// Checks whether a token's scope permits a request.
struct PermissionCheck {
  const TokenScope &Scope;

  bool permits(const DocumentId &document) const {
    return document.Kind == DocumentKind::Team ? Scope.allows(document.Team)
                                               : Scope.IsOperator;
  }
  bool operator()(const SettingsRequest &it) const {
    return permits(it.Document);
  }
  bool operator()(const HistoryRequest &it) const {
    return permits(it.Document);
  }
  bool operator()(const ChangeRequest &it) const {
    return permits(it.Document);
  }
  bool operator()(const OwnerRequest &it) const {
    const auto slash = it.Service.Value.find('/');
    return Scope.allows(TeamId(it.Service.Value.substr(0, slash)));
  }
  // Permitted to every token; lists contain only the teams of its scope.
  bool operator()(const TeamListRequest &) const { return true; }
  bool operator()(const RevisionsRequest &) const { return true; }
  bool operator()(const CountersRequest &) const { return true; }
};

bool isChange(const AdminRequest &call) {
  return std::holds_alternative<ChangeRequest>(call);
}

} // namespace

AdminApi::AdminApi(IoThread &io, PlatformStore &store,
                   const std::string &operatorSha256,
                   std::function<bool(AdminQuery)> sendToController)
    : Io(io), Store(store), Tokens(store, operatorSha256),
      SendToController(std::move(sendToController)) {}

void AdminApi::handle(HttpExchange exchange) {
  const std::string_view header =
      exchange.Request.Headers.find("Authorization");
  if (!header.starts_with(BearerPrefix) || header.size() == BearerPrefix.size())
    return refuse(
        exchange.Reply,
        {AdminError::Unauthenticated,
         "the request lacks the header 'Authorization: Bearer TOKEN'"});
  auto parsed = parseAdminRequest(exchange.Request);
  const bool isStaleAllowed = std::holds_alternative<AdminRequest>(parsed) &&
                              !isChange(std::get<AdminRequest>(parsed));
  Tokens.authenticate(
      std::string(header.substr(BearerPrefix.size())), isStaleAllowed,
      [this, parsed = std::move(parsed),
       reply = std::move(exchange.Reply)](absl::StatusOr<TokenHolder> holder) {
        // Errors in path or body are reported only to authenticated clients.
        const auto *refusal = std::get_if<AdminRefusal>(&parsed);
        if (holder.ok() && refusal != nullptr)
          return refuse(reply, *refusal);
        const auto *call = std::get_if<AdminRequest>(&parsed);
        authorize(call != nullptr ? *call : AdminRequest(), reply,
                  std::move(holder));
      });
}

void AdminApi::authorize(const AdminRequest &call, HttpReply reply,
                         absl::StatusOr<TokenHolder> holder) {
  if (!holder.ok()) {
    const bool isUnknownToken = absl::IsUnauthenticated(holder.status());
    return refuse(reply, {isUnknownToken ? AdminError::Unauthenticated
                                         : AdminError::Unavailable,
                          std::string(holder.status().message())});
  }
  if (!std::visit(PermissionCheck{holder->Scope}, call))
    return refuse(reply, {AdminError::Forbidden,
                          fmt::format("token '{}' does not permit this request",
                                      holder->Name)});
  std::visit([&](const auto &it) { execute(it, *holder, std::move(reply)); },
             call);
}

void AdminApi::execute(const TeamListRequest &, const TokenHolder &holder,
                       HttpReply reply) {
  Store.list("/teams/", [this, scope = holder.Scope, reply = std::move(reply)](
                            const StoreListResult &result) {
    if (result.Status != StoreStatus::Done)
      return refuse(reply,
                    {AdminError::Unavailable, "the store is not responding"});
    reply(makeTeamsResponse(result.Entries, scope));
  });
}

void AdminApi::execute(const SettingsRequest &call, const TokenHolder &,
                       HttpReply reply) {
  readDocument(call.Document, std::move(reply),
               [path = call.Path](const StoreEntry &entry) {
                 return makeSettingsResponse(entry, path);
               });
}

void AdminApi::execute(const HistoryRequest &call, const TokenHolder &,
                       HttpReply reply) {
  readDocument(call.Document, std::move(reply),
               [path = call.Path](const StoreEntry &entry) {
                 return makeHistoryResponse(entry, path);
               });
}

void AdminApi::readDocument(
    const DocumentId &document, HttpReply reply,
    std::function<HttpResponse(const StoreEntry &)> show) {
  Store.get(documentKey(document),
            [this, reply = std::move(reply),
             show = std::move(show)](const StoreGetResult &result) {
              if (result.Status != StoreStatus::Done)
                return refuse(reply, {AdminError::Unavailable,
                                      "the store is not responding"});
              reply(show(result.Entry));
            });
}

void AdminApi::execute(const ChangeRequest &call, const TokenHolder &holder,
                       HttpReply reply) {
  ConfigRequest request;
  request.Id = NextRequestId++;
  request.Document = call.Document;
  request.Author = holder.Name;
  request.Change = call.Change.empty() ? randomChangeId() : call.Change;
  request.Base = call.Base;
  request.Commands = call.Commands;
  request.IsDryRun = call.IsDryRun;
  request.MayCreate = holder.Scope.IsOperator;
  request.Deadline = readClock() + ChangeTimeout;
  request.WallTime = currentWallTime();
  PendingChanges[request.Id] = {std::move(reply), request.Change,
                                call.Document};
  handleConfigEvent(std::move(request));
}

void AdminApi::execute(const OwnerRequest &call, const TokenHolder &holder,
                       HttpReply reply) {
  startQuery(call, holder, std::move(reply));
}

void AdminApi::execute(const RevisionsRequest &call, const TokenHolder &holder,
                       HttpReply reply) {
  startQuery(call, holder, std::move(reply));
}

void AdminApi::execute(const CountersRequest &call, const TokenHolder &holder,
                       HttpReply reply) {
  startQuery(call, holder, std::move(reply));
}

void AdminApi::startQuery(decltype(AdminQuery::Call) call,
                          const TokenHolder &holder, HttpReply reply) {
  const std::uint64_t id = NextRequestId++;
  if (!SendToController({id, std::move(call)}))
    return refuse(reply, {AdminError::Busy, "too many queries are queued"});
  PendingQueries[id] = {std::move(reply), holder, readClock() + QueryTimeout};
}

void AdminApi::completeQuery(AdminResponse response) {
  const auto it = PendingQueries.find(response.Id);
  if (it == PendingQueries.end())
    return;
  const PendingQuery query = std::move(it->second);
  PendingQueries.erase(it);
  if (const auto *owner = std::get_if<OwnerResponse>(&response.Result))
    query.Reply(makeOwnerResponse(*owner));
  if (const auto *revisions = std::get_if<RevisionsResponse>(&response.Result))
    query.Reply(makeRevisionsResponse(*revisions, query.Holder.Scope));
  if (auto *counters = std::get_if<CountersResponse>(&response.Result)) {
    for (const AdminErrorInfo &info : AdminErrorTable)
      if (info.Id != AdminError::None)
        counters->Rows.push_back(
            {fmt::format("admin_refused_{}", info.Name),
             ErrorCounts[static_cast<std::size_t>(info.Id)]});
    query.Reply(makeCountersResponse(*counters));
  }
}

void AdminApi::tick() {
  const Time now = readClock();
  handleConfigEvent(ConfigTick());
  for (auto it = PendingQueries.begin(); it != PendingQueries.end();) {
    if (now < it->second.Deadline) {
      ++it;
      continue;
    }
    refuse(it->second.Reply,
           {AdminError::Busy,
            "the controller's decision thread did not respond in time"});
    it = PendingQueries.erase(it);
  }
}

void AdminApi::handleConfigEvent(ConfigEvent event) {
  for (ConfigAction &action : Writer.handle(std::move(event), readClock()))
    std::visit([this](auto &it) { runAction(it); }, action);
}

void AdminApi::runAction(ReadDocument &action) {
  Store.get(action.Key, [this, op = action.Operation](StoreGetResult result) {
    handleConfigEvent(DocumentReadResult{op, std::move(result)});
  });
}

void AdminApi::runAction(WriteDocument &action) {
  Store.compareAndSwap(action.Key, action.Expected, std::move(action.Text),
                       [this, op = action.Operation](StorePutResult result) {
                         handleConfigEvent(DocumentWriteResult{op, result});
                       });
}

void AdminApi::runAction(CompleteRequest &action) {
  const auto it = PendingChanges.find(action.RequestId);
  if (it == PendingChanges.end())
    return;
  const PendingChange change = std::move(it->second);
  PendingChanges.erase(it);
  const AdminError error = toAdminError(action.Response.Outcome);
  ++ErrorCounts[static_cast<std::size_t>(error)];
  publishAccepted(change.Document, action.Response);
  change.Reply(makeChangeResponse(action.Response, change.Change));
}

/// Passes an accepted document to the decision thread without waiting for the
/// store's watch. If the ring buffer to that thread is full, the document
/// arrives by the watch.
void AdminApi::publishAccepted(const DocumentId &document,
                               const ConfigResponse &response) {
  if (document.Kind == DocumentKind::Tokens)
    Tokens.invalidate();
  else if (!response.StoredText.empty())
    SendToController({0, AcceptedDocument{{document.Team, response.Rev,
                                           response.StoredText}}});
}

void AdminApi::refuse(const HttpReply &reply, const AdminRefusal &refusal) {
  ++ErrorCounts[static_cast<std::size_t>(refusal.Error)];
  reply(makeRefusalResponse(refusal));
}

} // namespace waxwing
