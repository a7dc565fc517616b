/**
 * @file router_process.cpp
 * Creates and connects the threads of the router process.
 */
#include "router/router_process.h"

#include "metrics/latency_stats.h"
#include "router/caller_edge.h"
#include "router/controller_link.h"
#include "router/router_metrics.h"
#include "router/upstream_client.h"
#include "traffic/router_core_base.h"
#include "worker/worker_thread.h"

#include <optional>
#include <random>
#include <spdlog/spdlog.h>
#include <thread>

namespace waxwing {
namespace {

/// Time between ticks of the decision thread.
constexpr Duration DecisionPeriod = milliseconds(5);
constexpr Duration DrainPollPeriod = milliseconds(10);

RecordMember makeSelf(const VmSettings &settings) {
  std::random_device device;
  return {VmId(settings.Vm.text("name")),
          Incarnation((static_cast<std::uint64_t>(device()) << 32) | device()),
          DomainId(settings.Vm.text("domain"))};
}

} // namespace

/// Owns all threads of the router. runDecisions() runs on the decision thread
/// only.
class RouterProcessImpl {
public:
  explicit RouterProcessImpl(VmSettings settings)
      : Settings(std::move(settings)), Self(makeSelf(Settings)),
        Core(Self.Vm, Self.Process.Value),
        Edge([this] { wakeDecisionThread(); }),
        Upstreams(static_cast<std::size_t>(
                      Settings.Router.integer("upstream_connections")),
                  [this] { wakeDecisionThread(); }),
        Link(Self, parseEndpoint(Settings.Controller.text("link")),
             [this] { wakeDecisionThread(); }),
        Metrics(Core, Latency) {}

  absl::Status start() {
    Core.leaseHomes({Self.Vm, Self.Process, Self.Domain,
                     parseEndpoint(Settings.Router.text("forward"))});
    Core.enableIdempotencyKeys();
    DecisionThread.emplace(System, DecisionPeriod,
                           [this](WorkerCall call) { runDecisions(call); });
    IsReady = true;
    if (const absl::Status status =
            Metrics.listen(parseEndpoint(Settings.Router.text("metrics")));
        !status.ok())
      return status;
    Link.start();
    return Edge.listen(parseEndpoint(Settings.Router.text("address")),
                       parseEndpoint(Settings.Router.text("forward")));
  }

  void stop() {
    spdlog::info("draining");
    IsDraining = true;
    Edge.drain();
    Metrics.drain();
    const Time start = readClock();
    const Time deadline = start + Settings.Router.duration("drain");
    // Requests may still arrive on open keep-alive connections.
    const Time idleDeadline = std::min(deadline, start + DrainGrace);
    while (readClock() < deadline &&
           (Edge.requestsInFlight() > 0 ||
            (Edge.openConnections() > 0 && readClock() < idleDeadline)))
      std::this_thread::sleep_for(DrainPollPeriod);
    spdlog::info("stopped with {} requests in flight", Edge.requestsInFlight());
    DecisionThread->stop();
    Upstreams.stop();
    Link.stop();
    Edge.stop();
  }

private:
  void wakeDecisionThread() {
    if (IsReady)
      DecisionThread->wake();
  }

  void runDecisions(WorkerCall call) {
    const Time now = readClock();
    if (call == WorkerCall::Tick) {
      if (IsDraining && !std::exchange(IsDrainReported, true))
        handle(DrainStarted(), now);
      handle(RouterTick{readWallClock()}, now);
    }
    Link.messages().drain(
        [&](LinkMessage &&it) { handleLinkMessage(std::move(it), now); });
    Upstreams.probeResults().drain(
        [&](UpstreamProbed &&it) { handle(std::move(it), now); });
    Upstreams.closedConnections().drain(
        [&](LastConnectionClosed &&it) { handle(std::move(it), now); });
    Upstreams.attemptResults().drain(
        [&](AttemptEnded &&it) { handle(std::move(it), now); });
    Edge.events().drain([&](EdgeEvent &&event) {
      std::visit(
          [&](auto &&it) { handle(std::forward<decltype(it)>(it), now); },
          std::move(event));
    });
  }

