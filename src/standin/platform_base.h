/**
 * @file platform_base.h
 * Stand-in of the users' platform in one process: the store with leases,
 * watches and transactions, and upstreams that register there, take grants
 * and answer requests. For tests on loopback only.
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

/// A request as the stand-ins see it.
struct StandinRequest {
  http::RequestHead Head;
  std::string Body;
};

/// Answers one request, now or later; an empty text resets the connection.
using StandinRespond = std::function<void(const std::string &)>;

/// Serves HTTP/1.1 on one address.
class StandinServer {
public:
  using Handler =
      std::function<void(const StandinRequest &, const StandinRespond &)>;

  StandinServer(boost::asio::io_context &loop, const Endpoint &address,
                Handler handler);

private:
  void accept();

  boost::asio::ip::tcp::acceptor Acceptor;
  Handler Handle;
};

/// @return an answer with a JSON body
std::string standinAnswer(int status, const nlohmann::json &body);

/// The store: keys, leases, watches.
class StandinPlatformStore {
public:
  StandinPlatformStore(boost::asio::io_context &loop, const Endpoint &address);

  void put(const std::string &key, const std::string &value,
           std::uint64_t lease = 0);
  void remove(const std::string &key);
  /// While it is down, calls are refused and leases pause.
  void setDown(bool isDown) { IsDown = isDown; }

private:
  struct Item {
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    std::uint64_t Lease = 0;
  };
  struct Event {
    std::uint64_t Revision = 0;
    std::string Key;
    nlohmann::json Json;
  };
  struct Watch {
    std::string Prefix;
    std::uint64_t After = 0;
    Time Until;
    StandinRespond Respond;
  };

  void handle(const StandinRequest &request, const StandinRespond &respond);
  void range(const std::map<std::string, std::string> &query,
             const StandinRespond &respond) const;
  void transact(const nlohmann::json &body, const StandinRespond &respond);
  void tick();
  bool answerWatch(const Watch &watch, bool isLate) const;
  static nlohmann::json describe(const std::string &key, const Item &item);

  StandinServer Server;
  DeadlineTimer Tick;
  std::map<std::string, Item> Items;
  std::vector<Event> History;
  std::vector<Watch> Watches;
  std::map<std::uint64_t, std::pair<Duration, Time>> Leases; ///< term, end
  std::uint64_t Revision = 1;
  std::uint64_t NextLease = 1;
  bool IsDown = false;
};

/// Settings of one upstream.
struct StandinUpstreamSettings {
  std::string Id;
  std::string Service;
  std::string Domain;
  Endpoint Address;
  int Slots = 4;
  Duration Work = milliseconds(20);
  bool IsDividedByKey = false;
};

/// One upstream; a stopped one refuses connections no more than a dead one.
class StandinUpstreamHost {
public:
  StandinUpstreamHost(boost::asio::io_context &loop,
                      const StandinUpstreamSettings &settings);

  /// @return the entry that the platform's list shows
  std::string entry(bool isDraining) const;
  /// @return requests that ran, by the caller's id
  const std::map<std::string, int> &executions() const { return Runs; }
  /// While it is resetting, requests run and their connections are reset.
  void setResetting(bool isResetting) { IsResetting = isResetting; }
  void setServiceTime(Duration work) { Settings.Work = work; }
  int misplaced() const { return Misplaced; }
  /// @return true when this upstream holds an unexpired grant for @p key
  bool ownsKey(std::uint16_t key) const;

private:
  struct Hold {
    KeyRange Range;
    std::uint64_t Fence = 0;
    Time Until;
  };

  void handle(const StandinRequest &request, const StandinRespond &respond);
  void order(const StandinRequest &request, const StandinRespond &respond);

  boost::asio::io_context &Loop;
  StandinUpstreamSettings Settings;
  std::int64_t Born;
  StandinServer Server;
  std::vector<Hold> Holds;
  std::map<std::string, int> Runs;
  bool IsResetting = false;
  int Running = 0;
  int Misplaced = 0;
};

} // namespace waxwing

#endif
