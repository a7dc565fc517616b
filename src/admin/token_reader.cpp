/**
 * @file token_reader.cpp
 * The copy of the tokens.
 */
#include "admin/token_reader_base.h"

#include <absl/status/status.h>

namespace waxwing {
namespace {

constexpr const char *TokensKey = "/tokens";

} // namespace

TokenReader::TokenReader(PlatformStore &store,
                         const std::string &operatorSha256)
    : Store(store) {
  if (!operatorSha256.empty())
    Operators.Tokens[std::string(SettingsOperatorName)] = {operatorSha256,
                                                           {true, {}}};
}

void TokenReader::recognize(const std::string &secret, bool mayBeOld,
                            Completion completion) {
  if (auto holder = findToken(Operators, secret))
    return completion(*std::move(holder));
  if (Copy && readClock() < FreshUntil)
    return completion(find(secret));
  Waitings.push_back({secret, mayBeOld, std::move(completion)});
  if (Waitings.size() == 1)
    Store.get(TokensKey,
              [this](const StoreGetResult &result) { take(result); });
}

void TokenReader::take(const StoreGetResult &result) {
  bool isFresh = false;
  if (result.Status == StoreStatus::Done) {
    auto config = parseTokenConfig(result.Entry.Value);
    if (config.ok()) {
      Copy = *std::move(config);
      FreshUntil = readClock() + TokenCopyTerm;
      isFresh = true;
    }
  }
  for (const Waiting &waiting : std::exchange(Waitings, {})) {
    if (Copy && (isFresh || waiting.MayBeOld))
      waiting.Done(find(waiting.Secret));
    else
      waiting.Done(absl::UnavailableError(
          "the store does not answer, so tokens cannot be checked"));
  }
}

absl::StatusOr<TokenHolder> TokenReader::find(const std::string &secret) const {
  if (auto holder = findToken(*Copy, secret))
    return *std::move(holder);
  return absl::UnauthenticatedError("the token is not known");
}

} // namespace waxwing
