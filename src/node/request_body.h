/**
 * @file request_body.h
 * Body of a caller's request between the caller's connection and the attempts.
 */
#ifndef WAXWING_NODE_REQUEST_BODY_H
#define WAXWING_NODE_REQUEST_BODY_H

#include "routing/body_memory.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace waxwing {

/// Stores the received bytes of a body until they are no longer needed.
/// Attempts address bytes by their offset in the body. Invariant: the stored
/// bytes are those from firstStored() to received().
class RequestBody {
public:
  RequestBody() = default;
  explicit RequestBody(BodyMemory &memory) : Use(memory) {}

  void append(std::string_view bytes) {
    Stored.append(bytes);
    Use.set(Stored.size());
  }
  void markWhole() { IsWhole = true; }
  /// Drops the stored bytes, and all that follow are to be dropped, too.
  void discard() { dropBefore(received()); }
  /// Drops the bytes before @p offset; no later attempt can send the body.
  void dropBefore(std::uint64_t offset) {
    const auto n = static_cast<std::size_t>(offset - firstStored());
    Stored.erase(0, n);
    Dropped += n;
    Use.set(Stored.size());
  }
  /// @return up to @p size stored bytes from @p offset on
  std::string_view bytesFrom(std::uint64_t offset, std::size_t size) const {
    return std::string_view(Stored).substr(
        static_cast<std::size_t>(offset - firstStored()), size);
  }

  bool isWhole() const { return IsWhole; }
  /// @return true if no byte was dropped, so that another attempt is possible
  bool isStored() const { return Dropped == 0; }
  std::uint64_t firstStored() const { return Dropped; }
  std::uint64_t received() const { return Dropped + Stored.size(); }
  /// @return number of bytes that may be added now
  std::size_t space() const {
    const std::size_t window = Use.window();
    return window - std::min(window, Stored.size());
  }
  /// @return true if the body is to be sent: it is complete, or no more of it
  ///   is received before a part has been sent
  bool isReadyToSend() const { return IsWhole || space() == 0; }

private:
  std::string Stored;
  std::uint64_t Dropped = 0;
  bool IsWhole = false;
  BodyMemoryUse Use;
};

} // namespace waxwing

#endif
