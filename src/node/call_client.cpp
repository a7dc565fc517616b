/**
 * @file call_client.cpp
 * Each pending call keeps itself alive until its callback has run.
 */
#include "node/call_client.h"

#include "headers.h"
#include "node/node_clock.h"
#include "node/node_log.h"

#include <array>
#include <fmt/format.h>
#include <iterator>

namespace waxwing {
namespace {

/// Names of the losses, by value.
constexpr std::array<std::string_view, 4> CallLossNames{"none", "not_connected",
                                                        "ended", "silent"};

/// How far responses tell which call they belong to. A peer may send an earlier
/// response on the connection again.
struct CallIdentity {
  /// The call is an order to an upstream. Its connection carries another order
  /// only after an accepted grant, so that no refusal and no response to a
  /// release can be taken for a later one.
  bool IsOrder = false;
  /// Header of successful responses to the call; "" if there is none.
  std::string ResponseHeader;
  /// No other call preceded this one on the connection.
  bool IsFirstCall = false;

  bool mayShareConnection(int status) const {
    return !IsOrder || (status == platform::StatusOk && ResponseHeader.empty());
  }
  bool isOwnResponse(const http::ResponseHead &head) const {
    return IsFirstCall || head.Status != platform::StatusOk ||
           ResponseHeader.empty() ||
           http::findField(head.Headers, ResponseHeader) != nullptr;
  }
};

/// One HTTP request with a deadline.
class PendingCall : public ResponseObserver,
                    public std::enable_shared_from_this<PendingCall> {
public:
  PendingCall(boost::asio::io_context &loop, ConnectionPool &pool,
              std::shared_ptr<ClientConnection> connection,
              CallIdentity identity, std::size_t maxResponse,
              HttpCallClient::Callback callback,
              std::function<void()> onSending)
      : Pool(pool), Connection(std::move(connection)),
        Identity(std::move(identity)), MaxResponse(maxResponse),
        Callback(std::move(callback)), OnSending(std::move(onSending)),
        Timer(loop, [this] {
          abandon("no response before the deadline", CallLoss::Silent);
        }) {}

  void start(const std::string &request, Time deadline) {
    Self = shared_from_this();
    Result.BegunAt = bootNow();
    Result.IsFirstCall = Identity.IsFirstCall;
    Timer.scheduleBy(deadline);
    Connection->beginRequest(this, request, true, false);
  }

  bool isStillNeeded() override {
    if (OnSending)
      OnSending();
    return true;
  }
  bool onResponseHead(http::ResponseHead &head) override {
    if (!Identity.isOwnResponse(head)) {
      logLine(LogPriority::Failure, bootNow(), "response_of_another_call",
              "peer={} status={}", formatEndpoint(Connection->peer()),
              head.Status);
      return false;
    }
    Result.Status = head.Status;
    Result.Headers = std::move(head.Headers);
    return true;
  }
  void onResponseBody(std::string bytes) override {
    if (Result.Body.size() + bytes.size() > MaxResponse)
      abandon("response is too long", CallLoss::Ended);
    else
      Result.Body += bytes;
  }
  void onResponseEnd() override {
    if (Identity.mayShareConnection(Result.Status))
      Pool.release(Connection);
    else
      Connection->close();
    finish();
  }
  void onConnectionLost(const std::string &why, bool isSent) override {
    Result.Status = 0;
    Result.Error = why;
    Result.IsDelivered = isSent;
    lose(Connection->hasTimedOut() ? CallLoss::Silent : CallLoss::Ended);
  }

private:
  void abandon(const char *why, CallLoss loss) {
    // If no byte was written, the peer cannot receive the call any more.
    Result.IsDelivered = Connection->isSent();
    Connection->close();
    Result.Status = 0;
    Result.Error = why;
    lose(loss);
  }
  void lose(CallLoss loss) {
    Result.Loss = Connection->isEstablished() ? loss : CallLoss::NotConnected;
    // What silenced this connection may have silenced those that are idle.
    if (Result.Loss == CallLoss::Silent)
      Pool.closeIdle(Connection->peer());
    finish();
  }
  void finish() {
    Timer.cancel();
    const auto keep = std::exchange(Self, nullptr);
    if (keep)
      Callback(Result);
  }

  ConnectionPool &Pool;
  std::shared_ptr<ClientConnection> Connection;
  CallIdentity Identity;
  std::size_t MaxResponse;
  HttpCallClient::Callback Callback;
  std::function<void()> OnSending;
  DeadlineTimer Timer;
  HttpCallResult Result;
  std::shared_ptr<PendingCall>
      Self; ///< keeps this alive until the callback has run
};

} // namespace

std::string_view callLossName(CallLoss loss) {
  return CallLossNames[static_cast<std::size_t>(loss)];
}

void HttpCallClient::call(const Endpoint &peer,
                          const platform::PlatformRequest &call,
                          const std::string &target, Time deadline,
                          Callback callback, ConnectionReuse reuse,
                          std::function<void()> onSending) {
  std::string request =
      fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", call.Method, call.Target,
                  formatEndpoint(peer));
  if (!target.empty())
    platform::appendTargetHeader(request, target);
  if (call.Method == "POST")
    fmt::format_to(std::back_inserter(request),
                   "Content-Type: application/json\r\nContent-Length: {}\r\n",
                   call.Body.size());
  request += "\r\n" + call.Body;
  const Time now = bootNow();
  auto connection = reuse == ConnectionReuse::Allowed
                        ? Pool.acquire(peer, now, seconds(60))
                        : nullptr;
  const bool isFirstCall = connection == nullptr;
  if (isFirstCall)
    connection = Pool.open(
        peer,
        [this, target, now](ConnectOutcome outcome) {
          if (!target.empty() && OnTargetConnectEnd)
            OnTargetConnectEnd(target, now, outcome);
        },
        target.empty() ? StoreConnectLimits : UpstreamConnectLimits);
  std::make_shared<PendingCall>(
      Loop, Pool, std::move(connection),
      CallIdentity{!target.empty(), call.ResponseHeader, isFirstCall},
      target.empty() ? MaxStoreResponse : MaxOrderResponse, std::move(callback),
      std::move(onSending))
      ->start(request, deadline);
}

} // namespace waxwing
