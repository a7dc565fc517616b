/**
 * @file gateway.cpp
 * Caller connections, request queues and timeouts.
 */
#include "node/gateway.h"

#include "core/random_func.h"
#include "node/node_log.h"
#include "node/socket_options.h"
#include "table/reasons.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <iterator>

namespace waxwing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Interval of checks for idle connections and timed-out callers.
constexpr Duration SweepInterval = milliseconds(500);
constexpr int ListenBacklog = 1024;
/// Fraction of the VM's memory that callers' request bodies may use.
constexpr double BodyMemoryFraction = 0.125;
constexpr double BytesPerMegabyte = 1e6;
/// A response that has been started is broken off this long after the caller's
/// deadline; an upstream in trouble may send bytes without end.
constexpr Duration MaxResponseOvertime = seconds(5);

/// A leaving owner of keys receives no requests from this long before the end
/// of the drain bound.
constexpr Duration LastRequestMargin = milliseconds(300);

std::string makeLocalResponse(const Exchange &exchange, int status,
                              std::string_view phrase, Duration retryAfter,
                              std::string_view reason,
                              const std::string &relayFields) {
  std::string out;
  const std::string body = fmt::format("{}\n", reason);
  fmt::format_to(std::back_inserter(out), "HTTP/1.1 {} {}\r\n", status, phrase);
  if (!exchange.Meta.Id.empty())
    platform::appendRequestId(out, exchange.Meta.Id);
  if (retryAfter > Duration())
    platform::appendRetryAfter(out, toMilliseconds(retryAfter));
  out += relayFields;
  fmt::format_to(std::back_inserter(out),
                 "Content-Type: text/plain\r\nContent-Length: {}\r\n{}\r\n{}",
                 body.size(),
                 exchange.Response.MustClose ? "Connection: close\r\n" : "",
                 exchange.Head.Method == "HEAD" ? "" : body);
  return out;
}

std::string_view statusPhrase(int status) {
  switch (status) {
  case 400:
    return "Bad Request";
  case 404:
    return "Not Found";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Error";
  }
}

} // namespace

Gateway::Gateway(asio::io_context &loop, const NodeSettings &settings)
    : Loop(loop), Acceptor(loop), Random(randomNumber()), Pool(loop),
      Links(loop, Pool, Upstreams), Crashes(loop, Links, Upstreams),
      Limits(Upstreams, VmId(settings.Vm.text("name"))),
      Peers(VmId(settings.Vm.text("name")),
            DomainId(settings.Vm.text("domain"))),
      PeerPool(loop), Relays(loop, *this),
      Bodies(static_cast<std::size_t>(settings.Vm.decimal("memory") *
                                      BodyMemoryFraction * BytesPerMegabyte)),
      TimeoutTimer(loop, [this] { checkTimeouts(); }),
      QueueTimer(loop, [this] { sendAllQueued(); }),
      SweepTimer(loop, [this] { sweep(); }) {
  Retries = {settings.Retries.seconds("window"),
             settings.Retries.decimal("ratio"),
             settings.Retries.decimal("slack")};
  Links.OnChange = [this](bool isWorking) { onLinksChanged(isWorking); };
  Context.OwnDomain = DomainId(settings.Vm.text("domain"));
  Context.Self = VmId(settings.Vm.text("name"));
  Context.Vms = {Context.Self};
  Limits.OnAnswered = [this](const ServiceId &service) { sendQueued(service); };
  Upstreams.leaving().setKeyServingTime(std::max<Duration>(
      settings.Bounds.seconds("drain") - LastRequestMargin, Duration()));
  Context.Cold = {settings.WarmUp.decimal("overage"),
                  settings.WarmUp.decimal("slack")};
}

absl::Status Gateway::listen(const Endpoint &address) {
  if (absl::Status status = listenOn(Acceptor, address, ListenBacklog);
      !status.ok())
    return status;
  accept();
  SweepTimer.scheduleBy(bootNow() + SweepInterval);
  return absl::OkStatus();
}

void Gateway::accept() {
  Acceptor.async_accept([this](const error_code &ec, tcp::socket socket) {
    if (!ec) {
      const auto connection =
          std::make_shared<CallerConnection>(std::move(socket), *this);
      Callers.emplace(connection.get(), connection);
      connection->start();
    } else {
      logLine(LogPriority::Failure, bootNow(), "accept_failed", "error={}",
              sanitizeForLog(ec.message()));
    }
    if (ec != asio::error::operation_aborted)
      accept();
  });
}

