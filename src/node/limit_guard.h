/**
 * @file limit_guard.h
 * Keeps to the limits that upstreams name, together with the other VMs.
 */
#ifndef WAXWING_NODE_LIMIT_GUARD_H
#define WAXWING_NODE_LIMIT_GUARD_H

#include "node/node_clock.h"
#include "peers/peer_message_type.h"
#include "routing/limit_permits.h"
#include "routing/upstream_table.h"

#include <functional>

namespace waxwing {

/// Records the limits, obtains the permits for this VM's requests, and gives
/// those of the upstreams that this VM is in charge of.
class LimitGuard {
public:
  LimitGuard(UpstreamTable &upstreams, const VmId &self);

  void setVms(std::vector<VmId> vms) { Vms = std::move(vms); }
  /// A response of @p process named the limit @p perS in requests/s, or none.
  void onNamed(const UpstreamProcess &process, std::optional<double> perS,
               Time now);
  /// Adds what another VM knows.
  void onNotices(const std::vector<LimitNotice> &notices, Time now);

  /// @return true if a request may be sent to @p upstream now
  bool hasPermit(const Upstream &upstream, Time now);
  /// Asks for a permit if there is none.
  /// @return hasPermit()
  bool obtainPermit(const Upstream &upstream, Time now);
  /// Counts a request that is being sent to @p upstream.
  void onSending(const Upstream &upstream, Time now);
  /// @return when it is worth trying again to send to @p upstream, which has no
  ///   permit; not after the present if an answer is expected
  Time nextTryAt(const Upstream &upstream) const {
    return Holder.nextTryAt(upstream.Entry.Id);
  }
  /// @return requests that @p upstream can process at a time within its limit
  ///   and its slots
  /// @param typicalProcessingTime of the service's requests; 0 if not known
  double usableSlots(const Upstream &upstream,
                     Duration typicalProcessingTime) const;

  /// Answers a VM that takes this one for the VM in charge.
  PeerPermitAnswer answer(const PeerPermitAsk &ask, Time now);
  void onAnswer(const PeerPermitAnswer &answer, Time now);

  std::size_t limitedCount() const { return Upstreams.limits().limitedCount(); }
  std::uint64_t grantedCount() const { return GrantedCount; }
  std::uint64_t deniedCount() const { return Holder.deniedCount(); }
  std::uint64_t unansweredCount() const { return Holder.unansweredCount(); }
  /// @return this VM's share of the requests in the last LimitWindow
  int recentSends(Time now) { return Holder.recentSends(now); }

  /// Called when a permit is to be asked for from another VM.
  std::function<void(const VmId &, const PeerPermitAsk &)> OnAsk;
  /// Called with the service of an upstream when an answer has arrived.
  std::function<void(const ServiceId &)> OnAnswered;
  /// Called when a limit has changed.
  std::function<void()> OnLimitsChanged;

private:
  std::optional<double> limitOf(const Upstream &upstream) const {
    return Upstreams.limitOf(upstream);
  }
  void record(const UpstreamProcess &process, std::optional<double> perS,
              Time at, std::string_view source, Time now);

  UpstreamTable &Upstreams;
  VmId Self;
  std::vector<VmId> Vms; ///< not empty
  PermitHolder Holder;
  PermitIssuer Issuer;
  std::uint64_t GrantedCount = 0; ///< permits given to VMs, this one included
};

} // namespace waxwing

#endif
