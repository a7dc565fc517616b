/**
 * @file store_client.h
 * Accesses the platform's store for ownership records and teams' documents, and
 * polls its list of VMs, on its own thread.
 */
#ifndef WAXWING_CONTROLLER_STORE_CLIENT_H
#define WAXWING_CONTROLLER_STORE_CLIENT_H

#include "config/team_config_base.h"
#include "core/bounded_ring.h"
#include "membership/vm_list_type.h"
#include "ownership/ownership_leader_type.h"
#include "store/counting_store.h"
#include "store/http_store.h"

namespace waxwing {

/// Reads or writes the ownership record of one service.
struct RecordStoreRequest {
  ServiceId Service;
  std::variant<ReadRecord, WriteRecord> Action;
};

/// Result of a RecordStoreRequest.
struct RecordStoreResult {
  ServiceId Service;
  std::variant<RecordRead, RecordWritten> Event;
};

/// The store answered, or failed to answer, a request to list all documents or
/// to wait for changed documents.
struct DocumentsRead {
  bool IsAnswered = false; ///< false if the store did not answer
  std::vector<TeamDocument> Documents;
};

/// The platform's list of VMs; it may be out of date.
struct VmListRead {
  std::vector<ListedVm> Vms;
};

/// Starts or stops watching the store's team documents.
struct DocumentWatchRequest {
  bool IsWanted = false;
};

/// Writes a team document over the copy of a restored store. If it succeeds,
/// the document is in a DocumentsRead event with its new revision.
struct DocumentWriteRequest {
  TeamDocument Document;
  Revision Expected; ///< revision of the copy
};

using DocumentStoreRequest =
    std::variant<DocumentWatchRequest, DocumentWriteRequest>;

using StoreEvent = std::variant<RecordStoreResult, DocumentsRead, VmListRead>;

/// Capacity of the request ring and of the event ring.
constexpr std::size_t StoreRingCapacity = 4096;

/// Client of the platform's store and VM list. Runs on its own thread; only
/// requests() and documentRequests() may be used from the decision thread.
class StoreClient {
public:
  /// @param counters must outlive this object
  /// @param wakeDecisionThread called after an event was pushed to events()
  StoreClient(const Endpoint &store, Duration timeout, Endpoint vmList,
              ControlCounters &counters,
              std::function<void()> wakeDecisionThread);

  /// Starts polling the VM list.
  void start();
  /// Filled by the decision thread.
  BoundedRing<RecordStoreRequest> &requests() { return Requests; }
  /// Filled by the decision thread.
  BoundedRing<DocumentStoreRequest> &documentRequests() {
    return DocumentRequests;
  }
  /// Consumed by the decision thread.
  BoundedRing<StoreEvent> &events() { return Events; }
  void stop() { Io.stop(); }

private:
  void execute(const ServiceId &service, const ReadRecord &action);
  void execute(const ServiceId &service, const WriteRecord &action);
  void execute(const DocumentWatchRequest &request);
  void execute(const DocumentWriteRequest &request);
  void listDocuments();
  void watchDocuments();
  void handleDocuments(std::uint64_t watch, StoreListResult result);
  void pollVmList();

  IoThread Io{"store"};
  HttpStore Platform;
  CountingStore Store; ///< wraps Platform and counts its calls
  HttpClient VmListClient;
  Endpoint VmList;
  Duration Timeout;
  BoundedRing<RecordStoreRequest> Requests;
  BoundedRing<DocumentStoreRequest> DocumentRequests;
  BoundedRing<StoreEvent> Events;
  bool IsWatching = false;
  std::uint64_t CurrentWatchId = 0; ///< identifies the current watch
  /// All documents up to this store revision were passed to events().
  Revision SeenRevision;
};

} // namespace waxwing

#endif
