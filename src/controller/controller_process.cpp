/**
 * @file controller_process.cpp
 * Creates and connects the threads of the controller process.
 */
#include "controller/controller_process.h"

#include "controller/admin_query_handler.h"
#include "controller/admin_server.h"
#include "controller/control_node_driver.h"
#include "controller/controller_metrics.h"
#include "controller/crash_report_forwarder.h"
#include "controller/grant_order_client.h"
#include "controller/home_lease_driver.h"
#include "controller/link_manager.h"
#include "controller/ownership_driver.h"
#include "controller/store_client.h"
#include "core/random_func.h"
#include "worker/worker_thread.h"

#include <atomic>
#include <optional>
#include <set>
#include <thread>
#include <utility>

namespace waxwing {
namespace {

RecordMember makeSelf(const VmSettings &settings) {
  return {VmId(settings.Vm.text("name")), Incarnation(randomNumber()),
          DomainId(settings.Vm.text("domain"))};
}

/// Time given to link threads at shutdown to tell peers that this process is
/// leaving.
constexpr Duration LeaveNoticeDelay = milliseconds(200);

OwnershipParameters ownershipParameters(const SettingSection &settings) {
  return {settings.duration("heartbeat"), settings.duration("grant_term"),
          settings.duration("confirmation_term"),
          settings.duration("suspicion"), settings.integer("clock_drift")};
}

} // namespace

/// Owns all threads of the controller. runDecisions() runs on the decision
/// thread only.
class ControllerProcessImpl {
public:
  explicit ControllerProcessImpl(VmSettings settings)
      : Settings(std::move(settings)), Self(makeSelf(Settings)),
        Parameters(ownershipParameters(Settings.Ownership)),
        Store(parseEndpoint(Settings.Store.text("address")),
              Settings.Store.duration("timeout"),
              parseEndpoint(Settings.Store.text("vm_list")), Counters,
              [this] { wakeDecisionThread(); }),
        Orders(Counters, [this] { wakeDecisionThread(); }),
        Links(Self, Counters, [this] { wakeDecisionThread(); }),
        NodeDriver(Self, Settings, Store, Links, Counters,
                   {[this](Time now) {
                      Ownership.setConfiguration(NodeDriver.configuration(),
                                                 now);
                      Homes.setConfiguration(NodeDriver.configuration(), now);
                    },
                    [this](std::vector<ControllerMember> members, Time now) {
                      Ownership.setMembers(std::move(members), now);
                    },
                    [this](const OwnershipRecord &record, Time now) {
                      Ownership.receiveRecord(record, now);
                    }},
                   readClock()),
        Ownership(Self, Parameters, Store, Orders, Links,
                  [this](const OwnershipRecord &record, Time now) {
                    if (record.Rev == Revision(1))
                      ServicesCreatedHere.insert(record.Service);
                    NodeDriver.publish(record, now);
                  }),
        Homes(Self, Links,
              [this](const ServiceId &service, Time now) {
                return leadershipOf(service, now);
              }),
        Admin(Settings, Counters, [this] { wakeDecisionThread(); }) {}

  absl::Status start() {
    DecisionThread.emplace(System, Parameters.Heartbeat / 2,
                           [this](WorkerCall call) { runDecisions(call); });
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
    std::this_thread::sleep_for(LeaveNoticeDelay);
    DecisionThread->stop();
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
                                 ServicesCreatedHere.contains(service),
                                 record.Rev,
                                 {}};
    if (!record.Members.empty())
      leadership.Leader = record.Members.front().Vm;
    return leadership;
  }

  void wakeDecisionThread() {
    if (IsReady)
      DecisionThread->wake();
  }

  void runDecisions(WorkerCall call) {
    const Time now = readClock();
    Store.events().drain([&](StoreEvent &&event) {
      std::visit([&](auto &it) { on(it, now); }, event);
    });
    Links.events().drain([&](LinkEvent &&event) {
      std::visit([&](auto &it) { on(it, now); }, event);
    });
    Orders.answers().drain(
        [&](GrantOrderAnswered &&it) { Ownership.on(it, now); });
    Admin.queries().drain(
        [&](AdminQuery &&query) { on(std::move(query), now); });
    if (call == WorkerCall::Tick) {
      if (IsLeaving && !std::exchange(IsLeaveReported, true))
        NodeDriver.leave(now);
      NodeDriver.tick(now);
      Ownership.tick(now);
      Homes.tick(now);
      CrashReports.tick(now);
    }
  }

  void on(RecordStoreResult &result, Time now) { Ownership.on(result, now); }

  void on(DocumentsRead &read, Time now) { NodeDriver.on(read, now); }

  void on(VmListRead &read, Time now) { NodeDriver.on(read, now); }

  void on(LinkMessageReceived &received, Time now) {
    NodeDriver.on(received, now);
    Homes.on(received, now);
    CrashReports.on(received, now);
    if (auto *envelope = std::get_if<OwnershipEnvelope>(&received.Message))
      Ownership.handlePeerMessage(received.From.Self, envelope->Message, now);
    if (auto *report = std::get_if<HotKeysReport>(&received.Message))
      Ownership.on(std::move(*report), received.From.Role, now);
  }

  void on(AdminQuery &&query, Time now) {
    if (const auto *notice = std::get_if<AcceptedDocument>(&query.Call))
      NodeDriver.apply(notice->Document, now);
    else
      Admin.answers().push(
          {query.Id,
           AdminQueryHandler{Self.Vm, NodeDriver, Counters, now}.answer(
               query)});
  }

  void on(LinkLost &lost, Time now) { NodeDriver.on(lost, now); }

  VmSettings Settings;
  RecordMember Self;
  OwnershipParameters Parameters;
  ControlCounters Counters;
  std::atomic<bool> IsReady{false};
  std::atomic<bool> IsLeaving{false};
  bool IsLeaveReported = false;
  WorkerSystem System;
  StoreClient Store;
  GrantOrderClient Orders;
  LinkManager Links;
  ControlNodeDriver NodeDriver;
  OwnershipDriver Ownership;
  ControllerMetrics Metrics{Counters};
  HomeLeaseDriver Homes;
  CrashReportForwarder CrashReports{Links};
  /// Services whose ownership record this process created; no earlier process
  /// can have leased homes for them.
  std::set<ServiceId> ServicesCreatedHere;
  AdminServer Admin;
  std::optional<WorkerThread> DecisionThread;
};

ControllerProcess::ControllerProcess(VmSettings settings)
    : Impl(std::make_unique<ControllerProcessImpl>(std::move(settings))) {}

ControllerProcess::~ControllerProcess() = default;

absl::Status ControllerProcess::start() { return Impl->start(); }

void ControllerProcess::stop() { Impl->stop(); }

} // namespace waxwing
