/**
 * @file store_base.h
 * State of the store stand-in: keys with revisions, leases, call counters,
 * injected faults and restoration from an older copy.
 */
#ifndef WAXWING_STANDIN_STORE_BASE_H
#define WAXWING_STANDIN_STORE_BASE_H

#include "core/id_type.h"
#include "core/store_revision_type.h"
#include "core/time_type.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {

/// Id of a lease; keys bound to the lease are removed when it expires.
using LeaseId = StrongId<struct LeaseTag, std::uint64_t>;

/// Value of a key with its revision.
struct StoredValue {
  Revision Rev;
  std::string Value;
  LeaseId Lease; ///< 0 if not bound to a lease
  /// Whether the key was removed because its lease expired; Rev is then the
  /// revision of the removal.
  bool IsRemoved = false;
};

/// Calls received since the start; a watch counts once, however long it waits.
struct StoreCallCounts {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Watches = 0;
};

/// Faults that the admin port injects into store calls.
struct StoreFaults {
  bool IsDown = false; ///< no call gets a response
  Duration Delay{};    ///< delay added to each response
  /// Number of next writes that take effect, but get no response.
  std::uint64_t ResponsesToDrop = 0;
};

/// Copies of the state that are older than this are dropped.
constexpr Duration MaxStoreCopyAge = seconds(30);

/// Keys, leases and revisions of the store.
/// Invariants: LastRevision is the greatest revision of all values. Copies is
/// ordered by CopiedAt. Epoch never decreases.
class StoreState {
public:
  /// @return the value; Rev is 0 if the key doesn't exist
  StoredValue get(const std::string &key) const;
  /// Writes the value if the key's revision is @p expected and the lease
  /// exists.
  /// @param current receives the key's revision after the call
  /// @param lease the value is removed when this lease expires; 0 for none
  /// @return whether the value was written
  bool compareAndSwap(const std::string &key, Revision expected,
                      std::string value, Revision &current,
                      LeaseId lease = LeaseId());
  LeaseId grantLease(Duration term, Time now);
  /// @return false when the lease has expired
  bool renewLease(LeaseId lease, Duration term, Time now);
  /// Removes the leases that have expired at @p now, with their keys.
  /// @return whether a key was removed
  bool expireLeases(Time now);
  /// Expires all leases at once, although their holders still renew them.
  /// @return whether a key was removed
  bool expireAllLeases();
  /// @return the keys under @p prefix with a revision above @p after, encoded
  ///   as the CBOR response body of /list and /watch
  std::string encodeEntries(const std::string &prefix, Revision after) const;
  /// @return whether a key under @p prefix was written or removed after
  ///   revision @p after
  bool hasNewerEntry(const std::string &prefix, Revision after) const;

  /// Copies the state for a later restoration and drops copies that are older
  /// than MaxStoreCopyAge.
  void keepCopy(Time now);
  /// Replaces the state by the newest copy that is at least @p age old, and
  /// begins the next epoch. Everything written since is gone, leases too;
  /// leases of the copy have the time left that they had then. Revisions and
  /// lease ids are counted again from the copy.
  /// @return false without such a copy; the state is then unchanged
  bool restore(Duration age, Time now);
  /// @return number of restorations so far
  StoreEpoch epoch() const { return Epoch; }
  /// @return whether revision @p after is one that this store does not have, so
  ///   that changes since then cannot be listed
  bool isUnknownRevision(Revision after) const { return after > LastRevision; }

  StoreCallCounts Counts;
  StoreFaults Faults;

private:
  /// State as it was at CopiedAt.
  struct Copy {
    Time CopiedAt;
    std::map<std::string, StoredValue> Values;
    std::map<LeaseId, Time> Leases;
    LeaseId LastLease;
    Revision LastRevision;
  };

  bool expireLease(LeaseId lease);

  std::map<std::string, StoredValue> Values;
  std::map<LeaseId, Time> Leases; ///< expiry by lease
  LeaseId LastLease;
  Revision LastRevision;
  StoreEpoch Epoch = 0;
  std::deque<Copy> Copies;
};

} // namespace waxwing

#endif
