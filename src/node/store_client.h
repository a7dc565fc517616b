/**
 * @file store_client.h
 * Calls to the platform's store. All responses pass through here, so that every
 * part of the VM learns of a restoration of the store before it uses a response
 * of the restored one.
 */
#ifndef WAXWING_NODE_STORE_CLIENT_H
#define WAXWING_NODE_STORE_CLIENT_H

#include "core/store_revision_type.h"
#include "node/call_client.h"
#include "node/node_clock.h"
#include "node/store_health.h"

#include <set>

namespace waxwing {

/// Sends calls to the store and tracks its epoch. While a call on a connection
/// remains without a response, a check on a new connection shows whether the
/// store serves.
class NodeStoreClient {
public:
  /// @param isFirstStart this process started together with the whole system
  NodeStoreClient(boost::asio::io_context &loop, HttpCallClient &calls,
                  StoreHealth &health, Endpoint store, bool isFirstStart);

  /// @param deadline the connection is reset if there is no response by then
  /// @param callback gets the response; one of an earlier epoch than epoch()
  ///   counts as lost, since the state that it describes is gone
  /// @param kind calls of kind Waiting are not checked
  /// @param onSending called before the first byte is written
  void call(const platform::PlatformRequest &request, Time deadline,
            HttpCallClient::Callback callback,
            StoreCallKind kind = StoreCallKind::Prompt,
            std::function<void()> onSending = {});
  /// Lets the next calls use new connections.
  void closeIdle() { Calls.closeIdle(Store); }
  /// Records an epoch of the store, stated by a response or by another VM.
  void noteEpoch(StoreEpoch epoch, Time now);

  StoreEpoch epoch() const { return Info.Epoch; }
  const EpochInfo &epochInfo() const { return Info; }
  /// @return number of checks sent to the store
  std::uint64_t checkCount() const { return CheckCount; }

  /// Called when the store was restored, before the first response of the new
  /// epoch is passed on.
  std::function<void()> OnRestored;

private:
  void onResponse(const HttpCallResult &result,
                  const HttpCallClient::Callback &callback);
  Time uncheckedSince() const;
  void scheduleCheck();
  void checkIfSilent();
  void sendCheck(Time now);

  HttpCallClient &Calls;
  StoreHealth &Health;
  Endpoint Store;
  DeadlineTimer CheckTimer;
  /// When the calls without a response were begun, except those that wait for
  /// changes.
  std::multiset<Time> PendingSince;
  Time NextCheckAt; ///< no check is sent before
  bool IsChecking = false;
  std::uint64_t CheckCount = 0;
  EpochInfo Info;
  bool IsEpochKnown = false; ///< a response or another VM has stated it
};

} // namespace waxwing

#endif
