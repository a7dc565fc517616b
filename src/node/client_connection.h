/**
 * @file client_connection.h
 * One HTTP/1.1 connection to an upstream or to the platform's store, with
 * one exchange at a time.
 */
#ifndef WAXWING_NODE_CLIENT_CONNECTION_H
#define WAXWING_NODE_CLIENT_CONNECTION_H

#include "core/endpoint_type.h"
#include "core/time_type.h"
#include "http/parser.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>

namespace waxwing {

/// Receives what happens to one exchange; never called after its end.
class ExchangeObserver {
public:
  virtual ~ExchangeObserver() = default;
  /// Asked before the first byte of the request is written.
  /// @return false when the exchange has been cancelled meanwhile
  virtual bool isStillWanted() { return true; }
  /// @return false when the answer is not this exchange's: it is skipped and
  ///   the next one is awaited
  virtual bool onAnswerHead(http::ResponseHead &head) = 0;
  virtual void onAnswerBody(std::string bytes) = 0;
  /// The answer is whole; the exchange has ended.
  virtual void onAnswerEnd() = 0;
  /// The connection failed; the exchange has ended.
  /// @param isSent some byte of the request was written
  virtual void onConnectionLost(const std::string &why, bool isSent) = 0;
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
  ClientConnection(boost::asio::io_context &loop, Endpoint peer);
  ~ClientConnection();

  /// Opens the connection; requests may be given before it stands.
  void open();
  /// Begins an exchange. @param observer outlives it or calls close()
  void begin(ExchangeObserver *observer, const std::string &head,
             bool isHeadMethod);
  /// Sends more of the request's body.
  void send(const std::string &bytes);
  /// @param isWhole false while bytes of the request's body are still due
  void setRequestWhole(bool isWhole) { IsRequestWhole = isWhole; }
  /// Stops or resumes reading the answer.
  void setPaused(bool isPaused);
  /// Ends the connection with a reset, so that bytes on their way are lost.
  void close();

  /// @return true while another exchange may begin
  bool isReusable() const {
    return IsOpen && Observer == nullptr && !IsSpent && !IsClosed;
  }
  bool isClosed() const { return IsClosed; }
  /// @return true when a byte of the current request was written
  bool isSent() const { return IsSent; }
  const Endpoint &peer() const { return Peer; }
  /// When the last exchange ended; valid between exchanges.
  Time IdleSince;
  /// When the peer may close the idle connection.
  Time IdleUntil = Time::max();

private:
  void onConnected(const boost::system::error_code &ec);
  void setOptions();
  void flush();
  void awaitRead();
  void readSome();
  /// @return false when the connection ended meanwhile
  bool parse(std::string_view bytes);
  void finishAnswer();
  void lose(const std::string &why);

  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer ConnectTimer;
  Endpoint Peer;
  ExchangeObserver *Observer = nullptr; ///< nullptr between exchanges
  std::unique_ptr<http::ResponseParser> Parser;
  std::string OutBuf; ///< to be written
  std::string InBuf;  ///< read and not yet parsed
  bool IsHeadMethod = false;
  bool IsHeadGiven = false; ///< the observer has the answer's head
  bool IsSkipping = false;  ///< the answer is another request's
  bool IsOpen = false;
  bool IsWriting = false;
  bool IsReading = false;
  bool IsPaused = false;
  bool IsSent = false; ///< a byte of the current request was written
  bool IsRequestWhole = true;
  bool IsSpent = false; ///< no further exchange
  bool IsClosed = false;
};

} // namespace waxwing

#endif
