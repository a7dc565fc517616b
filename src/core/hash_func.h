/**
 * @file hash_func.h
 * Seeded hashes for rendezvous choices and digests; equal on every VM.
 */
#ifndef WAXWING_CORE_HASH_FUNC_H
#define WAXWING_CORE_HASH_FUNC_H

#include <cstdint>
#include <string_view>

namespace waxwing {

/// @return hash of @p text under @p seed
std::uint64_t hashText(std::string_view text, std::uint64_t seed);

} // namespace waxwing

#endif
