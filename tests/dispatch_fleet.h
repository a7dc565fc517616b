/**
 * @file dispatch_fleet.h
 * Discrete-event simulation of several routers' dispatchers with a home lease
 * manager and fake upstreams. Used by the tests and by the benchmark.
 */
#ifndef WAXWING_TESTS_DISPATCH_FLEET_H
#define WAXWING_TESTS_DISPATCH_FLEET_H

#include "traffic/dispatcher_base.h"
#include "traffic/home_lease_manager_base.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>

namespace waxwing {

/// How the routers share an upstream's slots.
enum class FleetPolicy : std::uint8_t {
  Home,         ///< one router alone uses the slots, as in production
  StaticShares, ///< each router uses a fixed share of the slots
  CreditServer, ///< a central server grants a slot for each request
  RoundRobin,   ///< each router uses all upstreams in turn, without limit
  /// Each router uses the upstream where it has the fewest open requests,
  /// without a slot limit.
  LeastConnections,
};

/// Size, policy and delays of a simulated fleet of routers and upstreams.
struct FleetOptions {
  FleetPolicy Policy = FleetPolicy::Home;
  int Routers = 9;
  int Upstreams = 8;
  int Slots = 4;
  int ColdSlots = 1;
  bool IsKeyed = false;
  int Domains = 4;
  Duration WarmUp = seconds(1);
  Duration ServiceTime = milliseconds(5);
  /// One-way network delay between failure domains.
  Duration CrossDomainDelay = milliseconds(1);
  /// One-way network delay within a failure domain.
  Duration SameDomainDelay = microseconds(100);
  Duration Timeout = seconds(2);
  /// Maximum number of queued requests per tier and queue, and of held requests
  /// (waiting for an owner or a home) per tier.
  int QueueLimit = 64;
  std::uint64_t Seed = 1;
};

/// Outcome of the requests of one tier.
struct FleetResult {
  int Sent = 0;
  std::vector<Duration> Latencies; ///< of answered requests
  std::map<Reason, int> Refusals;

  Duration quantile(double share) {
    if (Latencies.empty())
      return {};
    std::ranges::sort(Latencies);
    return Latencies[static_cast<std::size_t>(
        share * static_cast<double>(Latencies.size() - 1))];
  }
  double success() const {
    return Sent == 0 ? 1
                     : static_cast<double>(Latencies.size()) /
                           static_cast<double>(Sent);
  }
};

/// Simulated upstream with slots, a queue, a cold phase and a slow-down
/// factor.
struct FleetUpstream {
  struct Job {
    int Router; ///< router that sent the request
    AttemptId Attempt;
  };
  std::deque<Job> Waiting;
  std::vector<Job> Running;
  Time ColdUntil;     ///< serves only its cold slots until then
  bool IsCold = true; ///< the warm-up begins with the first request
  bool IsDown = false;
  int SlowFactor = 1; ///< multiplies the service time
  int Served = 0;
  /// Maximum of running plus waiting requests.
  int PeakRequests = 0;
  /// Maximum of running plus waiting requests while cold.
  int PeakRequestsWhileCold = 0;
  int Arrivals = 0;
};

/// The simulated routers, upstreams and network, and the simulated time.
class DispatchFleet {
public:
  static inline const TeamId Team{"t"};
  static inline const ServiceId Service{"t/s"};

  explicit DispatchFleet(FleetOptions options)
      : Options(options), Random(options.Seed),
        LeaseManager(Service, HomeLeaseTiming()),
        Upstreams(static_cast<std::size_t>(options.Upstreams)) {
    const int dispatchers =
        options.Policy == FleetPolicy::CreditServer ? 1 : options.Routers;
    for (int n = 0; n < dispatchers; ++n) {
      Dispatchers.push_back(
          std::make_unique<Dispatcher>(vm(n), options.Seed * 100 + n));
      if (usesHomeLeases())
        Dispatchers.back()->leaseHomes(
            {vm(n), Incarnation(n + 1), domain(n), endpoint(n)});
    }
    configure();
    std::vector<HomeResource> resources;
    std::map<UpstreamId, DomainId> domains;
    for (int n = 0; n < options.Upstreams; ++n) {
      resources.emplace_back(upstream(n));
      domains[upstream(n)] = domain(n);
    }
    LeaseManager.setResources(resources, domains);
    setLeading(true, true);
    if (options.IsKeyed)
      publishOwners();
    for (std::size_t n = 0; n < Dispatchers.size(); ++n)
      tick(static_cast<int>(n));
  }

