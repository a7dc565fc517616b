/**
 * @file fleet_model.cpp
 * Discrete-event simulation of the fleet: events run in order of simulated
 * time.
 */
#include "emulator/fleet_model.h"

#include "routing/upstream_table.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>

namespace waxwing {
namespace {

const ServiceId ModelService("s");
constexpr double MicrosecondsPerSecond = 1e6;

class FleetSimulation {
public:
  explicit FleetSimulation(const FleetScenario &scenario)
      : Scenario(scenario), Random(scenario.Seed) {
    Rules[ModelService] = {};
    const int slow =
        static_cast<int>(Scenario.SlowFraction * Scenario.Upstreams);
    for (int n = 0; n < Scenario.Upstreams; ++n)
      UpstreamHosts.push_back({{}, 0, n < slow ? Scenario.SlowFactor : 1});
    for (int vm = 0; vm < Scenario.Vms; ++vm) {
      Tables.emplace_back();
      for (int n = 0; n < Scenario.Upstreams; ++n)
        Tables.back().apply(upstreamEntry(n), 1, Now);
    }
    Context.Self = VmId("vm");
    Context.Vms.resize(static_cast<std::size_t>(Scenario.Vms));
    Result.Seconds.resize(static_cast<std::size_t>(
        std::chrono::ceil<seconds>(Scenario.ArrivalPeriod).count()));
  }

  FleetResult run() {
    schedule(Now + drawInterarrivalTime(), [this] { handleArrival(); });
    while (!Events.empty()) {
      const auto first = Events.begin();
      Now = first->first;
      const auto action = std::move(first->second);
      Events.erase(first);
      action();
    }
    return std::move(Result);
  }

private:
  struct Request {
    int Vm = 0;
    int UpstreamIndex = 0;
    Time ArrivedAt;   ///< arrival time at the first VM
    Time QueuedSince; ///< arrival time at the current VM
    /// Retries by the current VM because an upstream shed the request.
    int Retries = 0;
    bool IsCallerRetry = false;
  };
  struct UpstreamHost {
    std::deque<Request> Queue;
    int Running = 0;
    double ServiceTimeFactor = 1;
  };

  static UpstreamEntry makeEntry(int n, int slots) {
    UpstreamEntry result;
    result.Id = UpstreamId("u" + std::to_string(n));
    result.Service = ModelService;
    result.Address = {"u", static_cast<std::uint16_t>(n)};
    result.StartedAtMs = 1;
    result.Slots = slots;
    return result;
  }
  UpstreamEntry upstreamEntry(int n) const {
    return makeEntry(n, Scenario.Slots);
  }

  void schedule(Time time, std::function<void()> action) {
    Events.emplace(time, std::move(action));
  }
  FleetStatistics &statisticsOf(Time arrivedAt) {
    const auto n = static_cast<std::size_t>(
        std::chrono::floor<seconds>(arrivedAt - Begin).count());
    return Result.Seconds[std::min(n, Result.Seconds.size() - 1)];
  }
  double randomFraction() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }
  Duration drawInterarrivalTime() {
    const double load =
        Now - Begin >= Scenario.SurgeAt ? Scenario.SurgeLoad : Scenario.Load;
    const double perUs = load * Scenario.Upstreams * Scenario.Slots /
                         static_cast<double>(Scenario.ServiceTime.count());
    return Duration(static_cast<Duration::rep>(
        std::exponential_distribution<double>(perUs)(Random)));
  }

  void handleArrival() {
    if (Now - Begin < Scenario.ArrivalPeriod)
      schedule(Now + drawInterarrivalTime(), [this] { handleArrival(); });
    else
      return;
    Request request;
    request.Vm = static_cast<int>(randomFraction() * Scenario.Vms);
    request.ArrivedAt = request.QueuedSince = Now;
    ++statisticsOf(Now).Arrived;
    routeRequest(request);
  }

  /// Sends the request to an upstream, queues or refuses it, according to the
  /// VM's own upstream table.
  void routeRequest(Request request) {
    UpstreamTable &table = Tables[static_cast<std::size_t>(request.Vm)];
    UpstreamChoiceRequest wanted;
    wanted.Service = ModelService;
    const UpstreamChoice choice =
        table.choose(wanted, Context, Rules, Now, Random());
    if (choice.Chosen == nullptr) {
      if (Now - request.QueuedSince > Scenario.TargetLatency / 2)
        refuse(request);
      else
        schedule(Now + QueueRetryPeriod,
                 [this, request] { routeRequest(request); });
      return;
    }
    table.countSentRequest(*choice.Chosen, Now);
    request.UpstreamIndex = choice.Chosen->Entry.Address.Port;
    schedule(Now + Scenario.NetworkLatency,
             [this, request] { arriveAtUpstream(request); });
  }

