/**
 * @file request_body_test.cpp
 * Many uploads at once, with fast and slow upstreams: the memory for their
 * bodies stays bounded, and each body is forwarded byte by byte in order.
 */
#include "node/request_body.h"

#include <gtest/gtest.h>
#include <random>
#include <vector>

namespace waxwing {
namespace {

constexpr std::size_t Megabyte = 1U << 20;

char byteAt(std::uint64_t offset) {
  return static_cast<char>('a' + offset * 7 % 26);
}

std::string makeBytes(std::uint64_t from, std::size_t size) {
  std::string bytes(size, 0);
  for (std::size_t n = 0; n < size; ++n)
    bytes[n] = byteAt(from + n);
  return bytes;
}

TEST(RequestBody, BodyOfUsualSizeIsCompleteBeforeItIsSent) {
  BodyMemory memory(32 * Megabyte);
  RequestBody body(memory);
  body.append(makeBytes(0, 360000));
  EXPECT_FALSE(body.isReadyToSend());
  body.markWhole();
  EXPECT_TRUE(body.isReadyToSend());
  EXPECT_TRUE(body.isStored());
}

TEST(RequestBody, LargeBodyIsSentWhileItArrives) {
  BodyMemory memory(32 * Megabyte);
  RequestBody body(memory);
  while (body.space() > 0)
    body.append(
        makeBytes(body.received(), std::min<std::size_t>(body.space(), 65536)));
  EXPECT_TRUE(body.isReadyToSend());
  EXPECT_LE(body.received(), BodyMemory::MaxWindow);
  body.dropBefore(65536);
  EXPECT_FALSE(body.isStored());
  EXPECT_EQ(body.bytesFrom(65536, 10), makeBytes(65536, 10));
  EXPECT_EQ(body.space(), 65536U);
}

TEST(RequestBody, DestroyedBodyReturnsItsMemory) {
  BodyMemory memory(Megabyte);
  {
    RequestBody body(memory);
    body.append(makeBytes(0, 1000));
    RequestBody moved = std::move(body);
    EXPECT_EQ(memory.used(), 1000U);
    moved = RequestBody(memory);
    EXPECT_EQ(memory.used(), 0U);
    moved.append("x");
  }
  EXPECT_EQ(memory.used(), 0U);
}

TEST(RequestBody, MemoryOfManyUploadsIsBounded) {
  constexpr std::size_t limit = 8 * Megabyte;
  constexpr std::size_t uploads = 1000;
  constexpr std::uint64_t length = 300000;
  BodyMemory memory(limit);
  struct Upload {
    RequestBody Body;
    std::uint64_t Sent = 0;
  };
  std::vector<Upload> all;
  all.reserve(uploads);
  for (std::size_t n = 0; n < uploads; ++n)
    all.push_back({RequestBody(memory)});
  std::mt19937 random(20261204);
  std::size_t finished = 0;
  for (int step = 0; step < 400000 && finished < uploads; ++step) {
    Upload &upload = all[random() % uploads];
    RequestBody &body = upload.Body;
    if (const std::size_t n = std::min<std::uint64_t>(
            {body.space(), length - body.received(), random() % 65536 + 1});
        n > 0)
      body.append(makeBytes(body.received(), n));
    if (body.received() == length && !body.isWhole())
      body.markWhole();
    // Every third upstream is slow.
    const bool mayRead = (&upload - all.data()) % 3 != 0 || random() % 8 == 0;
    if (body.isReadyToSend() && mayRead && upload.Sent < length) {
      const std::string_view piece = body.bytesFrom(upload.Sent, 65536);
      for (std::size_t k = 0; k < piece.size(); k += 997)
        ASSERT_EQ(piece[k], byteAt(upload.Sent + k));
      upload.Sent += piece.size();
      body.dropBefore(upload.Sent);
      finished += upload.Sent == length ? 1 : 0;
    }
    ASSERT_LE(memory.used(), limit + uploads * BodyMemory::MinWindow);
  }
  EXPECT_EQ(finished, uploads);
}

} // namespace
} // namespace waxwing
