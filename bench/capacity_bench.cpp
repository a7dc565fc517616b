/**
 * @file capacity_bench.cpp
 * Memory and CPU time that a controller needs for a service's ownership record
 * and for a team's document, by size. docs/CAPACITY.md quotes the growth rates.
 */
#include "config/team_config_base.h"
#include "ownership/ownership_record_base.h"

#include <chrono>
#include <fmt/core.h>
#include <malloc.h>

namespace waxwing {
namespace {

constexpr int IterationCount = 20;

double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

/// @return mean time of one call of @p work, in microseconds
template <class F> double meanMicroseconds(F &&work) {
  const auto begin = std::chrono::steady_clock::now();
  for (int n = 0; n < IterationCount; ++n)
    work();
  const std::chrono::duration<double, std::micro> span =
      std::chrono::steady_clock::now() - begin;
  return span.count() / IterationCount;
}

OwnershipRecord makeRecord(std::size_t shards, std::size_t upstreams) {
  OwnershipRecord record;
  record.Service = ServiceId("dakar/calendrier");
  record.Rev = Revision(100000);
  for (std::size_t n = 0; n < shards; ++n)
    record.Shards.push_back(
        {UpstreamId(fmt::format("dakar/calendrier-{}", n % upstreams)),
         FencingToken(100000 + n)});
  return record;
}

void measureRecord(std::size_t shards, std::size_t upstreams) {
  const double before = heapBytes();
  const OwnershipRecord record = makeRecord(shards, upstreams);
  const double heapGrowth = heapBytes() - before;
  const std::string bytes = encodeRecord(record);
  const double encode = meanMicroseconds([&] { encodeRecord(record).size(); });
  const double decode = meanMicroseconds([&] { decodeRecord(bytes).ok(); });
  fmt::print("record    {:>6} shards {:>6} upstreams {:>9} bytes {:>9.0f} heap "
             "{:>8.0f} us encode {:>8.0f} us decode\n",
             shards, upstreams, bytes.size(), heapGrowth, encode, decode);
}

std::string makeDocument(std::size_t upstreams) {
  std::string text = "[domain plateau]\ntaken_out = false\n"
                     "[service calendrier]\ndivided_by_key = true\n";
  for (std::size_t n = 0; n < upstreams; ++n)
    text += fmt::format("[upstream calendrier-{}]\nservice = calendrier\n"
                        "address = 10.0.{}.{}:9000\ndomain = plateau\n",
                        n, n / 250, n % 250);
  return text;
}

void measureDocument(std::size_t upstreams) {
  const std::string text = makeDocument(upstreams);
  const TeamId team("dakar");
  const double before = heapBytes();
  const auto config = parseTeamConfig(team, text);
  const double heapGrowth = heapBytes() - before;
  const double parse =
      meanMicroseconds([&] { parseTeamConfig(team, text).ok(); });
  fmt::print("document  {:>6} upstreams {:>9} bytes {:>9.0f} heap {:>8.0f} us "
             "parse  ok {}\n",
             upstreams, text.size(), heapGrowth, parse, config.ok());
}

} // namespace
} // namespace waxwing

int main() {
  for (const std::size_t shards : {256U, 1024U, 4096U, 16384U})
    waxwing::measureRecord(shards, 13);
  for (const std::size_t upstreams : {10U, 100U, 1000U})
    waxwing::measureDocument(upstreams);
}