void Gateway::onCallerClosed(const void *connection) {
  Callers.erase(connection);
}

const CallerLimits &Gateway::callerLimits() const {
  static const CallerLimits defaults;
  return Config ? Config->config().Limits : defaults;
}

void Gateway::setConfig(std::shared_ptr<const RouteTable> config) {
  Config = std::move(config);
  sendAllQueued();
}

void Gateway::setRangeMap(const ServiceId &service, RangeMap map) {
  Ranges[service] = std::move(map);
  sendQueued(service);
}

void Gateway::setVms(std::vector<VmInfo> vms) {
  Peers.setVms(vms);
  LinkedVmCount =
      std::max<std::size_t>(1, std::ranges::count_if(vms, &VmInfo::HasLinks));
  std::vector<VmId> names;
  std::ranges::transform(vms, std::back_inserter(names),
                         [](const VmInfo &vm) { return vm.Vm.Vm; });
  if (std::ranges::find(names, Context.Self) == names.end())
    names.push_back(Context.Self);
  if (names == Context.Vms)
    return;
  Limits.setVms(names);
  Context.Vms = std::move(names);
  ++Context.VmsVersion;
}

void Gateway::onLinksChanged(bool isWorking) {
  Upstreams.setLinksWorking(isWorking, bootNow());
  if (OnLinksChanged)
    OnLinksChanged(isWorking);
  QueueTimer.scheduleBy(bootNow());
}

void Gateway::onUpstreamsChanged() { sendAllQueued(); }

std::size_t Gateway::queuedCount() const {
  std::size_t sum = 0;
  for (const auto &[service, queue] : Queues)
    sum += queue.size();
  return sum;
}

ServiceRetryBudget &Gateway::retryBudget(const ServiceId &service) {
  return RetryBudgets.try_emplace(service, Retries).first->second;
}

void Gateway::beginDraining(Time refuseFrom, Time endsAt) {
  IsDraining = true;
  RefuseFrom = refuseFrom;
  EndsAt = endsAt;
}

void Gateway::refuseWaiting() {
  std::vector<std::shared_ptr<Exchange>> waiting(AwaitingBody.begin(),
                                                 AwaitingBody.end());
  for (const auto &[service, queue] : Queues)
    waiting.insert(waiting.end(), queue.begin(), queue.end());
  for (const auto &exchange : waiting)
    // Refusing one request lets the next ones of its queue be refused or sent.
    if (exchange->IsQueued || AwaitingBody.contains(exchange))
      refuse(exchange, Reason::Draining, ShutdownRetryAfter);
}

void Gateway::closeIdleCallers() {
  std::vector<std::shared_ptr<CallerConnection>> idle;
  for (const auto &[key, connection] : Callers)
    if (connection->isIdle())
      idle.push_back(connection);
  for (const auto &connection : idle)
    connection->endIfIdle();
  Relays.closeIdle();
}

void Gateway::closeCallers() {
  std::vector<std::shared_ptr<CallerConnection>> open;
  open.reserve(Callers.size());
  for (const auto &[key, connection] : Callers)
    open.push_back(connection);
  for (const auto &connection : open)
    connection->close(ConnectionEnd::ProcessEnd);
  Relays.close();
}

bool Gateway::hasExchanges() const {
  return ActiveExchanges > 0 || Relays.isResponding() ||
         std::ranges::any_of(Callers, [](const auto &entry) {
           return entry.second->isResponding();
         });
}

