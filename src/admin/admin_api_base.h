/**
 * @file admin_api_base.h
 * The administration API: recognizes the token, checks what it allows, and
 * answers from the store or from the controller's decisions.
 */
#ifndef WAXWING_ADMIN_ADMIN_API_BASE_H
#define WAXWING_ADMIN_ADMIN_API_BASE_H

#include "admin/admin_type.h"
#include "admin/token_reader_base.h"
#include "config/config_writer_base.h"
#include "net/http_server.h"

#include <array>
#include <functional>
#include <map>

namespace waxwing {

/// Bounds of the API's HTTP server; a document may double when quoted.
constexpr HttpServerLimits AdminServerLimits{
    .Connections = 64,
    .BodyBytes = 2u << 20,
    .HeaderBytes = 8u << 10,
    .IdleTimeout = seconds(30),
};

/// Used on one thread, that of its IoThread and store.
class AdminApi {
public:
  /// @param ask hands a question or news to the decisions; false when it
  ///   cannot
  AdminApi(IoThread &io, PlatformStore &store,
           const std::string &operatorSha256,
           std::function<bool(AdminQuery)> ask);

  /// Answers one request, now or later.
  void handle(HttpExchange exchange);
  /// Takes the decisions' answer to a question.
  void completeQuery(AdminResponse answer);
  /// Lets deadlines pass; to be called every TickPeriod.
  void tick();

  static constexpr Duration TickPeriod = milliseconds(50);

private:
  /// A question that waits for the decisions.
  struct Question {
    HttpReply Reply;
    TokenHolder Holder;
    Time Deadline;
  };

  /// A change that waits for the store.
  struct PendingChange {
    HttpReply Reply;
    std::string Change; ///< its id
    DocumentId Document;
  };

  void authorize(const AdminCall &call, HttpReply reply,
                 absl::StatusOr<TokenHolder> holder);
  void execute(const TeamListCall &call, const TokenHolder &holder,
               HttpReply reply);
  void execute(const SettingsCall &call, const TokenHolder &holder,
               HttpReply reply);
  void execute(const HistoryCall &call, const TokenHolder &holder,
               HttpReply reply);
  void execute(const ChangeCall &call, const TokenHolder &holder,
               HttpReply reply);
  void execute(const OwnerCall &call, const TokenHolder &holder,
               HttpReply reply);
  void execute(const RevisionsCall &call, const TokenHolder &holder,
               HttpReply reply);
  void execute(const CountersCall &call, const TokenHolder &holder,
               HttpReply reply);

  void ask(decltype(AdminQuery::Call) call, const TokenHolder &holder,
           HttpReply reply);
  void readDocument(const DocumentId &document, HttpReply reply,
                    std::function<HttpResponse(const StoreEntry &)> show);
  void write(ConfigEvent event);
  void carryOut(ReadText &action);
  void carryOut(WriteText &action);
  void carryOut(AnswerRequest &action);
  void announce(const DocumentId &document, const ConfigAnswer &answer);
  void refuse(const HttpReply &reply, const AdminRefusal &refusal);

  IoThread &Io;
  PlatformStore &Store;
  TokenReader Tokens;
  std::function<bool(AdminQuery)> Ask;
  ConfigWriter Writer;
  std::map<std::uint64_t, PendingChange> Changes; ///< by request id
  std::map<std::uint64_t, Question> Questions;
  std::uint64_t NextId = 1;
  std::array<std::uint64_t, AdminErrorCount> Counts{}; ///< refusals
};

} // namespace waxwing

#endif
