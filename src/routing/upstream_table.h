/**
 * @file upstream_table.h
 * The upstreams known to this VM, and the choice of one for a request.
 */
#ifndef WAXWING_ROUTING_UPSTREAM_TABLE_H
#define WAXWING_ROUTING_UPSTREAM_TABLE_H

#include "routing/cold_share.h"
#include "routing/leaving_upstreams.h"
#include "routing/upstream_limits.h"
#include "routing/upstream_load_base.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace waxwing {

/// An upstream with this VM's estimates of its load. It is cold, and may
/// receive few requests, until its warm-up ends.
struct Upstream {
  UpstreamEntry Entry;
  UpstreamLoad Load;
  std::uint64_t EntryRevision = 0; ///< store revision of Entry
  bool IsListed = true;            ///< its entry is in the platform's store
  /// Another process answered at its address. Invariant: false after its entry
  /// has changed, since only the process itself writes that.
  bool IsMisaddressed = false;
  /// The process asked for no requests before this time. Unlike the backoff of
  /// Load, no response ends it.
  Time PausedUntil;
  Time UnlistedAt; ///< when the entry was removed; valid while !IsListed
  Time ColdUntil;  ///< end of the warm-up; ColdShare applies until then
  /// Requests that this VM sent in the last second; limited to ColdShare while
  /// the upstream is cold.
  SlidingWindowCounter RecentSends{seconds(1)};
  int ColdShare = 0; ///< requests/s that this VM may send to it while cold
  /// UpstreamChoiceContext::VmsVersion for which ColdShare was computed.
  std::uint64_t ColdShareVersion = 0;
};

/// Longest pause that an upstream can ask for at a time.
inline constexpr Duration MaxUpstreamPause = seconds(600);

/// Inputs of the choice of an upstream that are the same for many requests.
struct UpstreamChoiceContext {
  DomainId OwnDomain;
  VmId Self;
  std::vector<VmId> Vms;
  std::uint64_t VmsVersion = 1; ///< incremented when Vms changes
  ColdLimits Cold;
};

/// Requirements of one request on the choice of an upstream.
struct UpstreamChoiceRequest {
  ServiceId Service;
  std::optional<UpstreamId> RequiredUpstream; ///< owner of the request's key
  std::set<UpstreamId> TriedUpstreams; ///< not chosen again, unless required
  bool PrefersOwnDomain = false;       ///< true when the response is large
  /// @return true when an open, idle connection to the address exists
  std::function<bool(const Endpoint &)> HasConnection;
  /// @return true if an upstream that named a limit may get the request now; if
  ///   not set, all may
  std::function<bool(const Upstream &)> HasPermit;
};

/// Result of the choice of an upstream for a request.
struct UpstreamChoice {
  Upstream *Chosen = nullptr; ///< nullptr when no upstream can take the request
  bool IsAnyUsable = false;   ///< some upstream may be able to take it later
  /// Upstream that might be chosen if it had a permit, or nullptr.
  Upstream *WithoutPermit = nullptr;
  /// First end of a pause, if all usable upstreams are paused; else Time().
  Time PausedUntil;
};

/// Totals over the usable upstreams of one service.
struct ServiceSummary {
  int Slots = 0;                    ///< sum over the usable upstreams
  Duration TypicalProcessingTime{}; ///< mean at normal speed; 0 while unknown
};

