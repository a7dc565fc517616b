/**
 * @file upstream_server.cpp
 * Request execution, load reports and fault injection of the upstream stand-in.
 */
#include "standin/upstream_server.h"

#include "standin/standin_func.h"
#include "table/reasons.h"
#include "upstream/upstream_protocol.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <random>

namespace waxwing {
namespace {

/// Exit code of the process when a request target contains
/// UpstreamSettings::CrashMarker.
constexpr int CrashExitCode = 3;
constexpr Duration LoadSamplePeriod = milliseconds(100);

UpstreamTime upstreamNow() {
  return UpstreamTime(readClock().time_since_epoch());
}

void echoId(const HttpRequest &request, HttpResponse &response) {
  response.Headers.add(std::string(RequestIdHeader),
                       std::string(request.Headers.find(RequestIdHeader)));
}

std::optional<std::uint64_t> readNumber(const HttpRequest &request,
                                        std::string_view header) {
  std::uint64_t n = 0;
  if (!absl::SimpleAtoi(std::string(request.Headers.find(header)), &n))
    return std::nullopt;
  return n;
}

} // namespace

UpstreamServer::UpstreamServer(UpstreamSettings settings,
                               std::size_t connections)
    : Settings(std::move(settings)),
      Grants(Settings.Id, Incarnation(std::random_device()()),
             Settings.RejectsOldOrders ? OrderChecking::On
                                       : OrderChecking::Off),
      StartedAt(readClock()),
      MainServer(Io, HttpServerLimits{connections},
                 [this](HttpExchange it) { handleRequest(std::move(it)); }),
      AdminServer(Io, {},
                  [this](const HttpExchange &it) { handleAdminRequest(it); }) {
  MainServer.onConnectionLost(
      [this](std::uint64_t id) { handleConnectionLoss(id); });
  Io.runEvery(LoadSamplePeriod, [this] { recordLoad(); });
}

absl::Status UpstreamServer::listen(const Endpoint &main,
                                    const Endpoint &admin) {
  if (absl::Status status = MainServer.listen(main); !status.ok())
    return status;
  return AdminServer.listen(admin);
}

void UpstreamServer::handleRequest(HttpExchange exchange) {
  if (isSilenced(exchange)) {
    SilencedExchanges.push_back(std::move(exchange));
    return;
  }
  const std::string path =
      exchange.Request.Target.substr(0, exchange.Request.Target.find('?'));
  if (path == GrantPath)
    return handleGrantOrder(exchange);
  if (path == CancelPath)
    return handleCancellation(exchange);
  if (path == StatusPath)
    return sendStatus(exchange);
  const Reason reason = checkAdmission(exchange.Request);
  if (reason != Reason::None)
    return refuse(exchange, reason);
  enqueue(std::move(exchange));
}

void UpstreamServer::handleGrantOrder(const HttpExchange &exchange) {
  const auto order = decodeOrder(exchange.Request.Body);
  if (!order.ok())
    return exchange.Reply(
        textResponse(400, std::string(order.status().message())));
  exchange.Reply(textResponse(
      200, encodeGrantAnswer(Grants.handleOrder(*order, upstreamNow()))));
}

void UpstreamServer::handleCancellation(const HttpExchange &exchange) {
  const std::string id(exchange.Request.Headers.find(RequestIdHeader));
  const auto it = std::ranges::find_if(Queue, [&](const QueuedRequest &queued) {
    return queued.Exchange.Request.Headers.find(RequestIdHeader) == id;
  });
  if (it != Queue.end()) {
    refuse(it->Exchange, Reason::UpstreamShed);
    Queue.erase(it);
    ++Record.Cancelled;
  }
  exchange.Reply(textResponse(200, ""));
}

void UpstreamServer::sendStatus(const HttpExchange &exchange) {
  const Time asOf = readClock() - Settings.ReportLag;
  const auto newer = std::ranges::find_if(
      LoadHistory, [asOf](const LoadSample &it) { return it.At > asOf; });
  const int trueLoad =
      newer == LoadHistory.begin() ? 0 : std::prev(newer)->Load;
  const int reportedLoad = trueLoad * Settings.ReportPercent / 100;
  HttpResponse response = textResponse(
      200, fmt::format("load {}\nslots {}\n", reportedLoad, Settings.Slots));
  echoId(exchange.Request, response);
  exchange.Reply(std::move(response));
}

Reason UpstreamServer::checkAdmission(const HttpRequest &request) {
  if (Faults.IsDraining)
    return Reason::UpstreamDraining;
  if (Settings.IsDividedByKey) {
    const Reason reason = checkGrant(request);
    if (reason != Reason::None)
      return reason;
  }
  if (static_cast<int>(Queue.size()) >= Settings.QueueLimit)
    return Reason::UpstreamShed;
  return Reason::None;
}

Reason UpstreamServer::checkGrant(const HttpRequest &request) {
  const auto unit = parseUnit(request.Headers.find(UnitHeader));
  const auto token = readNumber(request, TokenHeader);
  const auto key = readNumber(request, KeyHashHeader);
  if (!unit || !token || !key)
    return Reason::WrongToken;
  const GrantedUnit granted{*unit, FencingToken(*token)};
  const Reason reason =
      Grants.check(*unit, granted.Fence, KeyHash(*key), upstreamNow());
  if (reason == Reason::None) {
    const Time now = readClock();
    const auto it =
        Record.Acceptances.try_emplace(granted, AcceptancePeriod{now, now});
    it.first->second.Last = now;
  }
  return reason;
}

void UpstreamServer::refuse(const HttpExchange &exchange, Reason reason) {
  ++Record.Refused;
  HttpResponse response = textResponse(503, "");
  response.Headers.add(std::string(RefusalHeader),
                       std::string(reasonInfo(reason).Name));
  echoId(exchange.Request, response);
  exchange.Reply(std::move(response));
}

void UpstreamServer::enqueue(HttpExchange exchange) {
  std::optional<Time> deadline;
  if (const auto ms = readNumber(exchange.Request, DeadlineHeader))
    deadline = readClock() + milliseconds(*ms);
  Queue.push_back({std::move(exchange), deadline});
  Record.PeakLoad = std::max(Record.PeakLoad, currentLoad());
  if (isCold())
    Record.PeakWhileCold = std::max(Record.PeakWhileCold, currentLoad());
  startQueuedRequests();
}

void UpstreamServer::startQueuedRequests() {
  while (RunningRequests < slotLimit() && !Queue.empty()) {
    QueuedRequest next = std::move(Queue.front());
    Queue.pop_front();
    if (next.Deadline && *next.Deadline < readClock())
      refuse(next.Exchange, Reason::DeadlinePassed);
    else
      execute(std::move(next.Exchange));
  }
}

void UpstreamServer::execute(HttpExchange exchange) {
  ++RunningRequests;
  ++Record.Executed;
  const HttpRequest &request = exchange.Request;
  const std::string key(request.Headers.find(IdempotencyHeader));
  if (!key.empty())
    ++Record.Executions[key];
  if (!Settings.CrashMarker.empty() &&
      request.Target.find(Settings.CrashMarker) != std::string::npos)
    std::_Exit(CrashExitCode);
  const auto factor = static_cast<Duration::rep>(Faults.SlowFactor) *
                      (isCold() ? Settings.ColdFactor : 1);
  Io.runAt(
      readClock() + Settings.ServiceTime * factor,
      [this, exchange = std::move(exchange)] { completeExecution(exchange); });
}

void UpstreamServer::completeExecution(const HttpExchange &exchange) {
  --RunningRequests;
  HttpResponse response = textResponse(200, exchange.Request.Method + " " +
                                                exchange.Request.Target + "\n");
  if (Faults.ResponsesToMisattribute > 0) {
    --Faults.ResponsesToMisattribute;
    response.Headers.add(std::string(RequestIdHeader), "crossed");
  } else {
    echoId(exchange.Request, response);
  }
  if (Settings.NetworkLatency == Duration())
    exchange.Reply(std::move(response));
  else
    Io.runAt(readClock() + 2 * Settings.NetworkLatency,
             [reply = exchange.Reply, response = std::move(response)] {
               reply(response);
             });
  startQueuedRequests();
}

bool UpstreamServer::isSilenced(const HttpExchange &exchange) {
  if (SilentConnections.contains(exchange.ConnectionId))
    return true;
  if (Faults.ConnectionsToSilence == 0)
    return false;
  --Faults.ConnectionsToSilence;
  SilentConnections.insert(exchange.ConnectionId);
  return true;
}

void UpstreamServer::handleConnectionLoss(std::uint64_t connection) {
  const auto lost = [connection](const QueuedRequest &queued) {
    return queued.Exchange.ConnectionId == connection;
  };
  Record.Cancelled += std::erase_if(Queue, lost);
}

void UpstreamServer::recordLoad() {
  const Time now = readClock();
  LoadHistory.push_back({now, currentLoad()});
  while (LoadHistory.size() > 2 &&
         LoadHistory[1].At + Settings.ReportLag + LoadSamplePeriod < now)
    LoadHistory.pop_front();
}

void UpstreamServer::handleAdminRequest(const HttpExchange &exchange) {
  const auto target = parseTarget(exchange.Request.Target);
  if (!target || target->Parts.empty())
    return exchange.Reply(textResponse(400, "malformed target\n"));
  if (target->Parts[0] == "fault")
    setFaults(*target);
  exchange.Reply(textResponse(200, formatRecord(target->Parts[0] == "record")));
}

void UpstreamServer::setFaults(const UrlTarget &target) {
  Faults.SlowFactor = target.number("slow_factor", Faults.SlowFactor);
  Faults.IsDraining = target.number("drain", Faults.IsDraining ? 1 : 0) != 0;
  Faults.ResponsesToMisattribute =
      target.number("cross", Faults.ResponsesToMisattribute);
  Faults.ConnectionsToSilence =
      target.number("silence", Faults.ConnectionsToSilence);
  if (target.number("cold") != 0)
    StartedAt = readClock();
}

std::string UpstreamServer::formatRecord(bool withDetails) const {
  // Stand-in upstreams have ids of the form team/service-number.
  const std::string service =
      Settings.Id.Value.substr(0, Settings.Id.Value.rfind('-'));
  std::string text = fmt::format(
      "service {}\nexecuted {}\nrefused {}\ncancelled {}\npeak_load {}\n"
      "peak_while_cold {}\n",
      service, Record.Executed, Record.Refused, Record.Cancelled,
      Record.PeakLoad, Record.PeakWhileCold);
  if (!withDetails)
    return text;
  for (const auto &[key, count] : Record.Executions)
    text += fmt::format("key {} {}\n", key, count);
  for (const auto &[granted, tenure] : Record.Acceptances)
    text += fmt::format("unit {} {} {} {}\n", formatUnit(granted.Unit),
                        granted.Fence.Value,
                        tenure.First.time_since_epoch().count(),
                        tenure.Last.time_since_epoch().count());
  return text;
}

} // namespace waxwing
