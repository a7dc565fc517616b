/**
 * @file load.cpp
 * Sends the request streams and checks the responses.
 */
#include "standin/load_base.h"

#include "standin/record_check_func.h"
#include "table/reasons.h"
#include "upstream/upstream_protocol.h"

#include <algorithm>
#include <fmt/format.h>
#include <future>
#include <thread>

namespace waxwing {
namespace {

constexpr Duration SendPeriod = milliseconds(1);
constexpr Duration CompletionPollPeriod = milliseconds(10);
/// Limit on connections from the load generator to one router.
constexpr std::size_t MaxConnectionsPerRouter = 2000;
constexpr Duration RecordTimeout = seconds(2);

std::int64_t wallClockMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

LoadRun::LoadRun(LoadPlan plan)
    : Plan(std::move(plan)), Results(Plan.Streams.size()),
      DueRequests(Plan.Streams.size()), Random(Plan.Seed),
      Client(Io, MaxConnectionsPerRouter) {}

void LoadRun::run() {
  StartedAt = readClock();
  LastSendAt = StartedAt;
  Io.runEvery(SendPeriod, [this] { sendDueRequests(); });
  std::this_thread::sleep_for(Plan.Length + SendPeriod);
  while (RequestsInFlight > 0)
    std::this_thread::sleep_for(CompletionPollPeriod);
}

void LoadRun::sendDueRequests() {
  const Time now = readClock();
  const Duration elapsed = now - StartedAt;
  if (elapsed >= Plan.Length)
    return;
  const double passed = std::chrono::duration<double>(now - LastSendAt).count();
  LastSendAt = now;
  for (std::size_t n = 0; n < Plan.Streams.size(); ++n) {
    const StreamPlan &stream = Plan.Streams[n];
    const bool isSurge =
        elapsed >= stream.SurgeStart && elapsed < stream.SurgeEnd;
    DueRequests[n] += passed * (isSurge ? stream.SurgeRate : stream.Rate);
    while (static_cast<double>(Results[n].Sent) + 1 <= DueRequests[n])
      sendNextRequest(n, elapsed);
  }
}

void LoadRun::sendNextRequest(std::size_t stream, Duration elapsed) {
  const StreamPlan &plan = Plan.Streams[stream];
  OutgoingRequest outgoing;
  outgoing.Stream = stream;
  outgoing.SentAt = readClock();
  const std::string &service = plan.Services[Random() % plan.Services.size()];
  outgoing.Request.Target =
      fmt::format("/{}/{}/n{}", service, chooseRandomKey(plan, elapsed),
                  NextRequestNumber++);
  outgoing.Request.Headers.add("Authorization", "Bearer " + plan.CallerKey);
  outgoing.Request.Headers.add(std::string(DeadlineHeader),
                               std::to_string(Plan.Deadline / milliseconds(1)));
  if (randomBool(plan.WritePercent)) {
    outgoing.Request.Method = "POST";
    outgoing.IdempotencyKey =
        fmt::format("{}-{:016x}", wallClockMs(), Random());
    outgoing.Request.Headers.add(std::string(IdempotencyHeader),
                                 outgoing.IdempotencyKey);
  }
  outgoing.ExpectedBody =
      outgoing.Request.Method + " " + outgoing.Request.Target + "\n";
  ++Results[stream].Sent;
  sendToRouter(std::move(outgoing));
}

std::string LoadRun::chooseRandomKey(const StreamPlan &stream,
                                     Duration elapsed) {
  if (stream.HotKeys > 0 && randomBool(stream.HotPercent))
    return fmt::format("hot{}-{}", elapsed / stream.HotPeriod,
                       Random() % stream.HotKeys);
  return fmt::format("k{}", Random() % stream.Keys);
}

void LoadRun::sendToRouter(OutgoingRequest outgoing) {
  const Endpoint &router = Plan.Routers[Random() % Plan.Routers.size()];
  HttpRequest request = outgoing.Request;
  ++RequestsInFlight;
  // The client's own timeout is 10 % longer, so that the router times out
  // first and the client receives its response.
  const Time deadline = readClock() + Plan.Deadline + Plan.Deadline / 10;
  Client.send(
      router, std::move(request), deadline,
      [this, outgoing = std::move(outgoing)](const HttpOutcome &outcome) {
        checkResponse(outgoing, outcome);
        --RequestsInFlight;
      });
}

void LoadRun::checkResponse(const OutgoingRequest &outgoing,
                            const HttpOutcome &outcome) {
  StreamResult &result = Results[outgoing.Stream];
  const HttpResponse &response = outcome.Response;
  const bool isAnswered = outcome.Progress == HttpProgress::Answered;
  const std::string reason(response.Headers.find(ReasonHeader));
  if (isAnswered && reason.empty()) {
    const bool isCorrect =
        response.Status == 200 && response.Body == outgoing.ExpectedBody;
    ++(isCorrect ? result.Correct : result.Incorrect);
    result.Latency.add(readClock() - outgoing.SentAt + 2 * Plan.ClientLatency);
    return recordWriteOutcome(outgoing, WriteOutcome::Answered);
  }
  const bool isNotRun =
      outcome.Progress <= HttpProgress::NotSent ||
      response.Headers.find(VerdictHeader) == verdictName(Verdict::NotRun);
  if (!isNotRun && resend(outgoing))
    return;
  const bool isSent = outcome.Progress > HttpProgress::NotSent;
  ++result.Failures[isAnswered ? reason
                    : isSent   ? "no_answer"
                               : "not_connected"];
  recordWriteOutcome(outgoing, isNotRun ? WriteOutcome::NotRun
                                        : WriteOutcome::MayHaveRun);
}

void LoadRun::recordWriteOutcome(const OutgoingRequest &outgoing,
                                 WriteOutcome outcome) {
  if (!outgoing.IdempotencyKey.empty())
    Writes[outgoing.IdempotencyKey] =
        outgoing.IsResent && outcome == WriteOutcome::NotRun
            ? WriteOutcome::MayHaveRun
            : outcome;
}

bool LoadRun::resend(const OutgoingRequest &outgoing) {
  const StreamPlan &plan = Plan.Streams[outgoing.Stream];
  if (outgoing.IsResent || outgoing.IdempotencyKey.empty() ||
      !randomBool(plan.ResendPercent))
    return false;
  ++Results[outgoing.Stream].Resent;
  OutgoingRequest again = outgoing;
  again.IsResent = true;
  sendToRouter(std::move(again));
  return true;
}

bool LoadRun::randomBool(int percent) {
  return static_cast<int>(Random() % 100) < percent;
}

RecordCheckResult LoadRun::checkRecords() {
  std::vector<std::string> records;
  std::ranges::transform(
      Plan.UpstreamRecordEndpoints, std::back_inserter(records),
      [this](const Endpoint &admin) { return fetchRecord(admin); });
  RecordCheckResult check = checkUpstreamRecords(records, Writes);
  Io.stop();
  return check;
}

std::string LoadRun::fetchRecord(const Endpoint &admin) {
  std::promise<std::string> body;
  Io.post([&] {
    HttpRequest request;
    request.Target = "/record";
    Client.send(admin, std::move(request), readClock() + RecordTimeout,
                [&](const HttpOutcome &outcome) {
                  body.set_value(outcome.Response.Body);
                });
  });
  return body.get_future().get();
}

} // namespace waxwing
