/**
 * @file attempt.h
 * One sending of a request to one upstream.
 */
#ifndef WAXWING_NODE_ATTEMPT_H
#define WAXWING_NODE_ATTEMPT_H

#include "node/client_connection.h"
#include "node/exchange.h"
#include "routing/upstream_load_base.h"

#include <boost/asio/steady_timer.hpp>
#include <optional>

namespace waxwing {

/// How an attempt ended, for the decision on the next one.
struct AttemptResult {
  AttemptOutcome End = AttemptOutcome::Served;
  Reason Cause = Reason::None;
  bool IsNotExecuted = false; ///< proven: the upstream did not execute it
  bool IsArrived = true;      ///< the upstream saw the request
  std::string Detail;         ///< for the log
};

/// What an attempt asks of the program.
class AttemptHost {
public:
  virtual ~AttemptHost() = default;
  /// The attempt ended; its answer is in the exchange when IsDelivered.
  virtual void onAttemptEnd(const std::shared_ptr<Exchange> &exchange,
                            Attempt &attempt, const AttemptResult &result) = 0;
  /// An answer's head told the upstream's load.
  virtual void onLoadReport(const UpstreamId &upstream,
                            const platform::LoadReport &report) = 0;
  /// The failure that the upstream answered with could be repeated elsewhere.
  virtual bool wouldRepeat(const Exchange &exchange) const = 0;
};

class Attempt : public ExchangeObserver,
                public std::enable_shared_from_this<Attempt> {
public:
  Attempt(AttemptHost &host, const std::shared_ptr<Exchange> &exchange,
          const UpstreamEntry &upstream,
          std::shared_ptr<ClientConnection> connection, bool isNewConnection);
  ~Attempt() override;

  void start(Time now);
  /// More of the request's body is in the exchange.
  void continueBody();
  /// Ends the attempt without an outcome; the upstream drops the request.
  void cancel();
  /// The caller has taken bytes of the answer.
  void onAnswerTaken();

  const UpstreamEntry &upstream() const { return Target; }
  const std::shared_ptr<ClientConnection> &connection() const {
    return Connection;
  }
  Time startedAt() const { return StartedAt; }
  bool isNewConnection() const { return IsNewConnection; }
  int answerStatus() const { return AnswerStatus; }
  /// @return what the answer told of the upstream's load, if anything
  const std::optional<platform::LoadReport> &load() const {
    return ResponseMetadata.Load;
  }

  bool onAnswerHead(http::ResponseHead &head) override;
  void onAnswerBody(std::string bytes) override;
  void onAnswerEnd() override;
  bool isStillWanted() override;
  void onConnectionLost(const std::string &why, bool isSent) override;

private:
  std::string requestHead(Time now) const;
  void sendBody();
  void deliver(bool isWhole);
  void appendBody(std::string &out, std::string_view bytes) const;
  void end(const AttemptResult &result);
  AttemptResult judgeWholeAnswer() const;

  AttemptHost &Host;
  std::weak_ptr<Exchange> Owner;
  UpstreamEntry Target;
  std::shared_ptr<ClientConnection> Connection;
  bool IsNewConnection;
  Time StartedAt;

  http::ResponseHead ResponseHead;
  platform::ResponseMetadata ResponseMetadata;
  std::string AnswerBody; ///< received and not yet delivered
  int AnswerStatus = 0;
  bool HasHead = false;
  bool IsDelivering = false; ///< the head was given to the caller
  bool IsChunkedOut = false; ///< the caller gets the body in chunks
  bool IsPaused = false;
  bool IsEnded = false;
};

} // namespace waxwing

#endif
