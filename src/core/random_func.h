/**
 * @file random_func.h
 * Seeds and incarnation numbers from the operating system.
 */
#ifndef WAXWING_CORE_RANDOM_FUNC_H
#define WAXWING_CORE_RANDOM_FUNC_H

#include <cstdint>

namespace waxwing {

/// @return a number that differs on each call; never used inside a decision
std::uint64_t randomNumber();

} // namespace waxwing

#endif
