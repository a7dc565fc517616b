/**
 * @file platform_server.cpp
 * HTTP server and upstreams of the in-process platform stand-in.
 */
#include "standin/platform_base.h"

#include <boost/asio/write.hpp>
#include <fmt/format.h>

namespace waxwing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

std::string formatResponse(int status, const std::string &headers,
                           const std::string &body) {
  return fmt::format("HTTP/1.1 {} X\r\n{}Content-Length: {}\r\n\r\n{}", status,
                     headers, body.size(), body);
}

} // namespace

class StandinServer::Connection
    : public std::enable_shared_from_this<Connection> {
public:
  Connection(tcp::socket socket, const StandinServer::Handler &handle)
      : Socket(std::move(socket)), Handle(handle) {}

  void read() {
    Socket.async_read_some(
        asio::buffer(Buffer),
        [self = shared_from_this()](const error_code &ec, std::size_t n) {
          if (ec)
            return;
          self->InBuf.append(self->Buffer.data(), n);
          self->parse();
        });
  }

  void reset() {
    error_code ec;
    Socket.set_option(asio::socket_base::linger(true, 0), ec);
    Socket.close(ec); // the descriptor is released even on error
  }

private:
  void parse() {
    std::size_t consumed = 0;
    const auto state = Parser.put(InBuf, consumed);
    InBuf.erase(0, consumed);
    if (state == http::ParseState::NeedMore) {
      read();
      return;
    }
    if (state != http::ParseState::Done)
      return;
    const StandinRequest request{Parser.head(), Parser.takeBody()};
    Parser = http::RequestParser({});
    Handle(request, [self = shared_from_this()](const std::string &answer) {
      self->respond(answer);
    });
  }

  void respond(const std::string &answer) {
    if (answer.empty()) {
      reset();
      return;
    }
    OutBuf = answer;
    asio::async_write(
        Socket, asio::buffer(OutBuf),
        [self = shared_from_this()](const error_code &ec, std::size_t) {
          if (!ec)
            self->InBuf.empty() ? self->read() : self->parse();
        });
  }

  tcp::socket Socket;
  const StandinServer::Handler &Handle;
  http::RequestParser Parser{http::ParseLimits{}};
  std::array<char, 16384> Buffer{};
  std::string InBuf;
  std::string OutBuf;
};

StandinServer::StandinServer(asio::io_context &loop, const Endpoint &address,
                             Handler handler)
    : Address(asio::ip::make_address(address.Address), address.Port),
      Acceptor(loop, Address), Handle(std::move(handler)) {
  accept();
}

void StandinServer::close() {
  error_code ec;
  Acceptor.close(ec); // the descriptor is released even on error
  for (const auto &weak : std::exchange(Connections, {}))
    if (const auto connection = weak.lock())
      connection->reset();
}

void StandinServer::open() {
  Acceptor.open(Address.protocol());
  Acceptor.set_option(tcp::acceptor::reuse_address(true));
  Acceptor.bind(Address);
  Acceptor.listen();
  accept();
}

void StandinServer::accept() {
  Acceptor.async_accept([this](const error_code &ec, tcp::socket socket) {
    if (ec)
      return;
    std::erase_if(Connections, [](const auto &it) { return it.expired(); });
    const auto connection =
        std::make_shared<Connection>(std::move(socket), Handle);
    Connections.push_back(connection);
    connection->read();
    accept();
  });
}

std::string standinJsonResponse(int status, const nlohmann::json &body,
                                const std::string &headers) {
  return formatResponse(status, "Content-Type: application/json\r\n" + headers,
                        body.dump());
}

StandinUpstreamHost::StandinUpstreamHost(
    asio::io_context &loop, const StandinUpstreamSettings &settings)
    : Loop(loop), Settings(settings),
      StartedAtMs(bootNow().time_since_epoch().count() / 1000),
      Server(loop, settings.Address,
             [this](const StandinRequest &request,
                    const StandinResponder &respond) {
               handle(request, respond);
             }) {}

std::string makeStandinUpstreamEntry(const StandinUpstreamSettings &settings,
                                     std::int64_t startedAtMs,
                                     bool isDraining) {
  return nlohmann::json{{"address", formatEndpoint(settings.Address)},
                        {"born", startedAtMs},
                        {"info",
                         {{"service", settings.Service},
                          {"config_version", "v1"},
                          {"zone", settings.Domain},
                          {"slots", settings.Slots}}},
                        {"status",
                         {{"state", isDraining ? "draining" : "ready"},
                          {"sequence", 1},
                          {"warmup_left_s", 0}}}}
      .dump();
}

std::string StandinUpstreamHost::entry(bool isDraining) const {
  return makeStandinUpstreamEntry(Settings, StartedAtMs, isDraining);
}

bool StandinUpstreamHost::ownsKey(std::uint16_t key) const {
  const Time now = bootNow();
  return std::ranges::any_of(HeldGrants, [&](const StandinGrant &held) {
    return held.Range.contains(key) && now < held.ExpiresAt;
  });
}

void StandinUpstreamHost::stop() {
  IsRunning = false;
  HeldGrants.clear();
  SeenFences.clear();
  Server.close();
}

