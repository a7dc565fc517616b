/**
 * @file load_base.h
 * Load generator: sends open-loop streams of requests through the routers,
 * checks each response against its request, and checks the upstreams'
 * execution records against the responses.
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

/// Load of one group of callers that share an API key.
struct StreamPlan {
  std::string Name;
  std::string CallerKey;
  std::vector<std::string> Services;
  double Rate = 0;           ///< requests per second
  double SurgeRate = 0;      ///< requests per second during the surge
  Duration SurgeStart{};     ///< start of the surge, since the start of the run
  Duration SurgeEnd{};       ///< end of the surge, since the start of the run
  std::uint64_t Keys = 1;    ///< number of keys besides the hot keys
  std::uint64_t HotKeys = 0; ///< number of hot keys at a time
  int HotPercent = 0;        ///< percentage of requests for a hot key
  Duration HotPeriod{};      ///< interval at which the hot keys are replaced
  int WritePercent = 0; ///< percentage of POST requests with an idempotency key
  /// Percentage of the writes with unknown outcome that are sent again.
  int ResendPercent = 0;
  bool RequiresCorrectShare = true; ///< LoadPlan::MinCorrectPerMille applies
};

/// Settings of a load run.
struct LoadPlan {
  std::vector<Endpoint> Routers;
  std::vector<Endpoint> UpstreamRecordEndpoints;
  Duration Length{};   ///< how long requests are sent
  Duration Deadline{}; ///< time allowed for each request
  /// Simulated one-way latency; twice this value is added to each measured
  /// latency.
  Duration ClientLatency{};
  int MinCorrectPerMille = 0; ///< required correct responses per 1000
  std::uint64_t Seed = 0;
  std::vector<StreamPlan> Streams;
};

/// Parses a load plan in INI format; table/load_settings.h lists the settings.
absl::StatusOr<LoadPlan> parseLoadPlan(const std::string &text,
                                       const std::string &source);

/// Outcome of a write as reported to the caller, for the comparison with the
/// upstreams' execution records.
enum class WriteOutcome : std::uint8_t { Answered, NotRun, MayHaveRun };

/// Results of one stream.
struct StreamResult {
  std::uint64_t Sent = 0;
  std::uint64_t Correct = 0;
  std::uint64_t Incorrect = 0; ///< responses that do not belong to the request
  std::uint64_t Resent = 0; ///< requests resent with the same idempotency key
  std::map<std::string, std::uint64_t> Failures; ///< failed requests by reason
  LatencyStats Latency;
};

/// Result of checking the upstreams' execution records.
struct RecordCheckResult {
  /// Number of idempotency keys that were executed more than once.
  std::uint64_t DuplicateExecutions = 0;
  /// Writes reported as not run, but executed.
  std::uint64_t ExecutedDespiteNotRun = 0;
  std::uint64_t LostWrites = 0; ///< writes answered, but in no record
  /// Number of cases in which a unit (shard or split key) had two owners.
  std::uint64_t OverlappingTenures = 0;
  std::uint64_t RecordsRead = 0; ///< upstream records that could be fetched
  /// Requests executed by each upstream, by service.
  std::map<std::string, std::vector<std::uint64_t>> ExecutedByService;
  /// Highest load of a cold upstream, by service.
  std::map<std::string, int> PeakWhileCold;
};

/// Sends the load on its own I/O thread and collects the results.
class LoadRun {
public:
  explicit LoadRun(LoadPlan plan);

  /// Sends requests for LoadPlan::Length, then waits for those in flight.
  void run();

  /// Fetches the upstreams' execution records, checks them against the write
  /// outcomes, and stops the I/O thread.
  RecordCheckResult checkRecords();

  const LoadPlan &plan() const { return Plan; }
  const StreamResult &result(std::size_t stream) const {
    return Results[stream];
  }

private:
  struct OutgoingRequest {
    std::size_t Stream = 0;
    HttpRequest Request;
    std::string ExpectedBody; ///< body of a correct response
    std::string IdempotencyKey;
    Time SentAt;
    bool IsResent = false;
  };

  void sendDueRequests();
  void sendNextRequest(std::size_t stream, Duration elapsed);
  std::string chooseRandomKey(const StreamPlan &stream, Duration elapsed);
  void sendToRouter(OutgoingRequest outgoing);
  void checkResponse(const OutgoingRequest &outgoing,
                     const HttpOutcome &outcome);
  void recordWriteOutcome(const OutgoingRequest &outgoing,
                          WriteOutcome outcome);
  bool resend(const OutgoingRequest &outgoing);
  /// @return true with a probability of @p percent / 100
  bool randomBool(int percent);
  std::string fetchRecord(const Endpoint &admin);

  LoadPlan Plan;
  std::deque<StreamResult> Results; ///< by index of the stream
  std::vector<double> DueRequests;  ///< requests due since the start, by stream
  std::map<std::string, WriteOutcome> Writes; ///< outcome by idempotency key
  std::mt19937_64 Random;
  Time StartedAt;
  Time LastSendAt;
  std::uint64_t NextRequestNumber = 0;
  std::atomic<std::uint64_t> RequestsInFlight{0};
  IoThread Io{"load"};
  HttpClient Client;
};

} // namespace waxwing

#endif
