/**
 * @file store_client.cpp
 * The epoch is read from every response, also from those of failed calls.
 */
#include "node/store_client.h"

#include "node/node_clock.h"
#include "node/node_log.h"
#include "node/store_keys.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Time without a response to a call after which a check is sent.
constexpr Duration CheckDelay = milliseconds(400);
/// Least time between checks.
constexpr Duration CheckInterval = milliseconds(1000);
constexpr Duration CheckTimeout = milliseconds(1200);

} // namespace

NodeStoreClient::NodeStoreClient(boost::asio::io_context &loop,
                                 HttpCallClient &calls, StoreHealth &health,
                                 Endpoint store, bool isFirstStart)
    : Calls(calls), Health(health), Store(std::move(store)),
      CheckTimer(loop, [this] { checkIfSilent(); }) {
  Info.IsFirstStart = isFirstStart;
}

void NodeStoreClient::call(const platform::PlatformRequest &request,
                           Time deadline, HttpCallClient::Callback callback,
                           StoreCallKind kind,
                           std::function<void()> onSending) {
  const Time now = bootNow();
  if (kind == StoreCallKind::Prompt) {
    PendingSince.insert(now);
    scheduleCheck();
  }
  Calls.call(
      Store, request, "", deadline,
      [this, kind, now,
       callback = std::move(callback)](const HttpCallResult &result) {
        if (kind == StoreCallKind::Prompt)
          PendingSince.erase(PendingSince.find(now));
        onResponse(result, callback);
      },
      ConnectionReuse::Allowed, std::move(onSending));
}

void NodeStoreClient::onResponse(const HttpCallResult &result,
                                 const HttpCallClient::Callback &callback) {
  const auto epoch = platform::readStoreEpoch(result.Headers);
  if (!epoch || result.Status == 0) {
    callback(result);
    return;
  }
  const Time now = bootNow();
  noteEpoch(*epoch, now);
  if (*epoch == Info.Epoch) {
    callback(result);
    return;
  }
  logLine(LogPriority::StateChange, now, "store_answer_outdated",
          "epoch={} current={} status={}", *epoch, Info.Epoch, result.Status);
  HttpCallResult lost;
  lost.BegunAt = result.BegunAt;
  lost.Error = "response of an earlier epoch of the store";
  callback(lost);
}

/// @return when the oldest call to check was begun; Time::max() if there is
/// none
Time NodeStoreClient::uncheckedSince() const {
  // The store has answered a call that was begun later than the others.
  const auto it = PendingSince.upper_bound(Health.lastAnsweredCallAt());
  return it == PendingSince.end() ? Time::max() : *it;
}

void NodeStoreClient::scheduleCheck() {
  if (const Time since = uncheckedSince(); since != Time::max() && !IsChecking)
    CheckTimer.scheduleBy(std::max(since + CheckDelay, NextCheckAt));
}

void NodeStoreClient::checkIfSilent() {
  const Time now = bootNow();
  const Time since = uncheckedSince();
  if (since != Time::max() && since + CheckDelay <= now && !IsChecking)
    sendCheck(now);
  else
    scheduleCheck();
}

void NodeStoreClient::sendCheck(Time now) {
  IsChecking = true;
  ++CheckCount;
  NextCheckAt = now + CheckInterval;
  Calls.call(
      Store, platform::buildStaleListRequest(std::string(LeaderKey)), "",
      now + CheckTimeout,
      [this](const HttpCallResult &result) {
        IsChecking = false;
        onResponse(result, [this](const HttpCallResult &checked) {
          // A check without a response proves nothing that the call that it was
          // sent for won't prove by its deadline.
          if (checked.Status == platform::StatusOk)
            Health.recordAnswer(checked.BegunAt, bootNow());
          else
            logLine(LogPriority::Failure, bootNow(), "store_check_failed",
                    "loss={} status={}", callLossName(checked.Loss),
                    checked.Status);
        });
        scheduleCheck();
      },
      ConnectionReuse::Forbidden);
}

void NodeStoreClient::noteEpoch(StoreEpoch epoch, Time now) {
  if (!IsEpochKnown) {
    IsEpochKnown = true;
    Info.Epoch = epoch;
    return;
  }
  if (epoch <= Info.Epoch)
    return;
  logLine(LogPriority::StateChange, now, "store_restored",
          "epoch={} previous={}", epoch, Info.Epoch);
  Info.Epoch = epoch;
  Info.BegunAt = now;
  if (OnRestored)
    OnRestored();
}

} // namespace waxwing
