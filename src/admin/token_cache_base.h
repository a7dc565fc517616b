/**
 * @file token_cache_base.h
 * Cache of the administration tokens in the store; refreshed when a request
 * arrives after the cache has expired.
 */
#ifndef WAXWING_ADMIN_TOKEN_CACHE_BASE_H
#define WAXWING_ADMIN_TOKEN_CACHE_BASE_H

#include "config/token_config_base.h"
#include "net/io_thread.h"
#include "store/platform_store_base.h"

#include <functional>
#include <optional>
#include <vector>

namespace waxwing {

/// Time for which cached tokens are used without reading the store.
constexpr Duration TokenCacheTtl = seconds(2);

/// Authenticates tokens against a cached copy of the token document. Must be
/// used on the store's thread only.
class TokenCache {
public:
  using Completion = std::function<void(absl::StatusOr<TokenHolder>)>;

  /// @param operatorSha256 digest of the operator's token from the VM settings,
  ///   which works without the store; "" for none
  TokenCache(PlatformStore &store, const std::string &operatorSha256);

  /// Looks up the token with the given secret.
  /// @param mayBeStale whether an expired cache may be used while the store is
  ///   down
  /// @param completion receives the token's name and scope, or Unauthenticated
  ///   or Unavailable
  void authenticate(const std::string &secret, bool mayBeStale,
                    Completion completion);

  /// Expires the cache, after a change of the tokens.
  void invalidate() { ExpiresAt = Time(); }

private:
  /// A lookup that waits for the store.
  struct PendingLookup {
    std::string Secret;
    bool MayBeStale = false;
    Completion Done;
  };

  void completeRead(const StoreGetResult &result);
  absl::StatusOr<TokenHolder> findHolder(const std::string &secret) const;

  PlatformStore &Store;
  TokenConfig SettingsTokens; ///< tokens from the VM settings
  std::optional<TokenConfig> CachedTokens;
  Time ExpiresAt;
  /// Lookups waiting for the store read in progress; empty if there is none.
  std::vector<PendingLookup> PendingLookups;
};

} // namespace waxwing

#endif
