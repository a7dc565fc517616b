/**
 * @file client_connection.h
 * HTTP/1.1 client connection to an upstream or to the platform's store, with
 * one request at a time.
 */
#ifndef WAXWING_NODE_CLIENT_CONNECTION_H
#define WAXWING_NODE_CLIENT_CONNECTION_H

#include "core/endpoint_type.h"
#include "core/time_type.h"
#include "http/parser.h"
#include "table/change_stages.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace waxwing {

/// Outcome of the attempt to establish a connection.
enum class ConnectOutcome : std::uint8_t {
  Established,
  Refused, ///< the peer's host answered that nothing listens there
  Failed,  ///< no answer in time, or another error
};
using ConnectCallback = std::function<void(ConnectOutcome)>;

/// How long a connection may take to be established.
struct ConnectLimits {
  Duration Timeout{};
  /// Another opening packet is sent at this interval, so that a lost one costs
  /// no more, while a late answer to an earlier one still counts; 0: none.
  Duration RepeatInterval{};
};

/// For upstreams: a failure allows a retry with another choice of the upstream
/// before the kernel would repeat the opening packet, 1 s after the first.
inline constexpr ConnectLimits UpstreamConnectLimits{milliseconds(400)};
/// For the store: there is no other choice. Links on which packets wait for up
/// to half a second still work.
inline constexpr ConnectLimits StoreConnectLimits{milliseconds(1200),
                                                  StoreConnectInterval};

/// Receives the events of one request. Not called after onResponseEnd() or
/// onConnectionLost().
class ResponseObserver {
public:
  virtual ~ResponseObserver() = default;
  /// Called before the first byte of the request is written.
  /// @return false if the request was cancelled meanwhile
  virtual bool isStillNeeded() { return true; }
  /// Called when all bytes of the request that were passed are written, if more
  /// of its body is to follow.
  virtual void onRequestWritten() {}
  /// @return false if the response belongs to another request; that response is
  ///   discarded and the next one is awaited
  virtual bool onResponseHead(http::ResponseHead &head) = 0;
  virtual void onResponseBody(std::string bytes) = 0;
  /// Called when the response is complete.
  virtual void onResponseEnd() = 0;
  /// Called when the connection failed before the response was complete.
  /// @param isSent at least one byte of the request was written
  virtual void onConnectionLost(const std::string &why, bool isSent) = 0;
};

/// Connection that carries one request after another.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
  ClientConnection(boost::asio::io_context &loop, Endpoint peer,
                   const ConnectLimits &limits = UpstreamConnectLimits);
  ~ClientConnection();

  /// Starts to connect; a request may be started before the connection is
  /// established.
  /// @param onConnectEnd called with the outcome; not called if the connection
  ///   was closed before
  void open(ConnectCallback onConnectEnd = {});
  /// Starts a request.
  /// @param observer must stay valid until the request ends or close()
  /// @param bytes the request's head and the first part of its body
  /// @param isWhole false if more of the request body will be sent
  /// @param isHeadMethod method is HEAD, so the response has no body
  void beginRequest(ResponseObserver *observer, const std::string &bytes,
                    bool isWhole, bool isHeadMethod);
  /// Sends more of the request body.
  /// @param isWhole false if more of it will be sent
  void send(const std::string &bytes, bool isWhole);
  /// @return bytes that wait until the peer reads
  std::size_t unwrittenBytes() const { return UnwrittenOutput.size(); }
  /// Pauses or resumes reading the response.
  void setPaused(bool isPaused);
  /// Closes the connection with a TCP reset, which discards unsent bytes.
  void close();

  /// @return true if another request may be started
  bool isReusable() const {
    return IsOpen && Observer == nullptr && !IsReuseForbidden && !IsClosed;
  }
  bool isClosed() const { return IsClosed; }
  /// @return true if the connection was established, also after its end
  bool isEstablished() const { return IsOpen; }
  /// @return true if the connection ended since the peer's host did not
  ///   acknowledge data or keep-alive probes
  bool hasTimedOut() const { return HasTimedOut; }
  /// @return true if at least one byte of the current request was written
  bool isSent() const { return IsSent; }
  const Endpoint &peer() const { return Peer; }
  /// End of the last request; valid while the connection is idle.
  Time IdleSince;
  /// Time at which the peer may close the idle connection; Time::max() if the
  /// peer announced no timeout.
  Time IdleUntil = Time::max();

private:
  void connect(const boost::asio::ip::tcp::endpoint &address);
  void onConnectTimer(const boost::asio::ip::tcp::endpoint &address);
  /// @param socket that was connected, unless @p ec is set
  void onConnected(const std::shared_ptr<boost::asio::ip::tcp::socket> &socket,
                   const boost::system::error_code &ec);
  void flush();
  /// @return false if the connection failed or the request is not needed
  bool mayStartRequest();
  void allowSlowPeer();
  void scheduleRead();
  void readSome();
  /// @return false if the request or the connection ended
  bool parse(std::string_view bytes);
  void finishResponse();
  /// @param outcome that of the connection attempt, if it has none yet
  void fail(const std::string &why,
            ConnectOutcome outcome = ConnectOutcome::Failed);
  void reportConnectEnd(ConnectOutcome outcome);

  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer ConnectTimer;
  ConnectLimits Limits;
  Time ConnectUntil; ///< the connection fails unless it is established by then
  /// Sockets that are being connected; the first one to succeed is used.
  std::vector<std::shared_ptr<boost::asio::ip::tcp::socket>> Connecting;
  Endpoint Peer;
  ConnectCallback OnConnectEnd;         ///< empty once it was called
  ResponseObserver *Observer = nullptr; ///< nullptr while idle
  std::unique_ptr<http::ResponseParser> Parser;
  std::string UnwrittenOutput; ///< request bytes that are not yet written
  std::string UnparsedInput;   ///< response bytes that are not yet parsed
  bool IsHeadMethod = false;
  bool IsHeadDelivered = false; ///< response head was passed to the observer
  bool IsDiscardingResponse = false; ///< response is for another request
  bool IsOpen = false;               ///< the TCP connection was established
  bool IsWriting = false;
  bool IsSlowPeerAllowed = false; ///< the peer may read the request slowly
  bool IsReading = false;
  bool IsPaused = false;
  bool IsSent = false;        ///< at least one byte of the request was written
  bool IsRequestWhole = true; ///< no more of the request body will be sent
  bool IsReuseForbidden = false; ///< close after the current request
  bool IsClosed = false;
  bool HasTimedOut = false; ///< as returned by hasTimedOut()
};

} // namespace waxwing

#endif
