/**
 * @file store_main.cpp
 * standin-store: a small key-value store over HTTP with compare-and-swap,
 * leases and watches. An admin port injects faults, restores the store from an
 * older copy (/fault?restore_ms=AGE) and reports call counters.
 */
#include "standin/standin_func.h"
#include "standin/store_base.h"

#include <fmt/format.h>
#include <list>

namespace waxwing {
namespace {

/// Largest value that the platform's store accepts, in bytes.
constexpr std::size_t MaxValueBytes = 1u << 20;

/// Interval between checks for expired leases.
constexpr Duration LeaseCheckPeriod = milliseconds(10);

/// Interval between copies of the state, from which it can be restored.
constexpr Duration StoreCopyPeriod = milliseconds(500);

/// A pending watch request.
struct PendingWatch {
  std::uint64_t Id = 0;
  std::string Prefix;
  Revision After;
  HttpReply Reply;
};

HttpResponse revisionResponse(int status, Revision rev, std::string body) {
  HttpResponse response = textResponse(status, std::move(body));
  response.Headers.add("X-Revision", std::to_string(rev.Value));
  return response;
}

/// HTTP server of the store, with its admin port.
class StoreServer {
public:
  StoreServer()
      : MainServer(Io, {},
                   [this](HttpExchange it) { handleRequest(std::move(it)); }),
        AdminServer(Io, {}, [this](const HttpExchange &it) {
          handleAdminRequest(it);
        }) {
    Io.runEvery(LeaseCheckPeriod, [this] {
      if (State.expireLeases(readClock()))
        answerChangedWatches();
    });
    Io.runEvery(StoreCopyPeriod, [this] { State.keepCopy(readClock()); });
  }

  absl::Status listen(const Endpoint &main, const Endpoint &admin) {
    if (const absl::Status status = MainServer.listen(main); !status.ok())
      return status;
    return AdminServer.listen(admin);
  }

private:
  void handleRequest(HttpExchange exchange) {
    const auto target = parseTarget(exchange.Request.Target);
    if (!target || target->Parts.empty())
      return exchange.Reply(textResponse(400, "malformed target\n"));
    const std::string &call = target->Parts[0];
    if (call == "kv" && exchange.Request.Method == "PUT")
      return put(*target, std::move(exchange));
    if (call == "lease")
      return lease(*target, exchange);
    if (call == "watch")
      return watch(*target, std::move(exchange));
    ++State.Counts.Reads;
    if (call == "kv") {
      const StoredValue value = State.get(target->text("key"));
      const bool isMissing = value.Rev == Revision(0);
      return sendResponse(
          exchange.Reply,
          revisionResponse(isMissing ? 404 : 200, value.Rev, value.Value));
    }
    if (call == "list")
      return sendResponse(
          exchange.Reply,
          textResponse(
              200, State.encodeEntries(target->text("prefix"), Revision(0))));
    exchange.Reply(textResponse(404, "unknown call\n"));
  }

  void put(const UrlTarget &target, HttpExchange exchange) {
    ++State.Counts.Writes;
    if (State.Faults.IsDown)
      return;
    if (exchange.Request.Body.size() > MaxValueBytes)
      return exchange.Reply(textResponse(413, "value too large\n"));
    Revision current;
    const bool isWritten = State.compareAndSwap(
        target.text("key"), Revision(target.number("expect")),
        std::move(exchange.Request.Body), current,
        LeaseId(target.number("lease")));
    if (isWritten)
      answerChangedWatches();
    if (isWritten && State.Faults.ResponsesToDrop > 0) {
      --State.Faults.ResponsesToDrop;
      return;
    }
    sendResponse(exchange.Reply,
                 revisionResponse(isWritten ? 200 : 409, current, ""));
  }

  /// Handles /lease?term_ms=N, which grants a lease, or renews the lease ID if
  /// id=ID is given.
  void lease(const UrlTarget &target, const HttpExchange &exchange) {
    ++State.Counts.Writes;
    const Duration term = milliseconds(target.number("term_ms", 1000));
    const Time now = readClock();
    LeaseId id(target.number("id"));
    const bool isNew = id == LeaseId();
    if (isNew)
      id = State.grantLease(term, now);
    const bool isValid = isNew || State.renewLease(id, term, now);
    sendResponse(exchange.Reply, textResponse(isValid ? 200 : 404,
                                              std::to_string(id.Value) + "\n"));
  }

