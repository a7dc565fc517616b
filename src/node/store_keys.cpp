/**
 * @file store_keys.cpp
 * The value of the leader key has two lines: "NAME EPOCH" and the address.
 * Builds that know no epochs read the first line as a name.
 */
#include "node/store_keys.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <vector>

namespace waxwing {

std::string encodeLeaderKey(const LeaderKeyValue &value) {
  const std::string epoch =
      value.Epoch ? " " + std::to_string(*value.Epoch) : "";
  return value.Name.Value + epoch + "\n" + formatEndpoint(value.Address);
}

std::optional<LeaderKeyValue> decodeLeaderKey(const std::string &value) {
  const std::vector<std::string> lines = absl::StrSplit(value, '\n');
  if (lines.size() != 2)
    return std::nullopt;
  const std::vector<std::string> words = absl::StrSplit(lines[0], ' ');
  LeaderKeyValue result{VmId(words[0]), parseEndpoint(lines[1]), {}};
  if (words.size() > 1) {
    StoreEpoch epoch = 0;
    if (!absl::SimpleAtoi(words[1], &epoch))
      return std::nullopt;
    result.Epoch = epoch;
  }
  return result;
}

} // namespace waxwing