void Gateway::beginExchange(const std::shared_ptr<Exchange> &exchange) {
  const Time now = bootNow();
  ++Counters.Requests;
  ++ActiveExchanges;
  exchange->Response.MustClose = !exchange->Head.IsKeepAlive;
  exchange->Config = Config;
  exchange->CallerDeadlineAt = exchange->TimeoutAt = now + seconds(30);
  if (isRefusing(now)) {
    refuse(exchange, Reason::Draining, ShutdownRetryAfter);
    return;
  }
  if (!Config) {
    refuse(exchange, Reason::NoConfiguration, milliseconds(300));
    return;
  }
  const std::string *host = http::findField(exchange->Head.Headers, "Host");
  exchange->MatchedRoute =
      Config->find(host == nullptr ? "" : *host, exchange->Head.Target);
  if (exchange->MatchedRoute == nullptr) {
    refuse(exchange, Reason::UnknownRoute, {});
    return;
  }
  const Route &route = *exchange->MatchedRoute;
  const WeightedService &part = chooseService(route, randomFraction());
  exchange->Service = part.Service;
  exchange->CallerDeadlineAt =
      exchange->ArrivedAt +
      (exchange->Meta.RemainingMs
           ? Duration(milliseconds(*exchange->Meta.RemainingMs))
           : route.Timeout);
  exchange->TimeoutAt = exchange->ArrivedAt + route.Timeout;
  exchange->TimeoutAt =
      std::min(exchange->TimeoutAt, exchange->CallerDeadlineAt);
  if (isDividedByKey(part.Service)) {
    if (!exchange->Meta.Key) {
      refuse(exchange, Reason::BadRequest, {});
      return;
    }
    if (OnKeyRequest)
      OnKeyRequest(part.Service, *exchange->Meta.Key);
  }
  retryBudget(part.Service).addRequest(now);
  armTimeout(exchange);
  if (exchange->Body.isReadyToSend()) {
    dispatch(exchange);
    return;
  }
  if (serviceSummary(part.Service, now).Slots == 0 && Links.areLinksWorking()) {
    refuse(exchange, Reason::NoUpstream,
           admission(*exchange, now, false).RetryAfter);
    return;
  }
  AwaitingBody.insert(exchange);
}

bool Gateway::isDividedByKey(const ServiceId &service) const {
  const ServiceRules *rules = Config ? Config->rules(service) : nullptr;
  return rules != nullptr && rules->IsDividedByKey;
}

void Gateway::armTimeout(const std::shared_ptr<Exchange> &exchange) {
  Timeouts.emplace(exchange->TimeoutAt, exchange);
  TimeoutTimer.scheduleBy(Timeouts.begin()->first);
}

void Gateway::checkTimeouts() {
  const Time now = bootNow();
  while (!Timeouts.empty() && Timeouts.begin()->first <= now) {
    const auto exchange = Timeouts.begin()->second.lock();
    Timeouts.erase(Timeouts.begin());
    if (exchange && !exchange->IsFinished && !exchange->IsCallerDisconnected)
      refuseExpired(exchange, now);
  }
  if (!Timeouts.empty())
    TimeoutTimer.scheduleBy(Timeouts.begin()->first);
}

/// Sends the final response of a request that has timed out.
void Gateway::refuseExpired(const std::shared_ptr<Exchange> &exchange,
                            Time now) {
  if (exchange->Response.IsStarted) {
    // A started response is completed even if it is late.
    const Time lastAt = exchange->CallerDeadlineAt + MaxResponseOvertime;
    if (now < lastAt) {
      Timeouts.emplace(lastAt, exchange);
      return;
    }
    if (exchange->CurrentAttempt)
      exchange->CurrentAttempt->abortResponse();
    return;
  }
  const bool wasSent = exchange->CurrentAttempt != nullptr;
  if (const auto attempt = std::exchange(exchange->CurrentAttempt, nullptr)) {
    if (const auto *hop = std::get_if<RelayHop>(&attempt->target());
        hop != nullptr && !attempt->hasResponseHead())
      Peers.onTimeout(hop->Peer.Vm, attempt->startedAt(), now);
    else
      recordCancelled(*attempt, now);
    attempt->cancel();
    ++exchange->PossibleExecutionCount;
  }
  removeFromQueue(exchange);
  refuse(exchange,
         wasSent || exchange->PossibleExecutionCount > 0
             ? Reason::RouteTimeout
             : Reason::DeadlineTooShort,
         milliseconds(50));
}

void Gateway::continueExchange(const std::shared_ptr<Exchange> &exchange) {
  if (exchange->CurrentAttempt)
    exchange->CurrentAttempt->continueBody();
  else if (exchange->Body.isReadyToSend() && AwaitingBody.erase(exchange) > 0)
    dispatch(exchange);
}