void StandinUpstreamHost::start() {
  // A start within the millisecond of the last one is another process, too.
  StartedAtMs =
      std::max(StartedAtMs + 1, bootNow().time_since_epoch().count() / 1000);
  IsRunning = true;
  Server.open();
}

void StandinUpstreamHost::delayOrder(const StandinRequest &request,
                                     const StandinResponder &respond) {
  const auto timer = std::make_shared<asio::steady_timer>(Loop, OrderDelay);
  // The responder keeps the connection open.
  timer->async_wait([this, timer, request, respond, arrivedAt = bootNow(),
                     startedAt = StartedAtMs](const error_code &) {
    if (IsRunning && StartedAtMs == startedAt)
      handleGrantOrder(request, arrivedAt, [](const std::string &) {});
  });
}

void StandinUpstreamHost::handleGrantOrder(const StandinRequest &request,
                                           Time arrivedAt,
                                           const StandinResponder &respond) {
  constexpr std::size_t keyCount = 65536;
  const auto json = nlohmann::json::parse(request.Body);
  const KeyRange range{json["from"].get<std::uint16_t>(),
                       json["to"].get<std::uint16_t>()};
  const auto fence = json["fence"].get<std::uint64_t>();
  const bool isGrant = request.Head.Target == "/v1/grant";
  if (isGrant) {
    SeenFences.resize(keyCount);
    const auto first = SeenFences.begin() + range.From;
    const auto last = SeenFences.begin() + range.To + 1;
    if (std::any_of(first, last, [&](auto seen) { return seen > fence; })) {
      respond(formatResponse(409, OrderFields, ""));
      return;
    }
    std::fill(first, last, fence);
  }
  std::vector<StandinGrant> remainingGrants;
  for (const StandinGrant &held : HeldGrants) {
    if (held.Range.From > range.To || range.From > held.Range.To) {
      remainingGrants.push_back(held);
      continue;
    }
    if (held.Range.From < range.From)
      remainingGrants.push_back(
          {{held.Range.From, static_cast<std::uint16_t>(range.From - 1)},
           held.Fence,
           held.ExpiresAt});
    if (held.Range.To > range.To)
      remainingGrants.push_back(
          {{static_cast<std::uint16_t>(range.To + 1), held.Range.To},
           held.Fence,
           held.ExpiresAt});
  }
  HeldGrants = std::move(remainingGrants);
  if (isGrant) {
    const double held = json["hold_s"].get<double>() * Settings.ClockFactor;
    HeldGrants.push_back(
        {range, fence,
         arrivedAt + Duration(static_cast<std::int64_t>(held * 1e6))});
    if (OnGrant)
      OnGrant(HeldGrants.back());
  }
  respond(formatResponse(200, OrderFields + "Handover: h1\r\n", ""));
}

void StandinUpstreamHost::handle(const StandinRequest &request,
                                 const StandinResponder &respond) {
  const http::Fields &fields = request.Head.Headers;
  const std::string *target = http::findField(fields, "Target-Instance");
  const bool isGrantOrder = request.Head.Target == "/v1/grant" ||
                            request.Head.Target == "/v1/release";
  if (target != nullptr && *target != Settings.Id) {
    MisdirectedRequests += isGrantOrder ? 0 : 1;
    respond(formatResponse(421, "Instance-Id: " + Settings.Id + "\r\n", ""));
    return;
  }
  if (isGrantOrder) {
    if (OrderDelay > Duration())
      delayOrder(request, respond);
    else
      handleGrantOrder(request, bootNow(), respond);
    return;
  }
  const std::string *id = http::findField(fields, "Request-Id");
  const std::string refusalFields = fmt::format(
      "Request-Id: {}\r\nNot-Executed: 1\r\n", id == nullptr ? "" : *id);
  const std::string *key = http::findField(fields, "Shard-Key");
  if (Settings.IsDividedByKey &&
      (key == nullptr ||
       !ownsKey(static_cast<std::uint16_t>(std::stoi(*key))))) {
    ++MisroutedRequests;
    respond(formatResponse(421, RequestFields + refusalFields, ""));
    return;
  }
  if (IsShedding) {
    respond(formatResponse(503, RequestFields + refusalFields, ""));
    return;
  }
  const std::string name = id == nullptr ? "" : *id;
  ++Executions[name];
  ++RunningRequests;
  if (OnExecution)
    OnExecution(request);
  const std::string body = MakeBody ? MakeBody(request) : "from " + Settings.Id;
  const auto timer =
      std::make_shared<asio::steady_timer>(Loop, Settings.ServiceTime);
  timer->async_wait([this, timer, respond, name, body](const error_code &) {
    --RunningRequests;
    if (IsResetting) {
      respond("");
      return;
    }
    respond(formatResponse(
        200,
        RequestFields +
            fmt::format(
                "Request-Id: {}\r\nBackend-Signature: {}\r\n"
                "Backend-Load: {},0,{},100\r\nKeep-Alive: timeout=10\r\n",
                name, Settings.Id, RunningRequests, Settings.Slots),
        body));
  });
}

} // namespace waxwing
