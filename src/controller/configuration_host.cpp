/**
 * @file configuration_host.cpp
 * Control node's actions to ports.
 */
#include "controller/configuration_host.h"

#include "table/member_states.h"

#include <spdlog/spdlog.h>
#include <utility>

namespace waxwing {
namespace {

constexpr Duration DeadAfter = seconds(2);
constexpr Duration RetryPeriod = seconds(1);
constexpr Duration ForgetAfter = std::chrono::minutes(10);
constexpr Duration PullTimeout = seconds(1);
constexpr Duration JoinLimit = seconds(2);
constexpr std::size_t JoinPeers = 3;
constexpr std::size_t MeshVms = 12;
/// Tells routers that the link and this controller live.
constexpr Duration RouterHeartbeatPeriod = seconds(1);
/// Controllers named to a router, for the loss of its own.
constexpr std::size_t ControllersForRouter = 8;

MembershipParameters membershipTerms(const VmSettings &settings) {
  return {settings.Ownership.duration("heartbeat"),
          settings.Ownership.duration("suspicion"),
          DeadAfter,
          RetryPeriod,
          ForgetAfter,
          MeshVms,
          static_cast<std::size_t>(settings.Controller.integer("links"))};
}

MemberEntry entryOf(const RecordMember &self, const VmSettings &settings) {
  MemberEntry entry;
  entry.Vm = self.Vm;
  entry.Process = self.Process;
  entry.Domain = self.Domain;
  entry.Region = settings.Vm.text("region");
  entry.Link = parseEndpoint(settings.Controller.text("link"));
  return entry;
}

ControllerMember toController(const MemberEntry &it) {
  // A leaving member is to be replaced like a suspected one.
  return {{it.Vm, it.Process, it.Domain}, it.State != MemberState::Live};
}

} // namespace

ConfigurationHost::ConfigurationHost(const RecordMember &self,
                                     const VmSettings &settings,
                                     StorePort &store, LinkPort &links,
                                     ControlCounters &counters,
                                     ConfigurationHandlers handlers, Time now)
    : Self(self), Store(store), Links(links), Counters(counters),
      Handlers(std::move(handlers)),
      Node(entryOf(self, settings), membershipTerms(settings),
           {PullTimeout, JoinLimit, JoinPeers, MeshVms}, now) {}

void ConfigurationHost::tick(Time now) {
  handle(ControlTick(), now);
  if (now < NextRouterHeartbeat)
    return;
  NextRouterHeartbeat = now + RouterHeartbeatPeriod;
  send({std::nullopt, ProcessRole::Router,
        MembershipEnvelope{Heartbeat{RouterHeartbeatPeriod}}});
}

void ConfigurationHost::on(DocumentsRead &read, Time now) {
  handle(DocumentsWatched{read.IsAnswered, std::move(read.Documents)}, now);
}

void ConfigurationHost::on(const LinkReceived &received, Time now) {
  const bool isHello = std::holds_alternative<LinkHello>(received.Message);
  if (received.From.Role == ProcessRole::Router) {
    if (isHello)
      greetRouter();
    return;
  }
  if (isHello)
    handle(PeerLinked{received.From.Self}, now);
  else
    handle(PeerMessage{received.From.Self, received.Message}, now);
}

void ConfigurationHost::on(const LinkLost &lost, Time now) {
  if (lost.From.Role == ProcessRole::Controller)
    handle(PeerUnlinked{lost.From.Self}, now);
}

void ConfigurationHost::handle(const ControlEvent &event, Time now) {
  for (ControlAction &action : Node.handle(event, now))
    std::visit([&](auto &it) { carryOut(it, now); }, action);
}

void ConfigurationHost::carryOut(SendControl &action, Time) {
  send({action.To, std::nullopt, std::move(action.Message), false});
}

void ConfigurationHost::carryOut(SetLinkTargets &action, Time) {
  Targets = std::move(action.Targets);
  LinkTargets command{Targets, {}};
  for (const MemberEntry &it : members())
    command.Known[it.Vm] = it.Link;
  Links.commands().push(std::move(command));
  send({std::nullopt, ProcessRole::Router,
        MembershipEnvelope{controllersForRouters()}});
}

void ConfigurationHost::carryOut(CloseLink &action, Time) {
  Links.commands().push(LinkDrop{action.To});
}

void ConfigurationHost::carryOut(MembersChanged &, Time now) {
  logStates();
  std::vector<ControllerMember> members{toController(Node.membership().self())};
  for (const MemberEntry &it : Node.membership().others())
    if (it.State != MemberState::New && it.State != MemberState::Dead)
      members.push_back(toController(it));
  Handlers.OnMembers(std::move(members), now);
  send({std::nullopt, ProcessRole::Router,
        MembershipEnvelope{controllersForRouters()}});
}

void ConfigurationHost::logStates() {
  std::map<VmId, MemberState> states;
  for (const MemberEntry &it : members()) {
    states[it.Vm] = it.State;
    const auto known = Logged.find(it.Vm);
    if (known == Logged.end() || known->second != it.State)
      spdlog::info("{} is {}", it.Vm.Value, memberStateName(it.State));
  }
  Logged = std::move(states);
}

void ConfigurationHost::carryOut(WatchStore &action, Time) {
  spdlog::info("{} the store", action.IsWanted ? "watches" : "stops watching");
  Store.watching().push(WatchRequest{action.IsWanted});
}

void ConfigurationHost::carryOut(DocumentsInForce &action, Time now) {
  Counters.add(ControlCounter::DocumentsInForce, action.Documents.size());
  for (const TeamDocument &document : action.Documents)
    spdlog::info("configuration of {} at revision {} in force",
                 document.Team.Value, document.Rev.Value);
  send({std::nullopt, ProcessRole::Router,
        DocumentsUpdate{std::move(action.Documents)}});
  Handlers.OnConfiguration(now);
}

void ConfigurationHost::carryOut(DocumentRejected &action, Time) {
  Counters.add(ControlCounter::DocumentsRefused);
  spdlog::warn("document of {} at revision {} is faulty: {}",
               action.Document.Team.Value, action.Document.Rev.Value,
               action.Error);
}

void ConfigurationHost::carryOut(RecordUpdated &action, Time now) {
  Handlers.OnRecord(action.Record, now);
  send({std::nullopt, ProcessRole::Router,
        OwnersUpdate{std::move(action.Record)}});
}

/// Tells all routers what this VM knows; one of them has just linked.
void ConfigurationHost::greetRouter() {
  DocumentsUpdate update;
  for (const auto &[team, document] : configuration().documents())
    update.Documents.push_back(document);
  send({std::nullopt, ProcessRole::Router, std::move(update)});
  for (OwnershipRecord &record : Node.records())
    send({std::nullopt, ProcessRole::Router, OwnersUpdate{std::move(record)}});
  send({std::nullopt, ProcessRole::Router,
        MembershipEnvelope{controllersForRouters()}});
}

MembersUpdate ConfigurationHost::controllersForRouters() const {
  MembersUpdate update;
  for (const MemberEntry &it : members())
    if (Targets.contains(it.Vm) && it.State == MemberState::Live &&
        update.Entries.size() < ControllersForRouter)
      update.Entries.push_back(it);
  return update;
}

} // namespace waxwing