  void handleLinkMessage(LinkMessage message, Time now) {
    if (auto *update = std::get_if<DocumentsUpdate>(&message)) {
      auto next = std::make_shared<Configuration>(*Config);
      for (const TeamDocument &document : update->Documents)
        if (const auto applied = next->apply(document);
            applied.ok() && *applied)
          spdlog::info("configuration of {} at revision {} in force",
                       document.Team.Value, document.Rev.Value);
      Config = next;
      handle(ConfigurationChanged{next}, now);
    }
    if (auto *update = std::get_if<OwnersUpdate>(&message))
      handle(OwnersChanged{std::make_shared<const OwnershipRecord>(
                 std::move(update->Record))},
             now);
    if (auto *update = std::get_if<CrashReportsUpdate>(&message))
      handle(CrashReportsReceived{std::move(update->Reports)}, now);
    if (auto *update = std::get_if<HomesUpdate>(&message))
      handle(
          HomesChanged{std::make_shared<const HomesUpdate>(std::move(*update))},
          now);
    if (auto *answer = std::get_if<HomeLeaseResponse>(&message))
      if (answer->Router == Self.Vm && answer->Process == Self.Process)
        handle(HomeLeasesReceived{std::move(*answer)}, now);
  }

  void handle(RouterEvent event, Time now) {
    if (const auto *request = std::get_if<CallerRequest>(&event))
      Arrivals[request->Id] = now;
    for (RouterAction &action : Core.handle(std::move(event), now))
      std::visit([&](auto &it) { execute(it, now); }, action);
  }

  void execute(StartAttempt &action, Time now) {
    const AttemptId attempt = action.Attempt;
    if (!Upstreams.commands().push(std::move(action)))
      handle(AttemptEnded{attempt, Reason::RingFull, Verdict::NotRun}, now);
  }

  void execute(CancelAttempt &action, Time) {
    Upstreams.commands().push(action);
  }

  void execute(ProbeUpstream &action, Time) {
    Upstreams.commands().push(std::move(action));
  }

  void execute(CloseIdleConnections &action, Time) {
    Upstreams.commands().push(action);
  }

  void execute(BroadcastCrashReports &action, Time) {
    Link.send(CrashReportsUpdate{std::move(action.Reports)});
  }

  void execute(HotKeysReport &action, Time) { Link.send(std::move(action)); }

  void execute(SendHomeLeaseRequest &action, Time) {
    Link.send(std::move(action.Request));
  }

  void execute(SendResponse &action, Time now) {
    if (const auto it = Arrivals.find(action.Request); it != Arrivals.end()) {
      if (action.Cause == Reason::None)
        Latency.add(now - it->second);
      Arrivals.erase(it);
    }
    Edge.responses().push(std::move(action));
  }

  VmSettings Settings;
  RecordMember Self;
  RouterCore Core;
  LatencyStats Latency;
  /// Arrival times of requests without a response.
  absl::flat_hash_map<RequestId, Time> Arrivals;
  std::shared_ptr<const Configuration> Config =
      std::make_shared<const Configuration>();
  std::atomic<bool> IsReady{false};
  std::atomic<bool> IsDraining{false};
  bool IsDrainReported = false;
  WorkerSystem System;
  CallerEdge Edge;
  UpstreamClient Upstreams;
  ControllerLink Link;
  RouterMetrics Metrics;
  std::optional<WorkerThread> DecisionThread;
};

RouterProcess::RouterProcess(VmSettings settings)
    : Impl(std::make_unique<RouterProcessImpl>(std::move(settings))) {}

RouterProcess::~RouterProcess() = default;

absl::Status RouterProcess::start() { return Impl->start(); }

void RouterProcess::stop() { Impl->stop(); }

} // namespace waxwing
