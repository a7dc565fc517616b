/**
 * @file random_func.h
 * Random numbers from the operating system, for seeds and incarnations.
 */
#ifndef WAXWING_CORE_RANDOM_FUNC_H
#define WAXWING_CORE_RANDOM_FUNC_H

#include <cstdint>

namespace waxwing {

/// Decision code must not call this function: it takes its seed from the
/// outside, so that tests are reproducible.
/// @return a random 64-bit number
std::uint64_t randomNumber();

} // namespace waxwing

#endif
