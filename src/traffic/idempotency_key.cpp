/**
 * @file idempotency_key.cpp
 * Parsing and partitioning of idempotency keys.
 */
#include "traffic/idempotency_func.h"

#include <absl/status/status.h>
#include <absl/strings/numbers.h>
#include <algorithm>
#include <cctype>
#include <fmt/format.h>
#include <optional>
#include <xxhash.h>

namespace waxwing {
namespace {

constexpr std::size_t UuidLength = 36;
constexpr std::size_t MinRandomLength = 8;
constexpr std::size_t UuidVersionIndex = 14;

/// @return Unix time in milliseconds of a version 7 UUID, or nothing when
///   @p key is no such UUID
std::optional<std::int64_t> parseUuid(const std::string &key) {
  if (key.size() != UuidLength || key[UuidVersionIndex] != '7')
    return std::nullopt;
  for (std::size_t n = 0; n < key.size(); ++n) {
    const bool isDash = n == 8 || n == 13 || n == 18 || n == 23;
    if (isDash ? key[n] != '-'
               : std::isxdigit(static_cast<unsigned char>(key[n])) == 0)
      return std::nullopt;
  }
  std::int64_t ms = 0;
  if (!absl::SimpleHexAtoi(key.substr(0, 8) + key.substr(9, 4), &ms))
    return std::nullopt;
  return ms;
}

/// @return Unix time in milliseconds of "<unix ms>-<random>", or nothing when
///   @p key has another form
std::optional<std::int64_t> parseTimestamped(const std::string &key) {
  const auto dash = key.find('-');
  if (dash == std::string::npos || key.size() - dash - 1 < MinRandomLength)
    return std::nullopt;
  std::int64_t ms = 0;
  if (!absl::SimpleAtoi(key.substr(0, dash), &ms) || ms < 0)
    return std::nullopt;
  return ms;
}

/// Latest accepted time of issue, in the year 5138.
constexpr std::int64_t LatestIssueTimeMs = 100'000'000'000'000;

} // namespace

absl::StatusOr<WallTime> parseIssueTime(const std::string &key) {
  const bool isPrintable = std::ranges::all_of(
      key, [](unsigned char c) { return std::isgraph(c) != 0; });
  auto ms = parseUuid(key);
  if (!ms)
    ms = parseTimestamped(key);
  if (!ms || *ms > LatestIssueTimeMs || !isPrintable ||
      key.size() > MaxIdempotencyKeyBytes)
    return absl::InvalidArgumentError(fmt::format(
        "Idempotency-Key must be '<unix time in ms>-<at least {} random "
        "characters>' or a version 7 UUID, at most {} printable characters",
        MinRandomLength, MaxIdempotencyKeyBytes));
  return WallTime(milliseconds(*ms));
}

PartitionId partitionOfKey(const IdempotencyKey &key) {
  const std::string text =
      fmt::format("{}\n{}\n{}", key.Service.Value, key.Caller.Value, key.Text);
  return PartitionId(static_cast<std::uint32_t>(
      XXH3_64bits(text.data(), text.size()) % PartitionCount));
}

} // namespace waxwing