  void watch(const UrlTarget &target, HttpExchange exchange) {
    ++State.Counts.Watches;
    const Revision after(target.number("after"));
    if (State.isUnknownRevision(after))
      return sendResponse(exchange.Reply, unknownRevisionResponse());
    const std::uint64_t id = NextWatchId++;
    Watches.push_back(
        {id, target.text("prefix"), after, std::move(exchange.Reply)});
    Io.runAt(readClock() + milliseconds(target.number("wait_ms", 1000)),
             [this, id] { answerWatch(id); });
    answerChangedWatches();
  }

  void answerWatch(std::uint64_t id) {
    const auto it = std::ranges::find(Watches, id, &PendingWatch::Id);
    if (it == Watches.end())
      return;
    sendResponse(it->Reply,
                 textResponse(200, State.encodeEntries(it->Prefix, it->After)));
    Watches.erase(it);
  }

  void answerChangedWatches() {
    std::vector<std::uint64_t> due;
    for (const PendingWatch &watch : Watches)
      if (State.hasNewerEntry(watch.Prefix, watch.After))
        due.push_back(watch.Id);
    for (const std::uint64_t id : due)
      answerWatch(id);
  }

  static HttpResponse unknownRevisionResponse() {
    return textResponse(410, "unknown revision; list the keys again\n");
  }

  /// Restores the state from a copy that is at least @p age old, and ends the
  /// watches from revisions that are gone.
  bool restore(Duration age) {
    if (!State.restore(age, readClock()))
      return false;
    const auto isGone = [this](const PendingWatch &watch) {
      return State.isUnknownRevision(watch.After);
    };
    for (const PendingWatch &watch : Watches)
      if (isGone(watch))
        sendResponse(watch.Reply, unknownRevisionResponse());
    std::erase_if(Watches, isGone);
    return true;
  }

  void sendResponse(const HttpReply &reply, HttpResponse response) {
    if (State.Faults.IsDown)
      return;
    response.Headers.add("X-Epoch", std::to_string(State.epoch()));
    if (State.Faults.Delay == Duration())
      return reply(std::move(response));
    Io.runAt(readClock() + State.Faults.Delay,
             [reply, response = std::move(response)] { reply(response); });
  }

  void handleAdminRequest(const HttpExchange &exchange) {
    const auto target = parseTarget(exchange.Request.Target);
    if (!target || target->Parts.empty())
      return exchange.Reply(textResponse(400, "malformed target\n"));
    if (target->Parts[0] == "fault") {
      StoreFaults &faults = State.Faults;
      faults.IsDown = target->number("down", faults.IsDown ? 1 : 0) != 0;
      faults.Delay = milliseconds(target->number(
          "delay_ms", static_cast<std::uint64_t>(faults.Delay.count()) / 1000));
      faults.ResponsesToDrop =
          target->number("lose_answers", faults.ResponsesToDrop);
      if (target->number("lapse_leases") != 0 && State.expireAllLeases())
        answerChangedWatches();
      if (const std::uint64_t age = target->number("restore_ms");
          age != 0 && !restore(milliseconds(age)))
        return exchange.Reply(textResponse(409, "no copy of that age\n"));
    }
    exchange.Reply(textResponse(
        200, fmt::format("reads {}\nwrites {}\nwatches {}\nepoch {}\n",
                         State.Counts.Reads, State.Counts.Writes,
                         State.Counts.Watches, State.epoch())));
  }

  IoThread Io{"store"};
  StoreState State;
  std::list<PendingWatch> Watches;
  std::uint64_t NextWatchId = 1;
  HttpServer MainServer;
  HttpServer AdminServer;
};

int run(const cxxopts::ParseResult &options) {
  StoreServer server;
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
      argc, argv, "standin-store", "Stand-in for the platform's store.",
      [](cxxopts::Options &options) {
        options.add_options()(
            "listen", "IP:port of the store",
            cxxopts::value<std::string>()->default_value("127.0.0.1:7000"))(
            "admin", "IP:port for /fault and /counters",
            cxxopts::value<std::string>()->default_value("127.0.0.1:7001"));
      },
      waxwing::run);
}
