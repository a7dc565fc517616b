/**
 * @file sha256_func.h
 * SHA-256 of secrets, so that no secret is stored or compared in plain text.
 */
#ifndef WAXWING_CORE_SHA256_FUNC_H
#define WAXWING_CORE_SHA256_FUNC_H

#include <string>
#include <string_view>

namespace waxwing {

/// @return SHA-256 of @p secret as 64 lower-case hexadecimal digits
std::string sha256Hex(std::string_view secret);

} // namespace waxwing

#endif
