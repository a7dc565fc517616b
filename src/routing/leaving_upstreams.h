/**
 * @file leaving_upstreams.h
 * Upstream processes that said in a response that they leave.
 */
#ifndef WAXWING_ROUTING_LEAVING_UPSTREAMS_H
#define WAXWING_ROUTING_LEAVING_UPSTREAMS_H

#include "core/id_type.h"
#include "core/time_type.h"

#include <cstdint>
#include <map>
#include <vector>

namespace waxwing {

/// One process of an upstream.
struct UpstreamProcess {
  UpstreamId Id;
  std::int64_t StartedAtMs = 0; ///< Unix ms; 0 when unknown

  bool operator==(const UpstreamProcess &) const = default;
};

/// Remembers the newest leaving process of each upstream, whatever the store
/// lists. Only a process that was started later replaces it.
class LeavingUpstreams {
public:
  /// Sets for how long a leaving owner of keys still receives requests for
  /// them.
  void setKeyServingTime(Duration time) { KeyServingTime = time; }
  /// Records that @p process leaves.
  /// @return true if that was not known
  bool note(const UpstreamProcess &process, Time now);
  /// @return true if the process of @p id that was started at @p startedAtMs,
  ///   or a later one, leaves
  bool contains(const UpstreamId &id, std::int64_t startedAtMs) const;
  /// @return true while the leaving process may receive requests that no other
  ///   upstream can serve
  bool mayServeLastRequests(const UpstreamId &id, Time now) const;
  /// The upstream is not known any more, so its notice need not be passed on.
  void retire(const UpstreamId &id);
  /// @return up to @p maxCount leaving processes that are not retired, the last
  ///   noted first
  std::vector<UpstreamProcess> newest(std::size_t maxCount) const;

private:
  struct Notice {
    std::int64_t StartedAtMs = 0;
    Time NotedAt; ///< first notice of this process
    Time ServesKeysUntil;
    bool IsRetired = false;
  };

  Duration KeyServingTime{};
  /// Invariant: at most MaxLeavingUpstreams.
  std::map<UpstreamId, Notice> Notices;
};

} // namespace waxwing

#endif