  static VmId vm(int n) { return VmId("vm" + std::to_string(n)); }
  static UpstreamId upstream(int n) {
    return UpstreamId("t/u" + std::to_string(n));
  }
  DomainId domain(int n) const {
    return DomainId("d" + std::to_string(n % Options.Domains));
  }
  /// @return one-way network delay between VMs @p a and @p b
  Duration hop(int a, int b) const {
    return a % Options.Domains == b % Options.Domains
               ? Options.SameDomainDelay
               : Options.CrossDomainDelay;
  }
  static Endpoint endpoint(int n) {
    return {"x", static_cast<std::uint16_t>(n + 1)};
  }

  void configure() {
    auto config = std::make_shared<Configuration>();
    const std::string queue =
        "queue = " + std::to_string(Options.QueueLimit) + "\n";
    std::string text = "[tier paying]\nweight = 8\n" + queue +
                       "[tier free]\nweight = 1\n" + queue;
    for (int n = 0; n < Options.Domains; ++n)
      text += "[domain d" + std::to_string(n) +
              "]\ntaken_out = " + (TakenOut == n ? "true\n" : "false\n");
    text +=
        "[service s]\ndivided_by_key = " +
        std::string(Options.IsKeyed ? "true" : "false") +
        "\nslots = " + std::to_string(dispatcherSlots()) + "\ncold_slots = " +
        std::to_string(std::min(Options.ColdSlots, dispatcherSlots())) +
        "\nwarm_up = " + std::to_string(Options.WarmUp.count() / 1000) + "\n";
    for (int n = 0; n < Options.Upstreams; ++n)
      text += "[upstream u" + std::to_string(n) +
              "]\nservice = s\naddress = 127.0.0.1:1\ndomain = d" +
              std::to_string(n % Options.Domains) + "\n";
    config->apply({Team, Revision(++ConfigRevision), text})
        .status()
        .IgnoreError();
    for (auto &dispatcher : Dispatchers)
      dispatcher->configure(config, Now);
  }

  void setLeading(bool isLeading, bool isFirst = false) {
    LeaseManager.setLeadership(
        {isLeading, isLeading, isLeading, isFirst, Revision(1), vm(0)}, Now);
  }

  /// Sends requests with Poisson arrivals at @p rate per second to random
  /// routers until @p end.
  void load(const std::string &tier, double rate, Time end,
            bool isIdempotent = true) {
    if (Now >= end)
      return;
    send(tier, isIdempotent);
    const double gap = std::exponential_distribution<>(rate)(Random);
    after(Duration(static_cast<std::int64_t>(gap * 1e6)),
          [=, this] { load(tier, rate, end, isIdempotent); });
  }

  void run(Duration span) {
    const Time end = Now + span;
    while (!Events.empty() && Events.begin()->first <= end) {
      const auto event = Events.extract(Events.begin());
      Now = event.key();
      event.mapped()();
    }
    Now = end;
  }

  void after(Duration wait, std::function<void()> what) {
    Events.emplace(Now + wait, std::move(what));
  }

  /// @return requests running or waiting at upstream @p n
  int requestsAt(int n) const {
    const FleetUpstream &it = Upstreams[static_cast<std::size_t>(n)];
    return static_cast<int>(it.Running.size() + it.Waiting.size());
  }

  /// Makes the upstream cold without reporting it.
  void makeColdUnreported(int n) {
    FleetUpstream &it = Upstreams[static_cast<std::size_t>(n)];
    it.IsCold = true;
    it.ColdUntil = Now + Options.WarmUp;
    it.PeakRequestsWhileCold = 0;
  }

  std::uint64_t count(DispatchEvent what) const {
    std::uint64_t sum = 0;
    for (const auto &dispatcher : Dispatchers)
      sum += dispatcher->counters().count(what);
    return sum;
  }

