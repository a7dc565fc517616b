/**
 * @file caller_connection.h
 * HTTP/1.1 server connection of one caller, with pipelining. Responses are
 * sent in the order of the requests.
 */
#ifndef WAXWING_NODE_CALLER_CONNECTION_H
#define WAXWING_NODE_CALLER_CONNECTION_H

#include "http/parser.h"
#include "node/exchange.h"
#include "table/connection_ends.h"

#include <boost/asio/ip/tcp.hpp>
#include <deque>

namespace waxwing {

/// Processes the requests of caller connections.
class ExchangeHandler {
public:
  virtual ~ExchangeHandler() = default;
  /// Called when the request head is complete; the body may be incomplete.
  virtual void beginExchange(const std::shared_ptr<Exchange> &exchange) = 0;
  /// Called when more of a request body has arrived.
  virtual void continueExchange(const std::shared_ptr<Exchange> &exchange) = 0;
  /// Called when a request ends without a complete response of its upstream.
  virtual void cancelExchange(const std::shared_ptr<Exchange> &exchange,
                              ConnectionEnd why) = 0;
  virtual const CallerLimits &callerLimits() const = 0;
  /// @return memory that the bodies of all requests share
  virtual BodyMemory &bodyMemory() = 0;
  /// Called when the caller connection at address @p connection was closed; the
  /// handler drops its reference to that connection.
  virtual void onCallerClosed(const void *connection) = 0;
};

/// Parses requests from a caller and writes the responses.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  CallerConnection(boost::asio::ip::tcp::socket socket,
                   ExchangeHandler &handler);

  void start();
  /// Closes the connection if it exceeds the idle or header timeout.
  void closeIfTimedOut(Time now);
  /// @return true if no request is pending or partly received
  bool isIdle() const {
    return Exchanges.empty() && UnparsedInput.empty() &&
           HeadStartedAt == Time();
  }
  /// @return true if a response is not yet sent completely or the caller has
  ///   not closed the connection after the last one
  bool isResponding() const {
    return !Exchanges.empty() || !UnwrittenOutput.empty() ||
           LingerUntil != Time();
  }
  Time idleSince() const { return IdleSince; }
  /// Closes the connection and cancels the requests on it.
  void close(ConnectionEnd why);
  /// Ends an idle connection, unless a request has arrived that was not read
  /// yet.
  void endIfIdle();

private:
  /// @return true if a request head is incomplete for longer than allowed
  bool isHeadSlow(Time now) const;
  /// @return true if the connection is idle for longer than allowed
  bool isUnused(Time now) const;
  void scheduleRead();
  void readSome();
  void parseRequests();
  /// @return false if parsing must stop, for lack of bytes or because the
  ///   connection cannot accept more requests now
  bool parseRequest();
  /// @return false while no further request can be accepted. None is accepted
  ///   behind one whose response closes the connection.
  bool canAcceptRequest();
  void startExchange();
  /// @return true if no more of the incoming body can be stored now
  bool isBodyFull() const;
  /// Tells the caller of the first exchange to send its body, if it waits.
  void sendContinue();
  /// Closes the connection if the caller has closed its side and no bytes are
  /// unread.
  void closeIfDisconnected();
  void rejectMalformed(http::ParseState state);
  void flush();
  void finishFirstExchange();
  void beginLingeringClose();

  boost::asio::ip::tcp::socket Socket;
  std::string CallerAddress; ///< without port; empty if not known
  ExchangeHandler &Handler;
  http::RequestParser Parser;
  std::string UnparsedInput; ///< bytes received and not yet parsed
  /// Response bytes of the first exchange that are not yet written.
  std::string UnwrittenOutput;
  std::deque<std::shared_ptr<Exchange>> Exchanges; ///< in order of the requests
  /// Exchange whose request body is incomplete.
  std::shared_ptr<Exchange> IncomingExchange;
  bool IsParsing = false;
  bool IsReading = false;
  bool IsWriting = false;
  bool IsLastRequest = false; ///< no further requests are accepted
  bool IsClosed = false;
  Time IdleSince;
  /// Arrival of the first byte of an incomplete request head; Time() if none.
  Time HeadStartedAt;
  /// Deadline for the caller to close its side after the last response,
  /// extended while it still sends; Time() if this connection is not waiting
  /// for that.
  Time LingerUntil;
  Time LingerStartedAt; ///< valid while LingerUntil is set
};

} // namespace waxwing

#endif
