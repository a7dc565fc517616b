/**
 * @file hash_func.h
 * Seeded hash for rendezvous hashing and digests; it gives the same value on
 * every VM.
 */
#ifndef WAXWING_CORE_HASH_FUNC_H
#define WAXWING_CORE_HASH_FUNC_H

#include <cstdint>
#include <string_view>

namespace waxwing {

/// @return 64-bit hash of @p text with @p seed
std::uint64_t hashText(std::string_view text, std::uint64_t seed);

} // namespace waxwing

#endif
