/**
 * @file attempt.h
 * One attempt to send a request to one upstream, or to another VM that sends it
 * to an upstream.
 */
#ifndef WAXWING_NODE_ATTEMPT_H
#define WAXWING_NODE_ATTEMPT_H

#include "node/client_connection.h"
#include "node/exchange.h"
#include "routing/relay_choice.h"
#include "routing/upstream_load_base.h"

#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <variant>

namespace waxwing {

/// Another VM to which a request is passed.
struct RelayHop {
  RelayTarget Peer;
  RelayRequest Request;
};

using AttemptTarget = std::variant<UpstreamEntry, RelayHop>;

/// Outcome of an attempt; decides whether the request is retried.
struct AttemptResult {
  AttemptOutcome End = AttemptOutcome::Served;
  Reason Cause = Reason::None;
  /// It is certain that the upstream did not execute the request.
  bool IsNotExecuted = false;
  bool IsDelivered = true; ///< the upstream received the request
  std::string Detail;      ///< description for the log
  /// Delay that the other VM proposes to the caller; 0: none.
  Duration RetryAfter{};
  int Deliveries = 1; ///< upstreams that received the request, if IsDelivered
};

/// Callbacks of an attempt.
class AttemptHandler {
public:
  virtual ~AttemptHandler() = default;
  /// The attempt ended. Exchange::IsFinished is set if its response was
  /// forwarded to the caller.
  virtual void onAttemptEnd(const std::shared_ptr<Exchange> &exchange,
                            Attempt &attempt, const AttemptResult &result) = 0;
  /// @return true if @p process may get no more requests, since its entry says
  ///   that it leaves or was removed
  virtual bool hasLeft(const UpstreamProcess &process) const = 0;
  /// A response header reported the upstream's load.
  virtual void onLoadReport(const UpstreamId &upstream,
                            const platform::LoadReport &report) = 0;
  /// A response of the upstream announced that it leaves.
  virtual void onLeavingAnnounced(const UpstreamProcess &process) = 0;
  /// The upstream refused the request and wants none for @p pause.
  virtual void onPauseAsked(const UpstreamEntry &upstream,
                            std::chrono::duration<double> pause) = 0;
  /// A response of the process named the limit @p perS in requests/s, or none.
  virtual void onLimitNamed(const UpstreamProcess &process,
                            std::optional<double> perS) = 0;
  /// @return true if a failure response of the upstream would be retried
  ///   instead of forwarded
  virtual bool wouldRetry(const Exchange &exchange) const = 0;
  /// @return true while the process shuts down
  virtual bool isDraining() const = 0;
};

/// Sends one request to its target and forwards the response to the caller.
class Attempt : public ResponseObserver,
                public std::enable_shared_from_this<Attempt> {
public:
  Attempt(AttemptHandler &handler, const std::shared_ptr<Exchange> &exchange,
          AttemptTarget target, std::shared_ptr<ClientConnection> connection,
          bool isNewConnection);
  ~Attempt() override;

  void start(Time now);
  /// Sends request body bytes that were added to the exchange.
  void continueBody();
  /// Ends the attempt without calling onAttemptEnd(). The connection is reset,
  /// so that the upstream drops the request.
  void cancel();
  /// Ends the attempt and breaks off its response.
  void abortResponse();
  /// Called when response bytes were moved to the caller's connection. Resumes
  /// reading the upstream's response if that was paused.
  void onResponseConsumed();

  const AttemptTarget &target() const { return Target; }
  /// @return nullptr if the request was passed to another VM
  const UpstreamEntry *upstream() const {
    return std::get_if<UpstreamEntry>(&Target);
  }
  /// @return the upstream that got the request; empty if that is not known
  const UpstreamId &upstreamId() const;
  /// @return the process that got the request; its id is empty if that is not
  ///   known
  UpstreamProcess upstreamProcess() const;
  /// @return name of the VM to which the request was passed, or "-"
  std::string_view peerName() const;
  const std::shared_ptr<ClientConnection> &connection() const {
    return Connection;
  }
  Time startedAt() const { return StartedAt; }
  bool isNewConnection() const { return IsNewConnection; }
  int responseStatus() const { return ResponseStatus; }
  bool hasResponseHead() const { return HasResponseHead; }
  /// @return load that the upstream reported in its response, if any
  const std::optional<platform::LoadReport> &load() const {
    return ResponseMetadata.Load;
  }

  void onRequestWritten() override { sendBody(); }
  bool onResponseHead(http::ResponseHead &head) override;
  void onResponseBody(std::string bytes) override;
  void onResponseEnd() override;
  bool isStillNeeded() override;
  void onConnectionLost(const std::string &why, bool isSent) override;

private:
  std::string requestHead(Time now) const;
  /// Passes the next part of the body to the connection, as much as the
  /// connection has room for.
  void sendBody();
  /// Appends the next part of the body to @p out.
  /// @return true if the body continues
  bool appendRequestBody(std::string &out, std::size_t room);
  void forwardToCaller(bool isWhole);
  void appendBody(std::string &out, std::string_view bytes) const;
  void finish(const AttemptResult &result);
  bool isOwnResponse(const http::ResponseHead &head,
                     const platform::ResponseMetadata &meta);
  AttemptResult classifyResponse() const;
  AttemptResult classifyUpstreamResponse() const;
  /// @return true if the response is for the caller, rather than a reason to
  ///   send the request again
  bool isForCaller(const Exchange &exchange, const AttemptResult &result) const;

  AttemptHandler &Handler;
  std::weak_ptr<Exchange> ParentExchange;
  AttemptTarget Target;
  std::shared_ptr<ClientConnection> Connection;
  bool IsNewConnection;
  Time StartedAt;

  std::uint64_t BodyOffset = 0; ///< body bytes passed to the connection
  bool IsRequestWhole = false;  ///< the end of the body was passed, too

  http::ResponseHead ResponseHead;
  platform::ResponseMetadata ResponseMetadata;
  std::optional<RelayResult> Relay; ///< set if another VM responded
  std::string ResponseBody;         ///< bytes received and not yet forwarded
  int ResponseStatus = 0;
  bool HasResponseHead = false;
  /// The response holds for this request: it has the request's id, is the first
  /// one on its connection, or is the refusal of another upstream.
  bool IsResponseIdentified = false;
  bool IsForwarding = false;      ///< the response head was forwarded
  bool IsChunkedResponse = false; ///< forwarded with chunked transfer encoding
  bool IsPaused = false;          ///< reading of the response is paused
  bool HasEnded = false;
};

} // namespace waxwing

#endif