  /// @return requests served by the busiest upstream, divided by the mean
  double imbalance() const {
    int sum = 0;
    int most = 0;
    for (const FleetUpstream &it : Upstreams) {
      sum += it.Served;
      most = std::max(most, it.Served);
    }
    return sum == 0 ? 1 : double(most) * Options.Upstreams / sum;
  }

  FleetOptions Options;
  Time Now{seconds(1000)};
  std::mt19937_64 Random;
  std::vector<std::unique_ptr<Dispatcher>> Dispatchers;
  HomeLeaseManager LeaseManager;
  std::vector<FleetUpstream> Upstreams;
  std::map<std::string, FleetResult> Results;
  int TakenOut = -1; ///< failure domain that is taken out, -1 for none
  std::uint64_t ConfigRevision = 0;
  /// Messages between routers, or between routers and the credit server.
  std::uint64_t Messages = 0;
  std::set<int> Paused; ///< numbers of the routers that do not run
  int Open = 0;         ///< number of unfinished requests
  /// Whether any request was forwarded more than once.
  bool IsTwiceForwarded = false;

private:
  struct Request {
    std::string Tier;
    Time SentAt;
    Time Deadline;
    KeyHash Key;
    bool IsIdempotent;
    int Retries = 0;
    std::vector<AttemptId> OpenAttempts;
    /// Reports the end to the router that forwarded the request; empty when it
    /// was not forwarded.
    std::function<void(Reason)> ReportEnd;
  };
  struct Attempt {
    RequestId Request;
    /// Unset when the request was forwarded to another router.
    std::optional<int> Upstream;
    /// Router to which the request was forwarded, and its id there.
    std::optional<std::pair<int, RequestId>> Forwarded;
  };

  bool usesHomeLeases() const { return Options.Policy == FleetPolicy::Home; }
  bool ignoresSlots() const {
    return Options.Policy == FleetPolicy::RoundRobin ||
           Options.Policy == FleetPolicy::LeastConnections;
  }
  int dispatcherSlots() const {
    if (Options.Policy == FleetPolicy::StaticShares)
      return std::max(1, Options.Slots / Options.Routers);
    return ignoresSlots() ? 1000 : Options.Slots;
  }

  void publishOwners() {
    auto record = std::make_shared<OwnershipRecord>();
    record->Service = Service;
    record->Rev = Revision(1);
    for (int n = 0; n < 256; ++n)
      record->Shards.push_back(
          {upstream(n % Options.Upstreams), FencingToken(1)});
    for (auto &dispatcher : Dispatchers)
      dispatcher->setOwners(record, Now);
  }

  void tick(int router) {
    if (!Paused.contains(router)) {
      Dispatchers[router]->tick(Now);
      execute(router);
    }
    after(milliseconds(5), [this, router] { tick(router); });
  }

  void send(const std::string &tier, bool isIdempotent) {
    ++Results[tier].Sent;
    ++Open;
    const RequestId id(NextRequest++);
    const KeyHash key(Random());
    int entry = static_cast<int>(Random() % Options.Routers);
    while (Paused.contains(entry))
      entry = (entry + 1) % Options.Routers;
    const Request request{
        tier, Now, Now + Options.Timeout, key, isIdempotent, 0, {}, nullptr};
    if (Options.Policy == FleetPolicy::CreditServer) {
      // One round trip to the credit server, and one message that returns the
      // credit.
      Messages += 3;
      after(Options.CrossDomainDelay * 2,
            [=, this] { submit(0, id, request); });
      return;
    }
    submit(entry, id, request);
  }

  void submit(int router, RequestId id, const Request &request) {
    Requests[{router, id}] = request;
    if (ignoresSlots() && !Options.IsKeyed)
      return sendUnbounded(router, id);
    Dispatchers[router]->submit({id,
                                 Team,
                                 Service,
                                 TierId(request.Tier),
                                 request.Key,
                                 request.IsIdempotent,
                                 request.ReportEnd != nullptr,
                                 request.Deadline,
                                 {}},
                                Now);
    execute(router);
  }

