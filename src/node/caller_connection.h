/**
 * @file caller_connection.h
 * One caller's HTTP/1.1 connection: requests are taken as they come, answers
 * go back in the order of the requests.
 */
#ifndef WAXWING_NODE_CALLER_CONNECTION_H
#define WAXWING_NODE_CALLER_CONNECTION_H

#include "http/parser.h"
#include "node/exchange.h"

#include <boost/asio/ip/tcp.hpp>
#include <deque>

namespace waxwing {

/// What connections ask of the program that serves them.
class CallerHost {
public:
  virtual ~CallerHost() = default;
  /// A request's head is whole and its body is whole or large.
  virtual void beginExchange(const std::shared_ptr<Exchange> &exchange) = 0;
  /// More of a large body has arrived.
  virtual void continueExchange(const std::shared_ptr<Exchange> &exchange) = 0;
  /// The caller has gone.
  virtual void cancelExchange(const std::shared_ptr<Exchange> &exchange) = 0;
  virtual const CallerLimits &callerLimits() const = 0;
  /// @return true while the program shuts down
  virtual bool isDraining() const = 0;
  virtual void onCallerClosed(const void *connection) = 0;
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  CallerConnection(boost::asio::ip::tcp::socket socket, CallerHost &host);

  void start();
  /// Closes it when it is idle or slow beyond the limits.
  void checkTimes(Time now);
  /// @return true while no request is unanswered
  bool isIdle() const { return Exchanges.empty() && InBuf.empty(); }
  Time idleSince() const { return IdleSince; }
  void close();

private:
  void awaitRead();
  void readSome();
  void parseAll();
  /// @return false when the connection cannot take more requests
  bool parseOne();
  void takeHead();
  /// Closes when the caller has closed its side and nothing else is unread.
  void closeIfLeft();
  void refuseBytes(http::ParseState state);
  void flush();
  void finishFront();
  void beginClosing();

  boost::asio::ip::tcp::socket Socket;
  CallerHost &Host;
  http::RequestParser Parser;
  std::string InBuf;  ///< read and not yet parsed
  std::string OutBuf; ///< of the first exchange's answer
  std::deque<std::shared_ptr<Exchange>> Exchanges; ///< in order of arrival
  std::shared_ptr<Exchange> Incoming; ///< its body is not whole yet
  bool IsIncomingBegun = false;       ///< the host has Incoming
  bool IsParsing = false;
  bool IsReading = false;
  bool IsWriting = false;
  bool IsLast = false; ///< no request is taken behind the present ones
  bool IsClosed = false;
  Time IdleSince;
  Time HeadSince;    ///< first byte of an unfinished head; Time() for none
  Time ClosingUntil; ///< sending side has ended; Time() while it has not
};

} // namespace waxwing

#endif
