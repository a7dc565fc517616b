/**
 * @file fleet_model.cpp
 * Events in order of time: arrivals, work that ends, answers.
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

const ServiceId TheService("s");
constexpr double MicrosPerSecond = 1e6;

class Fleet {
public:
  explicit Fleet(const FleetScenario &scenario)
      : Terms(scenario), Random(scenario.Seed) {
    Rules[TheService] = {};
    const int slow = static_cast<int>(Terms.SlowShare * Terms.Upstreams);
    for (int n = 0; n < Terms.Upstreams; ++n)
      Hosts.push_back({{}, 0, n < slow ? Terms.SlowFactor : 1});
    for (int vm = 0; vm < Terms.Vms; ++vm) {
      Tables.emplace_back();
      for (int n = 0; n < Terms.Upstreams; ++n)
        Tables.back().apply(entry(n), 1, Now);
    }
    Context.Self = VmId("vm");
    Context.Vms.resize(static_cast<std::size_t>(Terms.Vms));
    Result.Seconds.resize(static_cast<std::size_t>(
        std::chrono::ceil<seconds>(Terms.Length).count()));
  }

  FleetResult run() {
    at(Now + nextGap(), [this] { arrive(); });
    while (!Events.empty()) {
      const auto first = Events.begin();
      Now = first->first;
      const auto what = std::move(first->second);
      Events.erase(first);
      what();
    }
    return std::move(Result);
  }

private:
  struct Request {
    int Vm = 0;
    int Host = 0;
    Time ArrivedAt;    ///< at the first VM
    Time WaitingSince; ///< at this VM
    int Repeats = 0;   ///< after upstreams turned it away
    bool HasReturned = false;
  };
  struct Host {
    std::deque<Request> Waiting;
    int Running = 0;
    double Slowness = 1;
  };

  static UpstreamEntry makeEntry(int n, int slots) {
    UpstreamEntry result;
    result.Id = UpstreamId("u" + std::to_string(n));
    result.Service = TheService;
    result.Address = {"u", static_cast<std::uint16_t>(n)};
    result.StartedAtMs = 1;
    result.Slots = slots;
    return result;
  }
  UpstreamEntry entry(int n) const { return makeEntry(n, Terms.Slots); }

  void at(Time time, std::function<void()> what) {
    Events.emplace(time, std::move(what));
  }
  FleetSecond &second(Time arrivedAt) {
    const auto n = static_cast<std::size_t>(
        std::chrono::floor<seconds>(arrivedAt - Begin).count());
    return Result.Seconds[std::min(n, Result.Seconds.size() - 1)];
  }
  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }
  Duration nextGap() {
    const double load =
        Now - Begin >= Terms.SurgeAt ? Terms.SurgeLoad : Terms.Load;
    const double perUs = load * Terms.Upstreams * Terms.Slots /
                         static_cast<double>(Terms.Work.count());
    return Duration(static_cast<Duration::rep>(
        std::exponential_distribution<double>(perUs)(Random)));
  }

  void arrive() {
    if (Now - Begin < Terms.Length)
      at(Now + nextGap(), [this] { arrive(); });
    else
      return;
    Request request;
    request.Vm = static_cast<int>(uniform() * Terms.Vms);
    request.ArrivedAt = request.WaitingSince = Now;
    ++second(Now).Arrived;
    decide(request);
  }

  /// Sends, waits or refuses, as the VM's own knowledge tells.
  void decide(Request request) {
    UpstreamTable &table = Tables[static_cast<std::size_t>(request.Vm)];
    ChoiceRequest wanted;
    wanted.Service = TheService;
    const UpstreamChoice choice =
        table.choose(wanted, Context, Rules, Now, Random());
    if (choice.Chosen == nullptr) {
      if (Now - request.WaitingSince > Terms.TargetLatency / 2)
        refuse(request);
      else
        at(Now + QueueCheck, [this, request] { decide(request); });
      return;
    }
    table.countSentRequest(*choice.Chosen, Now);
    request.Host = choice.Chosen->Entry.Address.Port;
    at(Now + Terms.Network, [this, request] { reach(request); });
  }

  /// The caller comes back once, to another VM.
  void refuse(Request request) {
    if (request.HasReturned) {
      ++second(request.ArrivedAt).Refused;
      return;
    }
    request.HasReturned = true;
    request.Repeats = 0;
    request.Vm = static_cast<int>(uniform() * Terms.Vms);
    request.WaitingSince = Now + Terms.ReturnAfter;
    at(request.WaitingSince, [this, request] { decide(request); });
  }

  void turnAway(Request request, const ReportedLoad &load) {
    UpstreamTable &table = Tables[static_cast<std::size_t>(request.Vm)];
    Upstream &upstream = *table.find(entry(request.Host).Id);
    upstream.Load.onAttemptEnd(AttemptOutcome::Shed, Duration(), Now);
    upstream.Load.onLoadReport(load, Now);
    if (request.Repeats++ < Terms.Repeats)
      decide(request);
    else
      refuse(request);
  }

  ReportedLoad loadOf(const Host &host) const {
    return {host.Running, static_cast<int>(host.Waiting.size()), Terms.Slots,
            static_cast<int>(100 * host.Slowness)};
  }

  void reach(const Request &request) {
    Host &host = Hosts[static_cast<std::size_t>(request.Host)];
    if (static_cast<double>(host.Waiting.size()) >=
        Terms.QueueLimit * Terms.Slots) {
      const ReportedLoad load = loadOf(host);
      at(Now + Terms.Network,
         [this, request, load] { turnAway(request, load); });
      return;
    }
    host.Waiting.push_back(request);
    FleetSecond &now = second(Now);
    now.MostQueued =
        std::max(now.MostQueued, static_cast<double>(host.Waiting.size()) /
                                     static_cast<double>(Terms.Slots));
    startWork(request.Host);
  }

  void startWork(int n) {
    Host &host = Hosts[static_cast<std::size_t>(n)];
    while (host.Running < Terms.Slots && !host.Waiting.empty()) {
      const Request request = host.Waiting.front();
      host.Waiting.pop_front();
      ++host.Running;
      const double spread = 0.5 + uniform(); // work varies by half
      const auto work = Duration(static_cast<Duration::rep>(
          static_cast<double>(Terms.Work.count()) * host.Slowness * spread));
      at(Now + work, [this, request] { finishWork(request); });
    }
  }

  void finishWork(const Request &request) {
    Host &host = Hosts[static_cast<std::size_t>(request.Host)];
    --host.Running;
    startWork(request.Host);
    const ReportedLoad load = loadOf(host);
    at(Now + Terms.Network, [this, request, load] { answer(request, load); });
  }

  void answer(const Request &request, const ReportedLoad &load) {
    UpstreamTable &table = Tables[static_cast<std::size_t>(request.Vm)];
    Upstream &upstream = *table.find(entry(request.Host).Id);
    const Duration latency = Now - request.ArrivedAt;
    upstream.Load.onAttemptEnd(AttemptOutcome::Served, latency, Now);
    upstream.Load.onLoadReport(load, Now);
    FleetSecond &arrived = second(request.ArrivedAt);
    if (latency <= Terms.TargetLatency)
      ++arrived.InTarget;
    else if (latency <= Terms.TimeLimit)
      ++arrived.Late;
    else
      ++arrived.Failed;
  }

  static constexpr Duration QueueCheck = milliseconds(15);

  FleetScenario Terms;
  std::mt19937_64 Random;
  Time Begin = Time(seconds(100));
  Time Now = Begin;
  std::vector<UpstreamTable> Tables; ///< by VM
  std::vector<Host> Hosts;
  ChoiceContext Context;
  std::map<ServiceId, ServiceRules> Rules;
  std::multimap<Time, std::function<void()>> Events;
  FleetResult Result;
};

} // namespace

FleetSecond FleetResult::total() const {
  FleetSecond sum;
  for (const FleetSecond &second : Seconds) {
    sum.Arrived += second.Arrived;
    sum.InTarget += second.InTarget;
    sum.Late += second.Late;
    sum.Refused += second.Refused;
    sum.Failed += second.Failed;
    sum.MostQueued = std::max(sum.MostQueued, second.MostQueued);
  }
  return sum;
}

FleetResult runFleet(const FleetScenario &scenario) {
  return Fleet(scenario).run();
}

} // namespace waxwing
