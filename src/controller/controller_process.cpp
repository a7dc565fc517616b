/**
 * @file controller_process.cpp
 * Wires the controller's duties together.
 */
#include "controller/controller_process.h"

#include "controller/link_port.h"
#include "controller/order_port.h"
#include "controller/store_port.h"
#include "duty/duty.h"
#include "ownership/ownership_leader_base.h"

#include <algorithm>
#include <atomic>
#include <optional>
#include <random>
#include <spdlog/spdlog.h>

namespace waxwing {
namespace {

std::uint64_t drawNumber() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

RecordMember selfOf(const VmSettings &settings) {
  return {VmId(settings.Vm.text("name")), Incarnation(drawNumber()),
          DomainId(settings.Vm.text("domain"))};
}

OwnershipTerms termsOf(const SettingSection &settings) {
  return {settings.duration("heartbeat"), settings.duration("grant_term"),
          settings.duration("confirmation_term"),
          settings.duration("suspicion"), settings.integer("clock_drift")};
}

} // namespace

/// Owns the duties; decide() runs on the decision duty alone.
class ControllerProcessImpl {
public:
  explicit ControllerProcessImpl(VmSettings settings)
      : Settings(std::move(settings)), Self(selfOf(Settings)),
        Terms(termsOf(Settings.Ownership)),
        Store(parseEndpoint(Settings.Store.text("address")),
              Settings.Store.duration("timeout"),
              parseEndpoint(Settings.Store.text("vm_list")),
              [this] { wake(); }),
        Orders([this] { wake(); }), Links(Self, [this] { wake(); }) {}

  absl::Status start() {
    Decisions.emplace(System, Terms.Heartbeat / 2,
                      [this](DutyCall call) { decide(call); });
    IsReady = true;
    Store.start();
    return Links.listen(parseEndpoint(Settings.Controller.text("link")));
  }

  void stop() {
    Decisions->stop();
    Store.stop();
    Orders.stop();
    Links.stop();
  }

private:
  void wake() {
    if (IsReady)
      Decisions->wake();
  }

  void decide(DutyCall call) {
    const Time now = readClock();
    Store.events().drain([&](StoreEvent &&event) {
      std::visit([&](auto &it) { on(it, now); }, event);
    });
    Links.events().drain([&](LinkEvent &&event) {
      std::visit([&](auto &it) { on(it, now); }, event);
    });
    Orders.answers().drain([&](OrderAnswered &&it) {
      handle(it.Service, UpstreamAnswered{std::move(it.Answer)}, now);
    });
    if (call == DutyCall::Tick)
      for (auto &[service, leader] : Leaders)
        handle(service, Tick(), now);
  }

  void on(RecordResult &result, Time now) {
    std::visit([&](auto &it) { handle(result.Service, std::move(it), now); },
               result.Event);
  }

  void on(DocumentsRead &read, Time now) {
    applyDocuments(read.Documents, now);
  }

  void on(VmListRead &read, Time now) {
    if (std::exchange(Vms, std::move(read.Vms)) == Vms)
      return;
    LinkTargets targets;
    for (const ListedVm &vm : Vms)
      if (vm.Vm < Self.Vm)
        targets.Controllers[vm.Vm] = vm.Link;
    Links.commands().push(std::move(targets));
    static_cast<void>(now);
  }

  void on(LinkReceived &received, Time now) {
    if (std::holds_alternative<LinkHello>(received.Message)) {
      greet(received.From);
      noteController(received.From, now);
    }
    if (auto *update = std::get_if<DocumentsUpdate>(&received.Message))
      applyDocuments(update->Documents, now);
    if (auto *update = std::get_if<OwnersUpdate>(&received.Message))
      hearOwners(update->Record, now);
    if (auto *envelope = std::get_if<OwnershipEnvelope>(&received.Message))
      handlePeer(received.From.Self, envelope->Message, now);
  }

  void on(LinkLost &lost, Time now) {
    const auto it = Linked.find(lost.From.Self.Vm);
    if (it == Linked.end() || it->second != lost.From.Self)
      return;
    Linked.erase(it);
    tellControllers(now);
  }

  void noteController(const LinkHello &peer, Time now) {
    if (peer.Role != ProcessRole::Controller)
      return;
    Linked[peer.Self.Vm] = peer.Self;
    tellControllers(now);
  }

  /// Tells each service's state machine which controllers can be reached.
  void tellControllers(Time now) {
    for (auto &[service, leader] : Leaders)
      handle(service, linkedControllers(), now);
  }

  ControllersChanged linkedControllers() const {
    ControllersChanged event;
    for (const auto &[vm, member] : Linked)
      event.Members.push_back({member, false});
    return event;
  }

  void hearOwners(const OwnershipRecord &record, Time now) {
    takeOwners(record);
    handle(record.Service, RecordHeard{record}, now);
  }

  void handlePeer(const RecordMember &from, const OwnershipMessage &message,
                  Time now) {
    const ServiceId service =
        std::visit([](const auto &it) { return it.Service; }, message);
    handle(service, PeerSaid{from, message}, now);
  }

