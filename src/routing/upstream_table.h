/**
 * @file upstream_table.h
 * All upstreams that this VM knows, and the choice among those of a service.
 */
#ifndef WAXWING_ROUTING_UPSTREAM_TABLE_H
#define WAXWING_ROUTING_UPSTREAM_TABLE_H

#include "routing/cold_share.h"
#include "routing/upstream_load_base.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace waxwing {

/// One upstream with all that this VM believes of it.
struct Upstream {
  UpstreamEntry Entry;
  UpstreamLoad Load;
  std::uint64_t EntryRevision = 0; ///< store revision of Entry
  bool IsListed = true;            ///< the platform's list names it
  Time UnlistedAt;                 ///< valid while !IsListed
  Time ColdUntil;                  ///< few requests until then
  SlidingWindowCounter ColdSends{seconds(1)};
  int ColdShare = 0; ///< this VM's requests in a second while it is cold
  std::uint64_t ColdShareVersion = 0; ///< VmsVersion that it is valid for
};

/// Inputs of a choice that change slowly.
struct ChoiceContext {
  DomainId OwnDomain;
  VmId Self;
  std::vector<VmId> Vms;
  std::uint64_t VmsVersion = 1; ///< changes with Vms
  ColdTerms Cold;
};

/// What a request asks of the choice.
struct ChoiceRequest {
  ServiceId Service;
  std::optional<UpstreamId> RequiredUpstream; ///< the owner of its key
  std::set<UpstreamId> TriedUpstreams; ///< only taken when nothing else is left
  bool PrefersOwnDomain = false;       ///< its answer is large
  /// Tells whether a connection to the address is open and idle.
  std::function<bool(const Endpoint &)> HasConnection;
};

/// Outcome of a choice.
struct UpstreamChoice {
  Upstream *Chosen = nullptr; ///< nullptr: none now
  bool IsAnyUsable = false;   ///< some upstream could tryConsume it later
};

/// The usable upstreams of one service together.
struct ServiceSummary {
  int Slots = 0;
  Duration TypicalProcessingTime{}; ///< at usual speed; 0 while unknown
};

class UpstreamTable {
public:
  /// Applies an entry of the list. @return the upstream
  Upstream &apply(const UpstreamEntry &entry, std::uint64_t revision, Time now);
  /// The list names @p id no more.
  void unlist(const UpstreamId &id, Time now);
  /// Forgets upstreams that were unlisted before @p before and are idle.
  std::vector<UpstreamId> removeUnlisted(Time before);

  void setEvacuated(std::set<DomainId> domains) {
    Evacuated = std::move(domains);
  }
  const std::set<DomainId> &evacuated() const { return Evacuated; }
  /// Upstreams of @p domain may have turned cold while it got no requests.
  void markDomainCold(const DomainId &domain,
                      const std::map<ServiceId, ServiceRules> &rules, Time now);

  /// @return true when new requests may go to @p upstream
  bool isUsable(const Upstream &upstream) const;
  /// Chooses where a request goes now.
  UpstreamChoice choose(const ChoiceRequest &request,
                        const ChoiceContext &context,
                        const std::map<ServiceId, ServiceRules> &rules,
                        Time now, std::uint64_t draw);
  ServiceSummary summarize(const ServiceId &service);
  /// Counts a request that is being sent to @p upstream.
  void countSentRequest(Upstream &upstream, Time now);

  Upstream *find(const UpstreamId &id);
  std::map<UpstreamId, Upstream> &all() { return Upstreams; }

private:
  bool hasRoom(Upstream &upstream, const ChoiceContext &context,
               const ServiceRules &rules, Time now) const;

  std::map<UpstreamId, Upstream> Upstreams;
  std::map<ServiceId, std::set<UpstreamId>> ByService;
  std::set<DomainId> Evacuated;
};

} // namespace waxwing

#endif
