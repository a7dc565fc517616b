/**
 * @file load_base.h
 * The load tool: open-loop streams of requests through the routers. Each
 * answer is checked against its own request, and the upstreams' records
 * against the answers.
 */
#ifndef WAXWING_STANDIN_LOAD_BASE_H
#define WAXWING_STANDIN_LOAD_BASE_H

#include "core/endpoint_type.h"
#include "metrics/latency_stats.h"
#include "net/http_client.h"

#include <absl/status/statusor.h>
#include <atomic>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace waxwing {

/// One group of callers.
struct StreamPlan {
  std::string Name;
  std::string CallerKey;
  std::vector<std::string> Services;
  double Rate = 0;      ///< requests per second
  double SurgeRate = 0; ///< during the surge
  Duration SurgeFrom{}; ///< after the start
  Duration SurgeUntil{};
  std::uint64_t Keys = 1;
  std::uint64_t HotKeys = 0;
  int HotPercent = 0;
  Duration HotPeriod{};
  int WritePercent = 0;
  int ResendPercent = 0;
  bool MustBeServed = true;
};

/// What the load consists of.
struct LoadPlan {
  std::vector<Endpoint> Routers;
  std::vector<Endpoint> UpstreamRecords;
  Duration Length{};
  Duration Deadline{};
  Duration ClientLatency{};
  int MinRightPerMille = 0;
  std::uint64_t Seed = 0;
  std::vector<StreamPlan> Streams;
};

/// Reads a plan by table/load_settings.h.
absl::StatusOr<LoadPlan> parseLoadPlan(const std::string &text,
                                       const std::string &source);

/// What became of a non-idempotent request, for the check of its executions.
enum class WriteEnd : std::uint8_t { Answered, NotRun, MayHaveRun };

/// Results of one stream.
struct StreamResult {
  std::uint64_t Sent = 0;
  std::uint64_t Right = 0;
  std::uint64_t Wrong = 0;  ///< an answer that is not the request's own
  std::uint64_t Resent = 0; ///< through another router, with the same key
  std::map<std::string, std::uint64_t> Failures; ///< by reason
  LatencyStats Latency;
};

/// What the upstreams' records say.
struct RecordCheck {
  std::uint64_t ExecutedTwice = 0; ///< keys executed more than once
  std::uint64_t UntrueNotRun = 0;  ///< told "not run" but executed
  std::uint64_t LostWrites = 0;    ///< answered but in no record
  std::uint64_t DoubleOwners = 0;  ///< tenures of one unit that overlap
  std::uint64_t RecordsRead = 0;
  std::map<std::string, std::vector<std::uint64_t>> ExecutedByService;
  std::map<std::string, int> PeakWhileCold; ///< by service
};

/// Runs the streams on one thread of its own.
class LoadRun {
public:
  explicit LoadRun(LoadPlan plan);

  /// Sends for the plan's length, then waits for the last answers.
  void run();

  /// Reads the upstreams' records.
  RecordCheck checkRecords();

  const LoadPlan &plan() const { return Plan; }
  const StreamResult &result(std::size_t stream) const {
    return Results[stream];
  }

private:
  struct Shot {
    std::size_t Stream = 0;
    HttpRequest Request;
    std::string Expected; ///< body of the right answer
    std::string IdempotencyKey;
    Time SentAt;
    bool IsResent = false;
  };

  void sendDue();
  void sendOne(std::size_t stream, Duration elapsed);
  std::string drawKey(const StreamPlan &stream, Duration elapsed);
  void fire(Shot shot);
  void judge(const Shot &shot, const HttpOutcome &outcome);
  void noteWrite(const Shot &shot, WriteEnd end);
  bool resend(const Shot &shot);
  bool isChosen(int percent);
  std::string readRecord(const Endpoint &admin);

  LoadPlan Plan;
  std::deque<StreamResult> Results; ///< one for each stream of the plan
  std::vector<double> Due;          ///< arrivals so far, by stream
  std::map<std::string, WriteEnd> Writes;
  std::mt19937_64 Random;
  Time StartedAt;
  Time LastTick;
  std::uint64_t NextNumber = 0;
  std::atomic<std::uint64_t> Outstanding{0}; ///< requests without an end
  IoThread Io{"load"};
  HttpClient Client;
};

} // namespace waxwing

#endif
