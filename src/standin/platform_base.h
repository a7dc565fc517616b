/**
 * @file platform_base.h
 * In-process stand-in for the users' platform: a store with leases, watches
 * and transactions, and upstreams that accept grants and serve requests. For
 * tests on loopback only.
 */
#ifndef WAXWING_STANDIN_PLATFORM_BASE_H
#define WAXWING_STANDIN_PLATFORM_BASE_H

#include "http/parser.h"
#include "node/node_clock.h"
#include "routing/route_type.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace waxwing {

/// A parsed HTTP request.
struct StandinRequest {
  http::RequestHead Head;
  std::string Body;
};

/// Sends the response to one request, at once or later. The argument is the
/// complete HTTP response; an empty string resets the connection.
using StandinResponder = std::function<void(const std::string &)>;

/// HTTP/1.1 server on one address.
class StandinServer {
public:
  using Handler =
      std::function<void(const StandinRequest &, const StandinResponder &)>;

  StandinServer(boost::asio::io_context &loop, const Endpoint &address,
                Handler handler);

  /// Refuses further connections and resets the present ones.
  void close();
  /// Listens again after close().
  void open();

private:
  class Connection;

  void accept();

  boost::asio::ip::tcp::endpoint Address;
  boost::asio::ip::tcp::acceptor Acceptor;
  Handler Handle;
  std::vector<std::weak_ptr<Connection>> Connections;
};

/// @return a complete HTTP response with a JSON body
/// @param headers further header lines, each ended by CRLF
std::string standinJsonResponse(int status, const nlohmann::json &body,
                                const std::string &headers = "");

/// Replaces the value of a key in the store's responses.
using StandinValueRewriter = std::function<std::string(
    const std::string &key, const std::string &value)>;

/// Key-value store with leases, watches and transactions over HTTP.
class StandinPlatformStore {
public:
  StandinPlatformStore(boost::asio::io_context &loop, const Endpoint &address);

  /// Serves the store at another address too, where values are replaced. A VM
  /// that uses that address may so get its own addresses of the upstreams.
  void addView(const Endpoint &address, StandinValueRewriter rewrite);

  void put(const std::string &key, const std::string &value,
           std::uint64_t lease = 0);
  void remove(const std::string &key);
  /// While the store is down, it answers calls with 503, resets waiting
  /// watches and expires no leases.
  void setDown(bool isDown) { IsDown = isDown; }
  /// Keeps the present state for restoreCopy().
  void takeCopy();
  /// Restores the state of takeCopy() and begins a new epoch. What was written
  /// since is gone, leases too, and its revisions are given out again. Watches
  /// are cut.
  void restoreCopy();
  std::uint64_t epoch() const { return Epoch; }
  /// @return revision of the last write
  std::uint64_t revision() const { return Revision; }
  /// Discards the history, so that watches from an earlier revision get 410.
  void compact() { FirstRevision = Revision; }
  /// While set, leases also expire while the store is down.
  void setExpiringWhileDown(bool isExpiring) {
    IsExpiringWhileDown = isExpiring;
  }
  /// Resets each watch that has waited for this time, as a proxy with a limit
  /// on idle connections does.
  void setMaxWatchWait(Duration wait) { MaxWatchWait = wait; }
  /// While not set, no lease expires.
  void setExpiringLeases(bool isExpiring) { IsExpiringLeases = isExpiring; }
  /// @return revision of the last write of @p key; 0 if it does not exist
  std::uint64_t revisionOf(const std::string &key) const {
    const auto it = Items.find(key);
    return it == Items.end() ? 0 : it->second.Revision;
  }

private:
  struct Item {
    std::string Value;
    std::uint64_t Revision = 0;       ///< of the last write
    std::uint64_t CreateRevision = 0; ///< of the write that created the key
    std::uint64_t Lease = 0;          ///< 0 if not bound to a lease
  };
  struct Event {
    std::uint64_t Revision = 0;
    std::string Key;
    nlohmann::json Json;
  };
  /// State of the store at takeCopy().
  struct Copy {
    std::map<std::string, Item> Items;
    std::uint64_t Revision = 0;
    std::uint64_t NextLease = 0;
    std::map<std::uint64_t, std::pair<Duration, Time>> Leases;
  };
  struct Watch {
    std::string Prefix;
    std::uint64_t After = 0; ///< only events of later revisions are sent
    Time BegunAt;
    Time TimeoutAt; ///< time of the response if no event occurs
    StandinResponder Respond;
    StandinValueRewriter Rewrite; ///< empty if values are not replaced
  };

  void handle(const StandinRequest &request, const StandinResponder &respond,
              const StandinValueRewriter &rewrite);
  void listItems(const std::map<std::string, std::string> &query,
                 const StandinResponder &respond,
                 const StandinValueRewriter &rewrite) const;
  void runTransaction(const nlohmann::json &body,
                      const StandinResponder &respond);
  void tick();
  bool answerWatchIfDue(const Watch &watch, bool hasTimedOut) const;
  /// @return response with the store's epoch
  std::string makeResponse(int status, const nlohmann::json &body) const;
  static nlohmann::json describeItem(const std::string &key, const Item &item);
  /// Replaces the value of the item or event @p json.
  static void rewriteValue(nlohmann::json &json,
                           const StandinValueRewriter &rewrite);

