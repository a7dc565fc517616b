/**
 * @file routing_state.h
 * What this VM believes of upstreams, failure domains and the configuration,
 * derived from the changes of the store's keys. A store that is restored from
 * an older copy shows again what was known before; that must not take back what
 * this VM has learned since.
 */
#ifndef WAXWING_ROUTING_ROUTING_STATE_H
#define WAXWING_ROUTING_ROUTING_STATE_H

#include "core/store_revision_type.h"
#include "routing/route_table.h"
#include "routing/upstream_table.h"
#include "table/change_stages.h"

#include <memory>
#include <optional>
#include <string_view>

namespace waxwing {

/// How a change of the store's state reached this VM.
enum class ChangeOrigin : std::uint8_t {
  FirstLoad, ///< first load of this process; it knows nothing older
  Reload,    ///< load of a restored store; may be older than what is known
  Written,   ///< written after the last of these loads
};

/// What became of a change.
enum class ChangeResult : std::uint8_t {
  Applied,
  Deferred, ///< counts later, unless another change of the key comes first
  Ignored,  ///< older than what is known, or nothing new
};

/// @return name of @p result in the log
std::string_view changeResultName(ChangeResult result);

/// Why an upstream has no valid entry.
enum class EntryLoss : std::uint8_t {
  Removed,    ///< the key was removed or expired
  Unreadable, ///< the value is not an entry
};

/// The store as seen by this VM.
struct StoreAvailability {
  bool IsUnavailable = false;
  Time RecoveredAt; ///< end of its last outage; Time() if there was none
};

/// Changes that applyDue() applied.
struct DueChanges {
  struct Removal {
    UpstreamId Id;
    StoreRevision Revision = 0; ///< of the removal
  };
  struct DomainChange {
    DomainId Domain;
    bool IsEvacuated = false;
  };
  std::vector<Removal> Removals;
  std::vector<UpstreamId> ListedAgain;
  std::vector<DomainChange> Domains;

  bool isEmpty() const {
    return Removals.empty() && ListedAgain.empty() && Domains.empty();
  }
};

/// Decides which changes count, and when.
class RoutingState {
public:
  explicit RoutingState(UpstreamTable &upstreams) : Upstreams(upstreams) {}

  ChangeResult onUpstreamEntry(UpstreamEntry entry, StoreRevision revision,
                               ChangeOrigin origin, Time now);
  ChangeResult onUpstreamLoss(const UpstreamId &id, EntryLoss loss,
                              StoreRevision revision, ChangeOrigin origin,
                              const StoreAvailability &store, Time now);
  ChangeResult onDomainChange(const DomainId &domain, bool isEvacuated,
                              ChangeOrigin origin, Time now);
  /// @return Applied if config() changed
  ChangeResult onConfig(TrafficConfig config, ChangeOrigin origin);

  /// @return when to call applyDue() next; Time::max() if nothing is deferred
  Time nextDueAt(const StoreAvailability &store, Time now) const;
  /// Applies the deferred changes whose time has come.
  DueChanges applyDue(const StoreAvailability &store, Time now);

  /// @return the configuration in force; nullptr before the first one
  const std::shared_ptr<const RouteTable> &config() const { return Config; }

private:
  /// The newest process of an upstream id that this VM has seen.
  struct KnownProcess {
    std::int64_t StartedAtMs = 0;
    std::uint64_t Sequence = 0;
    bool IsDraining = false;
    bool IsListed = false;
  };
  struct RemovedProcess {
    KnownProcess Process; ///< not listed
    Time RemovedAt;
  };
  /// An entry that the store lists although the VM knows better.
  struct HeldEntry {
    UpstreamEntry Entry;
    StoreRevision Revision = 0;
    Time SeenAt;
  };

  std::optional<KnownProcess> findKnown(const UpstreamId &id, Time now) const;
  /// @return true if @p entry is not proven to be newer than what is known
  static bool isOutdated(const UpstreamEntry &entry, ChangeOrigin origin,
                         const KnownProcess &known);
  /// Takes an upstream out of use and remembers its process.
  /// @return false if it was not listed
  bool unlist(const UpstreamId &id, Time now);
  void list(const UpstreamEntry &entry, StoreRevision revision, Time now);
  void setDomainEvacuated(const DomainId &domain, bool isEvacuated, Time now);

  UpstreamTable &Upstreams;
  std::shared_ptr<const RouteTable> Config;
  /// Upstreams whose removal was deferred, and the store revision of each
  /// removal.
  std::map<UpstreamId, StoreRevision> DeferredRemovals;
  /// Domains whose state in a restored store differs from the known one, and
  /// whether they are taken out there.
  std::map<DomainId, bool> DeferredDomains;
  std::map<UpstreamId, HeldEntry> HeldEntries;
  /// Invariant: has no upstream that is listed.
  std::map<UpstreamId, RemovedProcess> RemovedProcesses;
};

} // namespace waxwing

#endif