  /// Sends a request under a policy that has no slots and no coordination
  /// between routers.
  void sendUnbounded(int router, RequestId id) {
    int best = static_cast<int>(NextRoundRobin[router]++ % Options.Upstreams);
    if (Options.Policy == FleetPolicy::LeastConnections)
      for (int n = 0; n < Options.Upstreams; ++n)
        if (OpenRequests[{router, n}] < OpenRequests[{router, best}])
          best = n;
    ++OpenRequests[{router, best}];
    const AttemptId attempt(NextUnboundedAttempt++);
    Attempts[{router, attempt}] = {id, best, std::nullopt};
    Requests[{router, id}].OpenAttempts.push_back(attempt);
    after(hop(router, best), [=, this] { arrive(best, {router, attempt}); });
  }

  void execute(int router) {
    for (DispatchDecision &decision : Dispatchers[router]->takeDecisions())
      std::visit([&](auto &it) { execute(router, it); }, decision);
  }

  void execute(int router, DispatchStart &start) {
    const auto request = Requests.find({router, start.Request});
    if (request == Requests.end()) {
      Dispatchers[router]->endAttempt(start.Attempt, Reason::Cancelled, Now);
      return;
    }
    request->second.OpenAttempts.push_back(start.Attempt);
    Attempt &attempt = Attempts[{router, start.Attempt}];
    attempt.Request = start.Request;
    if (const auto *target = std::get_if<UpstreamTarget>(&start.Target)) {
      const int to = std::stoi(target->Upstream.Value.substr(3));
      attempt.Upstream = to;
      after(hop(router, to),
            [=, this, id = start.Attempt] { arrive(to, {router, id}); });
      return;
    }
    IsTwiceForwarded |= request->second.ReportEnd != nullptr;
    Messages += 2;
    const int to =
        std::stoi(std::get<RouterTarget>(start.Target).Router.Value.substr(2));
    const RequestId id(NextRequest++);
    attempt.Forwarded = {to, id};
    Request forwarded = request->second;
    forwarded.OpenAttempts.clear();
    forwarded.ReportEnd = [this, router, to,
                           outer = start.Attempt](Reason why) {
      after(hop(router, to), [=, this] { end(router, outer, why); });
    };
    after(hop(router, to), [=, this, outer = start.Attempt] {
      if (Paused.contains(to))
        after(milliseconds(100),
              [=, this] { end(router, outer, Reason::ConnectFailed); });
      else
        submit(to, id, forwarded);
    });
  }

  void execute(int router, DispatchRefusal &refusal) {
    finish(router, refusal.Request, refusal.Why);
  }

  void execute(int, DispatchLeaseRequest &leaseRequest) {
    after(Options.CrossDomainDelay,
          [this, it = std::move(leaseRequest.Request)] {
            if (auto response = LeaseManager.handleRequest(it, Now))
              after(Options.CrossDomainDelay, [this, response = *response] {
                const int to = std::stoi(response.Router.Value.substr(2));
                if (Paused.contains(to))
                  return;
                Dispatchers[to]->applyLeaseResponse(response, Now);
                execute(to);
              });
            if (auto update = LeaseManager.takeUpdate(Now)) {
              const auto homes = std::make_shared<const HomesUpdate>(*update);
              after(Options.CrossDomainDelay, [this, homes] {
                for (std::size_t n = 0; n < Dispatchers.size(); ++n) {
                  Dispatchers[n]->setHomes(homes, Now);
                  execute(static_cast<int>(n));
                }
              });
            }
          });
  }

  void arrive(int to, FleetUpstream::Job job) {
    FleetUpstream &it = Upstreams[to];
    if (it.IsDown)
      return after(Options.CrossDomainDelay, [=, this] {
        end(job.Router, job.Attempt, Reason::ConnectFailed);
      });
    if (++it.Arrivals == 1)
      it.ColdUntil = Now + Options.WarmUp;
    it.IsCold = it.IsCold && Now < it.ColdUntil;
    it.Waiting.push_back(job);
    it.PeakRequests = std::max(it.PeakRequests, requestsAt(to));
    if (it.IsCold)
      it.PeakRequestsWhileCold =
          std::max(it.PeakRequestsWhileCold, requestsAt(to));
    serve(to);
  }

