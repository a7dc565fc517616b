/**
 * @file record_check.cpp
 * Checks the execution records of the upstream stand-ins.
 */
#include "standin/record_check_func.h"

#include <algorithm>
#include <sstream>

namespace waxwing {
namespace {

/// Parsed line "unit NAME TOKEN FIRST LAST" of a record; times in microseconds.
struct OwnerTenure {
  std::string Unit;
  std::uint64_t Fence = 0;
  std::int64_t First = 0;
  std::int64_t Last = 0;
  std::size_t Upstream = 0; ///< index of the upstream's record
};

/// Parses execution records and merges their contents.
class RecordReader {
public:
  void read(std::size_t upstream, const std::string &text) {
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);)
      readLine(upstream, line);
  }

  std::map<std::string, int> Executions;
  std::vector<OwnerTenure> Tenures;
  std::map<std::string, std::vector<std::uint64_t>> ExecutedByService;
  std::map<std::string, int> PeakWhileCold;

private:
  void readLine(std::size_t upstream, const std::string &line) {
    std::istringstream words(line);
    std::string name;
    words >> name;
    if (name == "service")
      words >> Service;
    if (name == "executed") {
      std::uint64_t count = 0;
      words >> count;
      ExecutedByService[Service].push_back(count);
    }
    if (name == "peak_while_cold") {
      int peak = 0;
      words >> peak;
      PeakWhileCold[Service] = std::max(PeakWhileCold[Service], peak);
    }
    if (name == "key") {
      std::string key;
      int count = 0;
      words >> key >> count;
      Executions[key] += count;
    }
    if (name == "unit") {
      OwnerTenure tenure;
      words >> tenure.Unit >> tenure.Fence >> tenure.First >> tenure.Last;
      tenure.Unit = Service + " " + tenure.Unit;
      tenure.Upstream = upstream;
      Tenures.push_back(std::move(tenure));
    }
  }

  std::string Service;
};

/// @return the number of tenures that begin while another upstream still owns
///   the same unit (shard or split key)
std::uint64_t countOverlappingTenures(std::vector<OwnerTenure> tenures) {
  std::ranges::sort(tenures, [](const auto &a, const auto &b) {
    return std::tie(a.Unit, a.First) < std::tie(b.Unit, b.First);
  });
  std::uint64_t overlaps = 0;
  const OwnerTenure *latestEnding = nullptr; // of the unit's tenures so far
  for (const OwnerTenure &tenure : tenures) {
    const bool isSameUnit =
        latestEnding != nullptr && latestEnding->Unit == tenure.Unit;
    if (isSameUnit && latestEnding->Upstream != tenure.Upstream &&
        tenure.First <= latestEnding->Last)
      ++overlaps;
    if (!isSameUnit || tenure.Last > latestEnding->Last)
      latestEnding = &tenure;
  }
  return overlaps;
}

} // namespace

RecordCheckResult
checkUpstreamRecords(const std::vector<std::string> &records,
                     const std::map<std::string, WriteOutcome> &writes) {
  RecordReader reader;
  RecordCheckResult check;
  for (std::size_t n = 0; n < records.size(); ++n) {
    reader.read(n, records[n]);
    check.RecordsRead += records[n].empty() ? 0 : 1;
  }
  // The record of an unreachable upstream is missing, so writes that only it
  // executed would be counted as lost.
  const bool isComplete = check.RecordsRead == records.size();
  for (const auto &[key, outcome] : writes) {
    const auto it = reader.Executions.find(key);
    const int count = it == reader.Executions.end() ? 0 : it->second;
    check.DuplicateExecutions += count > 1 ? 1 : 0;
    check.ExecutedDespiteNotRun +=
        count > 0 && outcome == WriteOutcome::NotRun ? 1 : 0;
    check.LostWrites +=
        isComplete && count == 0 && outcome == WriteOutcome::Answered ? 1 : 0;
  }
  check.OverlappingTenures = countOverlappingTenures(std::move(reader.Tenures));
  check.ExecutedByService = std::move(reader.ExecutedByService);
  check.PeakWhileCold = std::move(reader.PeakWhileCold);
  return check;
}

} // namespace waxwing