void Gateway::cancelExchange(const std::shared_ptr<Exchange> &exchange,
                             ConnectionEnd why) {
  if (exchange->IsCallerDisconnected)
    return;
  const Time now = bootNow();
  recordCut(*exchange, why, now);
  exchange->IsCallerDisconnected = true;
  if (exchange->IsFinished)
    return; // an attempt that is still there is about to end by itself
  removeFromQueue(exchange);
  if (const auto attempt = std::exchange(exchange->CurrentAttempt, nullptr)) {
    recordCancelled(*attempt, now);
    attempt->cancel();
  }
  exchange->IsFinished = true;
  onExchangeFinished(exchange);
}

void Gateway::recordCut(const Exchange &exchange, ConnectionEnd why, Time now) {
  if (why == ConnectionEnd::CallerLeft) {
    if (exchange.IsFinished)
      return;
    if (!exchange.Relayed)
      ++Counters.CallersDisconnected;
    logLine(LogPriority::Failure, now, "caller_left",
            "request={} waited_ms={} sends={}",
            sanitizeForLog(exchange.Meta.Id),
            toMilliseconds(now - exchange.ArrivedAt), exchange.DeliveryCount);
    return;
  }
  // Requests that are incomplete or malformed are the caller's failure, and the
  // end of a broken response is in the log already.
  if (!exchange.Body.isWhole() || exchange.Response.IsBroken)
    return;
  Counters.Cuts.add(why);
  const std::string_view phase = exchange.Response.IsStarted ? "responding"
                                 : exchange.CurrentAttempt   ? "sent"
                                 : exchange.IsQueued         ? "queued"
                                                             : "none";
  logLine(LogPriority::Failure, now, "request_cut",
          "request={} reason={} phase={} age_ms={} sends={}",
          sanitizeForLog(exchange.Meta.Id), connectionEndName(why), phase,
          toMilliseconds(now - exchange.ArrivedAt), exchange.DeliveryCount);
}

void Gateway::onExchangeFinished(const std::shared_ptr<Exchange> &exchange) {
  --ActiveExchanges;
  sendQueued(exchange->Service);
}

void Gateway::refuse(const std::shared_ptr<Exchange> &exchange, Reason reason,
                     Duration retryAfter) {
  const Time now = bootNow();
  removeFromQueue(exchange);
  const ReasonInfo &info = reasonInfo(reason);
  const int status = refusalStatus(reason, exchange->PossibleExecutionCount);
  if ((IsDraining && !exchange->HasSuccessor) || !exchange->Body.isWhole())
    exchange->Response.MustClose = true;
  Counters.Refusals.add(reason);
  exchange->IsFinished = true;
  exchange->Response.Bytes =
      makeLocalResponse(*exchange, status, statusPhrase(status),
                        status == 503 ? retryAfter : Duration(), info.Name,
                        relayFields(*exchange, reason, retryAfter));
  exchange->Response.IsStarted = exchange->Response.IsWhole = true;
  logLine(LogPriority::Failure, now, "refused",
          "request={} status={} reason={} last={} route={} service={} "
          "config={} age_ms={} left_ms={} sends={} may_have_run={} "
          "return_after_ms={}",
          sanitizeForLog(exchange->Meta.Id), status, info.Name,
          reasonInfo(exchange->LastReason).Name,
          exchange->MatchedRoute ? exchange->MatchedRoute->Name : "-",
          exchange->Service.Value,
          exchange->Config ? exchange->Config->config().Version : 0,
          toMilliseconds(now - exchange->ArrivedAt),
          toMilliseconds(exchange->CallerDeadlineAt - now),
          exchange->DeliveryCount, exchange->PossibleExecutionCount,
          toMilliseconds(retryAfter));
  onExchangeFinished(exchange);
  if (exchange->OnResponse)
    exchange->OnResponse();
}

bool Gateway::refuseIfSuspect(const std::shared_ptr<Exchange> &exchange,
                              Time now) {
  const Time until = Crashes.refusedUntil(exchange->Fingerprint, now);
  if (until == Time())
    return false;
  refuse(exchange, Reason::SuspectedCrasher, until - now);
  return true;
}

void Gateway::sweep() {
  const Time now = bootNow();
  Pool.sweep(now);
  PeerPool.sweep(now);
  Relays.sweep(now);
  std::vector<std::shared_ptr<CallerConnection>> callers;
  callers.reserve(Callers.size());
  for (const auto &[key, connection] : Callers)
    callers.push_back(connection);
  for (const auto &connection : callers)
    connection->closeIfTimedOut(now);
  SweepTimer.scheduleBy(now + SweepInterval);
}

} // namespace waxwing
