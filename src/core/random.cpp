/**
 * @file random.cpp
 * Random numbers from the operating system.
 */
#include "core/random_func.h"

#include <random>

namespace waxwing {

std::uint64_t randomNumber() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace waxwing
