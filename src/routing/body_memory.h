/**
 * @file body_memory.h
 * Divides the memory for request bodies among the requests in progress.
 */
#ifndef WAXWING_ROUTING_BODY_MEMORY_H
#define WAXWING_ROUTING_BODY_MEMORY_H

#include <algorithm>
#include <cstddef>
#include <utility>

namespace waxwing {

/// Counts the stored bytes of all request bodies. Each request may store a
/// window of bytes, which shrinks as the memory fills up. Invariant: the sum of
/// the stored bytes exceeds the limit by at most MinWindow for each request.
class BodyMemory {
public:
  /// A window of this size suffices to forward a body piece by piece.
  static constexpr std::size_t MinWindow = 16384;
  /// Bodies up to this size are received completely before an upstream's slot
  /// is used, and are kept so that they can be sent to another upstream.
  static constexpr std::size_t MaxWindow = 524288;

  explicit BodyMemory(std::size_t limit) : Limit(limit) {}

  /// @return bytes that a request that stores @p stored bytes may store
  std::size_t window(std::size_t stored) const {
    const std::size_t others = Used - std::min(Used, stored);
    const std::size_t free = Limit - std::min(Limit, others);
    return std::clamp(free / ShareOfFree, MinWindow, MaxWindow);
  }
  std::size_t used() const { return Used; }

private:
  friend class BodyMemoryUse;
  /// A request may use this part of the memory that the others leave.
  static constexpr std::size_t ShareOfFree = 8;

  std::size_t Limit;
  std::size_t Used = 0;
};

/// The bytes that one request stores; returns them when it is destroyed.
class BodyMemoryUse {
public:
  BodyMemoryUse() = default;
  explicit BodyMemoryUse(BodyMemory &memory) : Memory(&memory) {}
  BodyMemoryUse(BodyMemoryUse &&other) noexcept
      : Memory(std::exchange(other.Memory, nullptr)),
        Bytes(std::exchange(other.Bytes, 0)) {}
  BodyMemoryUse &operator=(BodyMemoryUse &&other) noexcept {
    set(0);
    Memory = std::exchange(other.Memory, nullptr);
    Bytes = std::exchange(other.Bytes, 0);
    return *this;
  }
  BodyMemoryUse(const BodyMemoryUse &) = delete;
  BodyMemoryUse &operator=(const BodyMemoryUse &) = delete;
  ~BodyMemoryUse() { set(0); }

  /// Records that the request now stores @p bytes bytes.
  void set(std::size_t bytes) {
    if (Memory == nullptr)
      return;
    Memory->Used += bytes;
    Memory->Used -= Bytes;
    Bytes = bytes;
  }
  /// @return bytes that the request may store
  std::size_t window() const {
    return Memory == nullptr ? BodyMemory::MaxWindow : Memory->window(Bytes);
  }

private:
  BodyMemory *Memory = nullptr;
  std::size_t Bytes = 0;
};

} // namespace waxwing

#endif
