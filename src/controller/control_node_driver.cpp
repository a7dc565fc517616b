/**
 * @file control_node_driver.cpp
 * Translates events to the control node and executes its actions.
 */
#include "controller/control_node_driver.h"

#include "table/member_states.h"

#include <spdlog/spdlog.h>
#include <utility>

namespace waxwing {
namespace {

/// A member suspected to have failed is declared dead if it does not refute the
/// suspicion within this time.
constexpr Duration DeadTimeout = seconds(2);
/// Time between attempts to reach dead members.
constexpr Duration RetryPeriod = seconds(1);
/// A dead member that is not in the VM list is removed after this time.
constexpr Duration ForgetTimeout = std::chrono::minutes(10);
constexpr Duration PullTimeout = seconds(1);
constexpr Duration JoinTimeout = seconds(2);
constexpr std::size_t MinJoinPeers = 3;
constexpr std::size_t MeshVms = 12;
/// Period of the heartbeat that shows routers that this controller and the link
/// to it work.
constexpr Duration RouterHeartbeatPeriod = seconds(1);
/// Maximum number of fallback controllers announced to routers.
constexpr std::size_t MaxFallbackControllers = 8;

MembershipParameters membershipParameters(const VmSettings &settings) {
  return {settings.Ownership.duration("heartbeat"),
          settings.Ownership.duration("suspicion"),
          DeadTimeout,
          RetryPeriod,
          ForgetTimeout,
          MeshVms,
          static_cast<std::size_t>(settings.Controller.integer("links"))};
}

MemberEntry makeSelfEntry(const RecordMember &self,
                          const VmSettings &settings) {
  MemberEntry entry;
  entry.Vm = self.Vm;
  entry.Process = self.Process;
  entry.Domain = self.Domain;
  entry.Region = settings.Vm.text("region");
  entry.Link = parseEndpoint(settings.Controller.text("link"));
  return entry;
}

ControllerMember toControllerMember(const MemberEntry &it) {
  // Ownership moves away from a leaving member as it does from a suspected one.
  return {{it.Vm, it.Process, it.Domain}, it.State != MemberState::Live};
}

} // namespace

ControlNodeDriver::ControlNodeDriver(const RecordMember &self,
                                     const VmSettings &settings,
                                     StoreClient &store, LinkManager &links,
                                     ControlCounters &counters,
                                     ControlNodeHandlers handlers, Time now)
    : Self(self), Store(store), Links(links), Counters(counters),
      Handlers(std::move(handlers)),
      Node(makeSelfEntry(self, settings), membershipParameters(settings),
           {PullTimeout, JoinTimeout, MinJoinPeers, MeshVms}, now) {}

void ControlNodeDriver::tick(Time now) {
  handle(ControlTick(), now);
  if (now < NextRouterHeartbeat)
    return;
  NextRouterHeartbeat = now + RouterHeartbeatPeriod;
  send({std::nullopt, ProcessRole::Router,
        MembershipEnvelope{Heartbeat{RouterHeartbeatPeriod}}});
}

void ControlNodeDriver::on(DocumentsRead &read, Time now) {
  handle(DocumentsWatched{read.IsAnswered, std::move(read.Documents)}, now);
}

void ControlNodeDriver::on(const LinkMessageReceived &received, Time now) {
  const bool isHello = std::holds_alternative<LinkHello>(received.Message);
  if (received.From.Role == ProcessRole::Router) {
    if (isHello)
      sendStateToRouters();
    return;
  }
  if (isHello)
    handle(PeerLinked{received.From.Self}, now);
  else
    handle(PeerMessage{received.From.Self, received.Message}, now);
}

void ControlNodeDriver::on(const LinkLost &lost, Time now) {
  if (lost.From.Role == ProcessRole::Controller)
    handle(PeerUnlinked{lost.From.Self}, now);
}

void ControlNodeDriver::handle(const ControlEvent &event, Time now) {
  for (ControlAction &action : Node.handle(event, now))
    std::visit([&](auto &it) { execute(it, now); }, action);
}

void ControlNodeDriver::execute(SendControl &action, Time) {
  send({action.To, std::nullopt, std::move(action.Message), false});
}

void ControlNodeDriver::execute(SetLinkTargets &action, Time) {
  Targets = std::move(action.Targets);
  UpdateLinkTargets command{Targets, {}};
  for (const MemberEntry &it : members())
    command.KnownAddresses[it.Vm] = it.Link;
  Links.commands().push(std::move(command));
  send({std::nullopt, ProcessRole::Router,
        MembershipEnvelope{fallbackControllers()}});
}

void ControlNodeDriver::execute(CloseLink &action, Time) {
  Links.commands().push(CloseControllerLinks{action.To});
}

void ControlNodeDriver::execute(MembersChanged &, Time now) {
  logMemberStateChanges();
  std::vector<ControllerMember> members{
      toControllerMember(Node.membership().self())};
  for (const MemberEntry &it : Node.membership().others())
    if (it.State != MemberState::New && it.State != MemberState::Dead)
      members.push_back(toControllerMember(it));
  Handlers.OnMembers(std::move(members), now);
  send({std::nullopt, ProcessRole::Router,
        MembershipEnvelope{fallbackControllers()}});
}

void ControlNodeDriver::logMemberStateChanges() {
  std::map<VmId, MemberState> states;
  for (const MemberEntry &it : members()) {
    states[it.Vm] = it.State;
    const auto known = LoggedStates.find(it.Vm);
    if (known == LoggedStates.end() || known->second != it.State)
      spdlog::info("member {} is {}", it.Vm.Value, memberStateName(it.State));
  }
  LoggedStates = std::move(states);
}

void ControlNodeDriver::execute(WatchStore &action, Time) {
  spdlog::info("{} the store", action.IsWanted ? "watches" : "stops watching");
  Store.documentRequests().push(DocumentWatchRequest{action.IsWanted});
}

void ControlNodeDriver::execute(WriteDocumentAgain &action, Time) {
  spdlog::warn("the store holds a former state of the document of {}; writes "
               "revision {} again",
               action.Document.Team.Value, action.Document.Rev.Value);
  if (!Store.documentRequests().push(
          DocumentWriteRequest{std::move(action.Document), action.Expected}))
    spdlog::error("the ring to the store is full; the document is not written");
}

void ControlNodeDriver::execute(DocumentsInForce &action, Time now) {
  Counters.add(ControlCounter::DocumentsInForce, action.Documents.size());
  for (const TeamDocument &document : action.Documents)
    spdlog::info("configuration of {} at revision {} in force",
                 document.Team.Value, document.Rev.Value);
  send({std::nullopt, ProcessRole::Router,
        DocumentsUpdate{std::move(action.Documents)}});
  Handlers.OnConfiguration(now);
}

void ControlNodeDriver::execute(DocumentRejected &action, Time) {
  Counters.add(ControlCounter::DocumentsRefused);
  spdlog::warn(
      "document of {} at revision {} is invalid; keeping the previous one: {}",
      action.Document.Team.Value, action.Document.Rev.Value, action.Error);
}

void ControlNodeDriver::execute(RecordUpdated &action, Time now) {
  Handlers.OnRecord(action.Record, now);
  send({std::nullopt, ProcessRole::Router,
        OwnersUpdate{std::move(action.Record)}});
}

/// Sends the documents, ownership records and fallback controllers to all
/// routers, because a router has just connected.
void ControlNodeDriver::sendStateToRouters() {
  DocumentsUpdate update;
  for (const auto &[team, document] : configuration().documents())
    update.Documents.push_back(document);
  send({std::nullopt, ProcessRole::Router, std::move(update)});
  for (OwnershipRecord &record : Node.records())
    send({std::nullopt, ProcessRole::Router, OwnersUpdate{std::move(record)}});
  send({std::nullopt, ProcessRole::Router,
        MembershipEnvelope{fallbackControllers()}});
}

MembersUpdate ControlNodeDriver::fallbackControllers() const {
  MembersUpdate update;
  for (const MemberEntry &it : members())
    if (Targets.contains(it.Vm) && it.State == MemberState::Live &&
        update.Entries.size() < MaxFallbackControllers)
      update.Entries.push_back(it);
  return update;
}

} // namespace waxwing
