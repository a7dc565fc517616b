/**
 * @file limit_permits.h
 * Divides the limit that an upstream named among all VMs.
 *
 * For each upstream, one VM is in charge: it gives permits, at the rate of the
 * limit, to the VMs that ask. A request needs a permit to be sent, so the sum
 * over all VMs stays within the limit however many there are and whichever of
 * them have callers. All VMs find the one in charge by rendezvous hashing over
 * the list of VMs, without a leader. If it does not answer, a VM uses a small
 * fixed share of its own for a while.
 */
#ifndef WAXWING_ROUTING_LIMIT_PERMITS_H
#define WAXWING_ROUTING_LIMIT_PERMITS_H

#include "routing/cold_share.h"
#include "routing/leaving_upstreams.h"
#include "routing/sliding_window_counter.h"

namespace waxwing {

/// Time window in which upstreams judge whether their limit is kept.
inline constexpr Duration LimitWindow = seconds(4);
/// A permit must be used within this time after it arrived.
inline constexpr Duration PermitLifetime = milliseconds(250);

/// Answer of the VM in charge to one VM that asked for a permit.
struct PermitAnswer {
  bool IsGranted = false;
  Duration RetryAfter{}; ///< time until a permit may be there, if not granted

  bool operator==(const PermitAnswer &) const = default;
};

/// Gives the permits of the upstreams that this VM is in charge of.
/// Invariant: in any time t, an upstream's permits stay below
/// t x limit + limit / 2 + 2, and those of a new process or of a VM that has
/// just taken charge below t x limit + 1.
class PermitIssuer {
public:
  /// @param perS limit of the process, requests/s
  PermitAnswer issue(const UpstreamProcess &process, double perS, Time now);

private:
  struct Bucket {
    std::int64_t StartedAtMs = 0;
    double Permits = 0; ///< as of FilledAt
    Time FilledAt;
  };

  /// Invariant: at most MaxBuckets.
  std::map<UpstreamId, Bucket> Buckets;
};

/// @return the VM in charge of the permits of @p upstream; @p vms is not empty
const VmId &vmInCharge(const UpstreamId &upstream,
                       const std::vector<VmId> &vms);

/// The permits that this VM has or has asked for.
class PermitHolder {
public:
  /// Whether a request may be sent to an upstream.
  enum class State : std::uint8_t {
    Available, ///< call use() when the request is sent
    Ask,       ///< call onAsked() and ask the VM in charge
    Asked,     ///< an answer is expected
    Denied,    ///< there is none before nextTryAt()
  };

  explicit PermitHolder(VmId self) : Self(std::move(self)) {}

  State state(const UpstreamProcess &process, double perS,
              const std::vector<VmId> &vms, Time now);
  void onAsked(const UpstreamProcess &process, Time now);
  void onAnswer(const UpstreamProcess &process, const PermitAnswer &answer,
                Time now);
  /// Counts a request that is being sent.
  void use(const UpstreamProcess &process, Time now);
  /// @return when it is worth asking again; not after @p now unless denied
  Time nextTryAt(const UpstreamId &id) const;
  /// @return requests that this VM sent to limited upstreams in the last
  ///   LimitWindow
  int recentSends(Time now);
  /// @return number of asks without an answer in time
  std::uint64_t unansweredCount() const { return UnansweredCount; }
  std::uint64_t deniedCount() const { return DeniedCount; }

private:
  struct Account {
    std::int64_t StartedAtMs = 0;
    bool HasPermit = false;
    Time PermitUntil; ///< valid if HasPermit
    Time AnswerDueAt; ///< Time() if no answer is expected
    Time DeniedUntil;
    int Unanswered = 0; ///< consecutive asks without an answer
    Time OwnShareUntil; ///< no VM is asked before; the fixed share applies
    SlidingWindowCounter Sends{LimitWindow};
  };

  Account &account(const UpstreamProcess &process);

  VmId Self;
  /// Invariant: at most MaxAccounts.
  std::map<UpstreamId, Account> Accounts;
  std::uint64_t UnansweredCount = 0;
  std::uint64_t DeniedCount = 0;
};

} // namespace waxwing

#endif
