/**
 * @file router_core_base.h
 * The router's decisions as one state machine without I/O.
 */
#ifndef WAXWING_TRAFFIC_ROUTER_CORE_BASE_H
#define WAXWING_TRAFFIC_ROUTER_CORE_BASE_H

#include "metrics/reason_counters.h"
#include "traffic/dispatcher_base.h"
#include "traffic/router_core_type.h"

#include <absl/container/flat_hash_map.h>

namespace waxwing {

/// Every CallerRequest is followed by exactly one AnswerCaller.
class RouterCore {
public:
  /// @param self this router's VM
  /// @param seed of all random choices
  RouterCore(VmId self, std::uint64_t seed);

  /// From now on only homes that are leased to this process are its own;
  /// without this call the router is alone and the home of everything.
  /// @param forward where this router takes forwarded requests
  void leaseHomes(Incarnation process, const Endpoint &forward) {
    Dispatch.leaseHomes(process, forward);
  }

  /// Takes one event.
  /// @param now this process's clock, never before an earlier now
  /// @return what to do, in this order
  std::vector<RouterAction> handle(RouterEvent event, Time now);

  /// @return requests without an answer yet
  std::size_t requestsInFlight() const { return Requests.size(); }
  /// @return refusals and failures told to callers, by reason
  const ReasonCounters &answers() const { return Answers; }
  /// @return ends of attempts, by reason
  const ReasonCounters &attempts() const { return AttemptEnds; }

private:
  struct RequestState {
    CallerRequest Request;
    Time Deadline;
    AttemptId Attempt;
  };
  void on(CallerRequest &event, Time now);
  void on(CallerLost &event, Time now);
  void on(AttemptEnded &event, Time now);
  void on(ConfigurationChanged &event, Time now);
  void on(OwnersChanged &event, Time now);
  void on(HomesChanged &event, Time now);
  void on(HomesLeased &event, Time now);
  void on(RouterTick &event, Time now);
  void on(DrainStarted &event, Time now);

  /// @return the caller's tier, or the reason of the refusal
  std::variant<TierId, Reason> admit(const CallerRequest &request) const;
  void refuse(const RequestId &request, Reason why);
  void carryOutDecisions();
  void carryOut(DispatchStart &decision);
  void carryOut(DispatchRefuse &decision);
  void carryOut(DispatchAsk &decision);
  const TeamConfig *findTeam(const TeamId &team) const;

  Dispatcher Dispatch;
  bool IsDraining = false;
  std::shared_ptr<const Configuration> Config;
  absl::flat_hash_map<RequestId, RequestState> Requests;
  absl::flat_hash_map<AttemptId, RequestId> Attempts;
  ReasonCounters Answers;
  ReasonCounters AttemptEnds;
  std::vector<RouterAction> Actions;
};

} // namespace waxwing

#endif
