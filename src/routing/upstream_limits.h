/**
 * @file upstream_limits.h
 * Limits that upstreams name in their responses: the requests a second that
 * they take from all VMs together.
 */
#ifndef WAXWING_ROUTING_UPSTREAM_LIMITS_H
#define WAXWING_ROUTING_UPSTREAM_LIMITS_H

#include "routing/leaving_upstreams.h"

#include <optional>

namespace waxwing {

/// What an upstream process said about its limit.
struct LimitNotice {
  UpstreamProcess Process;
  std::optional<double> PerS; ///< requests/s; nullopt: it has no limit any more
  Duration Age{}; ///< time from the response until the notice was made

  bool operator==(const LimitNotice &) const = default;
};

/// Remembers what the newest process of each upstream said last.
class UpstreamLimits {
public:
  /// Records what @p process said at @p at, to this VM or to another one.
  /// @param perS limit in requests/s; nullopt if a response named none
  /// @return true if the limit changed
  bool note(const UpstreamProcess &process, std::optional<double> perS,
            Time at);
  /// @return limit of the process in requests/s, if it has one
  std::optional<double> find(const UpstreamId &id,
                             std::int64_t startedAtMs) const;
  /// The upstream is not known any more.
  void retire(const UpstreamId &id) { Statements.erase(id); }
  /// @return what up to @p maxCount processes said last, the newest first
  std::vector<LimitNotice> newest(std::size_t maxCount, Time now) const;
  /// @return true if no upstream has named a limit
  bool isEmpty() const { return Statements.empty(); }
  /// @return number of upstreams with a limit
  std::size_t limitedCount() const;

private:
  struct Statement {
    std::int64_t StartedAtMs = 0;
    std::optional<double> PerS;
    Time At;
  };

  /// Invariant: at most MaxLimitedUpstreams.
  std::map<UpstreamId, Statement> Statements;
};

} // namespace waxwing

#endif
