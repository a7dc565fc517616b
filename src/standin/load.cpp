/**
 * @file load.cpp
 * Sends the streams and judges the answers.
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
constexpr Duration EndPollPeriod = milliseconds(10);
/// Connections of the load tool to one router.
constexpr std::size_t LoadConnections = 2000;
constexpr Duration RecordTimeout = seconds(2);

std::int64_t wallClockMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

LoadRun::LoadRun(LoadPlan plan)
    : Plan(std::move(plan)), Results(Plan.Streams.size()),
      Due(Plan.Streams.size()), Random(Plan.Seed), Client(Io, LoadConnections) {
}

void LoadRun::run() {
  StartedAt = readClock();
  LastTick = StartedAt;
  Io.runEvery(SendPeriod, [this] { sendDue(); });
  std::this_thread::sleep_for(Plan.Length + SendPeriod);
  while (Outstanding > 0)
    std::this_thread::sleep_for(EndPollPeriod);
}

void LoadRun::sendDue() {
  const Time now = readClock();
  const Duration elapsed = now - StartedAt;
  if (elapsed >= Plan.Length)
    return;
  const double passed = std::chrono::duration<double>(now - LastTick).count();
  LastTick = now;
  for (std::size_t n = 0; n < Plan.Streams.size(); ++n) {
    const StreamPlan &stream = Plan.Streams[n];
    const bool isSurge =
        elapsed >= stream.SurgeFrom && elapsed < stream.SurgeUntil;
    Due[n] += passed * (isSurge ? stream.SurgeRate : stream.Rate);
    while (static_cast<double>(Results[n].Sent) + 1 <= Due[n])
      sendOne(n, elapsed);
  }
}

void LoadRun::sendOne(std::size_t stream, Duration elapsed) {
  const StreamPlan &plan = Plan.Streams[stream];
  Shot shot;
  shot.Stream = stream;
  shot.SentAt = readClock();
  const std::string &service = plan.Services[Random() % plan.Services.size()];
  shot.Request.Target =
      fmt::format("/{}/{}/n{}", service, drawKey(plan, elapsed), NextNumber++);
  shot.Request.Headers.add("Authorization", "Bearer " + plan.CallerKey);
  shot.Request.Headers.add(std::string(DeadlineHeader),
                           std::to_string(Plan.Deadline / milliseconds(1)));
  if (isChosen(plan.WritePercent)) {
    shot.Request.Method = "POST";
    shot.IdempotencyKey = fmt::format("{}-{:016x}", wallClockMs(), Random());
    shot.Request.Headers.add(std::string(IdempotencyHeader),
                             shot.IdempotencyKey);
  }
  shot.Expected = shot.Request.Method + " " + shot.Request.Target + "\n";
  ++Results[stream].Sent;
  fire(std::move(shot));
}

std::string LoadRun::drawKey(const StreamPlan &stream, Duration elapsed) {
  if (stream.HotKeys > 0 && isChosen(stream.HotPercent))
    return fmt::format("hot{}-{}", elapsed / stream.HotPeriod,
                       Random() % stream.HotKeys);
  return fmt::format("k{}", Random() % stream.Keys);
}

void LoadRun::fire(Shot shot) {
  const Endpoint &router = Plan.Routers[Random() % Plan.Routers.size()];
  HttpRequest request = shot.Request;
  ++Outstanding;
  // The client waits a little longer, so that the router's answer decides.
  const Time deadline = readClock() + Plan.Deadline + Plan.Deadline / 10;
  Client.send(router, std::move(request), deadline,
              [this, shot = std::move(shot)](const HttpOutcome &outcome) {
                judge(shot, outcome);
                --Outstanding;
              });
}

void LoadRun::judge(const Shot &shot, const HttpOutcome &outcome) {
  StreamResult &result = Results[shot.Stream];
  const HttpResponse &response = outcome.Response;
  const bool isAnswered = outcome.Progress == HttpProgress::Answered;
  const std::string reason(response.Headers.find(ReasonHeader));
  if (isAnswered && reason.empty()) {
    const bool isRight =
        response.Status == 200 && response.Body == shot.Expected;
    ++(isRight ? result.Right : result.Wrong);
    result.Latency.add(readClock() - shot.SentAt + 2 * Plan.ClientLatency);
    return noteWrite(shot, WriteEnd::Answered);
  }
  const bool isNotRun =
      outcome.Progress <= HttpProgress::NotSent ||
      response.Headers.find(VerdictHeader) == verdictName(Verdict::NotRun);
  if (!isNotRun && resend(shot))
    return;
  const bool isSent = outcome.Progress > HttpProgress::NotSent;
  ++result.Failures[isAnswered ? reason
                    : isSent   ? "no_answer"
                               : "not_connected"];
  noteWrite(shot, isNotRun ? WriteEnd::NotRun : WriteEnd::MayHaveRun);
}

void LoadRun::noteWrite(const Shot &shot, WriteEnd end) {
  if (!shot.IdempotencyKey.empty())
    Writes[shot.IdempotencyKey] =
        shot.IsResent && end == WriteEnd::NotRun ? WriteEnd::MayHaveRun : end;
}

bool LoadRun::resend(const Shot &shot) {
  const StreamPlan &plan = Plan.Streams[shot.Stream];
  if (shot.IsResent || shot.IdempotencyKey.empty() ||
      !isChosen(plan.ResendPercent))
    return false;
  ++Results[shot.Stream].Resent;
  Shot again = shot;
  again.IsResent = true;
  fire(std::move(again));
  return true;
}

bool LoadRun::isChosen(int percent) {
  return static_cast<int>(Random() % 100) < percent;
}

RecordCheck LoadRun::checkRecords() {
  std::vector<std::string> records;
  std::ranges::transform(
      Plan.UpstreamRecords, std::back_inserter(records),
      [this](const Endpoint &admin) { return readRecord(admin); });
  RecordCheck check = compareRecords(records, Writes);
  Io.stop();
  return check;
}

std::string LoadRun::readRecord(const Endpoint &admin) {
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
