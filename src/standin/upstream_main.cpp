/**
 * @file upstream_main.cpp
 * standin-upstream: a server that owns keys exclusively, with few slots, a
 * cold start, and faults on request.
 */
#include "standin/standin_func.h"
#include "standin/upstream_base.h"
#include "table/reasons.h"
#include "upstream/grant_holder.h"
#include "upstream/upstream_protocol.h"

#include <absl/strings/numbers.h>
#include <deque>
#include <fmt/format.h>
#include <random>

namespace waxwing {
namespace {

/// Faults that a test asks for through the admin port.
struct UpstreamFaults {
  int SlowFactor = 1;
  bool IsDraining = false;
};

UpstreamTime upstreamNow() {
  return UpstreamTime(readClock().time_since_epoch());
}

/// Serves requests, orders and the test's questions.
class UpstreamServer {
public:
  UpstreamServer(UpstreamTraits traits, std::size_t connections)
      : Traits(std::move(traits)),
        Grants(Traits.Id, Incarnation(std::random_device()()),
               Traits.ChecksOrders ? OrderChecking::On : OrderChecking::Off),
        StartedAt(readClock()),
        Main(Io, HttpServerLimits{connections},
             [this](HttpExchange it) { take(std::move(it)); }),
        Admin(Io, {}, [this](const HttpExchange &it) { administer(it); }) {}

  absl::Status listen(const Endpoint &main, const Endpoint &admin) {
    if (const absl::Status status = Main.listen(main); !status.ok())
      return status;
    return Admin.listen(admin);
  }

private:
  bool isCold() const { return readClock() < StartedAt + Traits.WarmUp; }
  int slots() const { return isCold() ? Traits.ColdSlots : Traits.Slots; }

  void take(HttpExchange exchange) {
    if (exchange.Request.Target == GrantPath)
      return takeOrder(exchange);
    const Reason why = admit(exchange.Request);
    if (why != Reason::None)
      return refuse(exchange, why);
    Waiting.push_back(std::move(exchange));
    const int load = Running + static_cast<int>(Waiting.size());
    Record.PeakRunning = std::max(Record.PeakRunning, load);
    if (isCold())
      Record.PeakWhileCold = std::max(Record.PeakWhileCold, load);
    runWaiting();
  }

  void takeOrder(const HttpExchange &exchange) {
    const auto order = decodeOrder(exchange.Request.Body);
    if (!order.ok())
      return exchange.Reply(
          textResponse(400, std::string(order.status().message())));
    exchange.Reply(textResponse(
        200, encodeGrantAnswer(Grants.answer(*order, upstreamNow()))));
  }

  Reason admit(const HttpRequest &request) {
    if (Faults.IsDraining)
      return Reason::UpstreamDraining;
    if (Traits.IsDividedByKey) {
      const Reason why = checkGrant(request);
      if (why != Reason::None)
        return why;
    }
    if (static_cast<int>(Waiting.size()) >= Traits.QueueLimit) {
      ++Record.Shed;
      return Reason::UpstreamShed;
    }
    return Reason::None;
  }

  Reason checkGrant(const HttpRequest &request) const {
    const auto unit = parseUnit(request.Headers.find(UnitHeader));
    std::uint64_t token = 0;
    std::uint64_t key = 0;
    const std::string tokenText(request.Headers.find(TokenHeader));
    const std::string keyText(request.Headers.find(KeyHashHeader));
    if (!unit || !absl::SimpleAtoi(tokenText, &token) ||
        !absl::SimpleAtoi(keyText, &key))
      return Reason::WrongToken;
    return Grants.check(*unit, Token(token), KeyHash(key), upstreamNow());
  }

  void refuse(const HttpExchange &exchange, Reason why) {
    HttpResponse response = textResponse(503, "");
    response.Headers.add(std::string(RefusalHeader),
                         std::string(reasonInfo(why).Name));
    echoId(exchange.Request, response);
    exchange.Reply(std::move(response));
  }

  static void echoId(const HttpRequest &request, HttpResponse &response) {
    response.Headers.add(std::string(RequestIdHeader),
                         std::string(request.Headers.find(RequestIdHeader)));
  }

  void runWaiting() {
    while (Running < slots() && !Waiting.empty()) {
      HttpExchange exchange = std::move(Waiting.front());
      Waiting.pop_front();
      ++Running;
      ++Record.Executed;
      const std::string key(exchange.Request.Headers.find(IdempotencyHeader));
      if (!key.empty())
        ++Record.Executions[key];
      Io.runAt(readClock() + Traits.ServiceTime * Faults.SlowFactor,
               [this, exchange = std::move(exchange)] { finish(exchange); });
    }
  }

