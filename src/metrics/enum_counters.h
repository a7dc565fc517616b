/**
 * @file enum_counters.h
 * A counter for each value of an enumeration.
 */
#ifndef WAXWING_METRICS_ENUM_COUNTERS_H
#define WAXWING_METRICS_ENUM_COUNTERS_H

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace waxwing {

/// Counters indexed by an enumeration; any thread may increment and read them.
/// @tparam Count number of enumerators; their values run from 0 without gaps
template <class Enum, std::size_t Count> class EnumCounters {
public:
  void add(Enum value, std::uint64_t increment = 1) {
    Counts[static_cast<std::size_t>(value)].fetch_add(
        increment, std::memory_order_relaxed);
  }
  /// @return sum of the increments since the process started
  std::uint64_t count(Enum value) const {
    return Counts[static_cast<std::size_t>(value)].load(
        std::memory_order_relaxed);
  }

private:
  std::array<std::atomic<std::uint64_t>, Count> Counts{};
};

} // namespace waxwing

#endif