/// Holds all upstreams and chooses among those of a service.
class UpstreamTable {
public:
  /// Adds or updates an upstream from its entry in the platform's store.
  /// @param revision store revision of the entry
  /// @return the upstream
  Upstream &apply(const UpstreamEntry &entry, std::uint64_t revision, Time now);
  /// Records that the entry of @p id was removed from the store.
  void markUnlisted(const UpstreamId &id, Time now);
  /// Records that another process uses the address of @p id, unless it was
  /// started anew since @p startedAtMs.
  /// @return true if that was not known
  bool markMisaddressed(const UpstreamId &id, std::int64_t startedAtMs);
  /// Records that the process of @p id that was started at @p startedAtMs wants
  /// no requests for @p pause, which is limited to MaxUpstreamPause.
  /// @return the end of the pause; nullopt if that process is not the present
  ///   one or is paused for longer already
  std::optional<Time> pause(const UpstreamId &id, std::int64_t startedAtMs,
                            std::chrono::duration<double> pause, Time now);
  /// Upstream processes that announced in a response that they leave.
  LeavingUpstreams &leaving() { return Leaving; }
  const LeavingUpstreams &leaving() const { return Leaving; }
  /// Limits that upstream processes named in responses.
  UpstreamLimits &limits() { return Limits; }
  const UpstreamLimits &limits() const { return Limits; }
  /// @return limit of the present process in requests/s, if it has one
  std::optional<double> limitOf(const Upstream &upstream) const {
    return Limits.find(upstream.Entry.Id, upstream.Entry.StartedAtMs);
  }
  /// @return true if the present process of @p id announced that it leaves
  bool isLeaving(const UpstreamId &id) const;
  /// @return the last leaving processes that may still run, up to @p maxCount
  std::vector<UpstreamProcess> newestLeaving(std::size_t maxCount) const;
  /// @return a listed upstream other than @p id with this address, or nullptr
  const Upstream *findOtherAt(const Endpoint &address,
                              const UpstreamId &id) const;
  /// Removes upstreams that were unlisted before @p before and have no
  /// outstanding requests.
  /// @return ids of the removed upstreams
  std::vector<UpstreamId> removeUnlisted(Time before);

  /// Sets the failure domains that are taken out.
  void setEvacuatedDomains(std::set<DomainId> domains) {
    Evacuated = std::move(domains);
  }
  const std::set<DomainId> &evacuated() const { return Evacuated; }
  /// Treats all upstreams of @p domain as cold, since they may have become cold
  /// while the domain received no requests.
  void markDomainCold(const DomainId &domain,
                      const std::map<ServiceId, ServiceRules> &rules, Time now);

  /// @return true when new requests may go to @p upstream
  bool isUsable(const Upstream &upstream) const {
    return isInService(upstream) && !isLeaving(upstream);
  }
  /// @return true if the entry of @p process was removed or says that it leaves
  bool hasLeft(const UpstreamProcess &process) const;
  /// @return true if the keys of owner @p id, which is not usable, may get
  ///   another owner soon. An owner that has been gone for longer may hold its
  ///   keys until its grants expire.
  bool mayMoveSoon(const UpstreamId &id, Time now);
  /// Chooses the upstream for a request.
  /// @param draw random number that selects among equally good upstreams
  UpstreamChoice choose(const UpstreamChoiceRequest &request,
                        const UpstreamChoiceContext &context,
                        const std::map<ServiceId, ServiceRules> &rules,
                        Time now, std::uint64_t draw);
  ServiceSummary summarizeService(const ServiceId &service);
  /// Counts a request that this VM is sending to @p upstream.
  void countSentRequest(Upstream &upstream, Time now);
  /// Records the outcome of an attempt, which took @p latency. Connections that
  /// failed while this VM had lost its links do not count.
  void onAttemptEnd(const UpstreamId &id, AttemptOutcome end, Duration latency,
                    Time now);
  /// This VM has lost its links to all upstreams, or has them again.
  void setLinksWorking(bool isWorking, Time now);

  Upstream *find(const UpstreamId &id);
  const Upstream *find(const UpstreamId &id) const;
  std::map<UpstreamId, Upstream> &all() { return Upstreams; }
  const std::map<UpstreamId, Upstream> &all() const { return Upstreams; }

private:
  /// @return isUsable() without regard to what the upstream said in responses
  bool isInService(const Upstream &upstream) const;
  bool isLeaving(const Upstream &upstream) const {
    return Leaving.contains(upstream.Entry.Id, upstream.Entry.StartedAtMs);
  }
  /// @return true while @p upstream leaves and may receive requests that no
  ///   usable upstream can serve
  bool mayServeLastRequests(const Upstream &upstream, Time now) const;
  /// @return true when @p upstream may receive one more request now
  bool canReceiveRequest(Upstream &upstream,
                         const UpstreamChoiceContext &context,
                         const ServiceRules &rules, Time now) const;

  std::map<UpstreamId, Upstream> Upstreams;
  std::map<ServiceId, std::set<UpstreamId>> ByService;
  std::set<DomainId> Evacuated;
  LeavingUpstreams Leaving;
  UpstreamLimits Limits;
  bool AreLinksWorking = true;
  Time LinksBackAt; ///< end of the last loss of this VM's links
};

} // namespace waxwing

#endif
