/**
 * @file controller_process.cpp
 * Wires the controller's duties together.
 */
#include "controller/controller_process.h"

#include "controller/admin_answer.h"
#include "controller/admin_port.h"
#include "controller/configuration_host.h"
#include "controller/controller_metrics.h"
#include "controller/crash_mark_host.h"
#include "controller/home_host.h"
#include "controller/link_port.h"
#include "controller/order_port.h"
#include "controller/ownership_host.h"
#include "controller/store_port.h"
#include "core/random_func.h"
#include "worker/worker_thread.h"

#include <atomic>
#include <optional>
#include <set>
#include <thread>
#include <utility>

namespace waxwing {
namespace {

RecordMember selfOf(const VmSettings &settings) {
  return {VmId(settings.Vm.text("name")), Incarnation(randomNumber()),
          DomainId(settings.Vm.text("domain"))};
}

/// Peers are told in this time that this process leaves.
constexpr Duration LeaveTime = milliseconds(200);

OwnershipParameters termsOf(const SettingSection &settings) {
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
        Parameters(termsOf(Settings.Ownership)),
        Store(parseEndpoint(Settings.Store.text("address")),
              Settings.Store.duration("timeout"),
              parseEndpoint(Settings.Store.text("vm_list")), Counters,
              [this] { wake(); }),
        Orders(Counters, [this] { wake(); }),
        Links(Self, Counters, [this] { wake(); }),
        Configurations(
            Self, Settings, Store, Links, Counters,
            {[this](Time now) {
               Ownership.define(Configurations.configuration(), now);
               Homes.define(Configurations.configuration(), now);
             },
             [this](std::vector<ControllerMember> members, Time now) {
               Ownership.setMembers(std::move(members), now);
             },
             [this](const OwnershipRecord &record, Time now) {
               Ownership.hear(record, now);
             }},
            readClock()),
        Ownership(Self, Parameters, Store, Orders, Links,
                  [this](const OwnershipRecord &record, Time now) {
                    if (record.Rev == Revision(1))
                      FirstLed.insert(record.Service);
                    Configurations.publish(record, now);
                  }),
        Homes(Self, Links,
              [this](const ServiceId &service, Time now) {
                return leadershipOf(service, now);
              }),
        Admin(Settings, Counters, [this] { wake(); }) {}

  absl::Status start() {
    Decisions.emplace(System, Parameters.Heartbeat / 2,
                      [this](WorkerCall call) { decide(call); });
    IsReady = true;
    if (absl::Status status =
            Metrics.listen(parseEndpoint(Settings.Controller.text("metrics")));
        !status.ok())
      return status;
    Store.start();
    if (absl::Status status = Admin.listen(); !status.ok())
      return status;
    return Links.listen(parseEndpoint(Settings.Controller.text("link")));
  }

  void stop() {
    IsLeaving = true;
    std::this_thread::sleep_for(LeaveTime);
    Decisions->stop();
    Store.stop();
    Orders.stop();
    Links.stop();
    Admin.stop();
  }

private:
  ServiceLeadership leadershipOf(const ServiceId &service, Time now) const {
    const OwnershipLeader *leader = Ownership.find(service);
    if (leader == nullptr || !leader->record())
      return {};
    const OwnershipRecord &record = *leader->record();
    ServiceLeadership leadership{leader->isLeader(),
                                 leader->isConfirmed(now),
                                 leader->haveEarlierConfirmationsEnded(now),
                                 FirstLed.contains(service),
                                 record.Rev,
                                 {}};
    if (!record.Members.empty())
      leadership.Leader = record.Members.front().Vm;
    return leadership;
  }

  void wake() {
    if (IsReady)
      Decisions->wake();
  }

  void decide(WorkerCall call) {
    const Time now = readClock();
    Store.events().drain([&](StoreEvent &&event) {
      std::visit([&](auto &it) { on(it, now); }, event);
    });
    Links.events().drain([&](LinkEvent &&event) {
      std::visit([&](auto &it) { on(it, now); }, event);
    });
    Orders.answers().drain([&](OrderAnswered &&it) { Ownership.on(it, now); });
    Admin.questions().drain(
        [&](AdminQuery &&query) { on(std::move(query), now); });
    if (call == WorkerCall::Tick) {
      if (IsLeaving && !std::exchange(IsLeaveTold, true))
        Configurations.leave(now);
      Configurations.tick(now);
      Ownership.tick(now);
      Homes.tick(now);
      CrashMarks.tick(now);
    }
  }

  void on(RecordResult &result, Time now) { Ownership.on(result, now); }

  void on(DocumentsRead &read, Time now) { Configurations.on(read, now); }

  void on(VmListRead &read, Time now) { Configurations.on(read, now); }

  void on(LinkReceived &received, Time now) {
    Configurations.on(received, now);
    Homes.on(received, now);
    CrashMarks.on(received, now);
    if (auto *envelope = std::get_if<OwnershipEnvelope>(&received.Message))
      Ownership.onPeer(received.From.Self, envelope->Message, now);
    if (auto *report = std::get_if<HotKeysReport>(&received.Message))
      Ownership.on(std::move(*report), received.From.Role, now);
  }

  void on(AdminQuery &&query, Time now) {
    if (const auto *news = std::get_if<AcceptedDocument>(&query.Call))
      Configurations.apply(news->Document, now);
    else
      Admin.answers().push(
          {query.Id,
           AdminAnswerer{Self.Vm, Configurations, Counters, now}.answer(
               query)});
  }

  void on(LinkLost &lost, Time now) { Configurations.on(lost, now); }

  VmSettings Settings;
  RecordMember Self;
  OwnershipParameters Parameters;
  ControlCounters Counters;
  std::atomic<bool> IsReady{false};
  std::atomic<bool> IsLeaving{false};
  bool IsLeaveTold = false;
  WorkerSystem System;
  StorePort Store;
  OrderPort Orders;
  LinkPort Links;
  ConfigurationHost Configurations;
  OwnershipHost Ownership;
  ControllerMetrics Metrics{Counters};
  HomeHost Homes;
  CrashMarkHost CrashMarks{Links};
  /// Services whose record began with this process: no earlier home exists.
  std::set<ServiceId> FirstLed;
  AdminPort Admin;
  std::optional<WorkerThread> Decisions;
};

ControllerProcess::ControllerProcess(VmSettings settings)
    : Impl(std::make_unique<ControllerProcessImpl>(std::move(settings))) {}

ControllerProcess::~ControllerProcess() = default;

absl::Status ControllerProcess::start() { return Impl->start(); }

void ControllerProcess::stop() { Impl->stop(); }

} // namespace waxwing
