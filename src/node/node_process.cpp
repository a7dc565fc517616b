/**
 * @file node_process.cpp
 * Startup, pages, settings reload and shutdown.
 */
#include "node/node_process.h"

#include "metrics/metrics_page.h"
#include "node/node_log.h"

#include <algorithm>
#include <csignal>
#include <spdlog/spdlog.h>

namespace waxwing {
namespace {

/// The load balancer polls once per second and stops sending new connections
/// after two failures.
constexpr Duration BalancerReactionTime = milliseconds(2600);
/// Part of the grace period (from SIGTERM until the platform kills the process)
/// that is reserved for process exit, and for the delay of its timers.
constexpr Duration ShutdownMargin = milliseconds(150);
/// Part of the grace period in which requests are accepted. The rest is for
/// their upstreams, since a request that was sent must not be cut.
constexpr double AcceptingFraction = 0.5;
constexpr Duration ShutdownCheckInterval = milliseconds(50);
constexpr Duration LogFlushInterval = milliseconds(100);

} // namespace

NodeProcess::NodeProcess(std::string settingsPath, const NodeSettings &settings)
    : SettingsPath(std::move(settingsPath)), Settings(settings), Loop(1),
      Signals(Loop, SIGTERM, SIGINT, SIGHUP), Calls(Loop),
      RequestGateway(Loop, settings), Port(Loop),
      Replica(Loop, settings, Calls, Port, RequestGateway),
      ReadyPort(Loop, [this] { return readyPage(); }),
      MetricsPort(Loop, [this] { return metricsPage(); }),
      ShutdownTimer(Loop, [this] { continueShutdown(); }),
      LogTimer(Loop, [this] { flushLogPeriodically(); }) {}

absl::Status NodeProcess::run() {
  std::signal(SIGPIPE, SIG_IGN);
  initLog(Settings.Vm.text("name"), Settings.Log.text("level"),
          static_cast<int>(Settings.Log.integer("lines_per_second")));
  logLine(LogPriority::StateChange, bootNow(), "start",
          "domain={} callers={} store={}", Settings.Vm.text("domain"),
          Settings.Listen.text("callers"), Settings.Store.text("address"));
  if (auto status =
          RequestGateway.listen(parseEndpoint(Settings.Listen.text("callers")));
      !status.ok())
    return status;
  if (auto status = RequestGateway.listenForPeers(
          parseEndpoint(Settings.Listen.text("peers")));
      !status.ok())
    return status;
  if (auto status =
          ReadyPort.listen(parseEndpoint(Settings.Listen.text("ready")));
      !status.ok())
    return status;
  if (const std::string &address = Settings.Listen.text("metrics");
      !address.empty())
    if (auto status = MetricsPort.listen(parseEndpoint(address)); !status.ok())
      return status;
  if (auto status = Replica.start(); !status.ok())
    return status;
  awaitSignals();
  flushLogPeriodically();
  Loop.run();
  logLine(LogPriority::StateChange, bootNow(), "stop",
          "answered={} dropped_lines={}", RequestGateway.counters().Answered,
          droppedLineCount());
  flushLog();
  return absl::OkStatus();
}

void NodeProcess::flushLogPeriodically() {
  flushLog();
  LogTimer.scheduleBy(bootNow() + LogFlushInterval);
}

StatusPort::Page NodeProcess::readyPage() const {
  const bool isReady =
      RequestGateway.config() != nullptr && ShutdownStartedAt == Time();
  return {isReady ? 200 : 503, isReady ? "ready\n" : "not ready\n"};
}

StatusPort::Page NodeProcess::metricsPage() {
  MetricsPage page;
  const GatewayCounters &data = RequestGateway.counters();
  page.addCounter("waxwing_requests_total", "Requests of callers.",
                  data.Requests);
  page.addCounter("waxwing_answers_total",
                  "Requests answered by an upstream's answer.", data.Answered);
  page.addCounter("waxwing_attempts_total", "Requests sent to upstreams.",
                  data.Sent);
  page.addCounter("waxwing_repeats_total",
                  "Attempts beyond the first of a request.", data.Retried);
  page.addCounter("waxwing_upstream_connections_total",
                  "Connections opened to upstreams.", data.Connections);
  page.addCounter("waxwing_upstream_connections_failed_total",
                  "Connections to upstreams that did not open.",
                  data.FailedConnections);
  page.addCounter("waxwing_relayed_sent_total", "Requests passed to other VMs.",
                  data.RelayedSent);
  page.addCounter("waxwing_relayed_served_total",
                  "Other VMs' requests answered by an upstream's answer.",
                  data.RelayedServed);
  page.addCounter("waxwing_queued_total", "Requests that waited.", data.Queued);
  page.addCounter("waxwing_callers_left_total",
                  "Requests whose caller left before the answer.",
                  data.CallersDisconnected);
  page.addCounter("waxwing_upstreams_leaving_total",
                  "Upstreams that announced in an answer that they leave.",
                  data.LeavingUpstreams);
  page.addCounter("waxwing_upstream_pauses_total",
                  "Pauses that upstreams asked for when they refused.",
                  data.UpstreamPauses);
  page.addCounter("waxwing_crashes_under_requests_total",
                  "Upstreams that this VM found crashed under a request.",
                  RequestGateway.crashes().crashCount());
  page.addGauge(
      "waxwing_suspected_requests",
      "Requests refused because upstreams crashed under them.",
      static_cast<double>(RequestGateway.crashes().suspectCount(bootNow())));
  addLimitMetrics(page);
  page.addEndCounters("waxwing_requests_cut_total",
                      "Requests that this program ended without an answer.",
                      data.Cuts);
  page.addReasonCounters("waxwing_refusals_total",
                         "Requests that got an answer of this program's own.",
                         data.Refusals);
  page.addGauge("waxwing_queued", "Requests that wait now.",
                static_cast<double>(RequestGateway.queuedCount()));
  page.addGauge(
      "waxwing_config_version", "Configuration in force.",
      RequestGateway.config() == nullptr
          ? 0
          : static_cast<double>(RequestGateway.config()->config().Version));
  Replica.addMetrics(page);
  page.addLatency("waxwing_sent_list_age_seconds",
                  "Age of the list of upstreams when requests were sent.",
                  RequestGateway.sentListAge());
  page.addCounter("waxwing_log_lines_dropped_total",
                  "Log lines beyond the bound.", droppedLineCount());
  for (const auto &[route, stats] : RequestGateway.latencies())
    page.addLatency("waxwing_latency_seconds_" + sanitizeForLog(route),
                    "Latency of answered requests of the route.",
                    stats.summary());
  return {200, page.text()};
}

void NodeProcess::addLimitMetrics(MetricsPage &page) {
  LimitGuard &limits = RequestGateway.limits();
  page.addGauge("waxwing_limited_upstreams",
                "Upstreams that named a limit for all VMs together.",
                static_cast<double>(limits.limitedCount()));
  page.addGauge("waxwing_limited_requests_in_window",
                "Requests of this VM to limited upstreams in the last 4 s.",
                limits.recentSends(bootNow()));
  page.addCounter("waxwing_limit_permits_given_total",
                  "Permits that this VM gave as the VM in charge.",
                  limits.grantedCount());
  page.addCounter("waxwing_limit_permits_denied_total",
                  "Permits that this VM asked for and did not get.",
                  limits.deniedCount());
  page.addCounter("waxwing_limit_permits_unanswered_total",
                  "Permits that this VM asked for without an answer.",
                  limits.unansweredCount());
}

void NodeProcess::awaitSignals() {
  Signals.async_wait([this](const boost::system::error_code &ec, int number) {
    if (!ec)
      onSignal(number);
  });
}

void NodeProcess::onSignal(int number) {
  if (number == SIGHUP)
    reloadSettings();
  else if (ShutdownStartedAt == Time())
    beginShutdown();
  awaitSignals();
}

void NodeProcess::reloadSettings() {
  const auto settings = loadNodeSettings(SettingsPath);
  logLine(LogPriority::StateChange, bootNow(), "reload", "result={}",
          settings.ok()
              ? "valid"
              : sanitizeForLog(std::string(settings.status().message())));
  if (!settings.ok())
    return; // keep the current settings
  spdlog::set_level(spdlog::level::from_str(settings->Log.text("level")));
}

void NodeProcess::beginShutdown() {
  ShutdownStartedAt = bootNow();
  ShutdownDeadline =
      ShutdownStartedAt + Settings.Bounds.seconds("grace") - ShutdownMargin;
  RefuseFrom = ShutdownStartedAt +
               std::chrono::duration_cast<Duration>(
                   AcceptingFraction * Settings.Bounds.seconds("grace")) -
               ShutdownMargin;
  logLine(LogPriority::StateChange, ShutdownStartedAt, "draining",
          "grace_ms={}",
          std::chrono::duration_cast<milliseconds>(ShutdownDeadline -
                                                   ShutdownStartedAt)
              .count());
  RequestGateway.beginDraining(RefuseFrom, ShutdownDeadline);
  Replica.resign();
  ShutdownTimer.scheduleBy(ShutdownStartedAt + ShutdownCheckInterval);
}

/// Stops the event loop once the load balancer sends no more connections and
/// all requests are finished, or when the grace period ends.
void NodeProcess::continueShutdown() {
  const Time now = bootNow();
  const bool hasBalancerReacted =
      now > ShutdownStartedAt + BalancerReactionTime;
  if (hasBalancerReacted)
    RequestGateway.closeIdleCallers();
  if (now >= RefuseFrom)
    RequestGateway.refuseWaiting();
  if (now >= ShutdownDeadline ||
      (hasBalancerReacted && !RequestGateway.hasExchanges())) {
    RequestGateway.closeCallers();
    Loop.stop();
    return;
  }
  ShutdownTimer.scheduleBy(now + ShutdownCheckInterval);
}

} // namespace waxwing
