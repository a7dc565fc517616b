/**
 * @file hash.cpp
 * Hash functions implemented with xxHash.
 */
#include "core/hash_func.h"

#include <xxhash.h>

namespace waxwing {

std::uint64_t hashText(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace waxwing