  void finish(const HttpExchange &exchange) {
    --Running;
    HttpResponse response = textResponse(
        200, exchange.Request.Method + " " + exchange.Request.Target + "\n");
    echoId(exchange.Request, response);
    exchange.Reply(std::move(response));
    runWaiting();
  }

  void administer(const HttpExchange &exchange) {
    const auto target = parseTarget(exchange.Request.Target);
    if (!target || target->Parts.empty())
      return exchange.Reply(textResponse(400, "malformed target\n"));
    if (target->Parts[0] == "fault") {
      Faults.SlowFactor = static_cast<int>(target->number(
          "slow_factor", static_cast<std::uint64_t>(Faults.SlowFactor)));
      Faults.IsDraining =
          target->number("drain", Faults.IsDraining ? 1 : 0) != 0;
      if (target->number("cold") != 0)
        StartedAt = readClock();
    }
    std::string text = fmt::format(
        "executed {}\nshed {}\npeak_running {}\npeak_while_cold {}\n",
        Record.Executed, Record.Shed, Record.PeakRunning, Record.PeakWhileCold);
    if (target->Parts[0] == "record")
      for (const auto &[key, count] : Record.Executions)
        text += fmt::format("key {} {}\n", key, count);
    exchange.Reply(textResponse(200, text));
  }

  IoThread Io{"upstream"};
  UpstreamTraits Traits;
  GrantHolder Grants;
  UpstreamFaults Faults;
  UpstreamRecord Record;
  Time StartedAt;
  int Running = 0;
  std::deque<HttpExchange> Waiting;
  HttpServer Main;
  HttpServer Admin;
};

UpstreamTraits readTraits(const cxxopts::ParseResult &options) {
  UpstreamTraits traits;
  traits.Id = UpstreamId(options["id"].as<std::string>());
  traits.Slots = options["slots"].as<int>();
  traits.ColdSlots = options["cold-slots"].as<int>();
  traits.QueueLimit = options["queue"].as<int>();
  traits.ServiceTime = microseconds(options["service-time-us"].as<int>());
  traits.WarmUp = milliseconds(options["warm-up-ms"].as<int>());
  traits.ChecksOrders = options["checks-orders"].as<bool>();
  traits.IsDividedByKey = options["divided-by-key"].as<bool>();
  return traits;
}

int run(const cxxopts::ParseResult &options) {
  UpstreamServer server(
      readTraits(options),
      static_cast<std::size_t>(options["connections"].as<int>()));
  const absl::Status status =
      server.listen(parseEndpoint(options["listen"].as<std::string>()),
                    parseEndpoint(options["admin"].as<std::string>()));
  if (!status.ok()) {
    std::cerr << status.message() << "\n";
    return static_cast<int>(ExitCode::Failure);
  }
  waitForStopSignal();
  return static_cast<int>(ExitCode::Success);
}

} // namespace
} // namespace waxwing

int main(int argc, char **argv) {
  return waxwing::runStandin(
      argc, argv, "standin-upstream", "Stand-in for an upstream.",
      [](cxxopts::Options &options) {
        auto add = options.add_options();
        add("id", "team/name", cxxopts::value<std::string>());
        add("listen", "IP:port for requests and orders",
            cxxopts::value<std::string>());
        add("admin", "IP:port for /fault and /record",
            cxxopts::value<std::string>());
        add("slots", "requests executed at a time",
            cxxopts::value<int>()->default_value("4"));
        add("cold-slots", "the same, when just started",
            cxxopts::value<int>()->default_value("1"));
        add("queue", "requests that wait for a slot",
            cxxopts::value<int>()->default_value("16"));
        add("connections", "open connections at most",
            cxxopts::value<int>()->default_value("110"));
        add("service-time-us", "execution time of a request, us",
            cxxopts::value<int>()->default_value("5000"));
        add("warm-up-ms", "time from cold to warm, ms",
            cxxopts::value<int>()->default_value("2000"));
        add("checks-orders", "refuse orders with an older stamp",
            cxxopts::value<bool>()->default_value("true"));
        add("divided-by-key", "serve owned keys only",
            cxxopts::value<bool>()->default_value("false"));
      },
      waxwing::run);
}