  void serve(int to) {
    FleetUpstream &it = Upstreams[to];
    it.IsCold = it.IsCold && Now < it.ColdUntil;
    const auto slots =
        static_cast<std::size_t>(it.IsCold ? Options.ColdSlots : Options.Slots);
    while (it.Running.size() < slots && !it.Waiting.empty()) {
      const FleetUpstream::Job job = it.Waiting.front();
      it.Waiting.pop_front();
      it.Running.push_back(job);
      const double factor =
          std::uniform_real_distribution<>(0.5, 1.5)(Random) * it.SlowFactor;
      const auto span = Duration(static_cast<std::int64_t>(
          factor * static_cast<double>(Options.ServiceTime.count())));
      after(span, [=, this] { finishJob(to, job); });
    }
  }

  static bool isSame(const FleetUpstream::Job &a, const FleetUpstream::Job &b) {
    return a.Router == b.Router && a.Attempt == b.Attempt;
  }

  void finishJob(int to, FleetUpstream::Job job) {
    FleetUpstream &it = Upstreams[to];
    if (std::erase_if(it.Running, [&](const auto &other) {
          return isSame(other, job);
        }) == 0)
      return; // It was cancelled while running.
    ++it.Served;
    after(hop(job.Router, to),
          [=, this] { end(job.Router, job.Attempt, Reason::None); });
    serve(to);
  }

  void end(int router, AttemptId id, Reason why) {
    const auto it = Attempts.find({router, id});
    if (it == Attempts.end())
      return;
    const Attempt attempt = it->second;
    Attempts.erase(it);
    if (ignoresSlots() && !Options.IsKeyed)
      --OpenRequests[{router, *attempt.Upstream}];
    else
      Dispatchers[router]->endAttempt(id, why, Now);
    const auto request = Requests.find({router, attempt.Request});
    if (request != Requests.end()) {
      std::erase(request->second.OpenAttempts, id);
      if (why == Reason::None || request->second.OpenAttempts.empty())
        finish(router, attempt.Request, why);
    }
    execute(router);
  }

  void finish(int router, RequestId id, Reason why) {
    const auto it = Requests.find({router, id});
    if (it == Requests.end())
      return;
    Request request = std::move(it->second);
    Requests.erase(it);
    const bool isRetried =
        (why == Reason::ForwardRefused || why == Reason::ConnectFailed ||
         why == Reason::HomeUnknown || why == Reason::Cancelled) &&
        !request.ReportEnd && request.Retries < 4 && Now < request.Deadline;
    if (isRetried) {
      ++request.Retries;
      request.OpenAttempts.clear();
      return submit(router, id, request);
    }
    Dispatchers[ignoresSlots() ? 0 : router]->withdraw(id, Now);
    for (const AttemptId &other : request.OpenAttempts)
      after(Options.CrossDomainDelay, [=, this] { cancel(router, other); });
    if (request.ReportEnd)
      return request.ReportEnd(why);
    --Open;
    FleetResult &result = Results[request.Tier];
    if (why == Reason::None)
      result.Latencies.push_back(Now - request.SentAt);
    else
      ++result.Refusals[why];
  }

  void cancel(int router, AttemptId id) {
    const auto it = Attempts.find({router, id});
    if (it == Attempts.end())
      return;
    if (it->second.Upstream) {
      FleetUpstream &upstream = Upstreams[*it->second.Upstream];
      const auto isIt = [&](const FleetUpstream::Job &job) {
        return isSame(job, {router, id});
      };
      std::erase_if(upstream.Running, isIt);
      std::erase_if(upstream.Waiting, isIt);
      serve(*it->second.Upstream);
    }
    if (it->second.Forwarded)
      finish(it->second.Forwarded->first, it->second.Forwarded->second,
             Reason::Cancelled);
    end(router, id, Reason::Cancelled);
  }

  std::multimap<Time, std::function<void()>> Events;
  std::map<std::pair<int, RequestId>, Request> Requests;
  std::map<std::pair<int, AttemptId>, Attempt> Attempts;
  std::map<std::pair<int, int>, int>
      OpenRequests; ///< open requests by router and upstream
  std::map<int, std::uint64_t> NextRoundRobin;
  std::uint64_t NextRequest = 1;
  std::uint64_t NextUnboundedAttempt = 1; ///< attempt id for sendUnbounded()
};

} // namespace waxwing

#endif
