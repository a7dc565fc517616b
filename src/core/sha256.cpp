/**
 * @file sha256.cpp
 * SHA-256 implemented with OpenSSL.
 */
#include "core/sha256_func.h"

#include <absl/strings/escaping.h>
#include <array>
#include <openssl/sha.h>

namespace waxwing {

std::string sha256Hex(std::string_view secret) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char *>(secret.data()), secret.size(),
         digest.data());
  return absl::BytesToHexString(
      {reinterpret_cast<const char *>(digest.data()), digest.size()});
}

} // namespace waxwing