  /// Tells a process that has just linked all that this one knows.
  void greet(const LinkHello &peer) {
    DocumentsUpdate update;
    for (const auto &[team, document] : Config.documents())
      update.Documents.push_back(document);
    send({std::nullopt, peer.Role, update});
    for (const auto &[service, record] : Owners)
      send({std::nullopt, peer.Role, OwnersUpdate{record}});
  }

  void applyDocuments(const std::vector<TeamDocument> &documents, Time now) {
    DocumentsUpdate news;
    for (const TeamDocument &document : documents) {
      const auto applied = Config.apply(document);
      if (!applied.ok()) {
        spdlog::warn("document of {} at revision {} is faulty: {}",
                     document.Team.Value, document.Rev.Value,
                     std::string(applied.status().message()));
        continue;
      }
      if (!*applied)
        continue;
      spdlog::info("configuration of {} at revision {} in force",
                   document.Team.Value, document.Rev.Value);
      news.Documents.push_back(document);
    }
    if (news.Documents.empty())
      return;
    send({std::nullopt, ProcessRole::Router, news});
    send({std::nullopt, ProcessRole::Controller, news});
    defineServices(now);
  }

  void defineServices(Time now) {
    for (const auto &[team, config] : Config.teams())
      for (const auto &[id, service] : config.Services)
        defineService(config, id, service, now);
  }

  void defineService(const TeamConfig &team, const ServiceId &id,
                     const ServiceConfig &service, Time now) {
    ServiceDefinition definition{service.ShardCount, {}};
    for (const auto &[name, upstream] : team.Upstreams) {
      if (upstream.Service != id)
        continue;
      definition.Upstreams.push_back(
          {name, upstream.Domain,
           upstream.IsDrained || team.Domains.at(upstream.Domain).IsTakenOut,
           service.ChecksOrders});
      Addresses[name] = upstream.Address;
    }
    if (Leaders.try_emplace(id, id, Self, Terms, drawNumber()).second)
      handle(id, linkedControllers(), now);
    handle(id, ServiceChanged{std::move(definition)}, now);
  }

  void takeOwners(const OwnershipRecord &record) {
    auto &known = Owners[record.Service];
    if (known.Rev >= record.Rev)
      return;
    known = record;
    send({std::nullopt, ProcessRole::Router, OwnersUpdate{record}});
  }

  void handle(const ServiceId &service, const OwnershipEvent &event, Time now) {
    const auto it = Leaders.find(service);
    if (it == Leaders.end())
      return;
    for (OwnershipAction &action : it->second.handle(event, now))
      std::visit([&](auto &what) { carryOut(service, what, now); }, action);
  }

  void carryOut(const ServiceId &service, ReadRecord &action, Time now) {
    if (!Store.requests().push({service, action}))
      handle(service, RecordRead{action.Operation}, now);
  }

  void carryOut(const ServiceId &service, WriteRecord &action, Time now) {
    const std::uint64_t operation = action.Operation;
    if (!Store.requests().push({service, std::move(action)}))
      handle(service, RecordWritten{operation}, now);
  }

  void carryOut(const ServiceId &service, SendOrder &action, Time now) {
    Orders.requests().push({service, action.To, Addresses[action.To],
                            now + Terms.GrantTerm, std::move(action.Order)});
  }

  void carryOut(const ServiceId &service, QueryUpstream &action, Time now) {
    Orders.requests().push({service, action.To, Addresses[action.To],
                            now + Terms.GrantTerm, std::nullopt});
  }

  void carryOut(const ServiceId &, SendPeer &action, Time) {
    send({action.To, std::nullopt, OwnershipEnvelope{action.Message}});
  }

  void carryOut(const ServiceId &, PublishRecord &action, Time) {
    takeOwners(action.Record);
    send({std::nullopt, ProcessRole::Controller, OwnersUpdate{action.Record}});
  }

  void send(LinkSend message) { Links.commands().push(std::move(message)); }

  VmSettings Settings;
  RecordMember Self;
  OwnershipTerms Terms;
  Configuration Config;
  std::vector<ListedVm> Vms;
  std::map<ServiceId, OwnershipLeader> Leaders;
  std::map<ServiceId, OwnershipRecord> Owners;
  std::map<UpstreamId, Endpoint> Addresses;
  std::map<VmId, RecordMember> Linked; ///< controllers with an open link
  std::atomic<bool> IsReady{false};
  DutySystem System;
  StorePort Store;
  OrderPort Orders;
  LinkPort Links;
  std::optional<Duty> Decisions;
};

ControllerProcess::ControllerProcess(VmSettings settings)
    : Impl(std::make_unique<ControllerProcessImpl>(std::move(settings))) {}

ControllerProcess::~ControllerProcess() = default;

absl::Status ControllerProcess::start() { return Impl->start(); }

void ControllerProcess::stop() { Impl->stop(); }

} // namespace waxwing
