/**
 * @file store_base.h
 * State of the store stand-in: keys with revisions, and what it is told to
 * do wrong.
 */
#ifndef WAXWING_STANDIN_STORE_BASE_H
#define WAXWING_STANDIN_STORE_BASE_H

#include "core/id_type.h"
#include "core/time_type.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {

/// A lease of the store; keys written under it vanish when it ends.
using LeaseId = StrongId<struct LeaseTag, std::uint64_t>;

/// A value of the store.
struct StoredValue {
  Revision Rev;
  std::string Value;
  LeaseId Lease;         ///< 0: none
  bool IsAbsent = false; ///< its lease ended; Rev is that of the end
};

/// Calls counted since start; a waiting watch is one.
struct StoreCallCounts {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Watches = 0;
};

/// Faults that a test asks for.
struct StoreFaults {
  bool IsDown = false;             ///< no call is answered
  Duration Delay{};                ///< each answer waits as long
  std::uint64_t AnswersToLose = 0; ///< next writes take effect unanswered
};

/// Invariant: LastRevision is the greatest revision of all values.
class StoreState {
public:
  /// @return the value, Rev 0 when absent
  StoredValue get(const std::string &key) const;
  /// @param lease that the value ends with, 0 for none
  /// @return whether the write took place; @p current is the key's revision
  ///   after the call
  bool compareAndSwap(const std::string &key, Revision expected,
                      std::string value, Revision &current,
                      LeaseId lease = LeaseId());
  LeaseId grantLease(Duration term, Time now);
  /// @return false when the lease has ended
  bool renewLease(LeaseId lease, Duration term, Time now);
  /// Ends the leases whose time is over.
  /// @return whether a key vanished
  bool endLeases(Time now);
  /// Ends all leases under their holders, as a test asks.
  bool lapseLeases();
  /// @return entries under @p prefix with a revision above @p after, as the
  ///   CBOR body of /list and /watch
  std::string encodeEntries(const std::string &prefix, Revision after) const;
  /// @return whether anything under @p prefix is newer than @p after
  bool hasNewer(const std::string &prefix, Revision after) const;

  StoreCallCounts Counts;
  StoreFaults Faults;

private:
  bool dropLease(LeaseId lease);

  std::map<std::string, StoredValue> Values;
  std::map<LeaseId, Time> Leases; ///< with their ends
  LeaseId LastLease;
  Revision LastRevision;
};

} // namespace waxwing

#endif
