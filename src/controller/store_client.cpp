/**
 * @file store_client.cpp
 * Executes store calls and polls the VM list.
 */
#include "controller/store_client.h"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace waxwing {
namespace {

constexpr std::string_view DocumentPrefix = "/teams/";
constexpr std::string_view RecordPrefix = "/ownership/";
constexpr Duration WatchTimeout = seconds(10);
constexpr Duration WatchRetryPeriod = milliseconds(500);
/// Each VM polls the VM list with a period of VmListPeriod, or of
/// VmListPeriodPerVm times the number of VMs if that is longer, which bounds
/// the load on the platform.
constexpr Duration VmListPeriod = seconds(1);
constexpr Duration VmListPeriodPerVm = milliseconds(50);
constexpr std::size_t DocumentRingCapacity = 256;

std::string recordKey(const ServiceId &service) {
  return std::string(RecordPrefix) + service.Value;
}

WriteOutcome toWriteOutcome(StoreStatus status) {
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
                   result.Entry.Rev, std::nullopt, result.Epoch};
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

StoreClient::StoreClient(const Endpoint &store, Duration timeout,
                         Endpoint vmList, ControlCounters &counters,
                         std::function<void()> wakeDecisionThread)
    : Platform(Io, store, timeout), Store(Platform, counters),
      VmListClient(Io, 1), VmList(std::move(vmList)), Timeout(timeout),
      Requests(
          StoreRingCapacity,
          [this] {
            Io.post([this] {
              Requests.drain([this](RecordStoreRequest &&it) {
                std::visit(
                    [&](const auto &action) { execute(it.Service, action); },
                    it.Action);
              });
            });
          }),
      DocumentRequests(
          DocumentRingCapacity,
          [this] {
            Io.post([this] {
              DocumentRequests.drain([this](DocumentStoreRequest &&it) {
                std::visit([this](const auto &request) { execute(request); },
                           it);
              });
            });
          }),
      Events(StoreRingCapacity, std::move(wakeDecisionThread)) {}

void StoreClient::start() {
  if (VmList.Port != 0)
    Io.post([this] { pollVmList(); });
}

void StoreClient::execute(const ServiceId &service, const ReadRecord &action) {
  Store.get(recordKey(service), [this, service, op = action.Operation](
                                    const StoreGetResult &result) {
    Events.push(RecordStoreResult{service, toRecordRead(op, result)});
  });
}

void StoreClient::execute(const ServiceId &service, const WriteRecord &action) {
  Store.compareAndSwap(
      recordKey(service), action.Expected, encodeRecord(action.Record),
      [this, service, op = action.Operation](StorePutResult result) {
        Events.push(RecordStoreResult{
            service,
            RecordWritten{op, toWriteOutcome(result.Status), result.Rev}});
      });
}

void StoreClient::execute(const DocumentWatchRequest &request) {
  if (IsWatching == request.IsWanted)
    return;
  IsWatching = request.IsWanted;
  ++CurrentWatchId;
  if (IsWatching)
    listDocuments();
}

void StoreClient::execute(const DocumentWriteRequest &request) {
  Store.compareAndSwap(
      std::string(DocumentPrefix) + request.Document.Team.Value,
      request.Expected, request.Document.Text,
      [this, request](StorePutResult result) {
        if (result.Status == StoreStatus::Conflict)
          return; // a newer document is there, which the watch shows
        if (result.Status == StoreStatus::Unanswered)
          return Io.runAt(readClock() + WatchRetryPeriod, [this, request] {
            if (IsWatching)
              execute(request);
          });
        TeamDocument document = request.Document;
        document.Rev = result.Rev;
        if (!Events.push(DocumentsRead{true, {std::move(document)}}))
          spdlog::warn("the event ring is full; the watch shows the document "
                       "of {}",
                       request.Document.Team.Value);
      });
}

void StoreClient::listDocuments() {
  SeenRevision = Revision();
  Store.list(std::string(DocumentPrefix),
             [this, watch = CurrentWatchId](StoreListResult result) {
               handleDocuments(watch, std::move(result));
             });
}

void StoreClient::watchDocuments() {
  Store.watch(std::string(DocumentPrefix), SeenRevision, WatchTimeout,
              [this, watch = CurrentWatchId](StoreListResult result) {
                handleDocuments(watch, std::move(result));
              });
}

void StoreClient::handleDocuments(std::uint64_t watch, StoreListResult result) {
  if (watch != CurrentWatchId || !IsWatching)
    return; // result of an earlier watch
  DocumentsRead read{result.Status == StoreStatus::Done, {}};
  for (StoreEntry &entry : result.Entries)
    read.Documents.push_back({TeamId(entry.Key.substr(DocumentPrefix.size())),
                              entry.Rev, std::move(entry.Value)});
  if (result.MustList) {
    spdlog::warn("lists all documents again: the store was restored");
    return listDocuments();
  }
  const bool isAnswered = read.IsAnswered;
  // If the event ring is full, SeenRevision stays unchanged and the documents
  // are read again.
  const bool isTaken = Events.push(std::move(read));
  if (isAnswered && isTaken) {
    SeenRevision = result.AsOfRevision;
    return watchDocuments();
  }
  Io.runAt(readClock() + WatchRetryPeriod, [this, watch] {
    if (watch != CurrentWatchId || !IsWatching)
      return;
    if (SeenRevision == Revision())
      listDocuments();
    else
      watchDocuments();
  });
}

void StoreClient::pollVmList() {
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
