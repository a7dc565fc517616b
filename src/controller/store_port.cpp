/**
 * @file store_port.cpp
 * Calls of the platform for the decisions.
 */
#include "controller/store_port.h"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace waxwing {
namespace {

constexpr std::string_view DocumentPrefix = "/teams/";
constexpr std::string_view RecordPrefix = "/ownership/";
constexpr Duration WatchWait = seconds(10);
constexpr Duration WatchRetryPeriod = milliseconds(500);
/// The list is polled by each VM, the more rarely the more VMs there are.
constexpr Duration VmListPeriod = seconds(1);
constexpr Duration VmListPeriodPerVm = milliseconds(50);
constexpr std::size_t WatchRingCapacity = 64;

std::string recordKey(const ServiceId &service) {
  return std::string(RecordPrefix) + service.Value;
}

WriteOutcome toOutcome(StoreStatus status) {
  switch (status) {
  case StoreStatus::Done:
    return WriteOutcome::Applied;
  case StoreStatus::Conflict:
    return WriteOutcome::Conflict;
  case StoreStatus::Unanswered:
    return WriteOutcome::Unknown;
  }
  return WriteOutcome::Unknown;
}

RecordRead toRecordRead(std::uint64_t operation, const StoreGetResult &result) {
  RecordRead event{operation, result.Status == StoreStatus::Done,
                   result.Entry.Rev, std::nullopt};
  if (!event.IsAnswered || result.Entry.Rev == Revision(0))
    return event;
  auto record = decodeRecord(result.Entry.Value);
  if (record.ok())
    event.Record = *std::move(record);
  else
    event.IsAnswered = false;
  return event;
}

} // namespace

StorePort::StorePort(const Endpoint &store, Duration timeout, Endpoint vmList,
                     ControlCounters &counters,
                     std::function<void()> wakeDecisions)
    : Platform(Io, store, timeout), Store(Platform, counters),
      VmListClient(Io, 1), VmList(std::move(vmList)), Timeout(timeout),
      Requests(
          StoreRingCapacity,
          [this] {
            Io.post([this] {
              Requests.drain([this](RecordRequest &&it) {
                std::visit(
                    [&](const auto &action) { carryOut(it.Service, action); },
                    it.Action);
              });
            });
          }),
      Watching(WatchRingCapacity,
               [this] {
                 Io.post([this] {
                   Watching.drain([this](WatchRequest &&it) { carryOut(it); });
                 });
               }),
      Events(StoreRingCapacity, std::move(wakeDecisions)) {}

void StorePort::start() {
  if (VmList.Port != 0)
    Io.post([this] { pollVmList(); });
}

void StorePort::carryOut(const ServiceId &service, const ReadRecord &action) {
  Store.get(recordKey(service), [this, service, op = action.Operation](
                                    const StoreGetResult &result) {
    Events.push(RecordResult{service, toRecordRead(op, result)});
  });
}

void StorePort::carryOut(const ServiceId &service, const WriteRecord &action) {
  Store.compareAndSwap(
      recordKey(service), action.Expected, encodeRecord(action.Record),
      [this, service, op = action.Operation](StorePutResult result) {
        Events.push(RecordResult{
            service, RecordWritten{op, toOutcome(result.Status), result.Rev}});
      });
}

void StorePort::carryOut(const WatchRequest &request) {
  if (IsWatching == request.IsWanted)
    return;
  IsWatching = request.IsWanted;
  ++Watch;
  if (IsWatching)
    listDocuments();
}

void StorePort::listDocuments() {
  SeenUpto = Revision();
  Store.list(std::string(DocumentPrefix),
             [this, watch = Watch](StoreListResult result) {
               takeDocuments(watch, std::move(result));
             });
}

void StorePort::watchDocuments() {
  Store.watch(std::string(DocumentPrefix), SeenUpto, WatchWait,
              [this, watch = Watch](StoreListResult result) {
                takeDocuments(watch, std::move(result));
              });
}

void StorePort::takeDocuments(std::uint64_t watch, StoreListResult result) {
  if (watch != Watch || !IsWatching)
    return; // the watch has ended
  DocumentsRead read{result.Status == StoreStatus::Done, {}};
  for (StoreEntry &entry : result.Entries)
    read.Documents.push_back({TeamId(entry.Key.substr(DocumentPrefix.size())),
                              entry.Rev, std::move(entry.Value)});
  const bool isAnswered = read.IsAnswered;
  // A full ring leaves SeenUpto behind, so the documents come again.
  const bool isTaken = Events.push(std::move(read));
  if (isAnswered && isTaken) {
    SeenUpto = result.AsOfRevision;
    return watchDocuments();
  }
  Io.runAt(readClock() + WatchRetryPeriod, [this, watch] {
    if (watch != Watch || !IsWatching)
      return;
    if (SeenUpto == Revision())
      listDocuments();
    else
      watchDocuments();
  });
}

void StorePort::pollVmList() {
  VmListClient.send(
      VmList, {}, readClock() + Timeout, [this](const HttpOutcome &outcome) {
        Duration period = VmListPeriod;
        if (outcome.Progress == HttpProgress::Answered) {
          auto vms = parseVmList(outcome.Response.Body);
          if (vms.ok()) {
            const auto count = static_cast<std::int64_t>(vms->size());
            period = std::max(period, VmListPeriodPerVm * count);
            Events.push(VmListRead{*std::move(vms)});
          }
        }
        Io.runAt(readClock() + period, [this] { pollVmList(); });
      });
}

} // namespace waxwing
