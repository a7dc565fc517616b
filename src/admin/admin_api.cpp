/**
 * @file admin_api.cpp
 * From a request to its answer.
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

constexpr Duration ChangeTerm = seconds(5);
constexpr Duration QuestionTerm = seconds(2);
constexpr std::string_view Scheme = "Bearer ";
constexpr std::size_t ChangeIdBytes = 16;

std::string drawChangeId() {
  std::array<unsigned char, ChangeIdBytes> bytes{};
  RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
  return absl::BytesToHexString(
      {reinterpret_cast<const char *>(bytes.data()), bytes.size()});
}

std::string readWallTime() {
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(std::time(nullptr)));
}

/// Whether a token's scope covers a call.
struct PermissionCheck {
  const TokenScope &Scope;

  bool covers(const DocumentId &document) const {
    return document.Kind == DocumentKind::Team ? Scope.allows(document.Team)
                                               : Scope.IsOperator;
  }
  bool operator()(const SettingsCall &it) const { return covers(it.Document); }
  bool operator()(const HistoryCall &it) const { return covers(it.Document); }
  bool operator()(const ChangeCall &it) const { return covers(it.Document); }
  bool operator()(const OwnerCall &it) const {
    const auto slash = it.Service.Value.find('/');
    return Scope.allows(TeamId(it.Service.Value.substr(0, slash)));
  }
  // These show only what the scope covers.
  bool operator()(const TeamListCall &) const { return true; }
  bool operator()(const RevisionsCall &) const { return true; }
  bool operator()(const CountersCall &) const { return true; }
};

bool isChange(const AdminCall &call) {
  return std::holds_alternative<ChangeCall>(call);
}

} // namespace

AdminApi::AdminApi(IoThread &io, PlatformStore &store,
                   const std::string &operatorSha256,
                   std::function<bool(AdminQuery)> ask)
    : Io(io), Store(store), Tokens(store, operatorSha256), Ask(std::move(ask)) {
}

void AdminApi::handle(HttpExchange exchange) {
  const std::string_view header =
      exchange.Request.Headers.find("Authorization");
  if (!header.starts_with(Scheme) || header.size() == Scheme.size())
    return refuse(exchange.Reply,
                  {AdminError::Unauthenticated,
                   "the request carries no 'Authorization: Bearer TOKEN'"});
  auto parsed = parseAdminCall(exchange.Request);
  const bool isOldAllowed = std::holds_alternative<AdminCall>(parsed) &&
                            !isChange(std::get<AdminCall>(parsed));
  Tokens.recognize(
      std::string(header.substr(Scheme.size())), isOldAllowed,
      [this, parsed = std::move(parsed),
       reply = std::move(exchange.Reply)](absl::StatusOr<TokenHolder> holder) {
        // A stranger learns nothing of paths and bodies.
        const auto *refusal = std::get_if<AdminRefusal>(&parsed);
        if (holder.ok() && refusal != nullptr)
          return refuse(reply, *refusal);
        const auto *call = std::get_if<AdminCall>(&parsed);
        authorize(call != nullptr ? *call : AdminCall(), reply,
                  std::move(holder));
      });
}

void AdminApi::authorize(const AdminCall &call, HttpReply reply,
                         absl::StatusOr<TokenHolder> holder) {
  if (!holder.ok()) {
    const bool isUnknown = absl::IsUnauthenticated(holder.status());
    return refuse(reply, {isUnknown ? AdminError::Unauthenticated
                                    : AdminError::Unavailable,
                          std::string(holder.status().message())});
  }
  if (!std::visit(PermissionCheck{holder->Scope}, call))
    return refuse(
        reply, {AdminError::Forbidden,
                fmt::format("token '{}' does not allow this", holder->Name)});
  std::visit([&](const auto &it) { execute(it, *holder, std::move(reply)); },
             call);
}

void AdminApi::execute(const TeamListCall &, const TokenHolder &holder,
                       HttpReply reply) {
  Store.list("/teams/", [this, scope = holder.Scope, reply = std::move(reply)](
                            const StoreListResult &result) {
    if (result.Status != StoreStatus::Done)
      return refuse(reply,
                    {AdminError::Unavailable, "the store does not answer"});
    reply(showTeams(result.Entries, scope));
  });
}

void AdminApi::execute(const SettingsCall &call, const TokenHolder &,
                       HttpReply reply) {
  readDocument(call.Document, std::move(reply),
               [path = call.Path](const StoreEntry &entry) {
                 return showSettings(entry, path);
               });
}

void AdminApi::execute(const HistoryCall &call, const TokenHolder &,
                       HttpReply reply) {
  readDocument(call.Document, std::move(reply),
               [path = call.Path](const StoreEntry &entry) {
                 return showHistory(entry, path);
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
                                      "the store does not answer"});
              reply(show(result.Entry));
            });
}

void AdminApi::execute(const ChangeCall &call, const TokenHolder &holder,
                       HttpReply reply) {
  ConfigRequest request;
  request.Id = NextId++;
  request.Document = call.Document;
  request.Who = holder.Name;
  request.Change = call.Change.empty() ? drawChangeId() : call.Change;
  request.Base = call.Base;
  request.Commands = call.Commands;
  request.IsDryRun = call.IsDryRun;
  request.MayCreate = holder.Scope.IsOperator;
  request.Deadline = readClock() + ChangeTerm;
  request.WallTime = readWallTime();
  Changes[request.Id] = {std::move(reply), request.Change, call.Document};
  write(std::move(request));
}

void AdminApi::execute(const OwnerCall &call, const TokenHolder &holder,
                       HttpReply reply) {
  ask(call, holder, std::move(reply));
}

void AdminApi::execute(const RevisionsCall &call, const TokenHolder &holder,
                       HttpReply reply) {
  ask(call, holder, std::move(reply));
}

void AdminApi::execute(const CountersCall &call, const TokenHolder &holder,
                       HttpReply reply) {
  ask(call, holder, std::move(reply));
}

void AdminApi::ask(decltype(AdminQuery::Call) call, const TokenHolder &holder,
                   HttpReply reply) {
  const std::uint64_t id = NextId++;
  if (!Ask({id, std::move(call)}))
    return refuse(reply, {AdminError::Busy, "too many questions wait"});
  Questions[id] = {std::move(reply), holder, readClock() + QuestionTerm};
}

void AdminApi::completeQuery(AdminResponse answer) {
  const auto it = Questions.find(answer.Id);
  if (it == Questions.end())
    return;
  const Question question = std::move(it->second);
  Questions.erase(it);
  if (const auto *owner = std::get_if<OwnerResponse>(&answer.Result))
    question.Reply(showOwner(*owner));
  if (const auto *revisions = std::get_if<RevisionsResponse>(&answer.Result))
    question.Reply(showRevisions(*revisions, question.Holder.Scope));
  if (auto *counters = std::get_if<CountersResponse>(&answer.Result)) {
    for (const AdminErrorInfo &info : AdminErrorTable)
      if (info.Id != AdminError::None)
        counters->Rows.push_back({fmt::format("admin_refused_{}", info.Name),
                                  Counts[static_cast<std::size_t>(info.Id)]});
    question.Reply(showCounters(*counters));
  }
}

void AdminApi::tick() {
  const Time now = readClock();
  write(ConfigTick());
  for (auto it = Questions.begin(); it != Questions.end();) {
    if (now < it->second.Deadline) {
      ++it;
      continue;
    }
    refuse(it->second.Reply,
           {AdminError::Busy, "the controller's decisions did not answer"});
    it = Questions.erase(it);
  }
}

void AdminApi::write(ConfigEvent event) {
  for (ConfigAction &action : Writer.handle(std::move(event), readClock()))
    std::visit([this](auto &it) { carryOut(it); }, action);
}

void AdminApi::carryOut(ReadText &action) {
  Store.get(action.Key, [this, op = action.Operation](StoreGetResult result) {
    write(TextRead{op, std::move(result)});
  });
}

void AdminApi::carryOut(WriteText &action) {
  Store.compareAndSwap(action.Key, action.Expected, std::move(action.Text),
                       [this, op = action.Operation](StorePutResult result) {
                         write(TextWritten{op, result});
                       });
}

void AdminApi::carryOut(AnswerRequest &action) {
  const auto it = Changes.find(action.Request);
  if (it == Changes.end())
    return;
  const PendingChange change = std::move(it->second);
  Changes.erase(it);
  const AdminError error = toAdminError(action.Answer.Verdict);
  ++Counts[static_cast<std::size_t>(error)];
  announce(change.Document, action.Answer);
  change.Reply(showChange(action.Answer, change.Change));
}

/// Puts an accepted change to use at once; when the ring is full, the watch
/// of the store brings it.
void AdminApi::announce(const DocumentId &document,
                        const ConfigAnswer &answer) {
  if (document.Kind == DocumentKind::Tokens)
    Tokens.invalidate();
  else if (!answer.StoredText.empty())
    Ask({0, AcceptedDocument{{document.Team, answer.Rev, answer.StoredText}}});
}

void AdminApi::refuse(const HttpReply &reply, const AdminRefusal &refusal) {
  ++Counts[static_cast<std::size_t>(refusal.Error)];
  reply(showRefusal(refusal));
}

} // namespace waxwing
