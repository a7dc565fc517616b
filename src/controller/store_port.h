/**
 * @file store_port.h
 * The duty that speaks to the platform: ownership records, teams'
 * documents and the list of VMs.
 */
#ifndef WAXWING_CONTROLLER_STORE_PORT_H
#define WAXWING_CONTROLLER_STORE_PORT_H

#include "config/team_config_base.h"
#include "core/bounded_ring.h"
#include "membership/vm_list_type.h"
#include "ownership/ownership_leader_type.h"
#include "store/counting_store.h"
#include "store/http_store.h"

namespace waxwing {

/// A read or write of one service's record, as its state machine asks.
struct RecordRequest {
  ServiceId Service;
  std::variant<ReadRecord, WriteRecord> Action;
};

/// Answer to a RecordRequest.
struct RecordResult {
  ServiceId Service;
  std::variant<RecordRead, RecordWritten> Event;
};

/// A list of all documents, or a wait for changes, ended.
struct DocumentsRead {
  bool IsAnswered = false; ///< false: the store did not answer
  std::vector<TeamDocument> Documents;
};

/// The platform's list of VMs, which lags.
struct VmListRead {
  std::vector<ListedVm> Vms;
};

/// Begin or end to watch documents.
struct WatchRequest {
  bool IsWanted = false;
};

using StoreEvent = std::variant<RecordResult, DocumentsRead, VmListRead>;

/// Waiting events and requests at most.
constexpr std::size_t StoreRingCapacity = 4096;

/// Used on its own thread, but for requests() and watching().
class StorePort {
public:
  /// @param counters outlives this object
  /// @param wakeDecisions called when events wait
  StorePort(const Endpoint &store, Duration timeout, Endpoint vmList,
            ControlCounters &counters, std::function<void()> wakeDecisions);

  /// Begins to poll the VM list.
  void start();
  /// Filled by the decisions.
  BoundedRing<RecordRequest> &requests() { return Requests; }
  /// Filled by the decisions.
  BoundedRing<WatchRequest> &watching() { return Watching; }
  /// Consumed by the decisions.
  BoundedRing<StoreEvent> &events() { return Events; }
  void stop() { Io.stop(); }

private:
  void carryOut(const ServiceId &service, const ReadRecord &action);
  void carryOut(const ServiceId &service, const WriteRecord &action);
  void carryOut(const WatchRequest &request);
  void listDocuments();
  void watchDocuments();
  void takeDocuments(std::uint64_t watch, StoreListResult result);
  void pollVmList();

  IoThread Io{"store"};
  HttpStore Platform;
  CountingStore Store; ///< Platform, counted
  HttpClient VmListClient;
  Endpoint VmList;
  Duration Timeout;
  BoundedRing<RecordRequest> Requests;
  BoundedRing<WatchRequest> Watching;
  BoundedRing<StoreEvent> Events;
  bool IsWatching = false;
  std::uint64_t Watch = 0; ///< number of the present watch
  Revision SeenUpto;       ///< documents up to this revision were taken
};

} // namespace waxwing

#endif
