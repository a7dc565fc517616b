/**
 * @file token_reader_base.h
 * Recognizes tokens by the store's document of tokens, which it reads again
 * when its copy is old and a request needs it.
 */
#ifndef WAXWING_ADMIN_TOKEN_READER_BASE_H
#define WAXWING_ADMIN_TOKEN_READER_BASE_H

#include "config/token_config_base.h"
#include "net/io_thread.h"
#include "store/platform_store_base.h"

#include <functional>
#include <optional>
#include <vector>

namespace waxwing {

/// A copy of the tokens is used for so long without asking the store.
constexpr Duration TokenCopyTerm = seconds(2);

/// Used on the store's thread only.
class TokenReader {
public:
  using Completion = std::function<void(absl::StatusOr<TokenHolder>)>;

  /// @param operatorSha256 digest of a token that works without the store,
  ///   "" for none
  TokenReader(PlatformStore &store, const std::string &operatorSha256);

  /// Recognizes @p secret.
  /// @param mayBeOld a copy of any age will do while the store is down
  /// @param completion gets the holder, Unauthenticated, or Unavailable
  void recognize(const std::string &secret, bool mayBeOld,
                 Completion completion);

  /// Forgets how fresh the copy is, after a change of the tokens.
  void invalidate() { FreshUntil = Time(); }

private:
  struct Waiting {
    std::string Secret;
    bool MayBeOld = false;
    Completion Done;
  };

  void take(const StoreGetResult &result);
  absl::StatusOr<TokenHolder> find(const std::string &secret) const;

  PlatformStore &Store;
  TokenConfig Operators; ///< from the VM's settings
  std::optional<TokenConfig> Copy;
  Time FreshUntil;
  std::vector<Waiting> Waitings; ///< non-empty while a read is under way
};

} // namespace waxwing

#endif