  /// Refuses the request. The caller retries once, through a random VM.
  void refuse(Request request) {
    if (request.IsCallerRetry) {
      ++statisticsOf(request.ArrivedAt).Refused;
      return;
    }
    request.IsCallerRetry = true;
    request.Retries = 0;
    request.Vm = static_cast<int>(randomFraction() * Scenario.Vms);
    request.QueuedSince = Now + Scenario.CallerRetryDelay;
    schedule(request.QueuedSince, [this, request] { routeRequest(request); });
  }

  void handleShedRequest(Request request, const ReportedLoad &load) {
    UpstreamTable &table = Tables[static_cast<std::size_t>(request.Vm)];
    Upstream &upstream = *table.find(upstreamEntry(request.UpstreamIndex).Id);
    upstream.Load.onAttemptEnd(AttemptOutcome::Shed, Duration(), Now);
    upstream.Load.onLoadReport(load, Now);
    if (request.Retries++ < Scenario.Retries)
      routeRequest(request);
    else
      refuse(request);
  }

  ReportedLoad reportedLoad(const UpstreamHost &host) const {
    return {host.Running, static_cast<int>(host.Queue.size()), Scenario.Slots,
            static_cast<int>(100 * host.ServiceTimeFactor)};
  }

  void arriveAtUpstream(const Request &request) {
    UpstreamHost &host =
        UpstreamHosts[static_cast<std::size_t>(request.UpstreamIndex)];
    if (static_cast<double>(host.Queue.size()) >=
        Scenario.QueueLimit * Scenario.Slots) {
      const ReportedLoad load = reportedLoad(host);
      schedule(Now + Scenario.NetworkLatency,
               [this, request, load] { handleShedRequest(request, load); });
      return;
    }
    host.Queue.push_back(request);
    FleetStatistics &now = statisticsOf(Now);
    now.MaxQueuePerSlot =
        std::max(now.MaxQueuePerSlot, static_cast<double>(host.Queue.size()) /
                                          static_cast<double>(Scenario.Slots));
    startRequests(request.UpstreamIndex);
  }

  void startRequests(int n) {
    UpstreamHost &host = UpstreamHosts[static_cast<std::size_t>(n)];
    while (host.Running < Scenario.Slots && !host.Queue.empty()) {
      const Request request = host.Queue.front();
      host.Queue.pop_front();
      ++host.Running;
      // Service times are uniform between 50 % and 150 % of the mean.
      const double spread = 0.5 + randomFraction();
      const auto serviceTime = Duration(static_cast<Duration::rep>(
          static_cast<double>(Scenario.ServiceTime.count()) *
          host.ServiceTimeFactor * spread));
      schedule(Now + serviceTime, [this, request] { finishRequest(request); });
    }
  }

  void finishRequest(const Request &request) {
    UpstreamHost &host =
        UpstreamHosts[static_cast<std::size_t>(request.UpstreamIndex)];
    --host.Running;
    startRequests(request.UpstreamIndex);
    const ReportedLoad load = reportedLoad(host);
    schedule(Now + Scenario.NetworkLatency,
             [this, request, load] { handleResponse(request, load); });
  }

  void handleResponse(const Request &request, const ReportedLoad &load) {
    UpstreamTable &table = Tables[static_cast<std::size_t>(request.Vm)];
    Upstream &upstream = *table.find(upstreamEntry(request.UpstreamIndex).Id);
    const Duration latency = Now - request.ArrivedAt;
    upstream.Load.onAttemptEnd(AttemptOutcome::Served, latency, Now);
    upstream.Load.onLoadReport(load, Now);
    FleetStatistics &arrived = statisticsOf(request.ArrivedAt);
    if (latency <= Scenario.TargetLatency)
      ++arrived.WithinTarget;
    else if (latency <= Scenario.CallerTimeout)
      ++arrived.Late;
    else
      ++arrived.Failed;
  }

  static constexpr Duration QueueRetryPeriod = milliseconds(15);

  FleetScenario Scenario;
  std::mt19937_64 Random;
  Time Begin = Time(seconds(100));
  Time Now = Begin;
  std::vector<UpstreamTable> Tables; ///< by VM
  std::vector<UpstreamHost> UpstreamHosts;
  UpstreamChoiceContext Context;
  std::map<ServiceId, ServiceRules> Rules;
  std::multimap<Time, std::function<void()>> Events;
  FleetResult Result;
};

} // namespace

FleetStatistics FleetResult::total() const {
  FleetStatistics sum;
  for (const FleetStatistics &second : Seconds) {
    sum.Arrived += second.Arrived;
    sum.WithinTarget += second.WithinTarget;
    sum.Late += second.Late;
    sum.Refused += second.Refused;
    sum.Failed += second.Failed;
    sum.MaxQueuePerSlot = std::max(sum.MaxQueuePerSlot, second.MaxQueuePerSlot);
  }
  return sum;
}

FleetResult runFleet(const FleetScenario &scenario) {
  return FleetSimulation(scenario).run();
}

} // namespace waxwing
