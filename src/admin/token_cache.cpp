/**
 * @file token_cache.cpp
 * Refreshes and searches the cached tokens.
 */
#include "admin/token_cache_base.h"

#include <absl/status/status.h>

namespace waxwing {
namespace {

constexpr const char *TokensDocumentKey = "/tokens";

} // namespace

TokenCache::TokenCache(PlatformStore &store, const std::string &operatorSha256)
    : Store(store) {
  if (!operatorSha256.empty())
    SettingsTokens.Tokens[std::string(SettingsOperatorName)] = {operatorSha256,
                                                                {true, {}}};
}

void TokenCache::authenticate(const std::string &secret, bool mayBeStale,
                              Completion completion) {
  if (auto holder = findToken(SettingsTokens, secret))
    return completion(*std::move(holder));
  if (CachedTokens && readClock() < ExpiresAt)
    return completion(findHolder(secret));
  PendingLookups.push_back({secret, mayBeStale, std::move(completion)});
  if (PendingLookups.size() == 1)
    Store.get(TokensDocumentKey,
              [this](const StoreGetResult &result) { completeRead(result); });
}

void TokenCache::completeRead(const StoreGetResult &result) {
  bool isRefreshed = false;
  if (result.Status == StoreStatus::Done) {
    auto config = parseTokenConfig(result.Entry.Value);
    if (config.ok()) {
      CachedTokens = *std::move(config);
      ExpiresAt = readClock() + TokenCacheTtl;
      isRefreshed = true;
    }
  }
  for (const PendingLookup &lookup : std::exchange(PendingLookups, {})) {
    if (CachedTokens && (isRefreshed || lookup.MayBeStale))
      lookup.Done(findHolder(lookup.Secret));
    else
      lookup.Done(absl::UnavailableError(
          "the store is not responding; tokens cannot be checked"));
  }
}

absl::StatusOr<TokenHolder>
TokenCache::findHolder(const std::string &secret) const {
  if (auto holder = findToken(*CachedTokens, secret))
    return *std::move(holder);
  return absl::UnauthenticatedError("the token is unknown");
}

} // namespace waxwing