  boost::asio::io_context &Loop;
  StandinServer Server;
  std::vector<std::unique_ptr<StandinServer>> ViewServers;
  DeadlineTimer Tick;
  std::map<std::string, Item> Items;
  std::vector<Event> History;
  std::vector<Watch> Watches;
  /// Duration and expiry time of each lease, by lease id.
  std::map<std::uint64_t, std::pair<Duration, Time>> Leases;
  Copy Saved;
  std::uint64_t Epoch = 1;
  /// Revision of the copy from which the epoch began; earlier history is gone.
  std::uint64_t FirstRevision = 0;
  std::uint64_t Revision = 1;
  std::uint64_t NextLease = 1;
  bool IsDown = false;
  bool IsExpiringLeases = true;
  bool IsExpiringWhileDown = false;
  Duration MaxWatchWait = Duration::max();
};

/// Settings of one in-process upstream.
struct StandinUpstreamSettings {
  std::string Id;
  std::string Service;
  std::string Domain;
  Endpoint Address;
  int Slots = 4; ///< reported only; concurrency is not limited
  Duration ServiceTime = milliseconds(20);
  bool IsDividedByKey = false;
  /// Factor by which a slow clock extends grants.
  double ClockFactor = 1;
};

/// A grant that an upstream accepted.
struct StandinGrant {
  KeyRange Range;
  std::uint64_t Fence = 0;
  Time ExpiresAt;
};

/// @param startedAtMs start time of the upstream's process, ms
/// @return the JSON entry under which the platform registers the upstream
std::string makeStandinUpstreamEntry(const StandinUpstreamSettings &settings,
                                     std::int64_t startedAtMs, bool isDraining);

/// In-process upstream that accepts grants and serves requests.
class StandinUpstreamHost {
public:
  StandinUpstreamHost(boost::asio::io_context &loop,
                      const StandinUpstreamSettings &settings);

  /// @return makeStandinUpstreamEntry() of this upstream
  std::string entry(bool isDraining) const;
  /// @return arrivals that named another upstream
  int misdirectedRequests() const { return MisdirectedRequests; }
  /// @return number of executions by request id
  const std::map<std::string, int> &executions() const { return Executions; }
  /// While set, requests are executed, but their connections are reset instead
  /// of answered.
  void setResetting(bool isResetting) { IsResetting = isResetting; }
  void setServiceTime(Duration work) { Settings.ServiceTime = work; }
  /// While set, requests are refused as not executed.
  void setShedding(bool isShedding) { IsShedding = isShedding; }
  /// Header lines, each with its line end, that responses to requests have from
  /// now on.
  void setRequestFields(std::string fields) {
    RequestFields = std::move(fields);
  }
  /// The same for responses to orders.
  void setOrderFields(std::string fields) { OrderFields = std::move(fields); }
  /// Orders are left unanswered and executed this much later; the time of a
  /// grant counts from the order's arrival. Zero: at once, with an answer.
  void setOrderDelay(Duration delay) { OrderDelay = delay; }
  /// Ends the process: connections are reset, further ones refused.
  void stop();
  /// Starts another process, which holds no keys and knows no fences.
  void start();
  bool isRunning() const { return IsRunning; }
  std::int64_t startedAtMs() const { return StartedAtMs; }
  const StandinUpstreamSettings &settings() const { return Settings; }
  /// @return number of requests for keys that this upstream did not own
  int misroutedRequests() const { return MisroutedRequests; }
  /// @return true when this upstream holds an unexpired grant for @p key
  bool ownsKey(std::uint16_t key) const;

  /// Called when a request begins to run.
  std::function<void(const StandinRequest &)> OnExecution;
  /// Called when a grant is accepted.
  std::function<void(const StandinGrant &)> OnGrant;
  /// Makes the body of a success; if not set, it names the upstream.
  std::function<std::string(const StandinRequest &)> MakeBody;

private:
  void handle(const StandinRequest &request, const StandinResponder &respond);
  void handleGrantOrder(const StandinRequest &request, Time arrivedAt,
                        const StandinResponder &respond);
  void delayOrder(const StandinRequest &request,
                  const StandinResponder &respond);

  boost::asio::io_context &Loop;
  StandinUpstreamSettings Settings;
  std::int64_t StartedAtMs;
  StandinServer Server;
  std::vector<StandinGrant> HeldGrants;
  /// Highest fence granted for each key in this process; empty before the first
  /// grant.
  std::vector<std::uint64_t> SeenFences;
  std::map<std::string, int> Executions;
  Duration OrderDelay{};
  std::string RequestFields; ///< in responses to requests
  std::string OrderFields;   ///< in responses to orders
  bool IsRunning = true;
  bool IsResetting = false;
  bool IsShedding = false;
  int RunningRequests = 0;
  int MisroutedRequests = 0;
  int MisdirectedRequests = 0;
};

} // namespace waxwing

#endif
